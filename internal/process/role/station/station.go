// Package station decides for one target what it runs.
//
// An agent stands beside one target and is the only one that gives it orders.
// Entries ask the agent to start and stop runs; the station accepts what fits,
// orders it from the target under a lease, follows the ends, and reports them.
//
// No two runs of a task may overlap, while entries, agents, targets and the
// connections between them stop, freeze and lose messages. Four bounds hold
// them apart:
//
//   - A start names a time on the agent's clock after which it is void. The entry
//     derives it from the last time of that clock that it saw, so a start that was
//     held up, or that waited in a buffer while the agent was frozen, has no
//     effect.
//   - The agent stops all runs of an entry that has not echoed a recent time of
//     the agent's clock. Silence is counted from the time that was echoed, so the
//     entry knows the latest moment at which its runs are stopped.
//   - What runs on the target holds a lease that only the agent extends, so runs
//     end soon after the agent itself is gone or frozen.
//   - An order that got no answer is followed by a stop of the same run, which
//     the target keeps: it refuses that run from then on. The run counts as gone
//     only when a later list of the target does not have it, or its lease has run
//     out.
//
// The clock counts on while the host is suspended. All decisions are made by one
// value that is told of events and returns what is to be done.
package station

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// Timing has the times of the protocol between entries, agents and targets.
type Timing struct {
	lease   time.Duration
	silence time.Duration
	status  time.Duration
}

// NewTiming returns the times: how long a run's lease lasts, after how long an
// entry counts as silent, and the longest time between two frames to an entry.
func NewTiming(lease, silence, status time.Duration) Timing {
	return Timing{
		lease:   lease,
		silence: silence,
		status:  status,
	}
}

// Lease is how long a run goes on without being extended.
func (t Timing) Lease() time.Duration {
	return t.lease
}

// SessionTimeout is after how long an entry counts as gone.
func (t Timing) SessionTimeout() time.Duration {
	return t.silence
}

// StatusInterval is the longest time between two frames to an entry.
func (t Timing) StatusInterval() time.Duration {
	return t.status
}

// RunsEndWithin is how long after the last echoed time of the agent's clock all runs of
// an entry have certainly ended, whatever happens to the agent: the silence, the
// lease on a target's clock that is slow by clockDrift, and the stop.
func (t Timing) RunsEndWithin() time.Duration {
	return t.silence + t.lapse()
}

// lapse is how long after it was extended a lease has certainly run out.
func (t Timing) lapse() time.Duration {
	return time.Duration(float64(t.lease)*clockDrift) + stopTime
}

// The fixed times and bounds of a station.
const (
	// clockDrift is how much longer a target's slow clock makes a lease; the
	// platform states 2%.
	clockDrift = 1.03
	// stopTime is how long a target may take to end a run.
	stopTime = 60 * time.Millisecond
	// holdWait is how long the target may wait for an end before it answers. The
	// lease is extended with each call, so it is a third of the shortest lease.
	holdWait = 200 * time.Millisecond
	// stopRetry is the pause before an unanswered stop is repeated.
	stopRetry = 100 * time.Millisecond
	// freezeGap is the time without any event from which the agent counts as having
	// been frozen; it is told of time many times in it.
	freezeGap = 250 * time.Millisecond
	// roomInterval is the least time between two frames that only report room.
	roomInterval = 25 * time.Millisecond
	// maxWaiting bounds the accepted starts that wait for capacity.
	maxWaiting = 16
	// fenceStep raises a fence that the target refused as too low; the fence is a
	// time in ms, and host clocks jump by seconds.
	fenceStep = 10_000
	// maxListed is the number of ends from which the target's list may be cut off.
	maxListed = 500
)

type runState int

const (
	runWaiting runState = iota + 1
	runStarting
	runRunning
	runStopping
)

// run is one run that the station has accepted and that has not ended.
type run struct {
	id       task.Run
	session  uint64
	entry    string
	spec     string
	need     task.Resources
	state    runState
	rank     int64
	deadline time.Duration
	notAfter time.Duration
	ordered  time.Duration
	// confirmed tells that the target said it runs.
	confirmed   bool
	confirmedAt time.Duration
	// stopSent is when the last stop was sent; 0 for none.
	stopSent time.Duration
	// stopped is when the target answered a stop; 0 for not yet.
	stopped  time.Duration
	cause    string
	progress progress
}

// StateMachine is the decision of an agent.
type StateMachine struct {
	timing   Timing
	target   target
	sessions map[uint64]*session
	runs     map[task.Run]*run
	byTask   map[string]*run
	waiting  []*run
	used     task.Resources
	queued   task.Resources
	leaving  bool
	last     time.Duration
	config   frame.Config
	out      Output
}

// New returns the station of an agent. The fence is a number higher than that of
// any earlier process beside the target.
func New(timing Timing, fence int64) *StateMachine {
	return &StateMachine{
		timing:   timing,
		sessions: map[uint64]*session{},
		runs:     map[task.Run]*run{},
		byTask:   map[string]*run{},
		target: target{
			fence: fence,
		},
	}
}

// Handle takes one event at a time of the agent's clock and returns what is to
// be done. Expired sessions are ended first, so that nothing is done for an entry
// that fell silent while the agent itself was frozen.
func (s *StateMachine) Handle(now time.Duration, ev Event) Output {
	s.out = Output{}
	if gap := now - s.last; s.last > 0 && gap > freezeGap {
		s.target.frozen(gap)
	}
	s.last = now
	was := s.target.usable()
	s.expire(now)
	s.dispatch(now, ev)
	s.advance(now)
	if was != s.target.usable() {
		s.usableChanged()
	}
	s.flush(now)
	return s.out
}

// usableChanged tells the entries that the target takes work again, or no more;
// what waits for it is handed back then.
func (s *StateMachine) usableChanged() {
	t := &s.target
	s.note(event.TargetChanged, event.F("target", t.boot.id), event.F("usable", t.usable()), event.F("unanswered", t.unanswered))
	s.targetChanged()
	if !t.usable() {
		s.refuseWaiting("target_not_usable")
	}
}

func (s *StateMachine) dispatch(now time.Duration, ev Event) {
	switch {
	case ev.opened != nil:
		s.open(now, *ev.opened)
	case ev.received != nil:
		s.receive(now, *ev.received)
	case ev.closed != 0:
		s.closeSession(now, ev.closed, "closed")
	case ev.report != nil:
		s.report(now, *ev.report)
	case ev.left != "":
		s.left(ev.left)
	case ev.orderReply != nil:
		s.orderReply(now, *ev.orderReply)
	case ev.holdReply != nil:
		s.holdReply(now, *ev.holdReply)
	case ev.leave:
		s.leave()
	}
}

// Idle tells whether nothing runs or waits.
func (s *StateMachine) Idle() bool {
	return len(s.runs) == 0
}

func (s *StateMachine) note(name event.Name, fields ...event.Field) {
	s.out.notes = append(s.out.notes, event.New(name, fields...))
}

// ordered lists the runs in a fixed order, so that equal events lead to equal
// results.
func (s *StateMachine) ordered() []*run {
	list := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].id, list[j].id
		switch {
		case a.Job() != b.Job():
			return a.Job() < b.Job()
		case a.Step() != b.Step():
			return a.Step() < b.Step()
		case a.Index() != b.Index():
			return a.Index() < b.Index()
		}
		return a.Number() < b.Number()
	})
	return list
}

func (s *StateMachine) leave() {
	s.leaving = true
	for _, x := range s.sessions {
		x.target = false
		x.urgent = true
	}
	for _, r := range append([]*run(nil), s.waiting...) {
		s.refuse(r, task.EndRefused, "leaving")
	}
}

// advance does what is due: it stops runs past their deadline, repeats stops,
// starts waiting runs and asks the target for its lists.
func (s *StateMachine) advance(now time.Duration) {
	for _, r := range s.ordered() {
		switch {
		case r.state != runStopping && now >= r.deadline:
			s.stop(now, r, "deadline")
		case r.state == runStopping && r.stopped == 0 && now-r.stopSent >= stopRetry:
			s.sendStop(now, r)
		}
	}
	s.age(now)
	s.lapse(now)
	s.startWaiting(now)
	s.hold(now)
}

func runOf(id frame.RunID) task.Run {
	return task.NewRun(id.Job(), id.Step(), id.Index(), id.Run())
}

func runID(r task.Run) frame.RunID {
	return frame.NewRunID(r.Job(), r.Step(), r.Index(), r.Number())
}
