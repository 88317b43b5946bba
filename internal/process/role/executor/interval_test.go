package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// TestReportInterval guards against agents that report more often than their entry
// can take, and against ends that wait for a report.
func TestReportInterval(t *testing.T) {
	tests := map[string]struct {
		asked time.Duration
		want  time.Duration
	}{
		"not_asked": {want: 25 * ms},
		"too_short": {asked: ms, want: 25 * ms},
		"asked":     {asked: 70 * ms, want: 70 * ms},
		"long":      {asked: time.Minute, want: 200 * ms},
		"not_whole": {asked: 68750 * time.Microsecond, want: 69 * ms},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("capacity is reported in the interval, and an end at once", t, func() {
				fx := newFixture(t)
				fx.handle(executor.FrameReceived(session, frame.Frame{
					Echo:           fx.now,
					ReportInterval: x.asked,
				}))
				sent := fx.now
				fx.start(0)
				waited := time.Duration(0)
				for ; waited < time.Second; waited += ms {
					fx.now = sent + waited
					if len(fx.handle(executor.Tick()).Frames()) > 0 {
						break
					}
				}
				So(waited, ShouldEqual, x.want)
				fx.now += 2 * ms
				fx.answerRenewals(nil, []executor.FinishedRun{executor.NewFinishedRun(1, run(0), 1)})
				_, _, ended := fx.takeOutputs()
				So(len(ended), ShouldEqual, 1)
			})
		})
	}
}
