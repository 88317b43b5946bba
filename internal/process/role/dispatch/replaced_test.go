package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
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

// TestReplacedTarget guards against a suspect target that is trusted again since its agent
// connected anew, and against a new incarnation that pays for the failures of the last one.
func TestReplacedTarget(t *testing.T) {
	tests := map[string]struct {
		incarnation string
		started     int
	}{
		"same_incarnation": {incarnation: "i-target"},
		"replaced":         {incarnation: "i-next", started: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a failing incarnation gets no work until its pause is over", t, func() {
				fx := newFixture(t)
				fx.version(1, 9)
				fx.agent(1, "target", "a", "r1")
				for i := range 3 {
					fx.submit(uint64(10+i), fmt.Sprintf("failing_%d", i), fx.step(1, 1000))
					fx.end(1, task.EndFailed)
				}
				fx.starts = nil
				fx.handle(dispatch.SessionOpened(2, frame.NewHello("target", 1, "zone", "", frame.RoleAgent)))
				fx.replace(2, tt.incarnation, true, "a", "r1")
				fx.starts = nil
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
