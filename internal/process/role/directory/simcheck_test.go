package directory_test

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

// check looks for two processes that can start tasks of one shard, for two
// directories that act for one cell, and for versions that go back.
func (s *simulation) check(n *node) {
	if n.dead || n.paused.After(s.now) {
		return
	}
	if v := n.member.Versions().Routes(); v < n.routes {
		s.t.fatal("%s: shard map went from %d to %d", n.id, n.routes, v)
	} else {
		n.routes = v
	}
	for _, c := range n.directory.Cells() {
		for _, o := range s.nodes {
			if o != n && !o.dead && n.directory.Active(s.now, c) && o.directory.Active(s.now, c) {
				s.t.fatal("%s and %s act for cell %s", n.id, o.id, c)
			}
		}
	}
	if !n.lease.After(s.now) {
		return
	}
	if s.store.lostMember(n.id) {
		s.t.fatal("%s has a lease and is lost in the roster", n.id)
	}
	for shard := range n.owned {
		by := s.capable[shard]
		if by == nil {
			by = map[identity.Process]time.Time{}
			s.capable[shard] = by
		}
		for p, at := range by {
			if p != n.id && s.now.Sub(at) < creditTime {
				s.t.fatal("shard %d: %s can start %v after %s could", shard, n.id, s.now.Sub(at), p)
			}
		}
		by[n.id] = s.now
	}
}

// serving counts the shards that a live process with a lease owns.
func (s *simulation) serving() int {
	n := 0
	for _, o := range s.nodes {
		if !o.dead && !o.left && o.lease.After(s.now) {
			n += len(o.owned)
		}
	}
	return n
}

func (s *simulation) allServed() bool {
	return s.serving() == s.layout.ShardsPerRegion()
}
