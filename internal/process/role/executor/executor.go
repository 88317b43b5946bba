// Package executor implements the agent's state machine, which decides what runs
// on one target.
//
// Each target has one agent, and only that agent sends it commands. Entries ask
// the agent to start and stop runs. The state machine accepts the runs that fit,
// starts them on the target under a lease, tracks them and reports their ends.
//
// Two runs of a task must never overlap, even when entries, agents, targets and
// the connections between them stop, freeze or lose messages. Five rules ensure
// this:
//
//   - A start expires at a time on the agent's clock. The entry derives it from
//     the last time of that clock that it received, so a start that was delayed,
//     or that sat in a buffer while the agent was frozen, has no effect.
//   - The agent stops all runs of an entry that has not echoed a recent time of
//     the agent's clock. The session timeout counts from the echoed time, so the
//     entry knows the latest time at which its runs are stopped.
//   - Runs on the target are covered by a lease that only the agent renews, so
//     they end soon after the agent stops or freezes. The agent does not extend the
//     lease while the target has not confirmed the stop of a run, so that this run
//     ends although its stops stay unanswered.
//   - A start command without an answer is followed by a stop of the same run. The
//     target records the stop and refuses that run from then on. The run is treated
//     as ended only when a later list of the target does not contain it, or when
//     its lease has expired.
//   - A target that starts again under its id may have got the latest starts already.
//     So its report ends no run: the lists of the new incarnation do. Each incarnation is
//     called with a higher fence, so that it refuses earlier calls that come late.
//
// The agent's clock continues while the host is suspended. StateMachine takes
// events with the time of that clock and returns the actions to perform. It does no
// I/O itself.
package executor

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/transfer"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// Timing holds the timeouts of the protocol between entries, agents and targets.
type Timing struct {
	lease time.Duration
	// longestLease is the longest lease that the target grants.
	longestLease      time.Duration
	sessionTimeout    time.Duration
	heartbeatInterval time.Duration
}

// NewTiming returns a Timing from the duration of a run's lease, the time without
// an echo after which an entry's session ends, and the longest time between two
// frames to an entry.
func NewTiming(lease, sessionTimeout, heartbeatInterval time.Duration) Timing {
	return Timing{
		lease:             lease,
		longestLease:      lease,
		sessionTimeout:    sessionTimeout,
		heartbeatInterval: heartbeatInterval,
	}
}

// WithLongestLease returns the timing with the longest lease that the target grants,
// whatever a start asks for. It is at least the lease that the agent asks for.
func (t Timing) WithLongestLease(d time.Duration) Timing {
	t.longestLease = max(t.lease, d)
	return t
}

// Lease returns how long a run continues without a renewal.
func (t Timing) Lease() time.Duration {
	return t.lease
}

// SessionTimeout returns the time without an echo after which the session of an
// entry ends.
func (t Timing) SessionTimeout() time.Duration {
	return t.sessionTimeout
}

// HeartbeatInterval returns the longest time between two frames to an entry.
func (t Timing) HeartbeatInterval() time.Duration {
	return t.heartbeatInterval
}

// RunsEndWithin returns the time after the last echoed time of the agent's clock
// by which all runs of an entry have ended, whatever happens to the agent. It is
// the sum of the session timeout, the lease on a target whose clock is slow by
// clockDrift, and the time of a stop.
func (t Timing) RunsEndWithin() time.Duration {
	return t.sessionTimeout + t.maxLeaseSpan()
}

// maxLeaseSpan returns the time after a renewal by which the lease has expired on
// any target.
func (t Timing) maxLeaseSpan() time.Duration {
	return leaseSpan(t.lease)
}

// longestLeaseSpan is the same for a call that was meant for an earlier incarnation of the
// target. The clock of a new one starts anew, so the call asks for a time far ahead on it.
func (t Timing) longestLeaseSpan() time.Duration {
	return leaseSpan(t.longestLease)
}

func leaseSpan(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDrift) + maxStopTime
}

// The fixed times and limits of the state machine.
const (
	// clockDrift is the factor by which a slow target clock extends a lease; the
	// platform states 2%.
	clockDrift = 1.03
	// maxStopTime bounds the time that a target takes to end a run.
	maxStopTime = 60 * time.Millisecond
	// renewalWait is how long the target may wait for an end before it answers.
	// Each call renews the lease, so the wait is a third of the shortest lease.
	renewalWait = 200 * time.Millisecond
	// stopRetryInterval is the pause before an unanswered stop is repeated. The lease is
	// withheld meanwhile, so it is shorter than the time after which a call is given up.
	stopRetryInterval = 40 * time.Millisecond
	// maxOpenStops bounds the unanswered stops of a run.
	maxOpenStops = 3
	// unclaimedRetryInterval is the same for runs that no entry asked for.
	unclaimedRetryInterval = 100 * time.Millisecond
	// minLeaseLeft is the share of the lease, as its divisor, that must be left for new work
	// while the lease is not extended.
	minLeaseLeft = 2
	// freezeThreshold is the time without any event after which the agent assumes
	// that it was frozen. Ticks arrive many times within it.
	freezeThreshold = 250 * time.Millisecond
	// capacityInterval is the least interval of reports of free capacity and progress.
	capacityInterval = 25 * time.Millisecond
	// maxQueued bounds the accepted starts that wait for capacity.
	maxQueued = 16
	// fenceStep is how far the fence is raised above one that the target refused as
	// too low. The fence is a time in ms, and host clocks jump by seconds.
	fenceStep = 10_000
	// maxEndsListed is the number of ends from which the target may have truncated
	// its list.
	maxEndsListed = 500
	// maxEndsSkipped bounds the step between the numbers of two listed ends; they count
	// the ends of an incarnation.
	maxEndsSkipped = 1 << 20
	// maxUnclaimed bounds the runs without an entry that are stopped at the same time.
	maxUnclaimed = 256
)

type runState int

const (
	runQueued runState = iota + 1
	runStarting
	runRunning
	runStopping
)

// run is a run that was accepted and has not ended.
type run struct {
	id        task.Run
	session   uint64
	entry     string
	spec      string
	resources task.Resources
	state     runState
	rank      int64
	deadline  time.Duration
	notAfter  time.Duration
	startSent time.Duration
	// incarnation is the one that the start was meant for.
	incarnation Incarnation
	// startResolved is when the start was answered or its answer was given up, 0 before.
	startResolved time.Duration
	// confirmed reports whether the target acknowledged the start.
	confirmed   bool
	confirmedAt time.Duration
	// stopSent is the time of the last stop command, 0 before the first, and openStops is
	// the number of stop commands that were neither answered nor given up.
	stopSent  time.Duration
	openStops int
	// stopConfirmed is the time of the target's first answer to a stop, 0 before it.
	stopConfirmed time.Duration
	cause         string
	progress      progress
}

// StateMachine decides what runs on the target of an agent.
type StateMachine struct {
	timing          Timing
	target          target
	sessions        map[uint64]*session
	runs            map[task.Run]*run
	byTask          map[string]*run
	queue           []*run
	inUse           task.Resources
	queuedResources task.Resources
	// unansweredStarts are the latest starts whose answer was given up, for the log.
	unansweredStarts []unansweredStart
	leaving          bool
	// stopRunsAt is when a leaving agent stops what still runs, so that entries can place
	// it elsewhere without waiting for its lease.
	stopRunsAt time.Duration
	lastEvent  time.Duration
	// configuration is the copy of the configuration that the agent keeps if an entry asks
	// for it. All agents pass on the numbers of the versions that they hear of.
	configuration transfer.Exchange
	links         links
	// evacuated is the newest known set of evacuated availability zones.
	evacuated evacuation.Set
	// evacuation is what is told of the evacuation of the target's zone.
	evacuation zoneEvacuation
	out        Output
}

// New returns the state machine of an agent. The fence must be higher than that of
// every earlier agent of the target.
func New(timing Timing, fence int64) *StateMachine {
	return &StateMachine{
		timing:   timing,
		sessions: map[uint64]*session{},
		runs:     map[task.Run]*run{},
		byTask:   map[string]*run{},
		links: links{
			wanted: MinLinks,
		},
		target: target{
			fence: fence,
		},
	}
}

// Handle processes an event at a time of the agent's clock and returns the actions
// to perform. It ends expired sessions first, so that nothing is started for an
// entry whose session timed out while the agent was frozen.
func (s *StateMachine) Handle(now time.Duration, ev Event) Output {
	s.out = Output{}
	if gap := now - s.lastEvent; s.lastEvent > 0 && gap > freezeThreshold {
		s.target.frozen(gap)
		for _, r := range s.runs {
			r.frozen(gap)
		}
	}
	s.lastEvent = now
	was := s.target.usable()
	evacuated := s.inEvacuatedZone()
	s.expireSessions(now)
	s.handleEvent(now, ev)
	s.advance(now)
	if was != s.target.usable() {
		s.usabilityChanged()
	}
	if evacuated != s.inEvacuatedZone() {
		s.evacuationChanged(now)
	}
	s.reviewLinks(now)
	s.flush(now)
	return s.out
}

// usabilityChanged reports to the entries that the target takes new work again or
// stopped taking it. In the second case it rejects the queued runs.
func (s *StateMachine) usabilityChanged() {
	t := &s.target
	s.logEvent(event.TargetChanged, event.F("target", t.incarnation.id), event.F("usable", t.usable()), event.F("unanswered", t.unanswered))
	s.resendTarget()
	if !t.usable() {
		s.rejectQueued("target_not_usable")
	}
}

func (s *StateMachine) handleEvent(now time.Duration, ev Event) {
	switch {
	case ev.opened != nil:
		s.openSession(now, *ev.opened)
	case ev.received != nil:
		s.handleFrame(now, *ev.received)
	case ev.closed != 0:
		s.closeSession(now, ev.closed, "closed")
	case ev.released != 0:
		s.releaseSession(ev.released)
	case ev.report != nil:
		s.handleReport(now, *ev.report)
	case ev.left != "":
		s.handleTargetLeft(ev.left)
	case ev.commandReply != nil:
		s.handleCommandReply(now, *ev.commandReply)
	case ev.renewalReply != nil:
		s.handleRenewalReply(now, *ev.renewalReply)
	case ev.shutdown != nil:
		s.handleShutdown(now + *ev.shutdown)
	}
}

// Drained reports whether the agent was told to shut down, so that it accepts no more
// starts, and no run is queued or active.
func (s *StateMachine) Drained() bool {
	return s.leaving && len(s.runs) == 0
}

func (s *StateMachine) logEvent(name event.Name, fields ...event.Field) {
	s.out.notes = append(s.out.notes, event.New(name, fields...))
}

// sortedRuns returns the runs in a fixed order, so that equal events lead to equal
// outputs.
func (s *StateMachine) sortedRuns() []*run {
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

func (s *StateMachine) handleShutdown(stopRunsAt time.Duration) {
	s.leaving = true
	s.stopRunsAt = stopRunsAt
	for _, sess := range s.sessions {
		sess.targetSent = false
		sess.sendNow = true
	}
	for _, r := range append([]*run(nil), s.queue...) {
		s.reject(r, task.EndRefused, "leaving")
	}
}

// advance performs what is due: it stops runs past their deadline, repeats stops,
// expires the report and the lease, starts queued runs and renews the lease.
func (s *StateMachine) advance(now time.Duration) {
	for _, r := range s.sortedRuns() {
		switch {
		case r.state != runStopping && now >= r.deadline:
			s.stop(now, r, "deadline")
		case s.leaving && r.state != runStopping && now >= s.stopRunsAt:
			s.stop(now, r, "leaving")
		case r.state == runStopping && r.stopConfirmed == 0 && r.openStops < maxOpenStops && now-r.stopSent >= stopRetryInterval:
			s.sendStop(now, r)
		}
	}
	s.expireReport(now)
	s.expireLease(now)
	s.reviewLease(now)
	s.startQueued(now)
	s.renew(now)
}

func taskRun(id frame.RunID) task.Run {
	return task.NewRun(id.Job(), id.Step(), id.Index(), id.Run())
}

func frameRunID(r task.Run) frame.RunID {
	return frame.NewRunID(r.Job(), r.Step(), r.Index(), r.Number())
}
