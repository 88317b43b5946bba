package executor_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// told returns a frame of the entry that tells a set of evacuated zones. The target of the
// fixture is in the zone "zone".
func (fx *fixture) told(revision int64, zones ...string) frame.Frame {
	return frame.Frame{
		Echo:      fx.now,
		Evacuated: evacuation.New(revision, zones),
	}
}

// TestEvacuation guards against a start in an evacuated zone: one that comes with the
// request, waits at the agent, or would be sent to the target again.
func TestEvacuation(t *testing.T) {
	tests := map[string]struct {
		run func(*fixture)
		// started has the tasks that the target was asked to start, and ended the ends that
		// were reported.
		started []int
		ended   map[int]task.End
		usable  bool
	}{
		"start_after_it": {
			run: func(fx *fixture) {
				fx.frame(fx.told(5, "zone"))
				fx.now += 10 * ms
				fx.start(0)
			},
			ended: map[int]task.End{0: task.EndRefused},
		},
		"start_in_the_same_frame": {
			run: func(fx *fixture) {
				f := fx.told(5, "zone")
				f.Starts = []frame.Start{frame.NewStart(1, "job", 0, []int{0}, []int64{1}, "spec").WithResources(10000, 64, 0).WithTimes(fx.now+500*ms, time.Second, 0)}
				fx.frame(f)
			},
			ended: map[int]task.End{0: task.EndRefused},
		},
		"queued_start": {
			run: func(fx *fixture) {
				fx.start(0, 1, 2, 3)
				fx.frame(fx.told(5, "zone"))
			},
			started: []int{0, 1, 2},
			ended:   map[int]task.End{3: task.EndRefused},
		},
		"refused_for_its_fence": {
			run: func(fx *fixture) {
				fx.start(0)
				fx.frame(fx.told(5, "zone"))
				commands, _, _ := fx.takeOutputs()
				fx.handle(executor.CommandReplied(commands[0], executor.ResultStaleFence, fx.now))
			},
			ended: map[int]task.End{0: task.EndRefused},
		},
		"other_zone": {
			run: func(fx *fixture) {
				fx.frame(fx.told(5, "another"))
				fx.start(0)
			},
			started: []int{0},
			ended:   map[int]task.End{},
			usable:  true,
		},
		"taken_back": {
			run: func(fx *fixture) {
				fx.frame(fx.told(5, "zone"))
				fx.frame(fx.told(6))
				fx.now += 10 * ms
				fx.start(0)
			},
			started: []int{0},
			ended:   map[int]task.End{},
			usable:  true,
		},
		"older_set": {
			run: func(fx *fixture) {
				fx.frame(fx.told(5, "zone"))
				fx.frame(fx.told(4))
				fx.now += 10 * ms
				fx.start(0)
			},
			ended: map[int]task.End{0: task.EndRefused},
		},
		"target_starts_again": {
			run: func(fx *fixture) {
				fx.frame(fx.told(5, "zone"))
				fx.incarnation = executor.NewIncarnation("i-2", 9)
				fx.report(false)
				fx.answerRenewals(nil, nil)
				fx.now += 10 * ms
				fx.start(0)
			},
			ended: map[int]task.End{0: task.EndRefused},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("nothing starts in the zone, and the entry is told", t, func() {
				fx := newFixture(t)
				fx.now += 10 * ms
				tt.run(fx)
				commands, _, ended := fx.takeOutputs()
				So(kinds(commands, executor.CommandStart), ShouldResemble, tt.started)
				So(ends(ended), ShouldResemble, tt.ended)
				So(fx.reportedUsable, ShouldEqual, tt.usable)
				So(strings.Join(fx.s.DescribeEvacuations(fx.now), "\n"), ShouldNotContainSubstring, "starts_since=1")
			})
		})
	}
}

// TestEvacuationIsPassedOn guards against an entry that the store turns away and that no
// agent tells.
func TestEvacuationIsPassedOn(t *testing.T) {
	Convey("another entry is told once, and the one that told is not", t, func() {
		fx := newFixture(t)
		fx.handle(executor.SessionOpened(8, frame.NewHello("entry_2", 1, "zone", "", frame.RoleEntry)))
		fx.frame(fx.told(5, "zone"))
		for range 10 {
			fx.now += 60 * ms
			for _, n := range []uint64{session, 8} {
				fx.handle(executor.FrameReceived(n, frame.Frame{
					Echo: fx.now,
				}))
			}
		}
		told := map[uint64]int{}
		for _, o := range fx.outputs {
			for _, f := range o.Frames() {
				if f.Frame().Evacuated.Has("zone") {
					told[f.Session()]++
				}
			}
		}
		So(told, ShouldResemble, map[uint64]int{8: 1})
	})
}
