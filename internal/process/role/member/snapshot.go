package member

import (
	"time"
)

// Snapshot is the state of a member in the dump.
type Snapshot struct {
	cell          string
	directory     string
	term          uint64
	lease         time.Duration
	configuration uint64
	routes        uint64
	agents        uint64
	shards        int
	waiting       int
	recalled      int
	leaving       bool
}

// Snapshot returns the state of the member. Lease is the remaining duration of the
// lease. Shards are the owned ones, waiting those that still lack a member list, and
// recalled those that are being released.
func (m *Member) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		cell:          m.cell,
		directory:     m.directory.String(),
		term:          m.term,
		configuration: m.have.Configuration(),
		routes:        m.have.Routes(),
		agents:        m.have.Agents(),
		leaving:       !m.leaving.IsZero(),
	}
	if m.lease.After(now) {
		s.lease = m.lease.Sub(now)
	}
	for _, h := range m.owned {
		switch {
		case h.revoked:
			s.recalled++
		case h.granted:
			s.shards++
		default:
			s.waiting++
		}
	}
	return s
}
