package dispatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

const ms = time.Millisecond

// fixture is an entry whose agents are simulated by the test.
type fixture struct {
	t         *testing.T
	d         *dispatch.Dispatch
	now       time.Duration
	clock     time.Duration
	starts    []frame.Start
	allStarts []frame.Start
	stops     []frame.RunID
	answers   map[uint64]dispatch.Answer
	sessionOf map[string]uint64
	// requests and configs are the requests for configurations and those received.
	requests []frame.ConfigRequest
	configs  []dispatch.ReceivedConfig
	// evacuated has the revisions of the sets of evacuated zones that were sent.
	evacuated []int64
	// waitOutcome is the outcome of the last wait of a task that was logged.
	waitOutcome string
}

func newFixture(t *testing.T) *fixture {
	return &fixture{
		t: t,
		d: dispatch.New(frame.NewHello("entry", 1, "zone", "", frame.RoleEntry),
			dispatch.NewTiming(500*ms, 1178*ms, 200*ms)),
		now:       time.Minute,
		answers:   map[uint64]dispatch.Answer{},
		sessionOf: map[string]uint64{},
	}
}

func (fx *fixture) handle(ev dispatch.Event) {
	out := fx.d.Handle(fx.now, ev)
	for _, a := range out.Answers() {
		fx.answers[a.Request()] = a
	}
	for _, f := range out.Frames() {
		for _, s := range f.Frame().Starts {
			fx.starts = append(fx.starts, s)
			fx.allStarts = append(fx.allStarts, s)
			fx.sessionOf[s.Job()] = f.Session()
		}
		fx.stops = append(fx.stops, f.Frame().Stops...)
		if n := f.Frame().Evacuated.Revision(); n > 0 {
			fx.evacuated = append(fx.evacuated, n)
		}
		if r := f.Frame().ConfigRequest; r != nil {
			fx.requests = append(fx.requests, *r)
		}
	}
	fx.configs = append(fx.configs, out.Configs()...)
	for _, n := range out.Notes() {
		fx.noteWait(n)
	}
}

func (fx *fixture) version(number int64, attempts int) {
	r, err := route.NewRoute("kind", "", "/", "service")
	if err != nil {
		fx.t.Fatal(err)
	}
	v, err := route.NewVersion(number, []route.Route{r.WithPriority(0, attempts).WithTiming(1500*ms, 1.6, 60*ms)}, route.Limits{})
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.handle(dispatch.VersionReceived(v, frame.NewConfig(number, []byte("{}"))))
}

// namedVersion brings a version into force whose only route has the prefix /kind/.
func (fx *fixture) namedVersion(number int64) {
	r, err := route.NewRoute("kind", "", "/kind/", "service")
	if err != nil {
		fx.t.Fatal(err)
	}
	v, err := route.NewVersion(number, []route.Route{r.WithPriority(0, 1).WithTiming(1500*ms, 1.6, 60*ms)}, route.Limits{})
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.handle(dispatch.VersionReceived(v, frame.NewConfig(number, []byte("{}"))))
}

// agent connects an agent whose target has 30 cores and the given labels.
func (fx *fixture) agent(session uint64, name string, labels ...string) {
	fx.handle(dispatch.SessionOpened(session, frame.NewHello(name, 1, "zone", "", frame.RoleAgent)))
	t := frame.NewTarget("i-"+name, "service", "zone", labels, true).WithCapacity(30000, 65536, 0)
	r := frame.NewFreeCapacity(30000, 65536, 0, 0, 0)
	fx.frame(session, frame.Frame{
		Target:           &t,
		FreeCapacity:     &r,
		EarlierRunsEnded: true,
	})
}

func (fx *fixture) frame(session uint64, f frame.Frame) {
	fx.clock += ms
	f.Clock = fx.clock
	fx.handle(dispatch.FrameReceived(session, f))
}

// advance lets time pass in steps of 20 ms. In each step the agents of the sessions
// send a frame.
func (fx *fixture) advance(d time.Duration, sessions ...uint64) {
	for end := fx.now + d; fx.now < end; fx.now += 20 * ms {
		for _, s := range sessions {
			fx.frame(s, frame.Frame{})
		}
		fx.handle(dispatch.Tick())
	}
}

func (fx *fixture) submit(request uint64, job string, steps ...task.Step) {
	fx.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", "/"+job, 1500*ms).WithWork("spec", steps).WithRequest(request)))
}

func (fx *fixture) step(count int, milliCores int64) task.Step {
	need, err := task.NewResources(milliCores, 64, 0)
	if err != nil {
		fx.t.Fatal(err)
	}
	s, err := task.NewStep(count, need, 100*ms)
	if err != nil {
		fx.t.Fatal(err)
	}
	return s
}

// stepOf returns a step of one task that declares a run time.
func (fx *fixture) stepOf(d time.Duration) task.Step {
	need, err := task.NewResources(1000, 64, 0)
	if err != nil {
		fx.t.Fatal(err)
	}
	s, err := task.NewStep(1, need, d)
	if err != nil {
		fx.t.Fatal(err)
	}
	return s
}

// end reports the end of all runs that were started so far.
func (fx *fixture) end(session uint64, e task.End) {
	starts := fx.starts
	fx.starts = nil
	var ended []frame.Ended
	last := uint64(0)
	for _, s := range starts {
		for i, index := range s.Indexes() {
			ended = append(ended, frame.NewEnded(frame.NewRunID(s.Job(), s.Step(), index, s.Runs()[i]), int(e), 100*ms))
		}
		last = s.Number()
	}
	r := frame.NewFreeCapacity(30000, 65536, 0, 0, last)
	fx.frame(session, frame.Frame{
		Ended:        ended,
		FreeCapacity: &r,
	})
}

func (fx *fixture) started() int {
	n := 0
	for _, s := range fx.starts {
		n += len(s.Indexes())
	}
	return n
}

// TestDispatch guards against an entry that starts a task too early, too late or
// on the wrong target, leaves runs of an ended job, or gives a wrong answer.
func TestDispatch(t *testing.T) {
	tests := map[string]struct {
		run   func(*fixture)
		state dispatch.State
		// open is set if the request has no answer yet.
		open    bool
		started int
		stopped int
	}{
		"complete": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(3, 3000))
				fx.end(1, task.EndDone)
			},
			state: dispatch.StateComplete,
		},
		"steps": {
			run:     func(fx *fixture) { fx.submit(1, "job", fx.step(2, 1000), fx.step(3, 1000).WithPrerequisites([]int{0})) },
			open:    true,
			started: 2,
		},
		"next_step": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(2, 1000), fx.step(3, 1000).WithPrerequisites([]int{0}))
				fx.end(1, task.EndDone)
			},
			open:    true,
			started: 3,
		},
		"label": {
			run:     func(fx *fixture) { fx.submit(1, "job", fx.step(2, 1000).WithLabel("gpu")) },
			open:    true,
			started: 0,
		},
		"at_most_per_target": {
			run:     func(fx *fixture) { fx.submit(1, "job", fx.step(5, 1000).WithMaxPerTarget(2)) },
			open:    true,
			started: 2,
		},
		"failed_run_is_tried_again": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(1, 1000))
				fx.end(1, task.EndFailed)
			},
			open:    true,
			started: 1,
		},
		"attempts": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(1, 1000))
				for range 2 {
					fx.end(1, task.EndFailed)
					fx.advance(100*ms, 1)
				}
			},
			state: dispatch.StateFailed,
		},
		"lost_runs_are_no_attempts": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(1, 1000))
				for range 3 {
					fx.end(1, task.EndLost)
					fx.advance(60*ms, 1)
				}
			},
			open:    true,
			started: 1,
		},
		"caller_leaves": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(3, 1000))
				fx.handle(dispatch.CallerLeft(1))
			},
			open:    true,
			started: 3,
			stopped: 3,
		},
		"no_configuration": {
			run: func(fx *fixture) {
				fx.d = newFixture(fx.t).d
				fx.advance(420 * ms)
				fx.submit(1, "job", fx.step(1, 1000))
			},
			state: dispatch.StateRefused,
		},
		"refusal_is_true": {
			// No target fits the task. The job is refused while it is certain that nothing
			// has run.
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(1, 40000))
				fx.advance(900*ms, 1)
			},
			state: dispatch.StateRefused,
		},
		"long_job_with_free_capacity": {
			run:     func(fx *fixture) { fx.submit(1, "job", fx.stepOf(2400*ms)) },
			open:    true,
			started: 1,
		},
		"long_job_at_load_peak": {
			run: func(fx *fixture) {
				fx.submit(2, "other", fx.step(1, 29000))
				fx.submit(1, "job", fx.stepOf(2400*ms))
			},
			state:   dispatch.StateRefused,
			started: 1,
		},
		"far_too_long_job": {
			run:   func(fx *fixture) { fx.submit(1, "job", fx.stepOf(time.Minute)) },
			state: dispatch.StateRefused,
		},
		"no_refusal_after_a_start": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(4, 10000))
				fx.advance(1600*ms, 1)
			},
			state:   dispatch.StateExpired,
			started: 3,
			stopped: 3,
		},
		"same_job_twice": {
			run: func(fx *fixture) {
				fx.submit(2, "job", fx.step(1, 1000))
				fx.submit(1, "job", fx.step(1, 1000))
				fx.end(1, task.EndDone)
			},
			state: dispatch.StateComplete,
		},
		"same_job_after_its_answer": {
			run: func(fx *fixture) {
				fx.submit(2, "job", fx.step(1, 1000))
				fx.end(1, task.EndDone)
				fx.submit(1, "job", fx.step(1, 1000))
			},
			state: dispatch.StateComplete,
		},
		"lost_agent_is_waited_for": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(1, 1000))
				fx.starts = nil
				fx.handle(dispatch.SessionClosed(1))
				fx.agent(2, "other", "a", "r1")
				fx.advance(1100*ms, 2)
			},
			open: true,
		},
		"lost_agent_is_replaced": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(1, 1000))
				fx.starts = nil
				fx.handle(dispatch.SessionClosed(1))
				fx.agent(2, "other", "a", "r1")
				fx.advance(1240*ms, 2)
			},
			open:    true,
			started: 1,
		},
		"agent_says_that_nothing_is_left": {
			run: func(fx *fixture) {
				fx.submit(1, "job", fx.step(1, 1000))
				fx.starts = nil
				fx.handle(dispatch.SessionClosed(1))
				fx.agent(2, "agent", "a", "r1")
			},
			open:    true,
			started: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("starts, stops and answer are as expected", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(1, "agent", "a", "r1")
				tt.run(fx)
				a, answered := fx.answers[1]
				So(answered, ShouldEqual, !tt.open)
				So(a.State(), ShouldEqual, tt.state)
				So(fx.started(), ShouldEqual, tt.started)
				So(len(fx.stops), ShouldEqual, tt.stopped)
				if tt.state == dispatch.StateRefused {
					So(a.RetryAfter(), ShouldBeGreaterThan, 0)
				}
			})
		})
	}
}

// TestVersions guards against an older configuration that replaces a newer one.
func TestVersions(t *testing.T) {
	tests := map[string]struct {
		numbers []int64
		want    int64
	}{
		"rising":   {numbers: []int64{1, 4, 9}, want: 9},
		"falling":  {numbers: []int64{9, 4, 1}, want: 9},
		"repeated": {numbers: []int64{4, 4}, want: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the highest number is active", t, func() {
				fx := newFixture(t)
				for _, n := range tt.numbers {
					fx.version(n, 1)
				}
				So(fx.d.Version().Number(), ShouldEqual, tt.want)
			})
		})
	}
}
