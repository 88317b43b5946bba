package guarantee

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// hasDelayedStart reports whether a start waits to be sent.
func (n *node) hasDelayedStart() bool {
	for _, p := range n.outbox {
		if _, ok := p.body.(message.Start); ok {
			return true
		}
	}
	return false
}

// TestFence guards against a second run of a task. The previous owner of a shard
// has sent a start before the shard moves, and the start arrives after the caller
// has submitted the job again to the new owner.
func TestFence(t *testing.T) {
	tests := map[string]struct {
		move   func(c *cluster, shard, old int)
		resume func(c *cluster, old *node)
		// completeAnswers is the smallest number of complete answers.
		completeAnswers int
	}{
		"shard released by an active owner": {
			move: func(c *cluster, shard, old int) {
				c.nodes[old].inbox = append(c.nodes[old].inbox, membership.NewReleased(identity.Shard(shard)))
				c.grant(shard, (old+1)%agentCount, c.memberList())
				c.advance(2 * time.Second)
			},
			completeAnswers: 1,
		},
		"shard acquired from a paused owner": {
			move: func(c *cluster, _, old int) {
				c.nodes[old].paused = true
				c.advance(4 * time.Second)
			},
		},
		"shard acquired from an owner without a directory": {
			move: func(c *cluster, _, old int) {
				c.nodes[old].partitioned = true
				c.advance(4 * time.Second)
			},
		},
		"shard acquired by an owner partitioned from the agents": {
			move: func(c *cluster, _, old int) {
				for i := range agentCount {
					c.linkDown[[2]int{i, (old + 1) % agentCount}] = true
					c.linkDown[[2]int{(old + 1) % agentCount, i}] = true
				}
				c.nodes[old].paused = true
				c.advance(4 * time.Second)
			},
			resume: func(c *cluster, _ *node) { clear(c.linkDown) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("no task runs a second time", t, func() {
				c := newCluster(agentCount, entryCount, 1)
				c.advance(time.Second)
				a := c.newJob(12, 0)
				shard := int(identity.ShardOf(a.submission, 0, 1, shardCount))
				old := c.nodes[c.owners[shard]]
				old.delayStarts = true
				c.submit(agentCount, a)
				for range 100 {
					if c.tick(); old.hasDelayedStart() {
						break
					}
				}
				So(old.hasDelayedStart(), ShouldBeTrue)
				tt.move(c, shard, c.index[old.id])
				c.submit(agentCount+1, a)
				c.advance(time.Second)
				old.delayStarts = false
				old.paused = false
				c.advance(time.Second)
				if tt.resume != nil {
					tt.resume(c, old)
				}
				c.advance(5 * time.Second)
				So(c.oracle.violations, ShouldBeEmpty)
				So(c.pending, ShouldBeEmpty)
				So(c.completeAnswers, ShouldBeGreaterThanOrEqualTo, tt.completeAnswers)
			})
		})
	}
}
