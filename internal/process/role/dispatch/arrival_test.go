package dispatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// TestArrival guards against an entry that counts the caller's time from its decision
// although the request arrived before.
func TestArrival(t *testing.T) {
	tests := map[string]struct {
		waited time.Duration
		state  dispatch.State
		// endsAfter is the time from the arrival to the answer of a job that is not refused.
		endsAfter time.Duration
	}{
		"at_once":              {state: dispatch.StateExpired, endsAfter: 1500 * ms},
		"waited":               {waited: 400 * ms, state: dispatch.StateExpired, endsAfter: 1500 * ms},
		"no_time_left":         {waited: 1490 * ms, state: dispatch.StateRefused},
		"past_its_deadline":    {waited: 3 * time.Second, state: dispatch.StateRefused},
		"clock_of_another_day": {waited: -time.Hour, state: dispatch.StateExpired, endsAfter: 1500 * ms},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the caller's time counts from the arrival", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(1, "a")
				arrived := fx.now - x.waited
				began := fx.now - max(x.waited, 0)
				fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", "/job", 1500*ms).
					WithWork("spec", []task.Step{fx.step(1, 1000)}).ArrivedAt(arrived).WithRequest(1)))
				if x.state == dispatch.StateRefused {
					So(fx.answers[1].State(), ShouldEqual, dispatch.StateRefused)
					So(fx.starts, ShouldBeEmpty)
					return
				}
				So(len(fx.starts), ShouldEqual, 1)
				for fx.answers[1].State() == 0 {
					fx.advance(20*ms, 1)
				}
				So(fx.answers[1].State(), ShouldEqual, x.state)
				So(fx.now-began, ShouldBeBetweenOrEqual, x.endsAfter, x.endsAfter+20*ms)
			})
		})
	}
}
