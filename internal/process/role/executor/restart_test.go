package executor_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// collect returns the commands since the last call and keeps the renewals and ends.
func (fx *fixture) collect() []executor.Command {
	commands, renewals, ended := fx.takeOutputs()
	fx.renewals = append(fx.renewals, renewals...)
	fx.ended = append(fx.ended, ended...)
	return commands
}

// answerCommands answers all commands that were sent since the last call.
func (fx *fixture) answerCommands(r executor.Result) {
	for _, c := range fx.collect() {
		fx.handle(executor.CommandReplied(c, r, fx.now))
	}
}

// restart lets the target start again under its id and report.
func (fx *fixture) restart() {
	fx.now += ms
	fx.incarnation = executor.NewIncarnation("i-1", fx.incarnation.Started()+1)
	fx.report(false)
}

// list lets time pass for a renewal and answers all of them with lists of the current
// incarnation. The entry echoes the agent's clock.
func (fx *fixture) list(running []task.Run, finished ...executor.FinishedRun) {
	fx.now += 250 * ms
	fx.frame(frame.Frame{
		Echo: fx.now,
	})
	fx.collect()
	renewals := fx.renewals
	fx.renewals = nil
	var active []executor.ActiveRun
	for _, r := range running {
		active = append(active, executor.NewActiveRun(r, int64(fx.now/ms)%100))
	}
	for _, renewal := range renewals {
		fx.handle(executor.RenewalReplied(renewal, executor.ResultDone, fx.incarnation.Started(), fx.now, active, finished))
	}
	fx.collect()
}

// TestRestartUnderSameID guards against two runs of a task where a target starts again
// under its id: a start had reached the new incarnation before its report reached the
// agent, and the report ended the run as lost.
func TestRestartUnderSameID(t *testing.T) {
	tests := map[string]struct {
		act  func(*fixture)
		want map[int]task.End
	}{
		"start_reached_the_new_incarnation": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				fx.restart()
				fx.list([]task.Run{run(0)})
				fx.list([]task.Run{run(0)})
			},
			want: map[int]task.End{},
		},
		"its_end_is_listed_by_the_new_incarnation": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				fx.restart()
				fx.list(nil, executor.NewFinishedRun(1, run(0), task.EndDone))
			},
			want: map[int]task.End{0: task.EndDone},
		},
		"run_ended_with_the_earlier_incarnation": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				fx.restart()
				fx.list(nil)
			},
			want: map[int]task.End{0: task.EndLost},
		},
		"start_answered_after_the_report": {
			act: func(fx *fixture) {
				fx.start(0)
				commands := fx.collect()
				fx.restart()
				fx.list(nil)
				fx.handle(executor.CommandReplied(commands[0], executor.ResultDone, fx.now))
				fx.list([]task.Run{run(0)})
			},
			want: map[int]task.End{},
		},
		"unanswered_start_waits_for_its_stop": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultUnknown)
				fx.restart()
				fx.collect()
				for range 8 {
					fx.list(nil)
				}
			},
			want: map[int]task.End{},
		},
		"unanswered_start_ends_after_its_stop": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultUnknown)
				fx.restart()
				fx.answerCommands(executor.ResultDone)
				fx.list(nil)
			},
			want: map[int]task.End{0: task.EndLost},
		},
		"stop_confirmed_by_the_earlier_incarnation": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultUnknown)
				fx.answerCommands(executor.ResultDone)
				fx.restart()
				fx.collect()
				fx.list(nil)
			},
			want: map[int]task.End{},
		},
		"start_still_under_way_when_its_stop_is_confirmed": {
			act: func(fx *fixture) {
				fx.start(0)
				start := fx.collect()[0]
				fx.frame(frame.Frame{
					Echo:    fx.now,
					Cancels: []string{"job"},
				})
				fx.answerCommands(executor.ResultDone)
				fx.list(nil)
				fx.restart()
				fx.handle(executor.CommandReplied(start, executor.ResultDone, fx.now))
				fx.list([]task.Run{run(0)})
			},
			want: map[int]task.End{},
		},
		"start_refused_by_a_dead_address": {
			act: func(fx *fixture) {
				fx.start(0)
				commands := fx.collect()
				fx.restart()
				fx.handle(executor.CommandReplied(commands[0], executor.ResultNoProcess, 0))
				fx.list(nil)
			},
			want: map[int]task.End{0: task.EndLost},
		},
		"call_refused_while_a_start_is_on_its_way": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				fx.now += ms
				refused := fx.renewals[len(fx.renewals)-1]
				fx.start(1)
				commands := fx.collect()
				fx.handle(executor.RenewalReplied(refused, executor.ResultNoProcess, 0, 0, nil, nil))
				fx.renewals = nil
				fx.handle(executor.CommandReplied(commands[0], executor.ResultDone, fx.now))
				fx.restart()
				fx.list([]task.Run{run(1)})
				fx.list([]task.Run{run(1)})
			},
			want: map[int]task.End{0: task.EndLost},
		},
		"call_refused_again_after_the_start": {
			act: func(fx *fixture) {
				refused := fx.renewals
				fx.start(0)
				fx.now += ms
				fx.answerCommands(executor.ResultDone)
				refused = append(refused, fx.renewals...)
				fx.renewals = nil
				fx.handle(executor.RenewalReplied(refused[len(refused)-1], executor.ResultNoProcess, 0, 0, nil, nil))
				fx.now += 60 * ms
				fx.handle(executor.Tick())
				fx.collect()
				So(fx.renewals, ShouldNotBeEmpty)
				fx.handle(executor.RenewalReplied(fx.renewals[0], executor.ResultNoProcess, 0, 0, nil, nil))
			},
			want: map[int]task.End{0: task.EndLost},
		},
		"list_of_the_new_incarnation_before_its_report": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				fx.incarnation = executor.NewIncarnation("i-1", 6)
				for range 6 {
					fx.list([]task.Run{run(0)})
				}
			},
			want: map[int]task.End{},
		},
		"late_report_of_the_earlier_incarnation": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				earlier := fx.incarnation
				fx.restart()
				fx.list([]task.Run{run(0)})
				current := fx.incarnation
				fx.incarnation = earlier
				fx.report(false)
				fx.incarnation = current
				fx.list([]task.Run{run(0)})
			},
			want: map[int]task.End{},
		},
		"another_id": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				fx.handle(executor.RenewalReplied(fx.renewals[0], executor.ResultOtherIncarnation, 0, 0, nil, nil))
				fx.renewals = nil
				fx.handle(executor.TargetLeft("i-1"))
				fx.incarnation = executor.NewIncarnation("i-2", 6)
				fx.report(false)
				fx.list(nil)
			},
			want: map[int]task.End{0: task.EndLost},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a run ends only when the incarnation that may have it shows so", t, func() {
				fx := newFixture(t)
				fx.collect()
				tt.act(fx)
				fx.collect()
				So(ends(fx.ended), ShouldResemble, tt.want)
			})
		})
	}
}
