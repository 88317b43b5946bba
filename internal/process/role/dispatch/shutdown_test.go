package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// newLeavingFixture returns an entry with one agent and a route whose timeout exceeds
// any grace period.
func newLeavingFixture(t *testing.T) *fixture {
	fx := newFixture(t)
	r, err := route.NewRoute("kind", "", "/", "service")
	if err != nil {
		t.Fatal(err)
	}
	v, err := route.NewVersion(1, []route.Route{r.WithPriority(0, 3).WithTiming(20*time.Second, 1.6, 60*ms)}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	fx.handle(dispatch.VersionReceived(v, frame.NewConfig(1, []byte("{}"))))
	fx.agent(1, "agent")
	return fx
}

// submitWithin submits a job of one task whose caller waits for a time.
func (fx *fixture) submitWithin(request uint64, limit, work time.Duration) {
	fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", fmt.Sprintf("/job%d", request), limit).
		WithWork("spec", []task.Step{fx.stepOf(work)}).WithRequest(request)))
}

// TestLeavingAnswersInTime guards against an entry that owes an answer when it ends, or refuses a job that has started.
func TestLeavingAnswersInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newLeavingFixture(t)
		within := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "answer_within_ms")) * ms
		lead := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "lead_ms")) * ms
		stop := fx.now + lead
		left := false
		requests := uint64(0)
		for !left || fx.now < stop+within+20*ms {
			if !left && fx.now >= stop {
				left = true
				stop = fx.now
				fx.handle(dispatch.ShutdownRequested(within))
			}
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1, 2:
				requests++
				fx.submitWithin(requests, time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "limit_ms"))*ms,
					time.Duration(rapid.IntRange(1, 8000).Draw(rt, "work_ms"))*ms)
			case 3:
				fx.end(1, rapid.SampledFrom([]task.End{task.EndDone, task.EndFailed, task.EndLost, task.EndNoCapacity}).Draw(rt, "end"))
			default:
				fx.advance(20*ms, 1)
			}
			fx.now += ms
		}
		fx.handle(dispatch.Tick())
		for r := uint64(1); r <= requests; r++ {
			if _, ok := fx.answers[r]; !ok {
				rt.Fatalf("request %d has no answer when the entry ends", r)
			}
		}
		started := map[string]bool{}
		for _, s := range fx.allStarts {
			started[s.Job()] = true
		}
		for r := uint64(1); r <= requests; r++ {
			if fx.answers[r].State() == dispatch.StateRefused && started[fmt.Sprintf("job%d", r)] {
				rt.Fatalf("request %d was refused after a start", r)
			}
		}
		requests++
		fx.submitWithin(requests, time.Second, ms)
		if a := fx.answers[requests]; a.State() != dispatch.StateRefused || a.RetryAfter() != 0 {
			rt.Fatalf("after the last answer: state %s, retry after %v, want refused and 0", a.State(), a.RetryAfter())
		}
	})
}

// TestLeavingServes guards against a leaving entry that refuses more than it must, and against one that starts what it can't end.
func TestLeavingServes(t *testing.T) {
	tests := map[string]struct {
		within time.Duration
		limit  time.Duration
		work   time.Duration
		before bool
		state  dispatch.State
	}{
		"short_work":            {within: 4 * time.Second, limit: 1500 * ms, work: 100 * ms},
		"no_limit":              {within: 4 * time.Second, limit: 20 * time.Second, work: 100 * ms},
		"short_work_near_end":   {within: 500 * ms, limit: 1500 * ms, work: 50 * ms},
		"long_work":             {within: 4 * time.Second, limit: 20 * time.Second, work: 6 * time.Second, state: dispatch.StateRefused},
		"long_work_in_time":     {within: 8 * time.Second, limit: 7 * time.Second, work: 1500 * ms},
		"work_ends_after_entry": {within: 500 * ms, limit: 1500 * ms, work: 600 * ms, state: dispatch.StateRefused},
		"no_time":               {within: 0, limit: 1500 * ms, work: ms, state: dispatch.StateRefused},
		"started_before":        {within: 500 * ms, limit: 20 * time.Second, work: 2 * time.Second, before: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the job is started or refused at once", t, func() {
				fx := newLeavingFixture(t)
				if tt.before {
					fx.submitWithin(1, tt.limit, tt.work)
				}
				fx.handle(dispatch.ShutdownRequested(tt.within))
				if !tt.before {
					fx.submitWithin(1, tt.limit, tt.work)
				}
				So(fx.answers[1].State(), ShouldEqual, tt.state)
				So(fx.started(), ShouldEqual, map[bool]int{true: 1, false: 0}[tt.state == 0])
				if tt.state != 0 {
					So(fx.answers[1].Reason(), ShouldEqual, "leaving")
					return
				}
				fx.advance(tt.within+20*ms, 1)
				So(fx.answers[1].State(), ShouldEqual, dispatch.StateExpired)
				So(len(fx.stops), ShouldEqual, 1)
			})
		})
	}
}
