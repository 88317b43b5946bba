package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// TestLeaveTime guards against an entry that does not learn when a target leaves, or that
// goes on to believe a notice that was withdrawn.
func TestLeaveTime(t *testing.T) {
	tests := map[string]struct {
		draining  bool
		remaining time.Duration
		// wait is the time between the notice and the next report, of which next remains.
		wait    time.Duration
		next    time.Duration
		back    bool
		reports int
		want    time.Duration
	}{
		"notice":                     {draining: true, remaining: 2 * time.Second, reports: 1, want: 2 * time.Second},
		"drain_without_a_time":       {draining: true, reports: 1},
		"time_of_a_target_that_does": {remaining: 2 * time.Second},
		"same_time_again":            {draining: true, remaining: 2 * time.Second, wait: 100 * ms, next: 1900 * ms, reports: 1, want: 2 * time.Second},
		"earlier_than_said":          {draining: true, remaining: 2 * time.Second, wait: 100 * ms, next: 200 * ms, reports: 2, want: 200 * ms},
		"withdrawn":                  {draining: true, remaining: 2 * time.Second, wait: 100 * ms, back: true, reports: 2},
		"overdue":                    {draining: true, remaining: 100 * ms, wait: 200 * ms, reports: 1, want: 100 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the entry knows how long the target still runs what it has", t, func() {
				fx := newFixture(t)
				fx.start(0, 1)
				fx.takeOutputs()
				fx.leave(tt.draining, tt.remaining)
				if tt.wait > 0 {
					fx.now += tt.wait
					fx.leave(!tt.back, tt.next)
				}
				var in []time.Duration
				for _, o := range fx.outputs {
					for _, f := range o.Frames() {
						if target := f.Frame().Target; target != nil {
							in = append(in, target.LeavesIn())
						}
					}
				}
				So(in, ShouldHaveLength, tt.reports)
				if tt.reports > 0 {
					So(in[len(in)-1], ShouldEqual, tt.want)
				}
			})
		})
	}
}

// leave sends a report of the target with the time for which it still serves.
func (fx *fixture) leave(draining bool, remaining time.Duration) {
	fx.count++
	fx.handle(executor.TargetReported(executor.NewReport(fx.incarnation, fx.count, "service", "10.0.0.1:1", "zone").
		WithCapacity([]string{"a", "r1"}, fx.capacity).WithState(draining, remaining, 0, fx.now)))
}
