package simulation_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

var (
	crowdEntries = flag.Int("simulation.crowd_entries", 24, "entries of TestCrowding")
	crowdAgents  = flag.Int("simulation.crowd_agents", 104, "agents of TestCrowding")
	crowdLength  = flag.Duration("simulation.crowd_length", 3*time.Second, "length of the load peak of TestCrowding")
)

// crowdKinds are the kinds of jobs of a load peak: at one agent, nine tenths of its
// capacity.
var crowdKinds = map[string]jobKind{
	"check": {tasks: 8, length: 51 * time.Millisecond, perSecond: 2.05},
	"print": {tasks: 4, length: 760 * time.Millisecond, perSecond: 0.37},
	"sale":  {tasks: 2, length: 170 * time.Millisecond, perSecond: 5.95},
}

// crowdCores is the mean need of a task in thousandths of a core, a quarter of a target.
const crowdCores = 7600

// playCrowd plays a load peak on a fleet whose agents have a number of connections. If a
// zone is evacuated before it, the load is that of the agents of the others.
func playCrowd(t *testing.T, links int, evacuated string) *cluster {
	const (
		learn = 3 * time.Second
		limit = 1500 * time.Millisecond
	)
	c := newFleet(t, 1, *crowdEntries, *crowdAgents, 4, limit)
	c.fleet.links = links
	names := slices.Sorted(maps.Keys(crowdKinds))
	c.version = newVersion(t, 2, 2, limit, prefixesOf(names))
	for i, a := range c.agents {
		a.target.factor = 1.2
		if i%4 == 0 {
			a.target.factor = 0.6
		}
	}
	c.configure()
	c.run(c.now + 2*time.Second)
	working := len(c.agents)
	if evacuated != "" {
		for _, e := range c.entries {
			e.handle(dispatch.EvacuationsRead(evacuation.New(2, []string{evacuated})))
		}
		working = 0
		for _, a := range c.agents {
			if a.zone != evacuated {
				working++
			}
		}
	}
	end := c.now + learn + *crowdLength
	for i, name := range names {
		k := crowdKinds[name]
		random := rand.New(rand.NewPCG(1, uint64(2+i)))
		rate := k.perSecond * float64(working)
		var submit func()
		submit = func() {
			j := c.draw(random, name, k)
			j.milliCores = int64(crowdCores * spread(random, 0.2))
			c.jobs[j.id] = j
			e := c.entries[random.IntN(len(c.entries))]
			j.zone = e.zone
			c.submit(j, e)
			now := rate
			if c.now < end-*crowdLength {
				now /= 2
			}
			if c.now < end {
				c.after(time.Duration(random.ExpFloat64()/now*float64(time.Second)), submit)
			}
		}
		submit()
	}
	c.run(end + 3*time.Second)
	return c
}

// crowdOutcome returns the shares of jobs that were served, and served within their
// objective: 1.6 times their own run time and 60 ms, on a target of factor 1. They are those
// of callers of a zone, or of all callers.
func crowdOutcome(c *cluster, zone string) (served, inTime float64) {
	n := 0.0
	for _, j := range c.jobs {
		if zone != "" && j.zone != zone {
			continue
		}
		n++
		if !j.served() {
			continue
		}
		served++
		if j.answeredAt-j.submittedAt <= j.length*8/5+60*time.Millisecond {
			inTime++
		}
	}
	return served / n, inTime / n
}

// TestCrowding guards against entries that crowd on the few agents that they are
// connected to while others have room. The same load is played with all connections.
func TestCrowding(t *testing.T) {
	// tolerance is the share of jobs that bounded connections may cost.
	const tolerance = 0.03
	type outcome struct {
		served float64
		inTime float64
	}
	plays := map[string]int{
		"bounded": executor.MinLinks,
		"half":    max(1, executor.MinLinks/2),
		"double":  2 * executor.MinLinks,
		"all":     *crowdEntries,
	}
	results := make(chan map[string]outcome, len(plays))
	t.Run("plays", func(t *testing.T) {
		for name, links := range plays {
			t.Run(fmt.Sprint(name, "_", links, "_links"), func(t *testing.T) {
				t.Parallel()
				c := playCrowd(t, links, "")
				served, inTime := crowdOutcome(c, "")
				t.Logf("%d links: %.3f of %d jobs served, %.3f in time", links, served, len(c.jobs), inTime)
				results <- map[string]outcome{
					name: {
						served: served,
						inTime: inTime,
					},
				}
				Convey("no promise is broken", t, func() {
					So(c.oracle.violations, ShouldBeEmpty)
				})
			})
		}
	})
	all := map[string]outcome{}
	for range plays {
		maps.Copy(all, <-results)
	}
	Convey("bounded connections serve as well as all", t, func() {
		So(all["bounded"].served, ShouldBeGreaterThanOrEqualTo, all["all"].served-tolerance)
		So(all["bounded"].inTime, ShouldBeGreaterThanOrEqualTo, all["all"].inTime-tolerance)
	})
}

// TestCrowdingOfEvacuatedZone guards against entries of an evacuated zone that lack agents:
// most of those that they are connected to are in it. The same load is played with all
// connections.
func TestCrowdingOfEvacuatedZone(t *testing.T) {
	// tolerance is the share of jobs that bounded connections may cost.
	const (
		tolerance = 0.05
		zone      = "zone_0"
	)
	plays := map[string]int{
		"bounded": executor.MinLinks,
		"all":     *crowdEntries,
	}
	type result struct {
		play   string
		served float64
		inTime float64
	}
	results := make(chan result, len(plays))
	t.Run("plays", func(t *testing.T) {
		for name, links := range plays {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c := playCrowd(t, links, zone)
				served, inTime := crowdOutcome(c, zone)
				allServed, allInTime := crowdOutcome(c, "")
				t.Logf("%d links: in the evacuated zone %.3f served, %.3f in time; everywhere %.3f and %.3f of %d jobs; %d connections closed on purpose",
					links, served, inTime, allServed, allInTime, len(c.jobs), c.fleet.released)
				results <- result{
					play:   name,
					served: served,
					inTime: inTime,
				}
				Convey("no promise is broken", t, func() {
					So(c.oracle.violations, ShouldBeEmpty)
				})
			})
		}
	})
	all := map[string]result{}
	for range plays {
		r := <-results
		all[r.play] = r
	}
	Convey("callers of the evacuated zone are served as well as with all connections", t, func() {
		So(all["bounded"].served, ShouldBeGreaterThanOrEqualTo, all["all"].served-tolerance)
		So(all["bounded"].inTime, ShouldBeGreaterThanOrEqualTo, all["all"].inTime-tolerance)
	})
}
