package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
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

// openSession opens a connection to an entry.
func (fx *fixture) openSession() {
	fx.handle(executor.SessionOpened(session, frame.NewHello("entry", 1, "zone", "", frame.RoleEntry)))
}
