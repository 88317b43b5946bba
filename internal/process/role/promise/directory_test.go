package promise

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// directory grants leases, and moves the shards of processes that have been
// silent for the fence time.
func (w *world) directory() {
	for i := range w.agents {
		n := w.nodes[i]
		if n.dead || n.paused || n.cut || w.now.Sub(n.sent) < beatEvery {
			continue
		}
		n.sent = w.now
		n.beat = w.now
		n.in = append(n.in, membership.NewLease(w.now.Add(memberLease)), w.workingSet())
	}
	for s := range shards {
		o := w.nodes[w.owners[s]]
		if w.now.Sub(o.beat) <= fenceTime {
			continue
		}
		if next, ok := w.anyLive(); ok {
			o.in = append(o.in, membership.NewReleased(identity.Shard(s)))
			w.grant(s, next, w.roster())
		}
	}
}

func (w *world) live(n *node) bool {
	return !n.dead && w.now.Sub(n.beat) <= fenceTime
}

func (w *world) anyLive() (int, bool) {
	var live []int
	for i := range w.agents {
		if w.live(w.nodes[i]) && !w.nodes[i].paused {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return 0, false
	}
	return live[w.rnd.IntN(len(live))], true
}

func (w *world) grant(s, to int, roster []membership.Member) {
	w.epochs[s]++
	w.owners[s] = to
	n := w.nodes[to]
	n.in = append(n.in, membership.NewGranted(identity.Shard(s), w.epochs[s], roster))
	route := membership.NewRoute(identity.Shard(s), w.epochs[s], n.id)
	for _, e := range w.nodes {
		if e.entry != nil {
			e.in = append(e.in, membership.NewRoutes([]membership.Route{route}))
		}
	}
}

func (w *world) roster() []membership.Member {
	var members []membership.Member
	for i := range w.nodes {
		n := w.nodes[i]
		if n.agent == nil {
			continue
		}
		var lost time.Time
		if w.now.Sub(n.beat) > fenceTime {
			lost = n.beat.Add(fenceTime)
		}
		members = append(members, membership.NewMember(n.id, n.id.Name(), "a", lost))
	}
	return members
}

func (w *world) workingSet() membership.WorkingSet {
	var members []membership.Member
	for i := range w.agents {
		if w.live(w.nodes[i]) {
			members = append(members, membership.NewMember(w.nodes[i].id, "", "a", time.Time{}))
		}
	}
	return membership.NewWorkingSet(members)
}
