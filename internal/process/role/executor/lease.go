package executor

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The lease covers all that runs on the target. Extending it while a run is to end whose
// stop the target has not confirmed would let that run go on beyond the time after which
// its task may start elsewhere.

// leaseWithheld reports whether the lease must not be extended.
func (s *StateMachine) leaseWithheld() bool {
	if s.target.unclaimedListed {
		return true
	}
	for _, r := range s.runs {
		if r.state == runStopping && r.stopConfirmed == 0 {
			return true
		}
	}
	return false
}

// leaseLeft returns what is left of the lease by the estimate of the target's clock.
func (t *target) leaseLeft(now time.Duration) time.Duration {
	return t.leaseExpires - t.clockAt(now)
}

// extendLease records that a call that extends the lease is sent, and returns the end of
// the lease on the target's clock.
func (t *target) extendLease(now time.Duration, timing Timing) time.Duration {
	t.leaseEnd = max(t.leaseEnd, now+timing.maxLeaseSpan())
	t.leaseExpires = max(t.leaseExpires, t.clockAt(now)+timing.lease)
	return t.leaseExpires
}

// reviewLease decides whether enough of the lease is left for new work.
func (s *StateMachine) reviewLease(now time.Duration) {
	t := &s.target
	withheld := s.leaseWithheld()
	t.leaseShort = withheld && t.leaseLeft(now) < s.timing.lease/minLeaseLeft
	if !withheld && t.withheldSince > 0 {
		s.logEvent(event.LeaseExtended, event.F("target", t.incarnation.String()), event.F("withheld_ms", (now-t.withheldSince).Milliseconds()),
			event.F("left_ms", t.leaseLeft(now).Milliseconds()))
		t.withheldSince = 0
	}
}

// extensionDue reports whether the lease has become short while it was withheld and may be
// extended again. A renewal that waits for an end at the target was sent without one.
func (s *StateMachine) extensionDue(now time.Duration) bool {
	t := &s.target
	return !t.replaced && t.unansweredRenewals == 0 && t.leaseLeft(now) < s.timing.lease/minLeaseLeft && !s.leaseWithheld()
}

// withholdLease logs that the lease is not extended since the stop of a run is unanswered.
func (s *StateMachine) withholdLease(now time.Duration, r *run) {
	t := &s.target
	if t.withheldSince > 0 {
		return
	}
	t.withheldSince = now
	s.logEvent(event.LeaseWithheld, event.F("run", r.id.String()), event.F("target", t.incarnation.String()), event.F("cause", r.cause),
		event.F("left_ms", t.leaseLeft(now).Milliseconds()), event.F("runs", len(s.runs)-len(s.queue)))
}

// expireLease ends all active runs once the lease has expired, but for those whose start
// another incarnation of the target may still carry out.
func (s *StateMachine) expireLease(now time.Duration) {
	t := &s.target
	if !t.known || now <= t.leaseEnd || len(s.runs) == len(s.queue) {
		return
	}
	ended := 0
	for _, r := range s.sortedRuns() {
		if r.state != runQueued && !r.mayStartOnSuccessor(t) {
			s.end(now, r, task.EndLost, "lease_over")
			ended++
		}
	}
	if ended > 0 {
		s.logEvent(event.TargetLost, event.F("target", t.incarnation.id), event.F("cause", "lease_over"), event.F("unanswered", t.unanswered), event.F("runs", ended))
	}
}
