package executor_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// fences returns the lowest and the highest fence of the calls since the last call, by the
// incarnation that they were meant for.
func (fx *fixture) fences() (lowest, highest map[executor.Incarnation]int64) {
	commands, renewals, _ := fx.takeOutputs()
	lowest, highest = map[executor.Incarnation]int64{}, map[executor.Incarnation]int64{}
	add := func(i executor.Incarnation, fence int64) {
		if low, ok := lowest[i]; !ok || fence < low {
			lowest[i] = fence
		}
		highest[i] = max(highest[i], fence)
	}
	for _, c := range commands {
		add(c.Incarnation(), c.Fence())
	}
	for _, r := range renewals {
		add(r.Incarnation(), r.Fence())
	}
	return lowest, highest
}

// leaveStartUnanswered starts a run whose start gets no answer, and settles it: its stop is
// confirmed, and a list lacks it.
func (fx *fixture) leaveStartUnanswered() {
	fx.start(0)
	outputs := fx.outputs
	fx.answerCommands(executor.ResultUnknown)
	fx.answerCommands(executor.ResultDone)
	fx.list(nil)
	fx.outputs = outputs
}

// TestFenceOfNextIncarnation guards against two runs of a task: a start without an answer
// was settled, its target started again under its id, carried the start out seconds later
// and did not refuse it, since the fence was the one of before.
func TestFenceOfNextIncarnation(t *testing.T) {
	tests := map[string]func(*fixture){
		"reported": func(fx *fixture) { fx.restart() },
		"named_by_a_list": func(fx *fixture) {
			fx.start(1)
			_, renewals, _ := fx.takeOutputs()
			fx.incarnation = executor.NewIncarnation("i-1", 6)
			fx.handle(executor.RenewalReplied(renewals[0], executor.ResultDone, 6, fx.now, nil, nil))
		},
		"after_a_refused_connection": func(fx *fixture) {
			fx.start(1)
			_, renewals, _ := fx.takeOutputs()
			fx.handle(executor.RenewalReplied(renewals[0], executor.ResultNoProcess, 0, 0, nil, nil))
			fx.restart()
		},
		"second_restart": func(fx *fixture) {
			fx.restart()
			fx.restart()
		},
		"another_id_in_between": func(fx *fixture) {
			fx.handle(executor.TargetLeft("i-1"))
			fx.incarnation = executor.NewIncarnation("i-2", 6)
			fx.report(false)
			fx.handle(executor.TargetLeft("i-2"))
			fx.incarnation = executor.NewIncarnation("i-1", 7)
			fx.report(false)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the next incarnation is called at once, with a higher fence than any before it", t, func() {
				fx := newFixture(t)
				fx.leaveStartUnanswered()
				first := fx.incarnation
				_, before := fx.fences()
				act(fx)
				after, _ := fx.fences()
				So(before, ShouldContainKey, first)
				So(after, ShouldContainKey, fx.incarnation)
				So(after[fx.incarnation], ShouldBeGreaterThan, before[first])
			})
		})
	}
}

// TestLateStartBeforeFirstCall guards against a late start that the next incarnation carries
// out before the agent's first call, and that nobody notices: it is stopped at once, and the
// target gets no work meanwhile.
func TestLateStartBeforeFirstCall(t *testing.T) {
	Convey("the first list has the run", t, func() {
		fx := newFixture(t)
		fx.leaveStartUnanswered()
		fx.takeOutputs()
		fx.restart()
		_, renewals, _ := fx.takeOutputs()
		So(renewals, ShouldNotBeEmpty)
		fx.handle(executor.RenewalReplied(renewals[0], executor.ResultDone, fx.incarnation.Started(), fx.now, []executor.ActiveRun{executor.NewActiveRun(run(0), 0)}, nil))
		commands, renewals, _ := fx.takeOutputs()
		So(kinds(commands, executor.CommandStop), ShouldResemble, []int{0})
		So(commands[0].Incarnation(), ShouldResemble, fx.incarnation)
		So(fx.reportedUsable, ShouldBeFalse)

		fx.now += 30 * ms
		for _, r := range renewals {
			So(r.Expires(), ShouldEqual, 0)
			fx.handle(executor.RenewalReplied(r, executor.ResultDone, fx.incarnation.Started(), fx.now, nil, nil))
		}
		So(fx.reportedUsable, ShouldBeTrue)
	})
}

// TestFencedStartsAreLogged guards against a late run that no log line leads to: the
// restart names each start that was left unanswered.
func TestFencedStartsAreLogged(t *testing.T) {
	tests := map[string]struct {
		act  func(*fixture)
		want int
	}{
		"unanswered": {
			act:  (*fixture).leaveStartUnanswered,
			want: 1,
		},
		"answered": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				fx.list(nil, executor.NewFinishedRun(1, run(0), task.EndDone))
			},
		},
		"long_ago": {
			act: func(fx *fixture) {
				fx.leaveStartUnanswered()
				fx.now += 16 * 1000 * ms
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the log has the starts that the next incarnation refuses", t, func() {
				fx := newFixture(t)
				tt.act(fx)
				fx.outputs = nil
				fx.restart()
				fenced := 0
				for _, o := range fx.outputs {
					for _, n := range o.Notes() {
						if n.Name() == event.StartFenced {
							fenced++
						}
					}
				}
				So(fenced, ShouldEqual, tt.want)
			})
		})
	}
}
