package directory

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// lostVisibleFor is how long a lost agent stays in the working set of the owners, so
// that they stop waiting for tasks that they sent to it.
const lostVisibleFor = time.Minute

// handleFetch sends a process the part that it lacks.
func (d *Directory) handleFetch(from identity.Process, f membership.Fetch) {
	switch f.Part() {
	case membership.ConfigurationPart:
		if d.version >= f.Version() && d.body != nil {
			d.send(from, membership.NewFetchReply(f.Part(), d.version, d.body, nil, nil))
		}
	case membership.RoutesPart:
		var groups []membership.Group
		for _, g := range d.fleet.Groups() {
			if g.Index() > f.Version() {
				groups = append(groups, g)
			}
		}
		d.send(from, membership.NewFetchReply(f.Part(), d.fleet.GroupsVersion(), nil, groups, nil))
	case membership.AgentsPart:
		d.send(from, membership.NewFetchReply(f.Part(), d.fleet.MemberListsVersion(), nil, nil, d.workingSet(from)))
	case membership.MemberListsPart:
		if d.fleet.Index() < f.Version() {
			d.reread = true
			return
		}
		var members []membership.Member
		for _, c := range d.fleet.Region(d.settings.region) {
			members = append(members, c.Members()...)
		}
		d.send(from, membership.NewFetchReply(f.Part(), d.fleet.Index(), nil, nil, members))
	}
}

// workingSet selects the agents for an owner: those in its availability zone first,
// ranked by rendezvous hash, so that different owners use different agents. Recently
// lost agents follow.
func (d *Directory) workingSet(owner identity.Process) []membership.Member {
	zone := d.settings.self.Zone()
	for _, h := range d.cells {
		if m, ok := h.members[owner]; ok {
			zone = m.heartbeat.Self().Zone()
		}
	}
	var active, lost []membership.Member
	for _, c := range d.fleet.Region(d.settings.region) {
		for _, m := range c.Members() {
			switch {
			case m.Lost().IsZero() && !m.Leaving():
				active = append(active, m)
			case !m.Lost().IsZero() && d.handledAt.Sub(m.Lost()) < lostVisibleFor:
				lost = append(lost, m)
			}
		}
	}
	subject := "agents/" + owner.Name()
	sort.Slice(active, func(i, j int) bool {
		if sameZone := active[i].Zone() == zone; sameZone != (active[j].Zone() == zone) {
			return sameZone
		}
		return membership.Rank(subject, active[i].Process().Name()) > membership.Rank(subject, active[j].Process().Name())
	})
	return append(active[:min(len(active), d.settings.maxAgents)], lost...)
}

// readConfiguration requests the body of a newer configuration version from the store.
func (d *Directory) readConfiguration(now time.Time) {
	if d.latestVersion <= d.version || now.Sub(d.configurationReadAt) < retryInterval {
		return
	}
	d.configurationReadAt = now
	d.emit(ReadConfiguration{
		version: d.latestVersion,
	})
}

// setConfiguration stores the body of a configuration version and announces it. It
// ignores a version that is not newer.
func (d *Directory) setConfiguration(version uint64, data []byte) {
	if version <= d.version || len(data) == 0 {
		return
	}
	d.version = version
	d.body = data
	for _, h := range d.sortedCells() {
		d.announce(h)
	}
}
