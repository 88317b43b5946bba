package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// reportAs reports the target with another service, labels and capacity.
func (fx *fixture) reportAs(incarnation executor.Incarnation, service string, labels []string, milliCores int64) {
	capacity, err := task.NewResources(milliCores, 65536, 0)
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.incarnation = incarnation
	fx.count++
	fx.handle(executor.TargetReported(executor.NewReport(incarnation, fx.count, service, "10.0.0.1:1", "zone").
		WithCapacity(labels, capacity).WithState(false, 0, 0, fx.now)))
	fx.collect()
	for _, renewal := range fx.renewals {
		fx.handle(executor.RenewalReplied(renewal, executor.ResultDone, incarnation.Started(), fx.now, nil, nil))
	}
	fx.renewals = nil
}

// TestStartForOlderTarget guards against a start on a target of another kind: the entry
// placed the task before it knew that the agent's target had changed.
func TestStartForOlderTarget(t *testing.T) {
	same := executor.NewIncarnation("i-1", 5)
	tests := map[string]struct {
		change func(*fixture)
		// started tells whether a start is carried out that was placed before the change.
		started bool
	}{
		"another_target": {change: func(fx *fixture) {
			fx.reportAs(executor.NewIncarnation("i-2", 6), "service", []string{"c", "r1"}, 32_000)
		}},
		"another_of_same_kind": {change: func(fx *fixture) {
			fx.reportAs(executor.NewIncarnation("i-2", 6), "service", []string{"a", "r1"}, 32_000)
		}},
		"restart_under_its_id": {change: func(fx *fixture) {
			fx.reportAs(executor.NewIncarnation("i-1", 6), "service", []string{"c", "r1"}, 32_000)
		}},
		"other_label":   {change: func(fx *fixture) { fx.reportAs(same, "service", []string{"c", "r1"}, 32_000) }},
		"other_service": {change: func(fx *fixture) { fx.reportAs(same, "other", []string{"a", "r1"}, 32_000) }},
		"less_capacity": {change: func(fx *fixture) { fx.reportAs(same, "service", []string{"a", "r1"}, 5_000) }},
		"draining":      {change: func(fx *fixture) { fx.report(true) }},
		"changed_twice": {change: func(fx *fixture) {
			fx.reportAs(executor.NewIncarnation("i-2", 6), "service", []string{"c", "r1"}, 32_000)
			fx.now += ms
			fx.reportAs(executor.NewIncarnation("i-3", 7), "service", []string{"a", "r1"}, 32_000)
		}},
		"more_capacity": {change: func(fx *fixture) { fx.reportAs(same, "service", []string{"a", "r1"}, 64_000) }, started: true},
		"same_again":    {change: func(fx *fixture) { fx.report(false) }, started: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a start is refused if it was placed on an earlier target", t, func() {
				fx := newFixture(t)
				// The time of the newest frame to the entry.
				placed := fx.now
				fx.collect()
				fx.now += ms
				tt.change(fx)
				fx.collect()
				fx.now += ms
				fx.startPlaced(placed, 0)
				if tt.started {
					So(kinds(fx.collect(), executor.CommandStart), ShouldResemble, []int{0})
					return
				}
				So(kinds(fx.collect(), executor.CommandStart), ShouldBeEmpty)
				So(ends(fx.ended), ShouldResemble, map[int]task.End{0: task.EndRefused})
			})
		})
	}
}

// TestQueuedStartOfOlderTarget guards against a start that waits for capacity while the
// target becomes another one.
func TestQueuedStartOfOlderTarget(t *testing.T) {
	tests := map[string]executor.Incarnation{
		"another_target": executor.NewIncarnation("i-2", 6),
		"other_label":    executor.NewIncarnation("i-1", 5),
	}
	for name, incarnation := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the start is refused, and one placed on the new target is carried out", t, func() {
				fx := newFixture(t)
				fx.start(0, 1, 2, 3)
				if incarnation.ID() != "i-1" {
					fx.handle(executor.TargetLeft("i-1"))
				}
				fx.reportAs(incarnation, "service", []string{"c", "r1"}, 64_000)
				fx.collect()
				So(ends(fx.ended)[3], ShouldEqual, task.EndRefused)
				fx.now += time.Millisecond
				fx.start(4)
				So(kinds(fx.collect(), executor.CommandStart), ShouldResemble, []int{4})
			})
		})
	}
}
