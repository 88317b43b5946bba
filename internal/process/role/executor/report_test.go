package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// TestOddReportHidesNoTarget guards against a report with a start in the future or a
// sequence number far ahead, after which no report of the target is accepted any more.
func TestOddReportHidesNoTarget(t *testing.T) {
	tests := map[string]struct {
		incarnation executor.Incarnation
		sequence    int64
	}{
		"later_start":     {incarnation: executor.NewIncarnation("i-odd", 1<<52), sequence: 1},
		"same_id":         {incarnation: executor.NewIncarnation("i-1", 1<<52), sequence: 1},
		"sequence_number": {incarnation: executor.NewIncarnation("i-1", 5), sequence: 1 << 52},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the target is followed again after the timeout of reports", t, func() {
				fx := newFixture(t)
				fx.handle(executor.TargetReported(executor.NewReport(tt.incarnation, tt.sequence, "service", "10.0.0.1:2", "zone").
					WithCapacity(nil, fx.capacity).WithState(false, 0, 0, fx.now)))
				for range 12 {
					fx.now += 500 * time.Millisecond
					fx.report(false)
					fx.answerRenewals(nil, nil)
				}
				fx.handle(executor.SessionClosed(session))
				fx.outputs = nil
				fx.openSession()
				So(fx.reportedUsable, ShouldBeTrue)
				So(fx.outputs[len(fx.outputs)-1].Frames()[0].Frame().Target.Incarnation(), ShouldEqual, "i-1@5")
			})
		})
	}
}

// TestForeignReportEndsNoRun guards against two runs of a task: after a report of
// another target, the runs of the one that answers counted as ended.
func TestForeignReportEndsNoRun(t *testing.T) {
	tests := map[string]struct {
		// before is what happens to the known target before the report.
		before func(*fixture)
		want   map[int]task.End
	}{
		"target_answers": {before: func(*fixture) {}, want: map[int]task.End{}},
		"target_has_ended": {
			before: func(fx *fixture) {
				_, renewals, _ := fx.takeOutputs()
				fx.handle(executor.RenewalReplied(renewals[0], executor.ResultNoProcess, 0, 0, nil, nil))
			},
			want: map[int]task.End{0: task.EndLost},
		},
		"target_is_silent": {
			before: func(fx *fixture) {
				_, renewals, _ := fx.takeOutputs()
				fx.handle(executor.RenewalReplied(renewals[0], executor.ResultUnknown, 0, 0, nil, nil))
			},
			want: map[int]task.End{0: task.EndLost},
		},
		"target_has_left": {
			before: func(fx *fixture) { fx.handle(executor.TargetLeft("i-1")) },
			want:   map[int]task.End{0: task.EndLost},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("runs end only when the known target has ended or is silent", t, func() {
				fx := newFixture(t)
				fx.takeOutputs()
				fx.start(0)
				for _, c := range fx.outputs[len(fx.outputs)-1].Commands() {
					fx.handle(executor.CommandReplied(c, executor.ResultDone, fx.now))
				}
				tt.before(fx)
				fx.handle(executor.TargetReported(executor.NewReport(executor.NewIncarnation("i-2", 1<<40), 1, "other", "10.0.0.1:2", "zone").
					WithCapacity(nil, fx.capacity).WithState(false, 0, 0, fx.now)))
				_, _, ended := fx.takeOutputs()
				So(ends(ended), ShouldResemble, tt.want)
			})
		})
	}
}

// openSession opens a connection to an entry.
func (fx *fixture) openSession() {
	fx.handle(executor.SessionOpened(session, frame.NewHello("entry", 1, "zone", "", frame.RoleEntry)))
}
