package promise

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// ownerOf is the index of the node that owns a submission's shard.
func (w *world) ownerOf(a attempt) int {
	return w.owners[identity.ShardOf(a.submission, 0, 1, shards)]
}

// holdsStart tells whether a start waits to be sent.
func (n *node) holdsStart() bool {
	for _, p := range n.out {
		if _, ok := p.body.(message.Start); ok {
			return true
		}
	}
	return false
}

// TestFence guards against a start that its owner decided before a pause and that
// leaves after the shard has moved and the submission was sent again.
func TestFence(t *testing.T) {
	tests := map[string]struct {
		between func(w *world, old *node)
		after   func(w *world, old *node)
	}{
		"all agents sealed": {},
		"one agent was cut off from the new owner": {
			between: func(w *world, _ *node) {
				for i := range agents {
					w.linkCut[[2]int{i, 0}] = true
					w.linkCut[[2]int{0, i}] = true
				}
			},
			after: func(w *world, _ *node) { clear(w.linkCut) },
		},
		"former owner stays cut off from the directory": {
			between: func(_ *world, old *node) { old.cut = true },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the start does not take effect a second time", t, func() {
				w := newWorld(agents, entries, 1)
				w.run(time.Second)
				a := w.newJob(12, 0)
				old := w.nodes[w.ownerOf(a)]
				old.holding = true
				w.submit(agents, a)
				for range 100 {
					if w.tick(); old.holdsStart() {
						break
					}
				}
				So(old.holdsStart(), ShouldBeTrue)
				old.paused = true
				old.holding = false
				if tt.between != nil {
					tt.between(w, old)
				}
				w.run(4 * time.Second)
				w.submit(agents+1, a)
				w.run(time.Second)
				old.paused = false
				w.run(time.Second)
				if tt.after != nil {
					tt.after(w, old)
				}
				w.run(5 * time.Second)
				So(w.oracle.broken, ShouldBeEmpty)
				So(w.open, ShouldBeEmpty)
			})
		})
	}
}
