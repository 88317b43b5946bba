package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// answerWith answers the open renewals with lists of which rows were left out.
func (fx *fixture) answerWith(running []executor.ActiveRun, finished []executor.FinishedRun, o executor.Omitted) {
	_, renewals, _ := fx.takeOutputs()
	for _, renewal := range renewals {
		fx.handle(executor.RenewalReplied(renewal, executor.ResultDone, fx.incarnation.Started(), fx.now, running, finished).WithOmitted(o))
	}
}

// confirm answers all commands that were sent.
func (fx *fixture) confirm() {
	commands, _, _ := fx.takeOutputs()
	for _, c := range commands {
		fx.handle(executor.CommandReplied(c, executor.ResultDone, fx.now))
	}
}

// pass lets time pass in ticks, with an echo of the entry and answers to renewals.
func (fx *fixture) pass(d time.Duration, running []executor.ActiveRun, finished []executor.FinishedRun, o executor.Omitted) []frame.Ended {
	var ended []frame.Ended
	for end := fx.now + d; fx.now < end; {
		fx.now += 20 * ms
		fx.frame(frame.Frame{
			Echo: fx.now,
		})
		for _, out := range fx.outputs {
			for _, f := range out.Frames() {
				ended = append(ended, f.Frame().Ended...)
			}
		}
		var commands []executor.Command
		for _, out := range fx.outputs {
			commands = append(commands, out.Commands()...)
		}
		fx.answerWith(running, finished, o)
		for _, c := range commands {
			fx.handle(executor.CommandReplied(c, executor.ResultDone, fx.now))
		}
	}
	return ended
}

// TestOmittedRows guards against a run that looks ended since its row can't be read,
// and against one that stays for good beside an odd row.
func TestOmittedRows(t *testing.T) {
	hidden := executor.Omitted{}.AddRunning(false, "odd")
	foreign := executor.Omitted{}.AddRunning(true, "odd")
	odd := executor.Omitted{}.AddEnd(0, "odd")
	tests := map[string]struct {
		omitted  executor.Omitted
		finished []executor.FinishedRun
		// after is how long the list lacks the run.
		after time.Duration
		want  map[int]task.End
	}{
		"row_of_any_run":              {omitted: hidden, after: time.Second, want: map[int]task.End{}},
		"row_of_no_run":               {omitted: foreign, after: time.Second, want: map[int]task.End{0: task.EndLost}},
		"end_beside_odd_row":          {omitted: hidden, finished: []executor.FinishedRun{executor.NewFinishedRun(1, run(0), task.EndDone)}, after: 100 * ms, want: map[int]task.End{0: task.EndDone}},
		"end_beside_odd_end":          {omitted: odd, finished: []executor.FinishedRun{executor.NewFinishedRun(1, run(0), task.EndDone)}, after: 100 * ms, want: map[int]task.End{0: task.EndDone}},
		"stopped_at_deadline":         {omitted: hidden, after: 2 * time.Second, want: map[int]task.End{0: task.EndLost}},
		"end_with_a_number_far_ahead": {finished: []executor.FinishedRun{executor.NewFinishedRun(1, run(7), task.EndDone), executor.NewFinishedRun(1<<50, run(8), task.EndDone)}, after: 200 * ms, want: map[int]task.End{0: task.EndLost}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("only what the list shows for certain ends a run", t, func() {
				fx := newFixture(t)
				fx.start(0)
				fx.confirm()
				So(ends(fx.pass(tt.after, nil, tt.finished, tt.omitted)), ShouldResemble, tt.want)
				for _, r := range fx.lastRenewals() {
					So(r.LastEndSeen(), ShouldBeLessThan, 1<<20)
				}
			})
		})
	}
}

// TestFullListOfOddEnds guards against a target whose later ends are never listed,
// since as many odd ones as it lists at a time are not acknowledged.
func TestFullListOfOddEnds(t *testing.T) {
	tests := map[string]struct {
		rows int
		want int64
	}{
		"full_list":  {rows: 500, want: 500},
		"other_list": {rows: 499, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("odd ends are acknowledged only where they hide others", t, func() {
				fx := newFixture(t)
				fx.start(0)
				fx.confirm()
				var o executor.Omitted
				for i := range tt.rows {
					o = o.AddEnd(int64(i+1), "odd")
				}
				fx.pass(200*ms, []executor.ActiveRun{executor.NewActiveRun(run(0), 5)}, nil, o)
				fx.now += 60 * ms
				fx.handle(executor.Tick())
				list := fx.lastRenewals()
				So(list, ShouldNotBeEmpty)
				So(list[len(list)-1].LastEndSeen(), ShouldEqual, tt.want)
			})
		})
	}
}

// lastRenewals returns the renewals of the outputs that were not taken yet.
func (fx *fixture) lastRenewals() []executor.Renewal {
	var list []executor.Renewal
	for _, out := range fx.outputs {
		list = append(list, out.Renewals()...)
	}
	return list
}

// TestOddRowAtStart guards against a target that gets no work for good since its list
// has had an odd row from the start, and against one that gets work while runs of an
// earlier agent may be active.
func TestOddRowAtStart(t *testing.T) {
	Convey("the target is usable once leases of earlier agents have expired", t, func() {
		fx := newFixture(t)
		fx.incarnation = executor.NewIncarnation("i-2", 9)
		fx.report(false)
		hidden := executor.Omitted{}.AddRunning(false, "odd")
		fx.pass(600*ms, nil, nil, hidden)
		So(fx.reportedUsable, ShouldBeFalse)
		fx.pass(200*ms, nil, nil, hidden)
		So(fx.reportedUsable, ShouldBeTrue)
	})
}

// TestOddEndsArePaced guards against calls to the target without a pause while it
// lists an end that can't be acknowledged.
func TestOddEndsArePaced(t *testing.T) {
	Convey("each answer with such an end is followed by a pause", t, func() {
		fx := newFixture(t)
		fx.start(0)
		fx.confirm()
		calls := 0
		for range 50 {
			fx.now += 2 * ms
			fx.handle(executor.Tick())
			calls += len(fx.lastRenewals())
			fx.answerWith([]executor.ActiveRun{executor.NewActiveRun(run(0), 5)}, nil, executor.Omitted{}.AddEnd(0, "odd"))
			calls += len(fx.lastRenewals())
		}
		So(calls, ShouldBeLessThan, 8)
	})
}
