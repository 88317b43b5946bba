package member

import (
	"sort"
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// lookup starts a read of the store if no directory acknowledges heartbeats.
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

// handleLookupResult switches to the holder of the cell's lease, or tries to acquire a
// free lease.
func (m *Member) handleLookupResult(now time.Time, l LookupResult) {
	m.lookupPending = false
	m.nextLookup = now.Add(RankDelay + m.rankDelay())
	if !l.ok {
		m.nextLookup = now.Add(retryInterval)
		return
	}
	// An entry is not bound to a cell and changes it when the cell has no directory.
	// Terms are comparable only within a cell.
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
		// No directory can reassign the shards now. The cell's next directory will declare
		// this process lost.
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

// chooseCell returns the cell that lists the process's name, or else the first cell of
// its availability zone with fewer than cellSize members, or else the name of a new
// cell. For an entry it returns a cell with a directory, if possible in its
// availability zone.
func (m *Member) chooseCell(f membership.Fleet) string {
	if !m.settings.agent {
		return m.chooseEntryCell(f)
	}
	zone := m.settings.self.Zone()
	first := ""
	for _, c := range f.Region(m.settings.region) {
		active := 0
		for _, o := range c.ActiveMembers() {
			if o.Process().Name() == m.settings.self.Process().Name() {
				return c.Name()
			}
			active++
		}
		if c.Zone() == zone && active < m.settings.cellSize && first == "" {
			first = c.Name()
		}
	}
	if first != "" {
		return first
	}
	for n := 0; ; n++ {
		name := strconv.Itoa(m.settings.region) + "." + zone + "." + strconv.Itoa(n)
		// A cell without a member list is being created by another agent.
		if c, ok := f.Cell(name); !ok || c.Index() == 0 {
			return name
		}
	}
}

func (m *Member) chooseEntryCell(f membership.Fleet) string {
	best := ""
	var rank uint64
	bestInZone := false
	for _, c := range f.Region(m.settings.region) {
		if c.Holder().Process().IsZero() {
			continue
		}
		inZone := c.Zone() == m.settings.self.Zone()
		r := membership.Rank(m.settings.self.Process().Name(), c.Name())
		if best == "" || (inZone && !bestInZone) || (inZone == bestInZone && r > rank) {
			best, rank, bestInZone = c.Name(), r, inZone
		}
	}
	return best
}

// rankIn returns the number of active members that rank before this one by rendezvous
// hash.
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

// sortedShards returns the sorted keys, so that the order of effects is deterministic.
func sortedShards(owned map[identity.Shard]*ownedShard) []identity.Shard {
	shards := make([]identity.Shard, 0, len(owned))
	for s := range owned {
		shards = append(shards, s)
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i] < shards[j] })
	return shards
}
