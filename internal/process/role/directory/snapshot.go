package directory

import (
	"time"
)

// CellSnapshot is the state of one cell of the region in the dump. InForce is the
// number of members that have the cell's configuration version, and heardAgo the age of
// the last digest.
type CellSnapshot struct {
	cell     string
	version  uint64
	members  uint32
	inForce  uint32
	free     uint32
	heardAgo time.Duration
}

// Snapshot is the state of a directory in the dump.
type Snapshot struct {
	session         time.Duration
	confirms        bool
	storeAnswers    bool
	storeOutageMode bool
	mayMoveShards   bool
	configuration   uint64
	fleetIndex      uint64
	groups          int
	cells           []CellSnapshot
}

// Snapshot returns the state of the directory. Session is the remaining validity of the
// store session. The cells are those that the directory holds and those whose digests
// it receives.
func (d *Directory) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		confirms:        d.mayConfirm && len(d.cells) > 0,
		storeAnswers:    d.answers,
		storeOutageMode: len(d.cells) > 0 && d.OutageMode(),
		mayMoveShards:   len(d.cells) > 0 && d.mayReassign(now),
		configuration:   d.version,
		fleetIndex:      d.fleet.Index(),
	}
	if d.validUntil.After(now) {
		s.session = d.validUntil.Sub(now)
	}
	if len(d.cells) > 0 {
		s.groups = len(d.currentPlan().ownGroups)
	}
	for _, h := range d.sortedCells() {
		g := d.digest(now, h)
		s.cells = append(s.cells, CellSnapshot{
			cell:    h.name,
			version: d.version,
			members: g.Members(),
			inForce: g.InForce(),
			free:    g.Free(),
		})
	}
	for _, c := range d.voters {
		if p, ok := d.peers[c.Name()]; ok && !d.heldOrPending(c.Name()) {
			s.cells = append(s.cells, CellSnapshot{
				cell:     c.Name(),
				version:  p.digest.Versions().Configuration(),
				members:  p.digest.Members(),
				inForce:  p.digest.InForce(),
				free:     p.digest.Free(),
				heardAgo: now.Sub(p.receivedAt),
			})
		}
	}
	return s
}
