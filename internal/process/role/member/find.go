package member

import (
	"sort"
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// look reads the store while no directory confirms.
func (m *Member) look(now time.Time) {
	if m.looking || now.Before(m.nextLook) {
		return
	}
	if !m.directory.IsZero() && now.Sub(m.lastHeard) < silenceLimit {
		m.nextLook = m.lastHeard.Add(silenceLimit + m.delay())
		return
	}
	m.looking = true
	m.emit(Lookup{})
}

func (m *Member) delay() time.Duration {
	return min(time.Duration(m.rank)*RankDelay, lookLimit)
}

// looked turns to the holder of the cell's lease, or tries to take a free one.
func (m *Member) looked(now time.Time, l LookupResult) {
	m.looking = false
	m.nextLook = now.Add(RankDelay + m.delay())
	if !l.ok {
		m.nextLook = now.Add(repeatInterval)
		return
	}
	// An entry belongs to no cell and moves on when its cell is left without
	// directory. Terms count within a cell.
	if m.cell == "" || !m.set.agent {
		if chosen := m.choose(l.fleet); chosen != m.cell {
			m.cell = chosen
			m.term = 0
		}
	}
	cell, ok := l.fleet.Cell(m.cell)
	if !ok {
		cell = membership.NewCell(m.cell, m.set.region, m.set.self.Zone(), 0, "", nil)
	}
	m.rank = m.rankIn(cell)
	holder := cell.Holder()
	switch {
	case holder.Process().IsZero() && !m.leaving.IsZero():
		// Nobody can take the shards over now; the cell's next directory finds this
		// process lost.
		m.left = true
		m.emit(Left{})
	case holder.Process().IsZero() && m.set.agent:
		m.emit(AcquireCell{
			cell: cell,
		})
	case !holder.Process().IsZero() && holder.Process() != m.directory:
		m.emit(PeerAddress{
			member: holder,
		})
		m.follow(now, holder.Process(), 0)
	}
}

// choose returns the cell that lists the process's name, else the first of its
// availability zone with room. An entry takes any cell of the zone that has a
// directory, else any of the region.
func (m *Member) choose(f membership.Fleet) string {
	if !m.set.agent {
		return m.chooseForEntry(f)
	}
	zone := m.set.self.Zone()
	first := ""
	for _, c := range f.Region(m.set.region) {
		live := 0
		for _, o := range c.ActiveMembers() {
			if o.Process().Name() == m.set.self.Process().Name() {
				return c.Name()
			}
			live++
		}
		if c.Zone() == zone && live < m.set.cellSize && first == "" {
			first = c.Name()
		}
	}
	if first != "" {
		return first
	}
	for n := 0; ; n++ {
		name := strconv.Itoa(m.set.region) + "." + zone + "." + strconv.Itoa(n)
		// A cell without roster is one that another agent is founding right now.
		if c, ok := f.Cell(name); !ok || c.Index() == 0 {
			return name
		}
	}
}

func (m *Member) chooseForEntry(f membership.Fleet) string {
	best := ""
	var rank uint64
	near := false
	for _, c := range f.Region(m.set.region) {
		if c.Holder().Process().IsZero() {
			continue
		}
		own := c.Zone() == m.set.self.Zone()
		r := membership.Rank(m.set.self.Process().Name(), c.Name())
		if best == "" || (own && !near) || (own == near && r > rank) {
			best, rank, near = c.Name(), r, own
		}
	}
	return best
}

// rankIn is the member's place among the live members by rendezvous hash.
func (m *Member) rankIn(c membership.Cell) int {
	subject := c.Name() + "/" + strconv.FormatUint(c.Term(), 10)
	own := membership.Rank(subject, m.set.self.Process().Name())
	rank := 0
	for _, o := range c.ActiveMembers() {
		if o.Process().Name() != m.set.self.Process().Name() && membership.Rank(subject, o.Process().Name()) > own {
			rank++
		}
	}
	return rank
}

// sortedShards lists the keys in order, so that equal states act equally.
func sortedShards(held map[identity.Shard]*holding) []identity.Shard {
	shards := make([]identity.Shard, 0, len(held))
	for s := range held {
		shards = append(shards, s)
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i] < shards[j] })
	return shards
}
