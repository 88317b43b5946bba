package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The sessions of the two targets, one of them on the rack with the data.
const (
	rackSession = 1
	farSession  = 2
)

// TestWaitForRack guards against a task that runs away from its data although a place
// beside it is about to be free, and against a wait that goes on after what it waits for
// is gone.
func TestWaitForRack(t *testing.T) {
	tests := map[string]struct {
		rack string
		// ran is how long the run that takes the rack has run, of 100 ms.
		ran   time.Duration
		never bool
		// then happens while the task waits.
		then    func(fx *fixture)
		waits   bool
		session uint64
		outcome string
	}{
		"wants_no_rack":      {ran: 90 * ms, session: farSession},
		"wants_unknown_rack": {rack: "r9", ran: 90 * ms, session: farSession},
		"place_is_far_off":   {rack: "r1", ran: 0, session: farSession},
		"waits_are_off":      {rack: "r1", ran: 90 * ms, never: true, session: farSession},
		"place_becomes_free": {rack: "r1", ran: 90 * ms, waits: true, then: func(fx *fixture) { fx.endAfter(100 * ms) }, session: rackSession, outcome: "got_place"},
		"run_does_not_end":   {rack: "r1", ran: 90 * ms, waits: true, then: func(fx *fixture) { fx.advance(80*ms, rackSession, farSession) }, session: farSession, outcome: "limit_reached"},
		"target_leaves":      {rack: "r1", ran: 90 * ms, waits: true, then: func(fx *fixture) { fx.frame(rackSession, frame.Frame{Leaving: true}) }, session: farSession, outcome: "no_targets"},
		"connection_is_lost": {rack: "r1", ran: 90 * ms, waits: true, then: func(fx *fixture) { fx.handle(dispatch.SessionClosed(rackSession)) }, session: farSession, outcome: "no_targets"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the task waits or not, and runs where it should", t, func() {
				fx := newFixture(t)
				if tt.never {
					fx.d.WithoutWaits()
				}
				fx.version(1, 4)
				fx.agent(rackSession, "near", "a", "r1")
				fx.agent(farSession, "far", "a", "r2")
				fx.trainRacks()
				fx.submit(1, "busy", fx.step(1, 30000).WithRack("r1"))
				So(fx.sessionOf["busy"], ShouldEqual, uint64(rackSession))
				fx.advance(tt.ran, rackSession, farSession)
				fx.submit(2, "job", fx.step(1, 30000).WithRack(tt.rack))
				_, placed := fx.sessionOf["job"]
				So(placed, ShouldNotEqual, tt.waits)
				if tt.waits {
					tt.then(fx)
				}
				So(fx.sessionOf["job"], ShouldEqual, tt.session)
				So(fx.waitOutcome, ShouldEqual, tt.outcome)
			})
		})
	}
}

// trainRacks lets the entry learn that tasks take 100 ms on each target.
func (fx *fixture) trainRacks() {
	for i := range 60 {
		fx.submit(uint64(1000+i), fmt.Sprintf("train%d", i), fx.step(1, 30000))
		fx.endAfter(100 * ms)
		fx.advance(20*ms, rackSession, farSession)
	}
}

// endAfter reports the end of all runs.
func (fx *fixture) endAfter(ran time.Duration) {
	starts := fx.starts
	fx.starts = nil
	for _, s := range starts {
		r := frame.NewFreeCapacity(30000, 65536, 0, 0, s.Number())
		fx.frame(fx.sessionOf[s.Job()], frame.Frame{
			Ended:        []frame.Ended{frame.NewEnded(frame.NewRunID(s.Job(), s.Step(), s.Indexes()[0], s.Runs()[0]), int(task.EndDone), ran)},
			FreeCapacity: &r,
		})
	}
}

// noteWait keeps the outcome of a wait.
func (fx *fixture) noteWait(n event.Note) {
	for _, f := range n.Fields() {
		if n.Name() == event.TaskWaited && f.Key() == "outcome" {
			fx.waitOutcome = f.Value().(string)
		}
	}
}

// TestRackWithoutTargets guards against tasks that wait, beside free capacity, for a run time
// that no target offers, and against the jobs behind them that wait as well.
func TestRackWithoutTargets(t *testing.T) {
	tests := map[string]int64{
		"idle":      15_000,
		"load_peak": 26_000,
	}
	for name, busy := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("tasks start at once if the rack with their data has no target", t, func() {
				fx := newFixture(t)
				fx.longVersion(1)
				for n := range uint64(10) {
					fx.agent(n+1, fmt.Sprintf("agent_%d", n), "a", "r1")
					r := frame.NewFreeCapacity(30_000-busy, 65_536, 0, 0, 0)
					fx.frame(n+1, frame.Frame{
						FreeCapacity: &r,
					})
				}
				const jobs = 9
				for i := range uint64(jobs) {
					fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", fmt.Sprintf("/job_%d", i), 30*time.Second).
						WithWork("spec", []task.Step{fx.step(1, 1000).WithRack("gone")}).WithRequest(i + 1)))
				}
				So(fx.started(), ShouldEqual, jobs)
			})
		})
	}
}
