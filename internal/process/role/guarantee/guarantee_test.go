package guarantee

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

const (
	agentCount = 3
	entryCount = 2
)

// advance runs the cluster for a time.
func (c *cluster) advance(t time.Duration) {
	for end := c.now.Add(t); c.now.Before(end); {
		c.tick()
	}
}

// actions returns the faults and requests that a random test draws from. The one
// without a name runs after each action and reports violations.
func (c *cluster) actions() map[string]func(*rapid.T) {
	drawAgent := func(t *rapid.T) int { return rapid.IntRange(0, agentCount-1).Draw(t, "agent") }
	drawEntry := func(t *rapid.T) int { return agentCount + rapid.IntRange(0, entryCount-1).Draw(t, "entry") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			for _, violation := range c.oracle.violations {
				t.Error(violation)
			}
			c.advance(time.Duration(rapid.IntRange(1, 10).Draw(t, "steps")) * tickInterval)
		},
		"submit": func(t *rapid.T) {
			skew := time.Duration(rapid.IntRange(-3000, 1200).Draw(t, "skew")) * time.Millisecond
			c.submit(drawEntry(t), c.newJob(rapid.IntRange(1, 12).Draw(t, "width"), skew))
		},
		"resubmit": func(t *rapid.T) {
			if len(c.submitted) == 0 {
				t.Skip("no job has been submitted")
			}
			n := rapid.IntRange(1, min(5, len(c.submitted))).Draw(t, "back")
			c.submit(drawEntry(t), c.submitted[len(c.submitted)-n])
		},
		"pause": func(t *rapid.T) {
			n := c.nodes[drawAgent(t)]
			if n.paused {
				n.paused = false
				return
			}
			n.pauseBeforeSend = true
		},
		"cut_from_directory": func(t *rapid.T) {
			n := c.nodes[drawAgent(t)]
			n.partitioned = !n.partitioned
		},
		"cut_link": func(t *rapid.T) {
			pair := [2]int{rapid.IntRange(0, agentCount+entryCount-1).Draw(t, "from"), rapid.IntRange(0, agentCount-1).Draw(t, "to")}
			c.linkDown[pair] = !c.linkDown[pair]
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "chance") > 0 {
				t.Skip("no kill drawn")
			}
			c.replace(drawAgent(t))
		},
		"hand_over": func(t *rapid.T) {
			shard := rapid.IntRange(0, shardCount-1).Draw(t, "shard")
			if to, ok := c.randomActiveAgent(); ok && to != c.owners[shard] {
				old := c.nodes[c.owners[shard]]
				old.inbox = append(old.inbox, membership.NewReleased(identity.Shard(shard)))
				c.grant(shard, to, c.memberList())
			}
		},
		"hold_starts": func(t *rapid.T) {
			n := c.nodes[drawAgent(t)]
			n.delayStarts = !n.delayStarts
		},
		"wait": func(*rapid.T) { c.advance(time.Second) },
	}
}

// replace kills an agent and starts its next incarnation in the same place. The
// killed incarnation stays in the member list.
func (c *cluster) replace(i int) {
	old := c.nodes[i]
	old.killed = true
	old.inbox = nil
	old.outbox = nil
	// The killed incarnation moves to the end of the nodes.
	delete(c.index, old.id)
	n := c.newAgent(i, old.id.Incarnation()+1)
	n.lastHeartbeat = old.lastHeartbeat
	c.nodes[i] = n
	c.index[n.id] = i
	c.add(old)
	for s := range shardCount {
		if c.owners[s] == i {
			c.owners[s] = c.index[old.id]
		}
	}
	for k := range c.linkDown {
		if k[0] == i || k[1] == i {
			delete(c.linkDown, k)
		}
	}
	var rest []packet
	for _, p := range c.inFlight {
		if p.to != i {
			if p.from == i {
				p.from = c.index[old.id]
			}
			rest = append(rest, p)
		}
	}
	c.inFlight = rest
}

// TestPromises guards against a second start of a task, an answer that is partial
// or belongs to another job, and a wrong not_run in a refusal. Pauses, partitions,
// kills and resubmissions happen in random order.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(agentCount, entryCount, rapid.Uint64().Draw(t, "seed"))
		t.Repeat(c.actions())
	})
}

// TestWithoutFaults guards against a simulation in which no job runs. The other
// tests would pass there without checking anything.
func TestWithoutFaults(t *testing.T) {
	Convey("every job ends as complete or as failed by its own tasks", t, func() {
		c := newCluster(agentCount, entryCount, 1)
		c.advance(time.Second)
		for range 50 {
			c.submit(agentCount, c.newJob(4, 0))
			c.advance(100 * time.Millisecond)
		}
		c.advance(21 * time.Second)
		So(c.oracle.violations, ShouldBeEmpty)
		So(c.pending, ShouldBeEmpty)
		So(c.runningAnswers, ShouldEqual, 0)
		So(c.completeAnswers, ShouldBeGreaterThan, 25)
	})
}
