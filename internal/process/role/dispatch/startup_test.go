package dispatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
)

// TestStartupHoldsRequests guards against an entry that has just started and refuses what it can serve a moment later, or runs what was cancelled meanwhile.
func TestStartupHoldsRequests(t *testing.T) {
	connect := func(fx *fixture) {
		fx.version(1, 3)
		fx.agent(1, "agent")
	}
	tests := map[string]struct {
		run     func(fx *fixture)
		state   dispatch.State
		started int
	}{
		"configuration_and_target_come": {
			run: func(fx *fixture) {
				fx.advance(100 * ms)
				connect(fx)
			},
			started: 1,
		},
		"target_comes_after_configuration": {
			run: func(fx *fixture) {
				fx.version(1, 3)
				fx.advance(100 * ms)
				fx.agent(1, "agent")
			},
			started: 1,
		},
		"still_waiting": {
			run: func(fx *fixture) { fx.advance(300 * ms) },
		},
		"nothing_comes": {
			run:   func(fx *fixture) { fx.advance(420 * ms) },
			state: dispatch.StateRefused,
		},
		"target_comes_too_late_for_the_caller": {
			run: func(fx *fixture) {
				fx.now += 1600 * ms
				connect(fx)
			},
			state: dispatch.StateRefused,
		},
		"entry_leaves": {
			run:   func(fx *fixture) { fx.handle(dispatch.ShutdownRequested(5 * time.Second)) },
			state: dispatch.StateRefused,
		},
		"caller_leaves": {
			run: func(fx *fixture) {
				fx.handle(dispatch.CallerLeft(1))
				connect(fx)
			},
		},
		"caller_cancels": {
			run: func(fx *fixture) {
				fx.version(1, 3)
				fx.handle(dispatch.CancelRequested(2, "", "/job"))
				connect(fx)
			},
			state: dispatch.StateCancelled,
		},
		"cancelled_at_another_entry": {
			run: func(fx *fixture) {
				fx.handle(dispatch.SessionOpened(5, frame.NewHello("entry_2", 1, "zone", "", frame.RoleEntry)))
				fx.handle(dispatch.FrameReceived(5, frame.Frame{
					Cancels: []string{"job"},
				}))
				connect(fx)
			},
			state: dispatch.StateCancelled,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the request is started, held or refused", t, func() {
				fx := newFixture(t)
				fx.handle(dispatch.Tick())
				fx.submit(1, "job", fx.step(1, 1000))
				tt.run(fx)
				So(fx.answers[1].State(), ShouldEqual, tt.state)
				So(fx.started(), ShouldEqual, tt.started)
			})
		})
	}
}
