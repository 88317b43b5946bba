package simulation_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

var configurationSeeds = flag.Int("simulation.configurations", 6, "number of random sequences of TestConfigurationInForce")

const (
	// configApply is the time after its confirmation in which a version must be in force,
	// and rollbackSlack the time after a version was seen in which an older one may still
	// be.
	configApply   = 3 * time.Second
	rollbackSlack = 250 * time.Millisecond
	// smallBody, largeBody and largestBody are the bytes of configurations: a few routes,
	// 1,445 routes, and what the store takes.
	smallBody   = 1 << 10
	largeBody   = 254 << 10
	largestBody = 1 << 20
	// probeInterval is how often each entry is asked for routes.
	probeInterval = 50 * time.Millisecond
	// configurationStart is when the first version after the initial one is written.
	configurationStart = 3 * time.Second
	// leastProbesServed is the share of requests at entries that run and have a
	// configuration, of which the users' gate asks 0.4 at the worst of times.
	leastProbesServed = 0.9
)

// write is a version that the operator writes.
type write struct {
	at    time.Duration
	bytes int
}

// configurationScenario is a sequence of versions with disturbances. Times count from
// configurationStart.
type configurationScenario struct {
	writes  []write
	disturb func(*cluster)
	// interrupted is set if processes are killed, so that requests and sessions are lost.
	interrupted bool
}

var configurationScenarios = map[string]configurationScenario{
	"large_configuration_fills_links": {
		writes: []write{{bytes: largeBody}, {at: 2500 * time.Millisecond, bytes: largeBody}, {at: 8 * time.Second, bytes: largeBody}},
	},
	"largest_value": {
		writes: []write{{bytes: largestBody}, {at: 4 * time.Second, bytes: largestBody}},
	},
	"quick_changes_after_a_large_one": {
		writes: []write{{bytes: largeBody}, {at: 300 * time.Millisecond, bytes: largeBody}, {at: 600 * time.Millisecond, bytes: largeBody}, {at: 2 * time.Second, bytes: smallBody}},
	},
	"slow_store": {
		writes: []write{{bytes: largeBody}, {at: 2300 * time.Millisecond, bytes: largeBody}},
		disturb: func(c *cluster) {
			c.store.slowUntil = c.now + 10*time.Second
		},
	},
	"store_turns_entries_away": {
		writes: []write{{at: time.Second, bytes: largeBody}, {at: 4 * time.Second, bytes: largeBody}},
		disturb: func(c *cluster) {
			c.store.deniedUntil[c.entries[0].name] = c.now + 9*time.Second
			c.store.deniedUntil[c.entries[5].name] = c.now + 9*time.Second
		},
	},
	"entry_starts_while_store_is_down": {
		writes:      []write{{bytes: largeBody}},
		interrupted: true,
		disturb: func(c *cluster) {
			c.after(4*time.Second, func() {
				c.store.downUntil = c.now + 8*time.Second
				c.entries[1].kill()
			})
		},
	},
	"all_entries_start_while_store_is_down": {
		writes:      []write{{bytes: largeBody}},
		interrupted: true,
		disturb: func(c *cluster) {
			c.after(4*time.Second, func() {
				c.store.downUntil = c.now + 8*time.Second
				for _, e := range c.entries {
					e.kill()
				}
			})
		},
	},
	"agents_restart_in_a_row": {
		writes:      []write{{bytes: largeBody}, {at: 2300 * time.Millisecond, bytes: largeBody}},
		interrupted: true,
		disturb: func(c *cluster) {
			for i, a := range c.agents[:12] {
				c.after(time.Duration(i)*400*time.Millisecond, a.kill)
			}
		},
	},
}

// randomScenario returns a sequence of versions and disturbances that a seed determines.
func randomScenario(seed uint64) configurationScenario {
	random := rand.New(rand.NewPCG(seed, 7))
	var writes []write
	at := time.Duration(0)
	sizes := []int{smallBody, largeBody, largeBody, largestBody}
	for range 3 + random.IntN(4) {
		writes = append(writes, write{
			at:    at,
			bytes: sizes[random.IntN(len(sizes))],
		})
		at += time.Duration(200+random.IntN(3000)) * time.Millisecond
	}
	return configurationScenario{
		writes:      writes,
		interrupted: true,
		disturb: func(c *cluster) {
			for range 2 + random.IntN(3) {
				e := c.entries[random.IntN(len(c.entries))]
				a := c.agents[random.IntN(len(c.agents))]
				d := time.Duration(500+random.IntN(5000)) * time.Millisecond
				faults := []func(){
					func() { c.store.slowUntil = c.now + d },
					func() { c.store.deniedUntil[e.name] = c.now + d },
					func() {
						if e.d != nil {
							e.kill()
						}
					},
					func() {
						if a.s != nil {
							a.kill()
						}
					},
				}
				c.after(time.Duration(random.IntN(8000))*time.Millisecond, faults[random.IntN(len(faults))])
			}
		},
	}
}

// probes checks by requests which version entries use.
type probes struct {
	c *cluster
	// shown has the highest version that an entry has shown, and when, by the name and
	// the incarnation of the entry.
	shown  map[string]shownVersion
	sent   int
	served int
	// refusals counts the requests that were refused, by reason.
	refusals map[string]int
}

type shownVersion struct {
	index int
	at    time.Duration
}

// run asks each entry that runs for the routes of the newest versions until a time.
func (p *probes) run(until time.Duration) {
	for _, e := range p.c.entries {
		if e.d == nil || e.d.Version() == nil {
			continue
		}
		p.ask(e, "kind", func(s dispatch.State, _ time.Duration) {
			p.sent++
			if s == dispatch.StateComplete {
				p.served++
			}
		})
		for _, v := range p.c.store.versions[max(0, len(p.c.store.versions)-2):] {
			p.askAdded(e, v)
			p.askDropped(e, v)
		}
	}
	if p.c.now < until {
		p.c.after(probeInterval, func() { p.run(until) })
	}
}

// askAdded asks for the route that a version adds.
func (p *probes) askAdded(e *simEntry, v simVersion) {
	key := fmt.Sprintf("%s in its start %d", e.name, e.incarnation)
	before := p.shown[key]
	p.ask(e, addedRoute(v.index), func(s dispatch.State, sent time.Duration) {
		switch {
		case s == dispatch.StateUnknown && sent > v.confirmed+configApply:
			p.c.oracle.addViolation("%s does not serve the route of version %d, confirmed %v before the request", key, v.version.Number(), sent-v.confirmed)
		case s == dispatch.StateUnknown && before.index >= v.index && sent > before.at+rollbackSlack:
			p.c.oracle.addViolation("%s does not serve the route of version %d any more", key, v.version.Number())
		case s == dispatch.StateComplete && p.shown[key].index < v.index:
			p.shown[key] = shownVersion{
				index: v.index,
				at:    p.c.now,
			}
		}
	})
}

// askDropped asks for the route that the version after v drops.
func (p *probes) askDropped(e *simEntry, v simVersion) {
	p.ask(e, droppedRoute(v.index), func(s dispatch.State, sent time.Duration) {
		if s != dispatch.StateComplete || v.index == len(p.c.store.versions) {
			return
		}
		if next := p.c.store.versions[v.index]; sent > next.confirmed+configApply {
			p.c.oracle.addViolation("%s serves a route that version %d dropped, confirmed %v before the request", e.name, next.version.Number(), sent-next.confirmed)
		}
	})
}

// ask submits a job of one short task and passes on its outcome.
func (p *probes) ask(e *simEntry, routeName string, answered func(s dispatch.State, sent time.Duration)) {
	c := p.c
	sent := c.now
	c.request++
	n := c.request
	id := fmt.Sprintf("probe%d", n)
	c.jobs[id] = &simJob{
		id:     id,
		kind:   routeName,
		tasks:  1,
		length: 20 * time.Millisecond,
	}
	c.pending[n] = func(a dispatch.Answer) {
		if a.State() == dispatch.StateRefused {
			p.refusals[a.Reason()]++
		}
		answered(a.State(), sent)
	}
	step, err := task.NewStep(1, c.need(id), 20*time.Millisecond)
	if err != nil {
		c.t.Fatal(err)
	}
	e.handle(dispatch.Submitted(dispatch.NewSubmission("", "", "/"+routeName+"/"+id, c.callerTimeout).WithWork("spec", []task.Step{step}).WithRequest(n)))
}

// playConfigurations plays a scenario on two large and four small entries.
func playConfigurations(t *testing.T, seed uint64, s configurationScenario) (*cluster, *probes) {
	const (
		entries = 6
		agents  = 48
		limit   = 1500 * time.Millisecond
	)
	c := emptyConfigurationCluster(t, seed, entries, agents, limit)
	c.store.write(smallBody)
	begin := c.now + configurationStart
	p := &probes{
		c:        c,
		shown:    map[string]shownVersion{},
		refusals: map[string]int{},
	}
	end := begin
	for _, w := range s.writes {
		c.after(begin+w.at-c.now, func() { c.store.write(w.bytes) })
		end = max(end, begin+w.at)
	}
	if s.disturb != nil {
		c.after(begin-c.now, func() { s.disturb(c) })
	}
	end += configApply + 3*time.Second
	c.after(2*time.Second, func() {
		c.network.bytes = 0
		p.run(end)
	})
	c.run(end + limit)
	return c, p
}

// TestConfigurationInForce guards against a confirmed configuration that an entry does not use in time, and against one that holds up everything else on the links.
func TestConfigurationInForce(t *testing.T) {
	tests := map[string]configurationScenario{}
	for name, s := range configurationScenarios {
		tests[name] = s
	}
	for seed := range uint64(*configurationSeeds) {
		tests[fmt.Sprintf("seed_%d", seed+1)] = randomScenario(seed + 1)
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, p := playConfigurations(t, 1, s)
			lost := 0
			for _, e := range c.entries {
				lost += e.sessionsLost
			}
			t.Logf("%d of %d requests served, refusals %v, %d sessions lost, %d KB between processes, %d violations", p.served, p.sent, p.refusals, lost, c.network.bytes>>10, len(c.oracle.violations))
			Convey("no entry uses an older version after the bound", t, func() {
				So(c.oracle.violations, ShouldBeEmpty)
				So(float64(p.served), ShouldBeGreaterThanOrEqualTo, leastProbesServed*float64(p.sent))
				if !s.interrupted {
					So(lost, ShouldEqual, 0)
				}
			})
		})
	}
}
