package executor_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// TestUsable guards against a target that stays idle because entries are not
// notified when it takes work again, or that gets work because they are not
// notified when it stops.
func TestUsable(t *testing.T) {
	tests := map[string]struct {
		act    func(*fixture)
		usable bool
	}{
		"lists_unanswered": {
			act:    (*fixture).dropRenewals,
			usable: false,
		},
		"an_order_answered_after_lists_were_not": {
			act: func(fx *fixture) {
				commands, _, _ := fx.takeOutputs()
				fx.dropRenewals()
				fx.handle(executor.CommandReplied(commands[0], executor.ResultDone, fx.now))
			},
			usable: true,
		},
		"orders_unanswered": {
			act: func(fx *fixture) {
				commands, _, _ := fx.takeOutputs()
				for _, c := range commands {
					fx.handle(executor.CommandReplied(c, executor.ResultUnknown, 0))
				}
			},
			usable: false,
		},
		"order_for_another_boot": {
			act: func(fx *fixture) {
				commands, _, _ := fx.takeOutputs()
				fx.handle(executor.CommandReplied(commands[0], executor.ResultOtherIncarnation, fx.now))
			},
			usable: false,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the entry knows whether the target takes work", t, func() {
				fx := newFixture(t)
				fx.start(0, 1)
				tt.act(fx)
				So(fx.reportedUsable, ShouldEqual, tt.usable)
			})
		})
	}
}

// dropRenewals leaves renewals unanswered until the entry is notified.
func (fx *fixture) dropRenewals() {
	for range 20 {
		_, renewals, _ := fx.takeOutputs()
		for _, renewal := range renewals {
			fx.handle(executor.RenewalReplied(renewal, executor.ResultUnknown, 0, 0, nil, nil))
		}
		if !fx.reportedUsable {
			return
		}
		fx.now += 60 * ms
		fx.handle(executor.Tick())
	}
}
