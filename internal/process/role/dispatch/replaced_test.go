package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
)

// replace announces a new incarnation of a target.
func (fx *fixture) replace(session uint64, incarnation string, usable bool, labels ...string) {
	t := frame.NewTarget(incarnation, "service", "zone", labels, usable).WithCapacity(30000, 65536, 0)
	r := frame.NewFreeCapacity(30000, 65536, 0, 0, 0)
	fx.frame(session, frame.Frame{
		Target:           &t,
		FreeCapacity:     &r,
		EarlierRunsEnded: true,
	})
}

// TestReplacedTarget guards against a target that ends again and again and gets full work
// each time, with all of it lost, and against a sound one that is kept from work.
func TestReplacedTarget(t *testing.T) {
	tests := map[string]struct {
		// lives are how long the previous incarnations lasted.
		lives []time.Duration
		// reconnects is set if only the connection is new.
		reconnects bool
		started    int
	}{
		"first":                {started: 5},
		"replaced_after_long":  {lives: []time.Duration{20 * time.Second}, started: 5},
		"flaps":                {lives: []time.Duration{1500 * ms, 1500 * ms}, started: 1},
		"flaps_and_reconnects": {lives: []time.Duration{1500 * ms}, reconnects: true, started: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the target gets work, or a probe", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(1, "target", "a", "r1")
				for i, d := range tt.lives {
					fx.advance(d, 1)
					fx.replace(1, fmt.Sprintf("i-%d", i), true, "a", "r1")
				}
				session := uint64(1)
				if tt.reconnects {
					session = 2
					fx.handle(dispatch.SessionOpened(session, frame.NewHello("target", 1, "zone", "", frame.RoleAgent)))
					fx.replace(session, fmt.Sprintf("i-%d", len(tt.lives)-1), true, "a", "r1")
				}
				fx.submit(1, "job", fx.step(5, 1000))
				So(fx.started(), ShouldEqual, tt.started)
			})
		})
	}
}

// TestSlowKind guards against a new target of a kind that is three times as slow and gets a
// job that only the faster kind can end in time, and against a new target of the faster
// kind that gets nothing before it has been measured.
func TestSlowKind(t *testing.T) {
	tests := map[string]struct {
		label string
		used  bool
	}{
		"fast": {label: "a", used: true},
		"slow": {label: "b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the new target is used if its kind can end the job", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(fastSession, "fast", "a", "r1")
				fx.agent(slowSession, "slow", "b", "r1")
				fx.train()
				fx.submit(2, "busy_1", fx.step(1, 30000))
				fx.submit(3, "busy_2", fx.step(1, 30000))
				fx.starts = nil
				fx.agent(3, "new", tt.label, "r1")
				fx.submit(1, "long", fx.stepOf(10*time.Second))
				fx.advance(100*ms, fastSession, slowSession, 3)
				So(fx.sessionOf["long"] == 3, ShouldEqual, tt.used)
			})
		})
	}
}
