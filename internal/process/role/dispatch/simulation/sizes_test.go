package simulation_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

var peaks = flag.Int("simulation.peaks", 3, "number of load peaks of TestLargestJobs")

// jobKind is a kind of jobs as users describe them: the mean number of tasks, their
// mean run time, and how many come in a second at the load peak.
type jobKind struct {
	tasks     float64
	length    time.Duration
	perSecond float64
}

// The spread of sizes. Three of 100 jobs take seven times as long as their kind. The
// declared run time is off by estimateError, as a standard deviation of logarithms.
const (
	sizeSpread    = 0.4
	widthSpread   = 0.4
	tailShare     = 0.03
	tailFactor    = 7
	estimateError = 0.4
	taskSpread    = 0.15
)

// spread returns a factor of mean 1 with a log-normal distribution.
func spread(random *rand.Rand, deviation float64) float64 {
	return math.Exp(deviation*random.NormFloat64() - deviation*deviation/2)
}

// draw returns a job of a kind.
func (c *cluster) draw(random *rand.Rand, kind string, k jobKind) *simJob {
	length := float64(k.length) * spread(random, sizeSpread)
	if random.Float64() < tailShare {
		length *= tailFactor
	}
	cores := int64(1600 * spread(random, 0.2))
	return &simJob{
		id:          fmt.Sprintf("%s_%d", kind, len(c.jobs)),
		kind:        kind,
		tasks:       max(1, int(math.Round(k.tasks*spread(random, widthSpread)))),
		length:      time.Duration(length),
		taskSpread:  taskSpread,
		seed:        random.Uint64(),
		estimate:    time.Duration(length * spread(random, estimateError)),
		milliCores:  cores,
		submissions: 3,
	}
}

// work returns the work of a job in core seconds.
func (j *simJob) work() float64 {
	return float64(j.tasks) * j.length.Seconds() * float64(j.milliCores) / 1000
}

func (j *simJob) served() bool {
	return slices.Contains(j.answers, dispatch.StateComplete)
}

// servedShares returns the share of the jobs of a kind that were served, of the largest
// tenth, of the fifth below it, and of all.
func servedShares(jobs []*simJob) (largest, below, all float64) {
	slices.SortStableFunc(jobs, func(a, b *simJob) int { return cmp.Compare(b.work(), a.work()) })
	share := func(list []*simJob) float64 {
		n := 0
		for _, j := range list {
			if j.served() {
				n++
			}
		}
		return float64(n) / float64(len(list))
	}
	n := len(jobs)
	return share(jobs[:n/10]), share(jobs[n/10 : n*3/10]), share(jobs)
}

// prefixesOf returns the prefixes of the routes of kinds.
func prefixesOf(kinds []string) map[string]string {
	prefixes := map[string]string{}
	for _, name := range kinds {
		prefixes[name] = "/" + name + "/"
	}
	return prefixes
}

// callerLimit is how long the callers of a load peak wait.
const callerLimit = 1500 * time.Millisecond

// targetKind is the hardware label of a target and its factor, which multiplies run times.
type targetKind struct {
	label  string
	factor float64
}

// playPeak plays a load peak on the given targets. One in some tens of runs fails, unless
// they are reliable.
func playPeak(t *testing.T, seed uint64, kinds map[string]jobKind, targets []targetKind, entries int, reliable bool) *cluster {
	const (
		learn = 4 * time.Second
		peak  = 12 * time.Second
	)
	c := newCluster(t, seed, entries, len(targets), callerLimit)
	c.reliable = reliable
	names := slices.Sorted(maps.Keys(kinds))
	c.version = newVersion(t, 2, 2, callerLimit, prefixesOf(names))
	var err error
	for i, a := range c.agents {
		a.target.factor = targets[i].factor
		a.target.labels = []string{targets[i].label, "r1"}
		if a.target.size, err = task.NewResources(16000, 65536, 0); err != nil {
			t.Fatal(err)
		}
	}
	c.configure()
	c.run(c.now + time.Second)
	end := c.now + learn + peak
	for i, name := range names {
		k := kinds[name]
		// The same jobs come whatever the entries decide.
		random := rand.New(rand.NewPCG(seed, uint64(2+i)))
		var submit func()
		submit = func() {
			j := c.draw(random, name, k)
			c.jobs[j.id] = j
			c.submit(j, c.entries[random.IntN(len(c.entries))])
			rate := k.perSecond
			if c.now < end-peak {
				rate /= 2
			}
			if c.now < end {
				c.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), submit)
			}
		}
		submit()
	}
	c.run(end + 3*time.Second)
	return c
}

// oneLabel returns eleven targets of one label, of which three are twice as fast as the
// others.
func oneLabel() []targetKind {
	var targets []targetKind
	for i := range 11 {
		k := targetKind{
			label:  "a",
			factor: 1.2,
		}
		if i%4 == 0 {
			k.factor = 0.6
		}
		targets = append(targets, k)
	}
	return targets
}

// TestLargestJobs guards against a load peak at which the largest jobs of a kind are
// served less than half as often as the kind, which the users' gate fails. All targets
// together can run slightly more than comes.
func TestLargestJobs(t *testing.T) {
	kinds := map[string]jobKind{
		"short":  {tasks: 8, length: 51 * time.Millisecond, perSecond: 50},
		"long":   {tasks: 4, length: 760 * time.Millisecond, perSecond: 9},
		"search": {tasks: 2, length: 170 * time.Millisecond, perSecond: 145},
	}
	jobs := map[string][]*simJob{}
	for seed := range uint64(*peaks) {
		c := playPeak(t, seed+1, kinds, oneLabel(), 3, false)
		for _, j := range c.jobs {
			jobs[j.kind] = append(jobs[j.kind], j)
		}
		Convey(fmt.Sprintf("seed %d violates no invariant", seed+1), t, func() {
			So(c.oracle.violations, ShouldBeEmpty)
		})
	}
	for kind := range kinds {
		largest, below, all := servedShares(jobs[kind])
		t.Logf("%s: largest tenth %.3f, fifth below %.3f, all %.3f of %d", kind, largest, below, all, len(jobs[kind]))
		Convey("the largest jobs of "+kind+" are served", t, func() {
			So(largest, ShouldBeGreaterThanOrEqualTo, all/2)
			So(below, ShouldBeGreaterThanOrEqualTo, all/2)
		})
	}
}
