package executor

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The limits of calls to a target that does not answer.
const (
	// renewalRetry is the pause after a failed renewal.
	renewalRetry = 50 * time.Millisecond
	// renewalHedge is the age of an unanswered renewal at which a second one is
	// sent: answers get lost, and without lists no end is known and no capacity is
	// freed.
	renewalHedge = 40 * time.Millisecond
	// maxPendingRenewals bounds the unanswered renewals.
	maxPendingRenewals = 2
	// maxUnanswered is the number of consecutive calls without an answer from which
	// the target gets no new work until it answers.
	maxUnanswered = 2
	// clockTolerance covers clocks that are read in whole ms.
	clockTolerance = 10 * time.Millisecond
	// warmUpTolerance is how much later a reported end of the warm-up must be before entries
	// are told; it covers the varying delay of reports.
	warmUpTolerance = 200 * time.Millisecond
	// leaveTolerance is the change of the time at which a target leaves from which entries
	// are told; reports come with different delays.
	leaveTolerance = 50 * time.Millisecond
	// reportTimeout is how long a target without runs is treated as present without
	// a report; targets report every 1.5 s.
	reportTimeout = 4 * time.Second
)

// target is what the state machine knows about the target.
type target struct {
	incarnation Incarnation
	fence       int64
	// known is set once the target has reported.
	known bool
	// synced is set once a list of the target was empty, so that no run of an earlier
	// agent is left.
	synced bool
	// firstList is when the first list arrived. The call for it showed the target this
	// agent's fence, so no earlier agent has renewed the lease since.
	firstList time.Duration
	// replaced is set once the incarnation has ended, until the target reports again.
	replaced bool
	// unreported is set while the incarnation is known from an answer alone, without the
	// service, the labels and the capacity of its report.
	unreported bool
	// left is set once the target has deregistered, until it reports again.
	left bool
	// stale is set if the target has not reported within reportTimeout.
	stale bool
	// sequence is the number of the last report.
	sequence int64
	reported time.Duration

	service  string
	address  string
	zone     string
	labels   []string
	capacity task.Resources
	draining bool
	// leavesAt is the earliest time at which a draining target ends what it runs, 0 if it
	// is not known.
	leavesAt time.Duration
	// warmUntil is when the target's warm-up ends.
	warmUntil time.Duration

	// clock is the target's clock at the time clockSeen of the agent's clock. It is
	// behind rather than ahead, since answers take time.
	clock     time.Duration
	clockSeen time.Duration
	// leaseEnd is the time at which everything that runs has ended unless the lease
	// is renewed.
	leaseEnd time.Duration
	// leaseExpires is the latest end of the lease that was asked for, on the target's clock.
	leaseExpires time.Duration
	// withheldSince is when the agent ceased to extend the lease, 0 while it does.
	withheldSince time.Duration
	// leaseShort is set while the lease is withheld and too little of it is left for new
	// work.
	leaseShort bool
	// unclaimedListed is set if the last list has runs that no entry asked for.
	unclaimedListed bool

	// lastEndSeen is the number of the last end that was processed, and ackedEnd the
	// last one that the target knows to be processed.
	lastEndSeen int64
	ackedEnd    int64
	// renewals is the number of the newest renewal, and newestList that of the newest
	// one whose list was processed.
	renewals   uint64
	newestList uint64
	// pending maps the number of each unanswered renewal to the time it was sent.
	pending map[uint64]time.Duration
	// pollDue requests a renewal that does not wait for an end, and polling is set
	// while one is unanswered.
	pollDue    bool
	polling    bool
	renewAfter time.Duration
	// unanswered counts the consecutive calls without an answer.
	unanswered int
	// unansweredRenewals counts the consecutive renewals without an answer.
	unansweredRenewals int
	// unclaimed has the time of the last stop of each listed run that no entry asked
	// for.
	unclaimed map[task.Run]time.Duration
}

// usable reports whether the target may be given new work.
func (t *target) usable() bool {
	return t.known && t.synced && !t.draining && !t.left && !t.replaced && !t.unreported && !t.leaseShort && !t.stale && t.unanswered < maxUnanswered
}

// describe returns the description of the target for entries. It is not usable for them
// while its agent takes no starts.
func (t *target) describe(now time.Duration, refusing bool) frame.Target {
	return frame.NewTarget(t.incarnation.String(), t.service, t.zone, t.labels, t.usable() && !refusing).
		WithCapacity(t.capacity.MilliCores(), t.capacity.MemoryMB(), t.capacity.Accelerators()).
		WithWarmUp(max(0, t.warmUntil-now)).
		WithLeavesIn(t.leavesIn(now))
}

// leavesIn returns the least time for which the target still runs what it has. For one
// that is overdue it is the shortest time, since 0 stands for a target that stays.
func (t *target) leavesIn(now time.Duration) time.Duration {
	if t.leavesAt == 0 {
		return 0
	}
	return max(t.leavesAt-now, time.Millisecond)
}

// clockAt estimates the target's clock. The estimate is never ahead of the true
// clock, whose rate may be lower than that of the agent's clock, so that no lease
// becomes longer than intended.
func (t *target) clockAt(now time.Duration) time.Duration {
	return t.clock + time.Duration(float64(now-t.clockSeen)/clockDrift)
}

// frozen corrects the clock after the agent was frozen. The target may have been
// suspended with its host, so its clock is assumed not to have moved.
func (t *target) frozen(gap time.Duration) {
	t.clockSeen += gap
}

// answered records whether a call was answered, and the target's clock in the
// answer. The target read the clock between sent and now. It reports whether the clock is
// behind the estimate, as that of an incarnation that the agent does not know yet.
func (t *target) answered(now, sent time.Duration, ok bool, clock time.Duration) (behind bool) {
	if !ok {
		t.unanswered++
		return false
	}
	t.unanswered = 0
	if clock <= 0 {
		return false
	}
	estimate, latest := t.clockAt(now), clock+now-sent
	t.clock = min(max(estimate, clock), latest)
	t.clockSeen = now
	return latest+clockTolerance < estimate
}

// raiseFence raises the fence above one that was refused.
func (t *target) raiseFence(refused int64) {
	if t.fence <= refused {
		t.fence = refused + fenceStep
	}
}

func (s *StateMachine) rejectQueued(cause string) {
	for _, r := range append([]*run(nil), s.queue...) {
		s.reject(r, task.EndRefused, cause)
	}
}

// redescribeTarget tells all entries of another incarnation, service or labels. Starts that
// an entry sent before it knows them are rejected.
func (s *StateMachine) redescribeTarget() {
	for _, x := range s.sessions {
		x.describedAfter = x.sent
	}
	s.resendTarget()
}

func (s *StateMachine) resendTarget() {
	for _, x := range s.sessions {
		x.targetSent = false
	}
}
