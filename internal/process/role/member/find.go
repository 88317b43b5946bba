package member

import (
	"sort"
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// lookup reads the store while no directory confirms.
func (m *Member) lookup(now time.Time) {
	if m.lookupPending || now.Before(m.nextLookup) {
		return
	}
	if !m.directory.IsZero() && now.Sub(m.lastAck) < silenceTimeout {
		m.nextLookup = m.lastAck.Add(silenceTimeout + m.rankDelay())
		return
	}
	m.lookupPending = true
	m.emit(Lookup{})
}

func (m *Member) rankDelay() time.Duration {
	return min(time.Duration(m.rank)*RankDelay, maxLookupDelay)
}

// handleLookupResult turns to the holder of the cell's lease, or tries to take a free one.
func (m *Member) handleLookupResult(now time.Time, l LookupResult) {
	m.lookupPending = false
	m.nextLookup = now.Add(RankDelay + m.rankDelay())
	if !l.ok {
		m.nextLookup = now.Add(retryInterval)
		return
	}
	// An entry belongs to no cell and moves on when its cell is left without
	// directory. Terms count within a cell.
	if m.cell == "" || !m.settings.agent {
		if chosen := m.chooseCell(l.fleet); chosen != m.cell {
			m.cell = chosen
			m.term = 0
		}
	}
	cell, ok := l.fleet.Cell(m.cell)
	if !ok {
		cell = membership.NewCell(m.cell, m.settings.region, m.settings.self.Zone(), 0, "", nil)
	}
	m.rank = m.rankIn(cell)
	holder := cell.Holder()
	switch {
	case holder.Process().IsZero() && !m.leaving.IsZero():
		// Nobody can take the shards over now; the cell's next directory finds this
		// process lost.
		m.left = true
		m.emit(Left{})
	case holder.Process().IsZero() && m.settings.agent:
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

// chooseCell returns the cell that lists the process's name, else the first of its
// availability zone with room. An entry takes any cell of the zone that has a
// directory, else any of the region.
func (m *Member) chooseCell(f membership.Fleet) string {
	if !m.settings.agent {
		return m.chooseEntryCell(f)
	}
	zone := m.settings.self.Zone()
	first := ""
	for _, c := range f.Region(m.settings.region) {
		live := 0
		for _, o := range c.ActiveMembers() {
			if o.Process().Name() == m.settings.self.Process().Name() {
				return c.Name()
			}
			live++
		}
		if c.Zone() == zone && live < m.settings.cellSize && first == "" {
			first = c.Name()
		}
	}
	if first != "" {
		return first
	}
	for n := 0; ; n++ {
		name := strconv.Itoa(m.settings.region) + "." + zone + "." + strconv.Itoa(n)
		// A cell without roster is one that another agent is founding right now.
		if c, ok := f.Cell(name); !ok || c.Index() == 0 {
			return name
		}
	}
}

func (m *Member) chooseEntryCell(f membership.Fleet) string {
	best := ""
	var rank uint64
	near := false
	for _, c := range f.Region(m.settings.region) {
		if c.Holder().Process().IsZero() {
			continue
		}
		own := c.Zone() == m.settings.self.Zone()
		r := membership.Rank(m.settings.self.Process().Name(), c.Name())
		if best == "" || (own && !near) || (own == near && r > rank) {
			best, rank, near = c.Name(), r, own
		}
	}
	return best
}

// rankIn is the member's place among the live members by rendezvous hash.
func (m *Member) rankIn(c membership.Cell) int {
	subject := c.Name() + "/" + strconv.FormatUint(c.Term(), 10)
	own := membership.Rank(subject, m.settings.self.Process().Name())
	rank := 0
	for _, o := range c.ActiveMembers() {
		if o.Process().Name() != m.settings.self.Process().Name() && membership.Rank(subject, o.Process().Name()) > own {
			rank++
		}
	}
	return rank
}

// sortedShards lists the keys in order, so that equal states act equally.
func sortedShards(held map[identity.Shard]*ownedShard) []identity.Shard {
	shards := make([]identity.Shard, 0, len(held))
	for s := range held {
		shards = append(shards, s)
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i] < shards[j] })
	return shards
}
