package directory

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// stored takes the end of a Write with the state listed after it.
func (d *Directory) stored(now time.Time, e WriteResult) {
	if d.change == nil || d.change.number != e.number {
		return
	}
	if !e.ok {
		d.change.retry = now.Add(retryInterval)
		return
	}
	d.readFrom = d.change.sent
	d.change = nil
	d.show(now, e.fleet)
}

func (d *Directory) watched(now time.Time, f membership.Fleet) {
	d.show(now, f)
}

// show takes a listed state. The store may answer with an old one, which is
// known by its index.
func (d *Directory) show(now time.Time, f membership.Fleet) {
	if f.Index() <= d.fleet.Index() {
		return
	}
	before := d.fleet
	d.fleet = f
	d.plan = nil
	d.voters = nil
	for _, c := range f.Region(d.set.region) {
		if len(c.ActiveMembers()) > 0 {
			d.voters = append(d.voters, c)
		}
	}
	for _, g := range f.Groups() {
		for _, r := range g.Routes() {
			if y, ok := d.yields[r.Shard()]; ok && r.Epoch() > y.epoch {
				delete(d.yields, r.Shard())
			}
			if c, ok := d.recalls[r.Shard()]; ok && r.Epoch() > c.epoch {
				delete(d.recalls, r.Shard())
			}
		}
	}
	changed := f.GroupsVersion() != before.GroupsVersion() || f.MemberListsVersion() != before.MemberListsVersion()
	if changed {
		d.moved = now
	}
	for _, h := range d.ordered() {
		if d.check(h) && changed {
			d.announce(h)
		}
	}
}

// check compares a held cell with the stored state. It is false if another
// directory has the cell.
func (d *Directory) check(h *held) bool {
	c, ok := d.fleet.Cell(h.name)
	mine := ok && c.Holder().Process() == d.set.self.Process()
	if h.seen && !mine {
		d.lose(h)
		return false
	}
	h.seen = h.seen || mine
	if !ok || c.Index() == 0 {
		return true
	}
	if h.term != 0 && c.Term() == h.term && d.ownMark(c.WriteID()) {
		h.written = true
		d.plan = nil
	} else if h.written {
		d.lose(h)
		return false
	}
	for p := range h.gone {
		if m, ok := c.Member(p); !ok || !m.Lost().IsZero() {
			delete(h.gone, p)
		}
	}
	return true
}

// keepStored sends the next write when none is in flight. While the store does
// not answer, the read is repeated, since the write may have taken effect.
func (d *Directory) keepStored(now time.Time) {
	if d.change != nil {
		if !d.change.retry.IsZero() && !now.Before(d.change.retry) {
			d.write(now, nil, nil)
		}
		return
	}
	if d.reread {
		d.reread = false
		d.write(now, nil, nil)
		return
	}
	if !d.until.After(now) || d.ending {
		return
	}
	var cells []membership.Cell
	for _, h := range d.ordered() {
		if c, ok := d.roster(now, h); ok {
			cells = append(cells, c)
		}
	}
	groups := d.assign(now)
	if len(cells)+len(groups) > 0 {
		d.write(now, cells, groups)
	}
}

func (d *Directory) write(now time.Time, cells []membership.Cell, groups []membership.Group) {
	d.number++
	d.change = &change{
		number: d.number,
		sent:   now,
	}
	d.emit(WriteFleet{
		number: d.number,
		cells:  cells,
		groups: groups,
	})
}

// roster returns the roster to write, and whether it differs from the stored one.
func (d *Directory) roster(now time.Time, h *held) (membership.Cell, bool) {
	if !h.seen {
		return membership.Cell{}, false
	}
	c, ok := d.fleet.Cell(h.name)
	if !ok || c.Index() == 0 {
		c = membership.NewCell(h.name, d.set.region, h.zone, 0, "", nil)
	}
	differs := false
	if !h.written {
		if c.Term() != h.freeTerm {
			h.free = now
			h.freeTerm = c.Term()
		}
		h.term = c.Term() + 1
		differs = true
	} else if !h.own && len(c.ActiveMembers()) == 0 {
		h.drop = true
	}
	members := d.kept(now, h, c, &differs)
	for _, p := range sortedProcesses(h.members) {
		b := h.members[p].beat
		if _, ok := c.Member(p); ok || !b.Agent() || b.Departed() || b.Self().Process() != p {
			continue
		}
		members = append(members, b.Self())
		differs = true
	}
	if !differs {
		return membership.Cell{}, false
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Process().String() < members[j].Process().String() })
	return membership.NewCell(h.name, c.Region(), c.Zone(), h.term, d.mark(), members).WithIndex(c.Index()), true
}

// kept returns the stored members with what has become of them.
func (d *Directory) kept(now time.Time, h *held, c membership.Cell, differs *bool) []membership.Member {
	var members []membership.Member
	for _, m := range c.Members() {
		p := m.Process()
		if !m.Lost().IsZero() {
			if now.Sub(m.Lost()) < d.set.retention {
				members = append(members, m)
			}
			continue
		}
		at, gone := d.lost(now, h, p)
		if gone {
			h.gone[p] = at
			m = m.WithLost(at)
			*differs = true
		} else if s, ok := h.members[p]; ok && s.beat.Leaving() && !m.Leaving() {
			m = m.WithLeaving()
			*differs = true
		}
		members = append(members, m)
	}
	return members
}

// lost tells whether a member is certainly gone, and since when: its lease, under
// which it takes starts, ended the lease time after its last heartbeat at the
// latest. Once a member is lost it stays so, even if a heartbeat arrives before the
// roster is written.
func (d *Directory) lost(now time.Time, h *held, p identity.Process) (time.Time, bool) {
	if at, ok := h.gone[p]; ok {
		return at, true
	}
	last := h.free
	if m, ok := h.members[p]; ok && m.last.After(last) {
		last = m.last
	}
	if now.Sub(last) < LostAfter || !h.written || !d.maySeize(now) {
		return time.Time{}, false
	}
	return last.Add(leaseTime), true
}

// maySeize tells whether the directory may act against processes that it does
// not hear. After a pause the heartbeats that waited have to be read first.
func (d *Directory) maySeize(now time.Time) bool {
	return d.until.After(now) && now.Sub(d.resumed) >= handleGap && d.available(now)
}
