package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The sessions and run times of two targets that differ in speed.
const (
	fastSession = 1
	slowSession = 2
	fastTime    = 40 * ms
	slowTime    = 120 * ms
)

// endAll reports the end of all runs, with the run time of their target.
func (fx *fixture) endAll() {
	starts := fx.starts
	fx.starts = nil
	for _, s := range starts {
		ran := fastTime
		if fx.sessionOf[s.Job()] == slowSession {
			ran = slowTime
		}
		var ended []frame.Ended
		for i, index := range s.Indexes() {
			ended = append(ended, frame.NewEnded(frame.NewRunID(s.Job(), s.Step(), index, s.Runs()[i]), int(task.EndDone), ran))
		}
		r := frame.NewFreeCapacity(30000, 65536, 0, 0, s.Number())
		fx.frame(fx.sessionOf[s.Job()], frame.Frame{
			Ended:        ended,
			FreeCapacity: &r,
		})
	}
}

// train lets the entry measure the speed of both targets.
func (fx *fixture) train() {
	for i := range 60 {
		for _, name := range []string{"x", "y"} {
			fx.submit(uint64(1000+2*i), fmt.Sprintf("%s%d", name, i), fx.step(1, 30000))
		}
		for len(fx.starts) > 0 {
			fx.endAll()
		}
		fx.advance(20*ms, fastSession, slowSession)
	}
}

// TestOverdue guards against a job that is lost on a slow target while later work
// occupies the fast one, and against one that occupies capacity although it cannot
// end in time.
func TestOverdue(t *testing.T) {
	tests := map[string]struct {
		// percent of the work is done after ran, 300 ms if it is 0.
		percent int
		ran     time.Duration
		stopped int
		moved   bool
		open    bool
	}{
		"ends_in_time":                   {percent: 40, open: true},
		"ends_in_time_with_little_slack": {percent: 27, open: true},
		"may_end_just_in_time":           {percent: 93, ran: 1100 * ms, open: true},
		"ends_too_late_everywhere":       {percent: 85, ran: 1100 * ms, stopped: 1},
		"probably_late":                  {percent: 24, stopped: 1, moved: true, open: true},
		"ends_in_time_elsewhere":         {percent: 12, stopped: 1, moved: true, open: true},
		"ends_nowhere_in_time":           {percent: 1, stopped: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the run continues, moves ahead of later work, or is abandoned", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(fastSession, "fast", "a", "r1")
				fx.agent(slowSession, "slow", "b", "r1")
				fx.train()
				fx.submit(2, "busy", fx.step(1, 30000))
				So(fx.sessionOf["busy"], ShouldEqual, uint64(fastSession))
				fx.submit(4, "busy_too", fx.step(1, 30000))
				So(fx.sessionOf["busy_too"], ShouldEqual, uint64(slowSession))
				fx.submit(1, "long", fx.step(1, 30000))
				fx.advance(300*ms, fastSession, slowSession)
				started := fx.allStarts[len(fx.allStarts)-1].Number()
				r := frame.NewFreeCapacity(30000, 65536, 0, 0, started)
				fx.frame(slowSession, frame.Frame{
					Ended:        []frame.Ended{frame.NewEnded(frame.NewRunID("busy_too", 0, 0, 1), int(task.EndDone), slowTime)},
					FreeCapacity: &r,
				})
				So(fx.sessionOf["long"], ShouldEqual, uint64(slowSession))
				fx.starts = nil
				ran := 300 * ms
				if tt.ran > 0 {
					ran = tt.ran
				}
				fx.advance(ran, fastSession, slowSession)
				id := frame.NewRunID("long", 0, 0, 1)
				fx.frame(slowSession, frame.Frame{
					Progress: []frame.Progress{frame.NewProgress(id, tt.percent, ran)},
				})
				So(len(fx.stops), ShouldEqual, tt.stopped)
				_, answered := fx.answers[1]
				So(answered, ShouldEqual, !tt.open)
				if !tt.moved {
					return
				}
				fx.submit(3, "later", fx.step(1, 30000))
				fx.frame(slowSession, frame.Frame{
					Ended: []frame.Ended{frame.NewEnded(id, int(task.EndStopped), 300*ms)},
				})
				So(fx.started(), ShouldEqual, 1)
				So(fx.sessionOf["long"], ShouldEqual, uint64(fastSession))
				// The fast target fails the task, and too little time is left for another run.
				fx.advance(800*ms, fastSession, slowSession)
				fx.frame(fastSession, frame.Frame{
					Ended: []frame.Ended{frame.NewEnded(frame.NewRunID("long", 0, 0, 2), int(task.EndFailed), 300*ms)},
				})
				_, answered = fx.answers[1]
				So(answered, ShouldBeTrue)
			})
		})
	}
}

// TestReportWaits guards against a run that is given up although it ends in time, since
// its report waited at the agent and the run went on meanwhile.
func TestReportWaits(t *testing.T) {
	tests := map[string]struct {
		// percent of the work is done after ran; the entry hears of it at age.
		percent int
		ran     time.Duration
		age     time.Duration
		// queued is how long the start waited at the agent.
		queued time.Duration
		open   bool
	}{
		"at_once":           {percent: 32, ran: 480 * ms, age: 480 * ms, open: true},
		"waited":            {percent: 32, ran: 480 * ms, age: 560 * ms, open: true},
		"too_long":          {percent: 30, ran: 480 * ms, age: 560 * ms},
		"queued_start":      {percent: 32, ran: 480 * ms, age: 880 * ms, queued: 320 * ms},
		"queued_and_waited": {percent: 38, ran: 480 * ms, age: 720 * ms, queued: 160 * ms, open: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the job is open as long as its run may end in time", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(fastSession, "one", "a", "r1")
				fx.agent(slowSession, "other", "a", "r1")
				fx.submit(1, "long", fx.step(1, 30000))
				session := fx.sessionOf["long"]
				id := frame.NewRunID("long", 0, 0, 1)
				fx.advance(tt.queued, fastSession, slowSession)
				fx.advance(tt.age-tt.queued, fastSession, slowSession)
				fx.frame(session, frame.Frame{
					Progress: []frame.Progress{frame.NewProgress(id, tt.percent, tt.ran)},
				})
				_, answered := fx.answers[1]
				So(answered, ShouldEqual, !tt.open)
			})
		})
	}
}
