package promise

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

const (
	agents  = 3
	entries = 2
)

func (w *world) run(t time.Duration) {
	for end := w.now.Add(t); w.now.Before(end); {
		w.tick()
	}
}

// steps are what can happen to the world in one draw.
func (w *world) steps() map[string]func(*rapid.T) {
	anyAgent := func(t *rapid.T) int { return rapid.IntRange(0, agents-1).Draw(t, "agent") }
	anyEntry := func(t *rapid.T) int { return agents + rapid.IntRange(0, entries-1).Draw(t, "entry") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			for _, b := range w.oracle.broken {
				t.Error(b)
			}
			w.run(time.Duration(rapid.IntRange(1, 10).Draw(t, "steps")) * step)
		},
		"submit": func(t *rapid.T) {
			skew := time.Duration(rapid.IntRange(-3000, 1200).Draw(t, "skew")) * time.Millisecond
			w.submit(anyEntry(t), w.newJob(rapid.IntRange(1, 12).Draw(t, "width"), skew))
		},
		"resubmit": func(t *rapid.T) {
			if len(w.orders) == 0 {
				t.Skip("no job yet")
			}
			n := rapid.IntRange(1, min(5, len(w.orders))).Draw(t, "back")
			w.submit(anyEntry(t), w.orders[len(w.orders)-n])
		},
		"pause": func(t *rapid.T) {
			n := w.nodes[anyAgent(t)]
			if n.paused {
				n.paused = false
				return
			}
			n.pausing = true
		},
		"cut_from_directory": func(t *rapid.T) {
			n := w.nodes[anyAgent(t)]
			n.cut = !n.cut
		},
		"cut_link": func(t *rapid.T) {
			pair := [2]int{rapid.IntRange(0, agents+entries-1).Draw(t, "from"), rapid.IntRange(0, agents-1).Draw(t, "to")}
			w.linkCut[pair] = !w.linkCut[pair]
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "chance") > 0 {
				t.Skip("kept alive")
			}
			w.replace(anyAgent(t))
		},
		"hand_over": func(t *rapid.T) {
			shard := rapid.IntRange(0, shards-1).Draw(t, "shard")
			if to, ok := w.anyLive(); ok && to != w.owners[shard] {
				old := w.nodes[w.owners[shard]]
				old.in = append(old.in, membership.NewReleased(identity.Shard(shard)))
				w.grant(shard, to, w.roster())
			}
		},
		"hold_starts": func(t *rapid.T) {
			n := w.nodes[anyAgent(t)]
			n.holding = !n.holding
		},
		"wait": func(*rapid.T) { w.run(time.Second) },
	}
}

// replace kills an agent; another run under its name takes its place. The dead
// run stays in the roster.
func (w *world) replace(i int) {
	old := w.nodes[i]
	old.dead = true
	old.in = nil
	old.out = nil
	// The dead run keeps its place in the roster at the end of the list.
	delete(w.index, old.id)
	n := w.newAgent(i, old.id.Incarnation()+1)
	n.beat = old.beat
	w.nodes[i] = n
	w.index[n.id] = i
	w.add(old)
	for s := range shards {
		if w.owners[s] == i {
			w.owners[s] = w.index[old.id]
		}
	}
	for k := range w.linkCut {
		if k[0] == i || k[1] == i {
			delete(w.linkCut, k)
		}
	}
	var rest []parcel
	for _, p := range w.transit {
		if p.to != i {
			if p.from == i {
				p.from = w.index[old.id]
			}
			rest = append(rest, p)
		}
	}
	w.transit = rest
}

// TestPromises guards against a second start, a partial or foreign answer, and an
// untrue "not run", whatever pauses, cuts, deaths and resubmissions happen.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(agents, entries, rapid.Uint64().Draw(t, "seed"))
		t.Repeat(w.steps())
	})
}

// TestQuietWorld guards against a world in which nothing runs, where the other
// tests would prove nothing.
func TestQuietWorld(t *testing.T) {
	Convey("without faults every job ends complete or failed by its own tasks", t, func() {
		w := newWorld(agents, entries, 1)
		w.run(time.Second)
		for range 50 {
			w.submit(agents, w.newJob(4, 0))
			w.run(100 * time.Millisecond)
		}
		w.run(21 * time.Second)
		So(w.oracle.broken, ShouldBeEmpty)
		So(w.open, ShouldBeEmpty)
		So(w.unfinished, ShouldEqual, 0)
		So(w.complete, ShouldBeGreaterThan, 25)
	})
}
