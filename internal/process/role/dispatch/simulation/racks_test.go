package simulation_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

var rackSeeds = flag.Int("simulation.rack_seeds", 2, "seeds of TestRacks")

// rackLoad is a load on 12 targets of three racks, with many jobs whose data is on one.
type rackLoad struct {
	// perSecond is the number of jobs in a second. All targets can run about 280 of them
	// beside their data.
	perSecond float64
	// wanted is the share of the jobs that want the first rack.
	wanted float64
	factor float64
	// estimateError is the standard deviation of the logarithms of declared run times.
	estimateError float64
	// dies is set if the targets of the wanted rack crash in the middle.
	dies bool
}

// rackOutcome is what callers get.
type rackOutcome struct {
	jobs, inTime, late, unserved int
	// others are the jobs that want no rack, and othersInTime those of them in time.
	others, othersInTime int
	p50, p99             time.Duration
	away, waits          int
	waited               time.Duration
	outcomes             map[string]int
	violations           []string
	trace                []string
}

func (o rackOutcome) String() string {
	return fmt.Sprintf("in time %.3f late %.3f unserved %.3f, of others %.3f in time, p50 %v p99 %v, %d runs away, %d waits of %v on average %v",
		float64(o.inTime)/float64(o.jobs), float64(o.late)/float64(o.jobs), float64(o.unserved)/float64(o.jobs), float64(o.othersInTime)/float64(max(o.others, 1)),
		o.p50.Round(time.Millisecond), o.p99.Round(time.Millisecond), o.away, o.waits,
		(o.waited / time.Duration(max(o.waits, 1))).Round(time.Millisecond), o.outcomes)
}

// lateJobs returns the jobs that were complete after their commitment.
func (c *cluster) lateJobs() map[string]bool {
	late := map[string]bool{}
	for _, n := range c.ended {
		fields := map[string]any{}
		for _, f := range n.Fields() {
			fields[f.Key()] = f.Value()
		}
		if fields["late_ms"].(int64) > 0 {
			late[fields["job"].(string)] = true
		}
	}
	return late
}

func playRacks(t *testing.T, seed uint64, l rackLoad, neverWait bool) rackOutcome {
	const (
		learn  = 3 * time.Second
		length = 8 * time.Second
		limit  = 1500 * time.Millisecond
	)
	c := emptyCluster(t, seed, limit)
	c.version = newVersion(t, 1, 4, limit, map[string]string{
		"kind": "/",
	})
	c.remoteFactor = l.factor
	c.neverWait = neverWait
	c.addProcesses(3, 12)
	for i, a := range c.agents {
		a.target.labels = []string{"a", fmt.Sprintf("r%d", i%3)}
		var err error
		if a.target.size, err = task.NewResources(10_000, 65536, 0); err != nil {
			t.Fatal(err)
		}
	}
	c.run(c.now + time.Second)
	begin := c.now
	random := rand.New(rand.NewPCG(seed, 2))
	var submit func()
	submit = func() {
		size := 100 * time.Millisecond
		j := &simJob{
			id:          fmt.Sprintf("job_%d", len(c.jobs)),
			tasks:       1 + random.IntN(3),
			length:      time.Duration(float64(size) * spread(random, 0.3)),
			taskSpread:  taskSpread,
			seed:        random.Uint64(),
			milliCores:  2000,
			submissions: 3,
		}
		j.estimate = time.Duration(float64(j.length) * spread(random, l.estimateError))
		if random.Float64() < l.wanted {
			j.rack = "r0"
		}
		c.jobs[j.id] = j
		c.submit(j, c.entries[random.IntN(len(c.entries))])
		rate := l.perSecond
		if c.now < begin+learn {
			rate /= 3
		}
		if c.now < begin+learn+length {
			c.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), submit)
		}
	}
	submit()
	if l.dies {
		c.after(learn+length/2, func() {
			for i := 0; i < len(c.agents); i += 3 {
				c.agents[i].target.crash()
			}
		})
	}
	c.run(begin + learn + length + 3*time.Second)
	return c.rackOutcome(begin + learn)
}

// rackOutcome returns the outcome of the jobs that came from a time on.
func (c *cluster) rackOutcome(from time.Duration) rackOutcome {
	o := rackOutcome{
		outcomes:   map[string]int{},
		violations: c.oracle.violations,
		trace:      c.trace,
		away:       c.away,
		waits:      len(c.waits),
	}
	late := c.lateJobs()
	var took []time.Duration
	for _, j := range c.jobs {
		if j.submittedAt < from {
			continue
		}
		o.jobs++
		if j.rack == "" {
			o.others++
		}
		if !slices.Contains(j.answers, dispatch.StateComplete) {
			o.unserved++
			continue
		}
		x := j.answeredAt - j.submittedAt
		took = append(took, x)
		if !late[j.id] {
			o.inTime++
			if j.rack == "" {
				o.othersInTime++
			}
		} else {
			o.late++
		}
	}
	slices.SortFunc(took, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	o.p50 = took[len(took)/2]
	o.p99 = took[len(took)*99/100]
	for _, n := range c.waits {
		for _, f := range n.Fields() {
			switch f.Key() {
			case "waited_ms":
				o.waited += time.Duration(f.Value().(int64)) * time.Millisecond
			case "outcome":
				o.outcomes[f.Value().(string)]++
			}
		}
	}
	return o
}

// TestRacks guards against waits for a rack that serve callers worse than none, where many
// jobs want one rack, where its targets crash meanwhile, and where declared run times are
// off by 40%.
func TestRacks(t *testing.T) {
	tests := map[string]rackLoad{
		"many_jobs_want_it":        {perSecond: 150, wanted: 0.6, factor: 2, estimateError: 0.1},
		"dear_to_run_elsewhere":    {perSecond: 150, wanted: 0.6, factor: 3, estimateError: 0.1},
		"load_peak":                {perSecond: 240, wanted: 0.6, factor: 2, estimateError: 0.1},
		"targets_crash_meanwhile":  {perSecond: 130, wanted: 0.6, factor: 2, estimateError: 0.1, dies: true},
		"estimates_are_off_by_40%": {perSecond: 150, wanted: 0.6, factor: 2, estimateError: 0.4},
		"nobody_wants_it":          {perSecond: 240, factor: 2, estimateError: 0.1},
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			never, waits, jobs := 0, 0, 0
			for seed := range uint64(*rackSeeds) {
				a := playRacks(t, seed+1, l, true)
				b := playRacks(t, seed+1, l, false)
				t.Logf("seed %d never wait: %v", seed+1, a)
				t.Logf("seed %d with waits: %v", seed+1, b)
				never += a.inTime
				waits += b.inTime
				jobs += a.jobs
				Convey(fmt.Sprintf("seed %d breaks no rule", seed+1), t, func() {
					So(b.violations, ShouldBeEmpty)
					So(b.waits > 0, ShouldEqual, l.wanted > 0)
					So(l.wanted > 0 || slices.Equal(a.trace, b.trace), ShouldBeTrue)
				})
			}
			Convey("callers are served no worse, but for chance", t, func() {
				So(waits, ShouldBeGreaterThanOrEqualTo, never-jobs/50)
			})
		})
	}
}
