package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// TestLeavingStopsRuns guards against an agent that ends beside a run, for whose lease entries then wait, and against one that stops runs too soon.
func TestLeavingStopsRuns(t *testing.T) {
	tests := map[string]struct {
		runsWithin time.Duration
		stops      []int
	}{
		"time_is_left": {runsWithin: time.Second},
		"time_is_over": {runsWithin: 400 * ms, stops: []int{0}},
		"no_time":      {stops: []int{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the run is stopped when the time is over", t, func() {
				fx := newFixture(t)
				fx.start(0)
				fx.handle(executor.ShutdownRequested(tt.runsWithin))
				var stops []int
				for range 40 {
					commands, _, _ := fx.takeOutputs()
					stops = append(stops, kinds(commands, executor.CommandStop)...)
					fx.now += 20 * ms
					fx.frame(frame.Frame{
						Echo: fx.now,
					})
				}
				So(len(stops) > 0, ShouldEqual, len(tt.stops) > 0)
				if len(stops) > 0 {
					So(stops[0], ShouldEqual, tt.stops[0])
				}
			})
		})
	}
}
