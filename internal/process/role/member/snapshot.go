package member

import (
	"time"
)

// Snapshot is the state of a member in numbers and names, for the dump.
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

// Snapshot counts the member's state; lease is what is left of it.
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
