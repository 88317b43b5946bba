package dispatch_test

import (
	"fmt"
	"testing"

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

// endAll reports the end of all runs; each target takes its own time.
func (b *bed) endAll() {
	starts := b.starts
	b.starts = nil
	for _, s := range starts {
		ran := fastTime
		if b.at[s.Job()] == slowSession {
			ran = slowTime
		}
		var ended []frame.Ended
		for i, index := range s.Indexes() {
			ended = append(ended, frame.NewEnded(frame.NewRunID(s.Job(), s.Step(), index, s.Runs()[i]), int(task.EndDone), ran))
		}
		r := frame.NewFreeCapacity(30000, 65536, 0, 0, s.Number())
		b.frame(b.at[s.Job()], frame.Frame{
			Ended:        ended,
			FreeCapacity: &r,
		})
	}
}

// teach shows the entry how fast the two targets are.
func (b *bed) teach() {
	for i := range 60 {
		for _, name := range []string{"x", "y"} {
			b.submit(uint64(1000+2*i), fmt.Sprintf("%s%d", name, i), b.step(1, 30000))
		}
		for len(b.starts) > 0 {
			b.endAll()
		}
		b.alive(20*ms, fastSession, slowSession)
	}
}

// TestOverdue guards against a job that is lost on a slow target while fast targets
// are busy with work that came later, and against one that holds room in vain.
func TestOverdue(t *testing.T) {
	tests := map[string]struct {
		percent int
		stopped int
		moved   bool
		open    bool
	}{
		"ends_in_time":           {percent: 40, open: true},
		"may_end_just_in_time":   {percent: 24, open: true},
		"ends_in_time_elsewhere": {percent: 12, stopped: 1, moved: true, open: true},
		"ends_nowhere_in_time":   {percent: 1, stopped: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the run stays, moves before other work, or is given up", t, func() {
				b := newBed(t)
				b.version(1, 2)
				b.agent(fastSession, "fast", "a", "r1")
				b.agent(slowSession, "slow", "b", "r1")
				b.teach()
				b.submit(2, "busy", b.step(1, 30000))
				So(b.at["busy"], ShouldEqual, uint64(fastSession))
				b.submit(1, "long", b.step(1, 30000))
				// The task waits for the fast target as long as that can be better.
				b.alive(300*ms, fastSession, slowSession)
				So(b.at["long"], ShouldEqual, uint64(slowSession))
				b.starts = nil
				b.alive(300*ms, fastSession, slowSession)
				id := frame.NewRunID("long", 0, 0, 1)
				b.frame(slowSession, frame.Frame{
					Progress: []frame.Progress{frame.NewProgress(id, tt.percent, 300*ms)},
				})
				So(len(b.stops), ShouldEqual, tt.stopped)
				_, answered := b.answers[1]
				So(answered, ShouldEqual, !tt.open)
				if !tt.moved {
					return
				}
				b.submit(3, "later", b.step(1, 30000))
				b.frame(slowSession, frame.Frame{
					Ended: []frame.Ended{frame.NewEnded(id, int(task.EndStopped), 300*ms)},
				})
				So(b.started(), ShouldEqual, 1)
				So(b.at["long"], ShouldEqual, uint64(fastSession))
				// The fast target fails the task; too little time is left for another run.
				b.alive(600*ms, fastSession, slowSession)
				b.frame(fastSession, frame.Frame{
					Ended: []frame.Ended{frame.NewEnded(frame.NewRunID("long", 0, 0, 2), int(task.EndFailed), 300*ms)},
				})
				_, answered = b.answers[1]
				So(answered, ShouldBeTrue)
			})
		})
	}
}
