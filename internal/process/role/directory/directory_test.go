package directory_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against shards that stay without an owner longer than the target after the loss
// of an owner, a directory or a cell.
func TestShardsServeAgain(t *testing.T) {
	// Fencing takes up to 0.7 s of the target of 5 s, after the grant.
	const limit = 4300 * time.Millisecond
	for name, c := range map[string]struct {
		kill func(s *simulation) []*node
	}{
		"an owner dies": {
			kill: func(s *simulation) []*node {
				for _, n := range s.nodes {
					if len(n.directory.Cells()) == 0 && len(n.owned) > 0 {
						return []*node{n}
					}
				}
				return nil
			},
		},
		"a directory dies": {
			kill: func(s *simulation) []*node { return []*node{s.holder(s.cells()[0])} },
		},
		"a cell dies": {
			kill: func(s *simulation) []*node {
				var lost []*node
				for _, n := range s.nodes {
					if n.member.Cell() == s.cells()[1] {
						lost = append(lost, n)
					}
				}
				return lost
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			Convey(name, t, func() {
				var worst, notified time.Duration
				for seed := uint64(1); seed <= 6; seed++ {
					s := newSimulation(t, seed, 64)
					s.addFleet(4, 4)
					s.until(20*time.Second, "start", s.allServed)
					s.run(10*time.Second + s.jitter(0, 2*time.Second))
					lost := c.kill(s)
					So(lost, ShouldNotBeEmpty)
					at := s.now
					for _, n := range lost {
						n.dead = true
					}
					worst = max(worst, s.until(10*time.Second, "service", s.allServed))
					for _, n := range s.nodes {
						if !n.dead {
							notified = max(notified, n.lostAt[lost[0].id].Sub(at))
						}
					}
				}
				t.Logf("%s: all shards granted again after at most %v, agents notified of the loss after at most %v", name, worst, notified)
				So(worst, ShouldBeLessThanOrEqualTo, limit)
			})
		})
	}
}

// Guards against starts that pause or shards that move during an outage of the store,
// and against directories that do not acquire their cells again after it.
func TestStoreOutage(t *testing.T) {
	Convey("The store is down for a minute", t, func() {
		for seed := uint64(1); seed <= 4; seed++ {
			s := newSimulation(t, seed, 64)
			s.addFleet(4, 4)
			s.until(20*time.Second, "start", s.allServed)
			s.run(10 * time.Second)
			grants := len(s.grants)
			s.store.down = true
			for range 600 {
				s.run(100 * time.Millisecond)
				if !s.allServed() {
					t.Fatalf("seed %d: %d shards served during the outage", seed, s.servedShards())
				}
			}
			s.store.down = false
			for range 200 {
				s.run(100 * time.Millisecond)
				if !s.allServed() {
					t.Fatalf("seed %d: %d shards served after the outage", seed, s.servedShards())
				}
			}
			So(len(s.grants), ShouldEqual, grants)
			s.store.latestVersion = 7
			s.until(10*time.Second, "configuration", func() bool {
				for _, n := range s.nodes {
					if n.config != 7 {
						return false
					}
				}
				return true
			})
		}
	})
}

// Guards against a directory that continues although only it has lost the store.
func TestDirectoryCutFromStore(t *testing.T) {
	Convey("One directory loses the store", t, func() {
		for seed := uint64(1); seed <= 4; seed++ {
			s := newSimulation(t, seed, 64)
			s.addFleet(4, 4)
			s.until(20*time.Second, "start", s.allServed)
			s.run(10 * time.Second)
			cell := s.cells()[0]
			n := s.holder(cell)
			n.noStore = true
			s.run(2 * time.Second)
			So(n.directory.Active(s.now, cell), ShouldBeFalse)
			s.until(5*time.Second, "successor", func() bool { return s.holder(cell) != nil })
			s.run(10 * time.Second)
			So(s.allServed(), ShouldBeTrue)
		}
	})
}

// Guards against a directory that declares members lost while its predecessor, still
// without the store, keeps confirming them because of old reports of the outage.
func TestSuccessorWaitsForTheOutageToEndEverywhere(t *testing.T) {
	Convey("The store comes back for all but one directory", t, func() {
		for seed := uint64(1); seed <= 8; seed++ {
			s := newSimulation(t, seed, 64)
			s.addFleet(4, 4)
			s.until(20*time.Second, "start", s.allServed)
			s.run(10 * time.Second)
			cell := s.cells()[0]
			predecessor := s.holder(cell)
			var inCell []*node
			for _, n := range s.nodes {
				if n.member.Cell() == cell && n != predecessor {
					inCell = append(inCell, n)
				}
			}
			follower, successor := inCell[0], inCell[1]
			storeRecovered := false
			s.partitioned = func(a, b *node) bool {
				isLink := func(x, y *node) bool { return (a == x && b == y) || (a == y && b == x) }
				if isLink(predecessor, successor) || isLink(follower, successor) {
					return true
				}
				return storeRecovered && b == predecessor && a != follower && a != predecessor
			}
			s.store.down = true
			s.run(5 * time.Second)
			s.store.down = false
			predecessor.noStore = true
			storeRecovered = true
			term := s.store.cells[cell].Term()
			s.until(6*time.Second, "successor", func() bool { return s.store.cells[cell].Term() > term })
			s.run(15 * time.Second)
			So(s.allServed(), ShouldBeTrue)
		}
	})
}
