package executor

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// A target may start again under its id. Calls name only the id, so a call that is on its
// way reaches whichever incarnation runs when it arrives: a start may run on an incarnation
// that the agent does not know yet. A run is therefore never ended because another
// incarnation shows up. It is unsettled until a list of the new incarnation, requested
// after the answer to its start or to its stop, shows whether it runs there.
//
// A call without an answer may be carried out seconds later, long after its run has been
// settled on the incarnation that it was meant for. The next incarnation would carry it out
// too: it knows of no stop, its clock starts anew, and the end of the lease that the call
// names is far ahead on it. So each incarnation is called with a higher fence than those
// before it, and refuses their calls once it has carried out the first one.

// resetTarget replaces the target's state for another incarnation. Runs under another id
// have ended, since calls for one id have no effect on another.
func (s *StateMachine) resetTarget(now time.Duration, next Incarnation, clock time.Duration) {
	t := &s.target
	previous := t.incarnation
	fence, address, leaseEnd := t.fence, t.address, t.leaseEnd
	if t.known {
		// Earlier calls are refused from the first call with it on.
		fence++
		s.logFencedStarts(now, previous, next, fence)
	}
	for _, r := range s.sortedRuns() {
		switch {
		case r.state == runQueued:
			s.reject(r, task.EndRefused, "target_restarted")
		case next.id != previous.id:
			s.end(now, r, task.EndLost, "target_replaced")
		default:
			s.unsettle(r, previous, next)
			leaseEnd = max(leaseEnd, now+s.timing.longestLeaseSpan())
		}
	}
	s.target = target{
		incarnation: next,
		fence:       fence,
		address:     address,
		clock:       clock,
		clockSeen:   now,
		leaseEnd:    leaseEnd,
		pending:     map[uint64]time.Duration{},
		unclaimed:   map[task.Run]time.Duration{},
	}
	s.redescribeTarget()
}

// unsettle prepares a run for the lists of another incarnation of its target. A stop that
// the earlier one confirmed does not bind the new one.
func (s *StateMachine) unsettle(r *run, previous, next Incarnation) {
	r.stopConfirmed = 0
	r.stopSent = 0
	r.openStops = 0
	r.progress = progress{}
	s.logEvent(event.RunUnsettled, event.F("run", r.id.String()), event.F("entry", r.entry), event.F("previous", previous.String()),
		event.F("target", next.String()), event.F("start_confirmed", r.confirmed))
}

// mayStartOnSuccessor reports whether another incarnation than the one that a start was
// meant for may still carry it out. Its lease does not bound that: on the clock of the
// other incarnation, the start does not expire.
func (r *run) mayStartOnSuccessor(t *target) bool {
	if r.startResolved == 0 {
		return true
	}
	return (t.replaced || r.incarnation != t.incarnation) && !r.confirmed && r.stopConfirmed == 0
}

// suspectRestart follows an answer whose clock shows that the target has started again.
// Starts that were meant for its earlier incarnation may have a longer lease than they
// asked for; the next list names the incarnation.
func (s *StateMachine) suspectRestart(now time.Duration) {
	t := &s.target
	t.leaseEnd = max(t.leaseEnd, now+s.timing.longestLeaseSpan())
	// The end of the lease that was asked for is a time of the earlier clock.
	t.leaseExpires = t.clockAt(now) + s.timing.longestLease
	t.pollDue = true
}

// adoptIncarnation follows an answer of another incarnation under the target's id. Its
// report, which is due, makes it usable.
func (s *StateMachine) adoptIncarnation(now time.Duration, started int64, clock time.Duration) {
	s.logEvent(event.TargetLost, event.F("target", s.target.incarnation.String()), event.F("cause", "other_incarnation"), event.F("started_ms", started),
		event.F("runs", len(s.runs)-len(s.queue)))
	previous := s.target
	s.resetTarget(now, NewIncarnation(previous.incarnation.id, started), clock)
	t := &s.target
	t.known = true
	t.unreported = true
	t.reported = now
	t.service = previous.service
	t.zone = previous.zone
	t.labels = previous.labels
	t.capacity = previous.capacity
}

// handleNoProcess ends the runs of a target whose process had ended when a call was
// refused. The call was made after the time sent, so a process that had answered a start
// by then has ended. A later start may run on the next process already. The target gets no
// work until its next incarnation reports.
func (s *StateMachine) handleNoProcess(now, sent time.Duration) {
	t := &s.target
	t.replaced = true
	t.renewAfter = now + renewalRetry
	ended := 0
	for _, r := range s.sortedRuns() {
		if r.state != runQueued && r.startResolved > 0 && r.startResolved <= sent {
			s.end(now, r, task.EndLost, "target_gone")
			ended++
		}
	}
	s.logEvent(event.TargetLost, event.F("target", t.incarnation.id), event.F("cause", "no_process"), event.F("runs", ended), event.F("open_runs", len(s.runs)-len(s.queue)))
	if len(s.runs) > len(s.queue) {
		t.leaseEnd = max(t.leaseEnd, now+s.timing.longestLeaseSpan())
	}
}

// handleEarlierReply processes the answer to a command that was meant for an earlier
// incarnation of the target. The current one may have given it.
func (s *StateMachine) handleEarlierReply(now time.Duration, c Command, result Result) {
	r, ok := s.runs[c.run]
	if !ok || c.kind != CommandStart || c.incarnation != r.incarnation {
		return
	}
	if result == ResultStaleFence {
		// Entries chose the earlier incarnation for this run.
		s.end(now, r, task.EndRefused, result.String())
		return
	}
	s.handleStartReply(now, r, result)
}
