package directory_test

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

// check fails the test if two processes can start tasks of a shard, two directories are
// active in a cell, a lost member has a lease, or a version decreases.
func (s *simulation) check(n *node) {
	if n.dead || n.paused.After(s.now) {
		return
	}
	if v := n.member.Versions().Routes(); v < n.routes {
		s.t.fatal("%s: shard map version decreased from %d to %d", n.id, n.routes, v)
	} else {
		n.routes = v
	}
	for _, c := range n.directory.Cells() {
		for _, o := range s.nodes {
			if o != n && !o.dead && n.directory.Active(s.now, c) && o.directory.Active(s.now, c) {
				s.t.fatal("%s and %s are both active in cell %s", n.id, o.id, c)
			}
		}
	}
	if !n.lease.After(s.now) {
		return
	}
	if s.store.isLost(n.id) {
		s.t.fatal("%s has a lease, but is lost in the member list", n.id)
	}
	for shard := range n.owned {
		by := s.canStart[shard]
		if by == nil {
			by = map[identity.Process]time.Time{}
			s.canStart[shard] = by
		}
		for p, at := range by {
			if p != n.id && s.now.Sub(at) < creditTime {
				s.t.fatal("shard %d: %s can start tasks only %v after %s could, want at least %v", shard, n.id, s.now.Sub(at), p, creditTime)
			}
		}
		by[n.id] = s.now
	}
}

// servedShards returns the number of shards owned by running processes with a lease.
func (s *simulation) servedShards() int {
	n := 0
	for _, o := range s.nodes {
		if !o.dead && !o.left && o.lease.After(s.now) {
			n += len(o.owned)
		}
	}
	return n
}

func (s *simulation) allServed() bool {
	return s.servedShards() == s.layout.ShardsPerRegion()
}
