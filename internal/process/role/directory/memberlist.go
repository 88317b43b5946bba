package directory

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// handleWriteResult processes the result of the WriteFleet in flight.
func (d *Directory) handleWriteResult(now time.Time, e WriteResult) {
	if d.fleetCall == nil || d.fleetCall.number != e.number {
		return
	}
	if !e.ok {
		d.fleetCall.retryAt = now.Add(retryInterval)
		return
	}
	d.readSentAt = d.fleetCall.sent
	d.fleetCall = nil
	d.setFleet(now, e.fleet)
}

func (d *Directory) handleFleetUpdate(now time.Time, f membership.Fleet) {
	d.setFleet(now, f)
}

// setFleet replaces the fleet by a listed state. The store may return an older state,
// which is detected by its index and ignored.
func (d *Directory) setFleet(now time.Time, f membership.Fleet) {
	if f.Index() <= d.fleet.Index() {
		return
	}
	before := d.fleet
	d.fleet = f
	d.plan = nil
	d.voters = nil
	for _, c := range f.Region(d.settings.region) {
		if len(c.ActiveMembers()) > 0 {
			d.voters = append(d.voters, c)
		}
	}
	for _, g := range f.Groups() {
		for _, r := range g.Routes() {
			if released, ok := d.releases[r.Shard()]; ok && r.Epoch() > released.epoch {
				delete(d.releases, r.Shard())
			}
			if c, ok := d.revokes[r.Shard()]; ok && r.Epoch() > c.epoch {
				delete(d.revokes, r.Shard())
			}
		}
	}
	changed := f.GroupsVersion() != before.GroupsVersion() || f.MemberListsVersion() != before.MemberListsVersion()
	if changed {
		d.changedAt = now
	}
	for _, h := range d.sortedCells() {
		if d.checkCell(h) && changed {
			d.announce(h)
		}
	}
}

// checkCell compares a held cell with the stored state. It returns false if another
// directory has acquired the cell.
func (d *Directory) checkCell(h *heldCell) bool {
	c, ok := d.fleet.Cell(h.name)
	mine := ok && c.Holder().Process() == d.settings.self.Process()
	if h.holderSeen && !mine {
		d.removeCell(h)
		return false
	}
	h.holderSeen = h.holderSeen || mine
	if !ok || c.Index() == 0 {
		return true
	}
	if h.term != 0 && c.Term() == h.term && d.ownWriteID(c.WriteID()) {
		h.termWritten = true
		d.plan = nil
	} else if h.termWritten {
		d.removeCell(h)
		return false
	}
	for p := range h.lost {
		if m, ok := c.Member(p); !ok || !m.Lost().IsZero() {
			delete(h.lost, p)
		}
	}
	return true
}

// maintainStore sends the next write if none is in flight. After a call without a
// result it only repeats the read, since the write may have taken effect.
func (d *Directory) maintainStore(now time.Time) {
	if d.fleetCall != nil {
		if !d.fleetCall.retryAt.IsZero() && !now.Before(d.fleetCall.retryAt) {
			d.write(now, nil, nil)
		}
		return
	}
	if d.reread {
		d.reread = false
		d.write(now, nil, nil)
		return
	}
	if !d.validUntil.After(now) || d.resigning {
		return
	}
	var cells []membership.Cell
	for _, h := range d.sortedCells() {
		if c, ok := d.memberList(now, h); ok {
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
	d.fleetCall = &fleetCall{
		number: d.number,
		sent:   now,
	}
	d.emit(WriteFleet{
		number: d.number,
		cells:  cells,
		groups: groups,
	})
}

// memberList returns the cell with the member list to write. It returns false if the
// list equals the stored one.
func (d *Directory) memberList(now time.Time, h *heldCell) (membership.Cell, bool) {
	if !h.holderSeen {
		return membership.Cell{}, false
	}
	c, ok := d.fleet.Cell(h.name)
	if !ok || c.Index() == 0 {
		c = membership.NewCell(h.name, d.settings.region, h.zone, 0, "", nil)
	}
	differs := false
	if !h.termWritten {
		if c.Term() != h.freeTerm {
			h.freeSince = now
			h.freeTerm = c.Term()
		}
		h.term = c.Term() + 1
		differs = true
	} else if !h.own && len(c.ActiveMembers()) == 0 {
		h.releasePending = true
	}
	members := d.updatedMembers(now, h, c, &differs)
	for _, p := range sortedProcesses(h.members) {
		b := h.members[p].heartbeat
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
	return membership.NewCell(h.name, c.Region(), c.Zone(), h.term, d.writeID(), members).WithIndex(c.Index()), true
}

// updatedMembers returns the stored members with their current state, without those
// that were lost longer ago than the retention. It sets differs if a member has
// become lost or leaving.
func (d *Directory) updatedMembers(now time.Time, h *heldCell, c membership.Cell, differs *bool) []membership.Member {
	var members []membership.Member
	for _, m := range c.Members() {
		p := m.Process()
		if !m.Lost().IsZero() {
			if now.Sub(m.Lost()) < d.settings.retention {
				members = append(members, m)
			}
			continue
		}
		at, lost := d.lostSince(now, h, p)
		if lost {
			h.lost[p] = at
			m = m.WithLost(at)
			*differs = true
		} else if s, ok := h.members[p]; ok && s.heartbeat.Leaving() && !m.Leaving() {
			m = m.WithLeaving()
			*differs = true
		}
		members = append(members, m)
	}
	return members
}

// lostSince returns the time at which a member's lease ended, at the latest leaseTime
// after its last heartbeat. It returns false if the member is not certainly lost. A
// lost member stays lost, even if a heartbeat arrives before the member list is
// written.
func (d *Directory) lostSince(now time.Time, h *heldCell, p identity.Process) (time.Time, bool) {
	if at, ok := h.lost[p]; ok {
		return at, true
	}
	lastHeartbeat := h.freeSince
	if m, ok := h.members[p]; ok && m.lastHeartbeat.After(lastHeartbeat) {
		lastHeartbeat = m.lastHeartbeat
	}
	if now.Sub(lastHeartbeat) < LostAfter || !h.termWritten || !d.mayReassign(now) {
		return time.Time{}, false
	}
	return lastHeartbeat.Add(leaseTime), true
}

// mayReassign reports whether the directory may declare silent processes lost and
// reassign their shards. After a pause it first has to read the heartbeats that
// arrived in the meantime.
func (d *Directory) mayReassign(now time.Time) bool {
	return d.validUntil.After(now) && now.Sub(d.resumedAt) >= pauseThreshold && d.storeAvailable(now)
}
