package promise

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// holdsStart tells whether a start waits to be sent.
func (n *node) holdsStart() bool {
	for _, p := range n.out {
		if _, ok := p.body.(message.Start); ok {
			return true
		}
	}
	return false
}

// TestFence guards against a start that its owner sent before its shard moved and
// that arrives after the submission was sent again to the new owner.
func TestFence(t *testing.T) {
	tests := map[string]struct {
		move   func(w *world, shard, old int)
		resume func(w *world, old *node)
		// complete is the number of complete answers that are expected at least.
		complete int
	}{
		"handed over by a live owner": {
			move: func(w *world, shard, old int) {
				w.nodes[old].in = append(w.nodes[old].in, membership.NewReleased(identity.Shard(shard)))
				w.grant(shard, (old+1)%agents, w.roster())
				w.run(2 * time.Second)
			},
			complete: 1,
		},
		"taken from a paused owner": {
			move: func(w *world, _, old int) {
				w.nodes[old].paused = true
				w.run(4 * time.Second)
			},
		},
		"taken from an owner that lost its directory": {
			move: func(w *world, _, old int) {
				w.nodes[old].cut = true
				w.run(4 * time.Second)
			},
		},
		"taken while an agent is cut off from the new owner": {
			move: func(w *world, _, old int) {
				for i := range agents {
					w.linkCut[[2]int{i, (old + 1) % agents}] = true
					w.linkCut[[2]int{(old + 1) % agents, i}] = true
				}
				w.nodes[old].paused = true
				w.run(4 * time.Second)
			},
			resume: func(w *world, _ *node) { clear(w.linkCut) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the start does not take effect a second time", t, func() {
				w := newWorld(agents, entries, 1)
				w.run(time.Second)
				a := w.newJob(12, 0)
				shard := int(identity.ShardOf(a.submission, 0, 1, shards))
				old := w.nodes[w.owners[shard]]
				old.holding = true
				w.submit(agents, a)
				for range 100 {
					if w.tick(); old.holdsStart() {
						break
					}
				}
				So(old.holdsStart(), ShouldBeTrue)
				tt.move(w, shard, w.index[old.id])
				w.submit(agents+1, a)
				w.run(time.Second)
				old.holding = false
				old.paused = false
				w.run(time.Second)
				if tt.resume != nil {
					tt.resume(w, old)
				}
				w.run(5 * time.Second)
				So(w.oracle.broken, ShouldBeEmpty)
				So(w.open, ShouldBeEmpty)
				So(w.complete, ShouldBeGreaterThanOrEqualTo, tt.complete)
			})
		})
	}
}
