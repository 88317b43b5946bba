package guarantee

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// runDirectory models the directory. It renews the leases of reachable agents and
// moves the shards of agents whose last heartbeat is older than memberTimeout.
func (c *cluster) runDirectory() {
	for i := range c.agentCount {
		n := c.nodes[i]
		if n.killed || n.paused || n.partitioned || c.now.Sub(n.heartbeatSent) < heartbeatInterval {
			continue
		}
		n.heartbeatSent = c.now
		n.lastHeartbeat = c.now
		n.inbox = append(n.inbox, membership.NewLease(c.now.Add(leaseDuration)), c.workingSet())
	}
	for s := range shardCount {
		o := c.nodes[c.owners[s]]
		if c.now.Sub(o.lastHeartbeat) <= memberTimeout {
			continue
		}
		if next, ok := c.randomActiveAgent(); ok {
			o.inbox = append(o.inbox, membership.NewReleased(identity.Shard(s)))
			c.grant(s, next, c.memberList())
		}
	}
}

// active reports whether the directory regards a node as a member.
func (c *cluster) active(n *node) bool {
	return !n.killed && c.now.Sub(n.lastHeartbeat) <= memberTimeout
}

func (c *cluster) randomActiveAgent() (int, bool) {
	var active []int
	for i := range c.agentCount {
		if c.active(c.nodes[i]) && !c.nodes[i].paused {
			active = append(active, i)
		}
	}
	if len(active) == 0 {
		return 0, false
	}
	return active[c.rnd.IntN(len(active))], true
}

// grant makes an agent the owner of a shard with the next epoch and sends the
// route to the entries.
func (c *cluster) grant(s, to int, members []membership.Member) {
	c.epochs[s]++
	c.owners[s] = to
	n := c.nodes[to]
	n.inbox = append(n.inbox, membership.NewGranted(identity.Shard(s), c.epochs[s], members))
	route := membership.NewRoute(identity.Shard(s), c.epochs[s], n.id)
	for _, e := range c.nodes {
		if e.entry != nil {
			e.inbox = append(e.inbox, membership.NewRoutes([]membership.Route{route}))
		}
	}
}

// memberList returns all agents. Those that timed out have the time of their loss.
func (c *cluster) memberList() []membership.Member {
	var members []membership.Member
	for i := range c.nodes {
		n := c.nodes[i]
		if n.agent == nil {
			continue
		}
		var lost time.Time
		if c.now.Sub(n.lastHeartbeat) > memberTimeout {
			lost = n.lastHeartbeat.Add(memberTimeout)
		}
		members = append(members, membership.NewMember(n.id, n.id.Name(), "a", lost))
	}
	return members
}

func (c *cluster) workingSet() membership.WorkingSet {
	var members []membership.Member
	for i := range c.agentCount {
		if c.active(c.nodes[i]) {
			members = append(members, membership.NewMember(c.nodes[i].id, "", "a", time.Time{}))
		}
	}
	return membership.NewWorkingSet(members)
}
