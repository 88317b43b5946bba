package simulation_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
)

// TestShortOfProcessorTime guards against an entry that, at more events than it can
// handle, loses its sessions or holds jobs until their deadline.
func TestShortOfProcessorTime(t *testing.T) {
	const (
		agents   = 16
		length   = 10 * time.Second
		jobEvery = 6 * time.Millisecond
		limit    = 1500 * time.Millisecond
		// leastServed is the share below which the users' gate fails a day.
		leastServed = 0.4
	)
	tests := map[string]struct {
		passCost  time.Duration
		eventCost time.Duration
	}{
		"enough":   {passCost: 100 * time.Microsecond, eventCost: 50 * time.Microsecond},
		"scarce":   {passCost: 300 * time.Microsecond, eventCost: 400 * time.Microsecond},
		"half":     {passCost: 300 * time.Microsecond, eventCost: 900 * time.Microsecond},
		"too_slow": {passCost: time.Millisecond, eventCost: 1500 * time.Microsecond},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 1, agents, limit)
			e := c.entries[0]
			e.passCost = x.passCost
			e.eventCost = x.eventCost
			c.run(c.now + 2*time.Second)
			before := e.sessionsLost
			end := c.now + length
			var submitJobs func()
			submitJobs = func() {
				j := &simJob{
					id:          fmt.Sprintf("job%d", len(c.jobs)),
					tasks:       1 + c.random.IntN(5),
					length:      50*time.Millisecond + c.jitter(200),
					submissions: 3,
				}
				c.jobs[j.id] = j
				c.submit(j, e)
				if c.now < end {
					c.after(jobEvery, submitJobs)
				}
			}
			submitJobs()
			c.run(end + 3*time.Second)
			outcomes := map[dispatch.State]int{}
			for _, j := range c.jobs {
				for _, s := range j.answers {
					outcomes[s]++
				}
				if len(j.answers) == 0 {
					outcomes[dispatch.StateExpired]++
				}
			}
			t.Logf("%v of %d jobs", outcomes, len(c.jobs))
			Convey("sessions stay, and a job that is not refused is answered", t, func() {
				So(c.oracle.violations, ShouldBeEmpty)
				So(e.sessionsLost-before, ShouldEqual, 0)
				So(float64(outcomes[dispatch.StateComplete])/float64(len(c.jobs)), ShouldBeGreaterThanOrEqualTo, leastServed)
			})
		})
	}
}
