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

// bed is an entry with agents that are played by the test.
type bed struct {
	t       *testing.T
	d       *dispatch.Dispatch
	now     time.Duration
	clock   time.Duration
	starts  []frame.Start
	stops   []frame.RunID
	answers map[uint64]dispatch.Answer
	at      map[string]uint64
}

func newBed(t *testing.T) *bed {
	return &bed{
		t: t,
		d: dispatch.New(frame.NewHello("entry", 1, "zone", "", frame.RoleEntry),
			dispatch.NewTiming(500*ms, 1178*ms, 200*ms)),
		now:     time.Minute,
		answers: map[uint64]dispatch.Answer{},
		at:      map[string]uint64{},
	}
}

func (b *bed) handle(ev dispatch.Event) {
	out := b.d.Handle(b.now, ev)
	for _, a := range out.Answers() {
		b.answers[a.Request()] = a
	}
	for _, f := range out.Frames() {
		for _, s := range f.Frame().Starts {
			b.starts = append(b.starts, s)
			b.at[s.Job()] = f.Session()
		}
		b.stops = append(b.stops, f.Frame().Stops...)
	}
}

func (b *bed) version(number int64, attempts int) {
	r, err := route.NewRoute("kind", "", "/", "service")
	if err != nil {
		b.t.Fatal(err)
	}
	v, err := route.NewVersion(number, []route.Route{r.WithPriority(0, attempts).WithTiming(1500*ms, 1.6, 60*ms)}, route.Limits{})
	if err != nil {
		b.t.Fatal(err)
	}
	b.handle(dispatch.VersionReceived(v, frame.NewConfig(number, []byte("{}"))))
}

// agent connects an agent whose target has 30 cores and the given labels.
func (b *bed) agent(session uint64, name string, labels ...string) {
	b.handle(dispatch.SessionOpened(session, frame.NewHello(name, 1, "zone", "", frame.RoleAgent)))
	t := frame.NewTarget("i-"+name, "service", "zone", labels, true).WithCapacity(30000, 65536, 0)
	r := frame.NewFreeCapacity(30000, 65536, 0, 0, 0)
	b.frame(session, frame.Frame{
		Target:           &t,
		FreeCapacity:     &r,
		EarlierRunsEnded: true,
	})
}

func (b *bed) frame(session uint64, f frame.Frame) {
	b.clock += ms
	f.Clock = b.clock
	b.handle(dispatch.FrameReceived(session, f))
}

// alive lets time pass while the agents are heard of.
func (b *bed) alive(d time.Duration, sessions ...uint64) {
	for end := b.now + d; b.now < end; b.now += 20 * ms {
		for _, s := range sessions {
			b.frame(s, frame.Frame{})
		}
		b.handle(dispatch.Tick())
	}
}

func (b *bed) submit(request uint64, job string, steps ...task.Step) {
	b.handle(dispatch.Submitted(dispatch.NewSubmission("trace", "", "/"+job, 1500*ms).WithWork("spec", steps).WithRequest(request)))
}

func (b *bed) step(count int, milliCores int64) task.Step {
	need, err := task.NewResources(milliCores, 64, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	s, err := task.NewStep(count, need, 100*ms)
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

// lasting is a step of one task that declares a run time.
func (b *bed) lasting(d time.Duration) task.Step {
	need, err := task.NewResources(1000, 64, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	s, err := task.NewStep(1, need, d)
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

// end reports the end of all runs that were started so far.
func (b *bed) end(session uint64, e task.End) {
	starts := b.starts
	b.starts = nil
	var ended []frame.Ended
	last := uint64(0)
	for _, s := range starts {
		for i, index := range s.Indexes() {
			ended = append(ended, frame.NewEnded(frame.NewRunID(s.Job(), s.Step(), index, s.Runs()[i]), int(e), 100*ms))
		}
		last = s.Number()
	}
	r := frame.NewFreeCapacity(30000, 65536, 0, 0, last)
	b.frame(session, frame.Frame{
		Ended:        ended,
		FreeCapacity: &r,
	})
}

func (b *bed) started() int {
	n := 0
	for _, s := range b.starts {
		n += len(s.Indexes())
	}
	return n
}

// TestDispatch guards the promises of an entry one by one: what it starts and
// stops, and what it tells callers.
func TestDispatch(t *testing.T) {
	tests := map[string]struct {
		play  func(*bed)
		state dispatch.State
		// open tells that the request has no answer yet.
		open    bool
		started int
		stopped int
	}{
		"complete": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(3, 3000))
				b.end(1, task.EndDone)
			},
			state: dispatch.StateComplete,
		},
		"steps": {
			play:    func(b *bed) { b.submit(1, "job", b.step(2, 1000), b.step(3, 1000).WithPrerequisites([]int{0})) },
			open:    true,
			started: 2,
		},
		"next_step": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(2, 1000), b.step(3, 1000).WithPrerequisites([]int{0}))
				b.end(1, task.EndDone)
			},
			open:    true,
			started: 3,
		},
		"label": {
			play:    func(b *bed) { b.submit(1, "job", b.step(2, 1000).WithLabel("gpu")) },
			open:    true,
			started: 0,
		},
		"at_most_per_target": {
			play:    func(b *bed) { b.submit(1, "job", b.step(5, 1000).WithMaxPerTarget(2)) },
			open:    true,
			started: 2,
		},
		"failed_run_is_tried_again": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(1, 1000))
				b.end(1, task.EndFailed)
			},
			open:    true,
			started: 1,
		},
		"attempts": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(1, 1000))
				for range 2 {
					b.end(1, task.EndFailed)
					b.alive(100*ms, 1)
				}
			},
			state: dispatch.StateFailed,
		},
		"lost_runs_are_no_attempts": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(1, 1000))
				for range 3 {
					b.end(1, task.EndLost)
					b.alive(60*ms, 1)
				}
			},
			open:    true,
			started: 1,
		},
		"caller_leaves": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(3, 1000))
				b.handle(dispatch.CallerLeft(1))
			},
			open:    true,
			started: 3,
			stopped: 3,
		},
		"no_configuration": {
			play: func(b *bed) {
				b.d = newBed(b.t).d
				b.submit(1, "job", b.step(1, 1000))
			},
			state: dispatch.StateRefused,
		},
		"refusal_is_true": {
			// Nothing fits; the job is refused while that is certain.
			play: func(b *bed) {
				b.submit(1, "job", b.step(1, 40000))
				b.alive(900*ms, 1)
			},
			state: dispatch.StateRefused,
		},
		"long_job_with_room_free": {
			play:    func(b *bed) { b.submit(1, "job", b.lasting(2400*ms)) },
			open:    true,
			started: 1,
		},
		"long_job_at_the_crest": {
			play: func(b *bed) {
				b.submit(2, "other", b.step(1, 29000))
				b.submit(1, "job", b.lasting(2400*ms))
			},
			state:   dispatch.StateRefused,
			started: 1,
		},
		"far_too_long_job": {
			play:  func(b *bed) { b.submit(1, "job", b.lasting(time.Minute)) },
			state: dispatch.StateRefused,
		},
		"no_refusal_after_a_start": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(4, 10000))
				b.alive(1600*ms, 1)
			},
			state:   dispatch.StateExpired,
			started: 3,
			stopped: 3,
		},
		"same_job_twice": {
			play: func(b *bed) {
				b.submit(2, "job", b.step(1, 1000))
				b.submit(1, "job", b.step(1, 1000))
				b.end(1, task.EndDone)
			},
			state: dispatch.StateComplete,
		},
		"same_job_after_its_answer": {
			play: func(b *bed) {
				b.submit(2, "job", b.step(1, 1000))
				b.end(1, task.EndDone)
				b.submit(1, "job", b.step(1, 1000))
			},
			state: dispatch.StateComplete,
		},
		"lost_agent_is_waited_for": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(1, 1000))
				b.starts = nil
				b.handle(dispatch.SessionClosed(1))
				b.agent(2, "other", "a", "r1")
				b.alive(1100*ms, 2)
			},
			open: true,
		},
		"lost_agent_is_replaced": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(1, 1000))
				b.starts = nil
				b.handle(dispatch.SessionClosed(1))
				b.agent(2, "other", "a", "r1")
				b.alive(1240*ms, 2)
			},
			open:    true,
			started: 1,
		},
		"agent_says_that_nothing_is_left": {
			play: func(b *bed) {
				b.submit(1, "job", b.step(1, 1000))
				b.starts = nil
				b.handle(dispatch.SessionClosed(1))
				b.agent(2, "agent", "a", "r1")
			},
			open:    true,
			started: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("starts, stops and answer are those expected", t, func() {
				b := newBed(t)
				b.version(1, 2)
				b.agent(1, "agent", "a", "r1")
				tt.play(b)
				a, answered := b.answers[1]
				So(answered, ShouldEqual, !tt.open)
				So(a.State(), ShouldEqual, tt.state)
				So(b.started(), ShouldEqual, tt.started)
				So(len(b.stops), ShouldEqual, tt.stopped)
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
			Convey("the highest number is in force", t, func() {
				b := newBed(t)
				for _, n := range tt.numbers {
					b.version(n, 1)
				}
				So(b.d.Version().Number(), ShouldEqual, tt.want)
			})
		})
	}
}

// TestConfigurationFromPeers guards against an entry without store that stays on
// an old configuration although an agent knows a newer one.
func TestConfigurationFromPeers(t *testing.T) {
	Convey("a newer configuration of an agent is handed on", t, func() {
		b := newBed(t)
		b.version(3, 1)
		b.agent(1, "agent")
		tests := map[string]struct {
			number int64
			want   int
		}{
			"newer": {number: 4, want: 1},
			"same":  {number: 3},
			"older": {number: 2},
		}
		for _, tt := range tests {
			c := frame.NewConfig(tt.number, []byte("{}"))
			out := b.d.Handle(b.now, dispatch.FrameReceived(1, frame.Frame{
				Clock:  b.clock,
				Config: &c,
			}))
			So(len(out.Configs()), ShouldEqual, tt.want)
		}
	})
}
