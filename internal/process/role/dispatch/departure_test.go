package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// notice reports that the target of an agent leaves, with its 30 cores in use by runs.
func (fx *fixture) notice(session uint64, name string, in time.Duration) {
	t := frame.NewTarget("i-"+name, "service", "zone", []string{"a", "r1"}, false).WithCapacity(30000, 65536, 0).WithLeavesIn(in)
	fx.frame(session, frame.Frame{
		Target: &t,
	})
}

// longVersion brings a version into force whose only route has no time limit of its own.
func (fx *fixture) longVersion(number int64) {
	r, err := route.NewRoute("kind", "", "/", "service")
	if err != nil {
		fx.t.Fatal(err)
	}
	v, err := route.NewVersion(number, []route.Route{r.WithPriority(0, 2).WithTiming(0, 1.6, 60*ms)}, route.Limits{})
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.handle(dispatch.VersionReceived(v, frame.NewConfig(number, []byte("{}"))))
}

// longJobs submits jobs of one task each that declare a run time, with a caller who waits
// for a limit.
func (fx *fixture) longJobs(n int, milliCores int64, length, limit time.Duration) {
	for i := range n {
		need, err := task.NewResources(milliCores, 64, 0)
		if err != nil {
			fx.t.Fatal(err)
		}
		s, err := task.NewStep(1, need, length)
		if err != nil {
			fx.t.Fatal(err)
		}
		job := fmt.Sprintf("job_%d", i)
		fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", "/"+job, limit).WithWork("spec", []task.Step{s}).WithRequest(uint64(i + 1))))
	}
}

// TestDepartures guards against runs that are lost with targets that gave notice, against
// runs that are stopped for nothing, and against moves that overrun the targets that are
// left. Three of four targets leave, with ten jobs each.
func TestDepartures(t *testing.T) {
	tests := map[string]struct {
		length time.Duration
		limit  time.Duration
		in     time.Duration
		// busy is the number of cores in use on the target that stays.
		busy  int64
		moved int
	}{
		"ends_in_time":               {length: 300 * ms, limit: 10 * time.Second, in: 5 * time.Second},
		"lost_unless_moved":          {length: 4 * time.Second, limit: 6 * time.Second, in: 2 * time.Second, moved: 10},
		"little_free_capacity":       {length: 4 * time.Second, limit: 6 * time.Second, in: 2 * time.Second, busy: 21, moved: 3},
		"no_free_capacity":           {length: 4 * time.Second, limit: 6 * time.Second, in: 2 * time.Second, busy: 30},
		"time_for_another_run_after": {length: 4 * time.Second, limit: 20 * time.Second, in: 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the runs that would be lost move, within the free capacity", t, func() {
				fx := newFixture(t)
				fx.longVersion(1)
				for s := uint64(1); s <= 3; s++ {
					fx.agent(s, fmt.Sprintf("leaving_%d", s), "a", "r1")
				}
				fx.longJobs(30, 3000, tt.length, tt.limit)
				So(fx.started(), ShouldEqual, 30)
				fx.agent(4, "staying", "a", "r1")
				r := frame.NewFreeCapacity(30000-tt.busy*1000, 65536, 0, 0, 0)
				fx.frame(4, frame.Frame{
					FreeCapacity: &r,
				})
				fx.advance(300*ms, 1, 2, 3, 4)
				for s := uint64(1); s <= 3; s++ {
					fx.notice(s, fmt.Sprintf("leaving_%d", s), tt.in)
				}
				fx.advance(100*ms, 1, 2, 3, 4)
				So(len(fx.stops), ShouldEqual, tt.moved)
				for _, id := range fx.stops {
					fx.frame(fx.sessionOf[id.Job()], frame.Frame{
						Ended: []frame.Ended{frame.NewEnded(id, int(task.EndStopped), 300*ms)},
					})
					So(fx.sessionOf[id.Job()], ShouldEqual, uint64(4))
				}
			})
		})
	}
}

// TestNoticeWithdrawn guards against runs that move from a target that stays after all.
func TestNoticeWithdrawn(t *testing.T) {
	Convey("a run stays on a target that no longer leaves", t, func() {
		fx := newFixture(t)
		fx.longVersion(1)
		fx.agent(1, "leaving_1", "a", "r1")
		fx.longJobs(1, 3000, 4*time.Second, 6*time.Second)
		fx.notice(1, "leaving_1", 2*time.Second)
		fx.agent(1, "leaving_1", "a", "r1")
		fx.agent(2, "staying", "a", "r1")
		fx.advance(200*ms, 1, 2)
		So(fx.stops, ShouldBeEmpty)
	})
}

// TestLostRunsStayLost guards against a job that hangs to its deadline: a run that was lost
// with its connection must not count as one that is being stopped, since no end of it is
// reported.
func TestLostRunsStayLost(t *testing.T) {
	Convey("the task of a lost run on a leaving target starts elsewhere", t, func() {
		fx := newFixture(t)
		fx.longVersion(1)
		fx.agent(1, "leaving_1", "a", "r1")
		fx.longJobs(1, 3000, 4*time.Second, 9*time.Second)
		fx.agent(2, "staying", "a", "r1")
		fx.advance(100*ms, 1, 2)
		fx.handle(dispatch.SessionClosed(1))
		fx.handle(dispatch.SessionOpened(3, frame.NewHello("leaving_1", 1, "zone", "", frame.RoleAgent)))
		fx.notice(3, "leaving_1", 2*time.Second)
		fx.advance(1500*ms, 2, 3)
		So(fx.stops, ShouldBeEmpty)
		So(fx.sessionOf["job_0"], ShouldEqual, uint64(2))
	})
}

// TestSuspectTargetsHaveNoRoom guards against a run that is stopped for free capacity on a
// target that gets no work.
func TestSuspectTargetsHaveNoRoom(t *testing.T) {
	Convey("a run stays while only a suspect target has free capacity", t, func() {
		fx := newFixture(t)
		fx.longVersion(1)
		fx.agent(2, "suspect", "a", "r1")
		for i := range 3 {
			fx.submit(uint64(500+i), fmt.Sprintf("failing_%d", i), fx.step(1, 1000))
			fx.end(2, task.EndFailed)
		}
		fx.agent(1, "leaving_1", "a", "r1")
		fx.longJobs(1, 3000, 4*time.Second, 6*time.Second)
		So(fx.sessionOf["job_0"], ShouldEqual, uint64(1))
		fx.advance(100*ms, 1, 2)
		fx.notice(1, "leaving_1", 2*time.Second)
		fx.advance(60*ms, 1, 2)
		So(fx.stops, ShouldBeEmpty)
	})
}
