package directory

import (
	"time"
)

// CellSnapshot is what a directory says of one cell of its region. In force is
// the number of members that have the directory's configuration version.
type CellSnapshot struct {
	cell     string
	version  uint64
	members  uint32
	inForce  uint32
	free     uint32
	heardAgo time.Duration
}

// Snapshot is the state of a directory in numbers and names, for the dump.
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

// Snapshot describes the directory; session is what is left of its lease. The
// cells are its own and those whose digests it gets.
func (d *Directory) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		confirms:        d.entitledNow && len(d.cells) > 0,
		storeAnswers:    d.answers,
		storeOutageMode: len(d.cells) > 0 && d.OutageMode(),
		mayMoveShards:   len(d.cells) > 0 && d.maySeize(now),
		configuration:   d.version,
		fleetIndex:      d.fleet.Index(),
	}
	if d.until.After(now) {
		s.session = d.until.Sub(now)
	}
	if len(d.cells) > 0 {
		s.groups = len(d.planned().mine)
	}
	for _, h := range d.ordered() {
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
		if p, ok := d.peers[c.Name()]; ok && !d.claimed(c.Name()) {
			s.cells = append(s.cells, CellSnapshot{
				cell:     c.Name(),
				version:  p.digest.Versions().Configuration(),
				members:  p.digest.Members(),
				inForce:  p.digest.InForce(),
				free:     p.digest.Free(),
				heardAgo: now.Sub(p.at),
			})
		}
	}
	return s
}
