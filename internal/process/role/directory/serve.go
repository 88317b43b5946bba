package directory

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// departedFor is how long an agent that was lost is shown to the owners, so that
// they give up what they sent to it.
const departedFor = time.Minute

// fetch answers what a process lacks.
func (d *Directory) fetch(from identity.Process, f membership.Fetch) {
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
		for _, c := range d.fleet.Region(d.set.region) {
			members = append(members, c.Members()...)
		}
		d.send(from, membership.NewFetchReply(f.Part(), d.fleet.Index(), nil, nil, members))
	}
}

// workingSet chooses the agents for an owner: those of its availability zone
// first, in an order of its own, so that owners spread over the agents. Agents
// that were lost a short time ago follow.
func (d *Directory) workingSet(owner identity.Process) []membership.Member {
	zone := d.set.self.Zone()
	for _, h := range d.cells {
		if m, ok := h.members[owner]; ok {
			zone = m.beat.Self().Zone()
		}
	}
	var live, departed []membership.Member
	for _, c := range d.fleet.Region(d.set.region) {
		for _, m := range c.Members() {
			switch {
			case m.Lost().IsZero() && !m.Leaving():
				live = append(live, m)
			case !m.Lost().IsZero() && d.handled.Sub(m.Lost()) < departedFor:
				departed = append(departed, m)
			}
		}
	}
	subject := "agents/" + owner.Name()
	sort.Slice(live, func(i, j int) bool {
		if near := live[i].Zone() == zone; near != (live[j].Zone() == zone) {
			return near
		}
		return membership.Rank(subject, live[i].Process().Name()) > membership.Rank(subject, live[j].Process().Name())
	})
	return append(live[:min(len(live), d.set.agents)], departed...)
}

// keepConfiguration reads the body of a newer version from the store.
func (d *Directory) keepConfiguration(now time.Time) {
	if d.head <= d.version || now.Sub(d.headAt) < retryInterval {
		return
	}
	d.headAt = now
	d.emit(ReadConfiguration{
		version: d.head,
	})
}

// configuration takes a body; a version that is not newer is ignored.
func (d *Directory) configuration(version uint64, data []byte) {
	if version <= d.version || len(data) == 0 {
		return
	}
	d.version = version
	d.body = data
	for _, h := range d.ordered() {
		d.announce(h)
	}
}
