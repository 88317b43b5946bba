package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

const (
	ms      = time.Millisecond
	session = 7
)

// fixture is a state machine with a target of 32 cores and one entry.
type fixture struct {
	t           *testing.T
	s           *executor.StateMachine
	now         time.Duration
	incarnation executor.Incarnation
	count       int64
	capacity    task.Resources
	outputs     []executor.Output
	// answered is the number of outputs whose renewals were answered.
	answered int
	// renewals are those that were not answered, and ended the ends reported to the entry,
	// as collected by answerCommands and list.
	renewals []executor.Renewal
	ended    []frame.Ended
	// reportedUsable is whether the target takes work, as last reported to the entry.
	reportedUsable bool
}

func newFixture(t *testing.T) *fixture {
	capacity, err := task.NewResources(32000, 65536, 0)
	if err != nil {
		t.Fatal(err)
	}
	fx := &fixture{
		t:           t,
		s:           executor.New(executor.NewTiming(600*ms, 500*ms, 200*ms), 1000),
		now:         time.Minute,
		incarnation: executor.NewIncarnation("i-1", 5),
		capacity:    capacity,
	}
	fx.report(false)
	// The first list shows what an earlier agent left running: nothing.
	fx.answerRenewals(nil, nil)
	fx.handle(executor.SessionOpened(session, frame.NewHello("entry", 1, "zone", "", frame.RoleEntry)))
	return fx
}

func (fx *fixture) handle(ev executor.Event) executor.Output {
	out := fx.s.Handle(fx.now, ev)
	fx.outputs = append(fx.outputs, out)
	for _, f := range out.Frames() {
		if target := f.Frame().Target; target != nil {
			fx.reportedUsable = target.Usable()
		}
	}
	return out
}

func (fx *fixture) report(draining bool) {
	fx.count++
	fx.handle(executor.TargetReported(executor.NewReport(fx.incarnation, fx.count, "service", "10.0.0.1:1", "zone").
		WithCapacity([]string{"a", "r1"}, fx.capacity).WithState(draining, 0, 0, fx.now)))
}

// takeOutputs returns all outputs since the last call.
func (fx *fixture) takeOutputs() (commands []executor.Command, renewals []executor.Renewal, ended []frame.Ended) {
	for _, o := range fx.outputs {
		commands = append(commands, o.Commands()...)
		renewals = append(renewals, o.Renewals()...)
		for _, f := range o.Frames() {
			ended = append(ended, f.Frame().Ended...)
		}
	}
	fx.outputs = nil
	fx.answered = 0
	return commands, renewals, ended
}

func (fx *fixture) answerRenewals(running []executor.ActiveRun, finished []executor.FinishedRun) {
	_, renewals, _ := fx.takeOutputs()
	for _, renewal := range renewals {
		fx.handle(executor.RenewalReplied(renewal, executor.ResultDone, fx.incarnation.Started(), fx.now, running, finished))
	}
}

func (fx *fixture) start(indexes ...int) {
	fx.startPlaced(fx.now, indexes...)
}

// startPlaced receives a start that the entry placed when the newest frame that it had was
// that of the time echo.
func (fx *fixture) startPlaced(echo time.Duration, indexes ...int) {
	runs := make([]int64, len(indexes))
	for i := range runs {
		runs[i] = 1
	}
	fx.frame(frame.Frame{
		Echo:   echo,
		Starts: []frame.Start{frame.NewStart(1, "job", 0, indexes, runs, "spec").WithResources(10000, 64, 0).WithTimes(echo+500*ms, 1500*ms, 0)},
	})
}

func (fx *fixture) frame(f frame.Frame) {
	fx.handle(executor.FrameReceived(session, f))
}

func run(index int) task.Run {
	return task.NewRun("job", 0, index, 1)
}

func ends(list []frame.Ended) map[int]task.End {
	m := map[int]task.End{}
	for _, e := range list {
		m[e.ID().Index()] = task.End(e.End())
	}
	return m
}

func kinds(commands []executor.Command, k executor.CommandKind) []int {
	var list []int
	for _, c := range commands {
		if c.Kind() == k {
			list = append(list, c.Run().Index())
		}
	}
	return list
}

// TestStation guards against commands and reports that break the protocol: a start
// that has expired or does not fit, an entry that is silent, a target that restarts.
func TestStation(t *testing.T) {
	tests := map[string]struct {
		act    func(*fixture)
		starts []int
		stops  []int
		ends   map[int]task.End
	}{
		"fits": {
			act:    func(fx *fixture) { fx.start(0, 1, 2) },
			starts: []int{0, 1, 2},
		},
		"full": {
			act:    func(fx *fixture) { fx.start(0, 1, 2, 3) },
			starts: []int{0, 1, 2},
		},
		"room_after_an_end": {
			act: func(fx *fixture) {
				fx.start(0, 1, 2, 3)
				fx.now += 50 * ms
				_, renewals, _ := fx.takeOutputs()
				for _, renewal := range renewals {
					fx.handle(executor.RenewalReplied(renewal, executor.ResultDone, 5, fx.now, nil, []executor.FinishedRun{executor.NewFinishedRun(1, run(0), task.EndDone)}))
				}
			},
			starts: []int{3},
			ends:   map[int]task.End{0: task.EndDone},
		},
		"void_start": {
			act: func(fx *fixture) {
				fx.frame(frame.Frame{
					Echo:   fx.now,
					Starts: []frame.Start{frame.NewStart(1, "job", 0, []int{0}, []int64{1}, "").WithResources(1000, 1, 0).WithTimes(fx.now-ms, 1500*ms, 0)},
				})
			},
			ends: map[int]task.End{0: task.EndRefused},
		},
		"draining": {
			act: func(fx *fixture) {
				fx.report(true)
				fx.start(0)
			},
			ends: map[int]task.End{0: task.EndRefused},
		},
		"leaving": {
			act: func(fx *fixture) {
				fx.handle(executor.ShutdownRequested(time.Second))
				fx.start(0)
			},
			ends: map[int]task.End{0: task.EndRefused},
		},
		"deadline": {
			act: func(fx *fixture) {
				fx.start(0)
				for range 80 {
					fx.now += 20 * ms
					fx.frame(frame.Frame{
						Echo: fx.now,
					})
					fx.answerProgress(0)
				}
			},
			starts: []int{0},
			stops:  []int{0},
		},
		"silent_entry": {
			act: func(fx *fixture) {
				fx.start(0)
				for range 30 {
					fx.now += 20 * ms
					fx.handle(executor.Tick())
					fx.answerProgress(0)
				}
			},
			starts: []int{0},
			stops:  []int{0},
		},
		"entry_that_echoes_old_times": {
			act: func(fx *fixture) {
				fx.start(0)
				echo := fx.now
				for range 30 {
					fx.now += 20 * ms
					fx.frame(frame.Frame{
						Echo: echo,
					})
					fx.answerProgress(0)
				}
			},
			starts: []int{0},
			stops:  []int{0},
		},
		"asked_to_stop": {
			act: func(fx *fixture) {
				fx.start(0, 1)
				fx.frame(frame.Frame{
					Echo:  fx.now,
					Stops: []frame.RunID{frame.NewRunID("job", 0, 1, 1)},
				})
			},
			starts: []int{0, 1},
			stops:  []int{1},
		},
		"cancelled": {
			act: func(fx *fixture) {
				fx.start(0, 1)
				fx.frame(frame.Frame{
					Echo:    fx.now,
					Cancels: []string{"job"},
				})
			},
			starts: []int{0, 1},
			stops:  []int{0, 1},
		},
		"unanswered_start": {
			act: func(fx *fixture) {
				fx.start(0)
				commands, _, _ := fx.takeOutputs()
				fx.now += 90 * ms
				fx.handle(executor.CommandReplied(commands[0], executor.ResultUnknown, 0))
			},
			stops: []int{0},
		},
		"target_has_ended": {
			act: func(fx *fixture) {
				fx.start(0)
				commands, _, _ := fx.takeOutputs()
				fx.handle(executor.CommandReplied(commands[0], executor.ResultNoProcess, 0))
				fx.start(1)
			},
			ends: map[int]task.End{0: task.EndLost, 1: task.EndRefused},
		},
		"target_starts_again": {
			act: func(fx *fixture) {
				fx.start(0)
				fx.answerCommands(executor.ResultDone)
				fx.now += ms
				fx.incarnation = executor.NewIncarnation("i-1", 6)
				fx.report(false)
				fx.answerRenewals(nil, nil)
			},
			ends: map[int]task.End{0: task.EndLost},
		},
		"late_report_of_a_former_boot": {
			act: func(fx *fixture) {
				old := fx.incarnation
				fx.incarnation = executor.NewIncarnation("i-1", 6)
				fx.report(false)
				fx.answerRenewals(nil, nil)
				fx.now += ms
				fx.start(0)
				fx.incarnation = old
				fx.report(true)
				fx.start(1)
			},
			starts: []int{0, 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the agent sends the expected commands and reports", t, func() {
				fx := newFixture(t)
				fx.takeOutputs()
				tt.act(fx)
				commands, _, ended := fx.takeOutputs()
				So(kinds(commands, executor.CommandStart), ShouldResemble, tt.starts)
				if tt.stops != nil || name == "fits" {
					So(unique(kinds(commands, executor.CommandStop)), ShouldResemble, tt.stops)
				}
				if tt.ends != nil {
					So(ends(ended), ShouldResemble, tt.ends)
				}
			})
		})
	}
}

// answerProgress answers the renewals with a run that makes progress.
func (fx *fixture) answerProgress(index int) {
	percent := int64((fx.now - time.Minute) / (20 * ms))
	for _, o := range append([]executor.Output(nil), fx.outputs[fx.answered:]...) {
		for _, renewal := range o.Renewals() {
			fx.handle(executor.RenewalReplied(renewal, executor.ResultDone, 5, fx.now, []executor.ActiveRun{executor.NewActiveRun(run(index), percent)}, nil))
		}
		fx.answered++
	}
}

func unique(list []int) []int {
	var u []int
	seen := map[int]bool{}
	for _, x := range list {
		if !seen[x] {
			u = append(u, x)
		}
		seen[x] = true
	}
	return u
}
