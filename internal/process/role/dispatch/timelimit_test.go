package dispatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// timeoutVersion brings a version into force whose only route has a time-out.
func (fx *fixture) timeoutVersion(number int64, timeout time.Duration) {
	r, err := route.NewRoute("kind", "", "/", "service")
	if err != nil {
		fx.t.Fatal(err)
	}
	v, err := route.NewVersion(number, []route.Route{r.WithPriority(0, 2).WithTiming(timeout, 1.6, 60*ms)}, route.Limits{})
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.handle(dispatch.VersionReceived(v, frame.NewConfig(number, []byte("{}"))))
}

// TestTimeLimit guards against jobs that are refused or given up at the time-out of their
// route although their callers wait longer, and against jobs without an end.
func TestTimeLimit(t *testing.T) {
	tests := map[string]struct {
		timeout time.Duration
		// waits is how long the caller waits, 0 if it does not say so.
		waits time.Duration
		// work is the declared run time of the job's task.
		work time.Duration
		// want is the time limit of the start, 0 if the job is refused.
		want time.Duration
	}{
		"work_exceeds_the_time-out":    {timeout: 1500 * ms, waits: 9 * time.Second, work: 3 * time.Second, want: 9 * time.Second},
		"caller_waits_less":            {timeout: 1500 * ms, waits: 400 * ms, work: 100 * ms, want: 400 * ms},
		"work_exceeds_what_it_waits":   {timeout: 1500 * ms, waits: 900 * ms, work: 3 * time.Second},
		"tiny":                         {timeout: 1500 * ms, waits: ms, work: 100 * ms},
		"absurd":                       {timeout: 1500 * ms, waits: time.Hour, work: 100 * ms, want: 2 * time.Minute},
		"not_said":                     {timeout: 1500 * ms, work: 100 * ms, want: 1500 * ms},
		"not_said_and_too_long":        {timeout: 1500 * ms, work: 6 * time.Second},
		"neither_said_nor_a_time-out":  {work: 100 * ms, want: 30 * time.Second},
		"no_time-out_and_a_long_limit": {waits: 20 * time.Second, work: 8 * time.Second, want: 20 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the caller's time bounds the job", t, func() {
				fx := newFixture(t)
				fx.timeoutVersion(1, tt.timeout)
				fx.agent(1, "a", "a", "r1")
				fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", "/job", tt.waits).WithWork("spec", []task.Step{fx.stepOf(tt.work)}).WithRequest(1)))
				if tt.want == 0 {
					So(fx.answers[1].State(), ShouldEqual, dispatch.StateRefused)
					So(fx.starts, ShouldBeEmpty)
					return
				}
				So(fx.answers, ShouldBeEmpty)
				So(fx.starts, ShouldHaveLength, 1)
				So(fx.starts[0].TimeLimit(), ShouldEqual, tt.want)
			})
		})
	}
}

// TestTimeoutChanges guards against a job that a change of its route's time-out ends.
func TestTimeoutChanges(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"shorter": 200 * ms, "longer": 20 * time.Second, "none": 0} {
		t.Run(name, func(t *testing.T) {
			Convey("the job goes on and is answered", t, func() {
				fx := newFixture(t)
				fx.timeoutVersion(1, 1500*ms)
				fx.agent(1, "a", "a", "r1")
				fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", "/job", 9*time.Second).WithWork("spec", []task.Step{fx.stepOf(3 * time.Second)}).WithRequest(1)))
				fx.advance(500*ms, 1)
				fx.timeoutVersion(2, timeout)
				fx.advance(2500*ms, 1)
				So(fx.stops, ShouldBeEmpty)
				fx.end(1, task.EndDone)
				So(fx.answers[1].State(), ShouldEqual, dispatch.StateComplete)
			})
		})
	}
}

// TestQueueTime guards against a job that waits for a place for a share of an hour because
// its caller waits so long, although its answer is of no use after a second.
func TestQueueTime(t *testing.T) {
	for name, waits := range map[string]time.Duration{"as_long_as_it_is_of_use": 660 * ms, "an_hour": time.Hour} {
		t.Run(name, func(t *testing.T) {
			Convey("the job is refused while an answer elsewhere is of use", t, func() {
				fx := newFixture(t)
				fx.timeoutVersion(1, 0)
				fx.agent(1, "a", "a", "r1")
				fx.submit(1, "first", fx.step(1, 30000))
				fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", "/job", waits).WithWork("spec", []task.Step{fx.step(1, 30000)}).WithRequest(2)))
				So(fx.answers, ShouldBeEmpty)
				fx.advance(660*ms, 1)
				So(fx.answers[2].State(), ShouldEqual, dispatch.StateRefused)
			})
		})
	}
}
