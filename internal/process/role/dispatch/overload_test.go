package dispatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// TestOverload guards against an entry that accepts jobs although it is too late with
// everything, loses its sessions and the runs of all its callers.
func TestOverload(t *testing.T) {
	tests := map[string]struct {
		lag time.Duration
		// later is the time from the last late event to the request.
		later  time.Duration
		reason string
	}{
		"in_time":          {lag: 20 * ms},
		"late":             {lag: 90 * ms},
		"too_late":         {lag: 110 * ms, reason: dispatch.ReasonOverloaded},
		"too_late_before":  {lag: 200 * ms, later: 150 * ms, reason: dispatch.ReasonOverloaded},
		"in_time_again":    {lag: 200 * ms, later: 500 * ms},
		"frozen_and_awake": {lag: time.Hour, later: 500 * ms},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a job is refused while the entry is overloaded", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(1, "a")
				fx.now = 2 * time.Hour
				fx.agent(1, "a")
				fx.handle(dispatch.FrameReceived(1, frame.Frame{
					Clock: fx.clock,
				}).QueuedAt(fx.now - x.lag))
				fx.advance(x.later, 1)
				fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", "/job", 1500*ms).
					WithWork("spec", []task.Step{fx.step(1, 1000)}).WithRequest(1)))
				So(fx.answers[1].Reason(), ShouldEqual, x.reason)
				if x.reason == "" {
					So(len(fx.starts), ShouldEqual, 1)
					return
				}
				So(fx.answers[1].State(), ShouldEqual, dispatch.StateRefused)
				So(fx.answers[1].RetryAfter(), ShouldBeGreaterThan, 0)
				So(fx.starts, ShouldBeEmpty)
			})
		})
	}
}
