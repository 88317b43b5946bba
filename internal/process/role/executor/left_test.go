package executor_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// TestLateDeregistration guards against an agent that gives its target no work any more,
// since the deregistration of an earlier incarnation under the same id came late.
func TestLateDeregistration(t *testing.T) {
	tests := map[string]struct {
		act    func(*fixture)
		usable bool
	}{
		"target_reports_again": {
			act:    func(fx *fixture) { fx.report(false) },
			usable: true,
		},
		"target_is_silent": {
			act: func(*fixture) {},
		},
		"delayed_report_of_a_target_that_drains": {
			act: func(fx *fixture) { fx.report(true) },
		},
		"report_of_before": {
			act: func(fx *fixture) {
				fx.count--
				fx.report(false)
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the target gets work if it reports after its deregistration", t, func() {
				fx := newFixture(t)
				fx.restart()
				fx.answerRenewals(nil, nil)
				So(fx.reportedUsable, ShouldBeTrue)
				fx.now += 1000 * ms
				fx.handle(executor.TargetLeft("i-1"))
				tt.act(fx)
				fx.handle(executor.SessionClosed(session))
				fx.openSession()
				So(fx.reportedUsable, ShouldEqual, tt.usable)
			})
		})
	}
}
