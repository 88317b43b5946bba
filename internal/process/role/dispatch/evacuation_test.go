package dispatch_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// zoneAgent connects an agent of a zone, whose target has 30 cores and is still warming up.
func (fx *fixture) zoneAgent(session uint64, zone string, warmUp time.Duration) {
	fx.handle(dispatch.SessionOpened(session, frame.NewHello("agent_"+zone, session, zone, "", frame.RoleAgent)))
	t := frame.NewTarget("i-"+zone, "service", zone, []string{"a", "r1"}, true).WithCapacity(30000, 65536, 0).WithWarmUp(warmUp)
	r := frame.NewFreeCapacity(30000, 65536, 0, 0, 0)
	fx.frame(session, frame.Frame{
		Target:           &t,
		FreeCapacity:     &r,
		EarlierRunsEnded: true,
	})
}

func (fx *fixture) evacuate(revision int64, zones ...string) {
	fx.handle(dispatch.EvacuationsRead(evacuation.New(revision, zones)))
}

// TestEvacuation guards against a start in an evacuated zone, against a process that goes
// back to an earlier set, and against callers that wait for targets that get no work.
func TestEvacuation(t *testing.T) {
	tests := map[string]struct {
		run func(*fixture)
		// sessions has the sessions that got the starts.
		sessions []uint64
		state    dispatch.State
		reason   string
		ready    bool
	}{
		"other_zone_serves": {
			run:      func(fx *fixture) { fx.evacuate(5, "a") },
			sessions: []uint64{2},
			ready:    true,
		},
		"told_by_another_entry": {
			run: func(fx *fixture) {
				fx.handle(dispatch.SessionOpened(9, frame.NewHello("entry_2", 1, "a", "", frame.RoleEntry)))
				fx.frame(9, frame.Frame{
					Evacuated: evacuation.New(5, []string{"a"}),
				})
			},
			sessions: []uint64{2},
			ready:    true,
		},
		"told_by_an_agent": {
			run: func(fx *fixture) {
				fx.frame(2, frame.Frame{
					Evacuated: evacuation.New(5, []string{"a"}),
				})
			},
			sessions: []uint64{2},
			ready:    true,
		},
		"older_set_changes_nothing": {
			run: func(fx *fixture) {
				fx.evacuate(5, "a")
				fx.frame(1, frame.Frame{
					Evacuated: evacuation.New(4, []string{"b"}),
				})
			},
			sessions: []uint64{2},
			ready:    true,
		},
		"same_zones_later_hold_against_older": {
			run: func(fx *fixture) {
				fx.evacuate(5, "a")
				fx.evacuate(9, "a")
				fx.frame(1, frame.Frame{
					Evacuated: evacuation.New(7, []string{"b"}),
				})
			},
			sessions: []uint64{2},
			ready:    true,
		},
		"unknown_zone": {
			run:      func(fx *fixture) { fx.evacuate(5, "c") },
			sessions: []uint64{1, 2},
			ready:    true,
		},
		"taken_back": {
			run: func(fx *fixture) {
				fx.evacuate(5, "a")
				fx.evacuate(6)
			},
			sessions: []uint64{1, 2},
			ready:    true,
		},
		"reconnects_meanwhile": {
			run: func(fx *fixture) {
				fx.evacuate(5, "a")
				fx.handle(dispatch.SessionClosed(1))
				fx.zoneAgent(3, "a", 0)
			},
			sessions: []uint64{2},
			ready:    true,
		},
		"target_of_another_zone": {
			run: func(fx *fixture) {
				fx.evacuate(5, "c")
				target := frame.NewTarget("i-a", "service", "c", []string{"a", "r1"}, true).WithCapacity(30000, 65536, 0)
				fx.frame(1, frame.Frame{
					Target: &target,
				})
			},
			sessions: []uint64{2},
			ready:    true,
		},
		"all_zones": {
			run:    func(fx *fixture) { fx.evacuate(5, "a", "b") },
			state:  dispatch.StateRefused,
			reason: event.ReasonEvacuated,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("work goes to the other zones only, or is refused at once", t, func() {
				fx := newFixture(t)
				fx.version(1, 1)
				fx.zoneAgent(1, "a", 0)
				fx.zoneAgent(2, "b", 0)
				tt.run(fx)
				// Each of the two jobs needs more than half of a target.
				got := map[uint64]bool{}
				for i, job := range []string{"job1", "job2"} {
					fx.submit(uint64(i+1), job, fx.step(1, 16000))
					if s, ok := fx.sessionOf[job]; ok {
						got[s] = true
					}
				}
				So(got, ShouldHaveLength, len(tt.sessions))
				for _, s := range tt.sessions {
					So(got[s], ShouldBeTrue)
				}
				So(fx.answers[1].State(), ShouldEqual, tt.state)
				So(fx.answers[1].Reason(), ShouldEqual, tt.reason)
				So(fx.answers[1].RetryAfter() > 0, ShouldEqual, tt.state == dispatch.StateRefused)
				So(fx.d.Ready(), ShouldEqual, tt.ready)
				So(strings.Join(fx.d.DescribeEvacuations(fx.now), "\n"), ShouldNotContainSubstring, "starts_since=1")
			})
		})
	}
}

// TestEvacuationOfQueue guards against queued jobs that wait for targets that get no work,
// and against runs that are stopped although they may end.
func TestEvacuationOfQueue(t *testing.T) {
	Convey("a job that runs ends, and one that waits is refused", t, func() {
		fx := newFixture(t)
		fx.version(1, 1)
		fx.zoneAgent(1, "a", 0)
		fx.submit(1, "job1", fx.step(1, 30000))
		fx.submit(2, "job2", fx.step(1, 30000))
		So(fx.started(), ShouldEqual, 1)
		fx.evacuate(5, "a")
		So(fx.stops, ShouldBeEmpty)
		So(fx.answers[2].State(), ShouldEqual, dispatch.StateRefused)
		So(fx.answers[2].RetryAfter(), ShouldBeGreaterThan, 0)
		fx.end(1, task.EndDone)
		So(fx.answers[1].State(), ShouldEqual, dispatch.StateComplete)
	})
}

// TestEvacuationFrames guards against a process that is not told of a set that it lacks, and
// against frames that repeat what is known.
func TestEvacuationFrames(t *testing.T) {
	tests := map[string]struct {
		run  func(*fixture)
		want []int64
	}{
		"nothing_known": {run: func(fx *fixture) { fx.advance(time.Second, 1) }},
		"change":        {run: func(fx *fixture) { fx.evacuate(5, "a") }, want: []int64{5}},
		"told_once": {
			run: func(fx *fixture) {
				fx.evacuate(5, "a")
				fx.evacuate(8, "a")
				fx.advance(time.Second, 1)
			},
			want: []int64{5},
		},
		"agent_knows": {
			run: func(fx *fixture) {
				fx.frame(1, frame.Frame{
					Evacuated: evacuation.New(5, []string{"a"}),
				})
				fx.evacuate(5, "a")
			},
		},
		"agent_is_behind": {
			run: func(fx *fixture) {
				fx.evacuate(8, "a")
				fx.frame(1, frame.Frame{
					Evacuated: evacuation.New(7, nil),
				})
				fx.handle(dispatch.SessionClosed(1))
				fx.agent(1, "agent_1")
			},
			want: []int64{8, 8},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the agent is told each set that it lacks, once", t, func() {
				fx := newFixture(t)
				fx.version(1, 1)
				fx.agent(1, "agent_1")
				fx.evacuated = nil
				tt.run(fx)
				So(fx.evacuated, ShouldResemble, tt.want)
			})
		})
	}
}

// TestWarmUp guards against a target that is cold once and never gets work again, and
// against one that gets it while a warm one ends it sooner.
func TestWarmUp(t *testing.T) {
	Convey("a cold target gets work once it is warm", t, func() {
		fx := newFixture(t)
		fx.version(1, 1)
		fx.zoneAgent(1, "zone", 2*time.Second)
		fx.submit(1, "job1", fx.step(1, 3000))
		So(fx.started(), ShouldEqual, 0)
		fx.advance(2500*ms, 1)
		fx.submit(2, "job2", fx.step(1, 3000))
		So(fx.started(), ShouldEqual, 1)
	})
}
