package departure_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/departure"
)

const ms = time.Millisecond

// TestGain guards against work that is lost with a target that gave notice although it
// could have moved, and against work that is thrown away although it would have ended.
func TestGain(t *testing.T) {
	tests := map[string]struct {
		run       departure.Run
		notice    departure.Notice
		elsewhere departure.Elsewhere
		moves     bool
	}{
		"ends_before_the_target_leaves": {
			run:       departure.NewRun(500*ms, 700*ms, 0.15, 5*time.Second),
			notice:    departure.NewNotice(2*time.Second, 1178*ms),
			elsewhere: departure.NewElsewhere(700*ms, 60*ms),
		},
		"lost_and_too_late_for_another_run": {
			run:       departure.NewRun(100*ms, 4*time.Second, 0.15, 5*time.Second),
			notice:    departure.NewNotice(2*time.Second, 1178*ms),
			elsewhere: departure.NewElsewhere(4*time.Second, 60*ms),
			moves:     true,
		},
		"lost_with_time_for_another_run": {
			run:       departure.NewRun(100*ms, 4*time.Second, 0.15, 30*time.Second),
			notice:    departure.NewNotice(2*time.Second, 1178*ms),
			elsewhere: departure.NewElsewhere(4*time.Second, 60*ms),
		},
		"no_time_elsewhere": {
			run:       departure.NewRun(2*time.Second, 4*time.Second, 0.15, 3*time.Second),
			notice:    departure.NewNotice(time.Second, 1178*ms),
			elsewhere: departure.NewElsewhere(4*time.Second, 60*ms),
		},
		"only_slow_targets_elsewhere": {
			run:       departure.NewRun(time.Second, 3*time.Second, 0.15, 4*time.Second),
			notice:    departure.NewNotice(1500*ms, 1178*ms),
			elsewhere: departure.NewElsewhere(8*time.Second, 60*ms),
		},
		"length_unknown_and_notice_short": {
			run:       departure.NewRun(100*ms, 900*ms, 0.5, 1500*ms),
			notice:    departure.NewNotice(200*ms, 1178*ms),
			elsewhere: departure.NewElsewhere(800*ms, 60*ms),
			moves:     true,
		},
		"overdue_target": {
			run:       departure.NewRun(100*ms, 900*ms, 0.15, 1500*ms),
			notice:    departure.NewNotice(-time.Second, 1178*ms),
			elsewhere: departure.NewElsewhere(800*ms, 60*ms),
			moves:     true,
		},
		"longer_than_expected_already": {
			run:       departure.NewRun(10*time.Second, 900*ms, 0.15, 20*time.Second),
			notice:    departure.NewNotice(time.Second, 1178*ms),
			elsewhere: departure.NewElsewhere(900*ms, 60*ms),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a run moves only if its job gains by it", t, func() {
				gain := departure.Gain(tt.run, tt.notice, tt.elsewhere)
				So(gain > 0, ShouldEqual, tt.moves)
				So(gain, ShouldBeBetweenOrEqual, 0, 1)
			})
		})
	}
}

// A run of 4 s has just begun on a target that leaves in 2 s. The caller waits for 5 s, so
// the task must start elsewhere now, not when the run is lost.
func ExampleGain() {
	run := departure.NewRun(100*time.Millisecond, 4*time.Second, 0.15, 5*time.Second)
	notice := departure.NewNotice(2*time.Second, time.Second)
	elsewhere := departure.NewElsewhere(4*time.Second, 60*time.Millisecond)
	fmt.Printf("%.2f\n", departure.Gain(run, notice, elsewhere))
	// Output: 0.92
}
