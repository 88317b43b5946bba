package executor

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

// handleReport processes a report of the target. It skips reports of earlier
// incarnations and reports older than the last one.
func (s *StateMachine) handleReport(now time.Duration, r Report) {
	t := &s.target
	switch {
	case t.stale:
		// Nothing was heard of the target for reportTimeout and it runs nothing, so an odd
		// start or sequence number must not hide the reports that follow.
		if r.incarnation != t.incarnation {
			s.resetTarget(now, r.incarnation, r.clock)
		}
	case s.isForeign(now, r):
		// Its runs would count as ended although the target that answers has them.
		return
	case t.known && r.incarnation != t.incarnation && r.incarnation.started < t.incarnation.started:
		return
	case t.known && !t.unreported && r.incarnation == t.incarnation && r.sequence <= t.sequence:
		return
	case r.incarnation != t.incarnation:
		s.resetTarget(now, r.incarnation, r.clock)
	}
	if !t.known || t.unreported {
		s.logEvent(event.TargetSeen, event.F("target", r.incarnation.String()), event.F("started_ms", r.incarnation.started), event.F("address", r.address), event.F("service", r.service),
			event.F("labels", r.labels), event.F("milli_cores", r.capacity.MilliCores()), event.F("fence", t.fence))
	}
	t.known = true
	t.unreported = false
	t.sequence = r.sequence
	t.reported = now
	s.describeTarget(r)
	t.warmUntil = s.updateWarmUp(now, r)
	t.replaced = false
	t.stale = false
	if t.left {
		// A deregistration names the id alone, and this one came late from an earlier
		// incarnation: a target that has left reports no more.
		t.left = false
		s.logEvent(event.TargetChanged, event.F("target", r.incarnation.String()), event.F("left", false))
	}
	s.updateLeaveTime(now, r)
	if r.draining != t.draining {
		t.draining = r.draining
		s.logEvent(event.TargetChanged, event.F("target", r.incarnation.id), event.F("draining", r.draining), event.F("remaining_ms", r.remaining.Milliseconds()))
	}
}

// updateLeaveTime takes over when a draining target leaves, and tells the entries if that
// has changed, so that they can move the runs that would be lost with it.
func (s *StateMachine) updateLeaveTime(now time.Duration, r Report) {
	t := &s.target
	at := time.Duration(0)
	switch {
	case r.draining && r.remaining > 0:
		at = now + r.remaining
	case r.draining:
		// A target without time left is overdue, if it said before when it leaves.
		at = t.leavesAt
	}
	if known := t.leavesAt > 0; known == (at > 0) && (at-t.leavesAt).Abs() <= leaveTolerance {
		return
	}
	t.leavesAt = at
	s.resendTarget()
}

// describeTarget takes over what entries choose a target by, and tells them of changes.
func (s *StateMachine) describeTarget(r Report) {
	t := &s.target
	switch {
	case t.service != r.service || !slices.Equal(t.labels, r.labels):
		s.rejectQueued("target_changed")
		s.redescribeTarget()
	case t.capacity != r.capacity || t.zone != r.zone:
		s.resendTarget()
	}
	t.service = r.service
	t.address = r.address
	t.zone = r.zone
	t.labels = r.labels
	t.capacity = r.capacity
}

// updateWarmUp returns when the target's warm-up ends. Entries count the time that they were
// told down by themselves, so they are told only of a later end.
func (s *StateMachine) updateWarmUp(now time.Duration, r Report) time.Duration {
	until := now + r.warmUp
	if r.warmUp > 0 && until > s.target.warmUntil+warmUpTolerance {
		s.resendTarget()
	}
	return until
}

// isForeign reports whether a report names another target while the known one has runs
// and answers.
func (s *StateMachine) isForeign(now time.Duration, r Report) bool {
	t := &s.target
	return t.known && r.incarnation.id != t.incarnation.id && !t.replaced && !t.left &&
		len(s.runs) > len(s.queue) && t.unanswered == 0 && now <= t.leaseEnd
}

func (s *StateMachine) handleTargetLeft(id string) {
	if !s.target.known || s.target.incarnation.id != id {
		return
	}
	s.target.left = true
	s.logEvent(event.TargetLost, event.F("target", id), event.F("cause", "left"))
}

// expireReport treats a target that runs nothing and has not reported within
// reportTimeout as lost.
func (s *StateMachine) expireReport(now time.Duration) {
	t := &s.target
	if !t.known || t.stale || now-t.reported <= reportTimeout || len(s.runs) > 0 {
		return
	}
	t.stale = true
	s.logEvent(event.TargetLost, event.F("target", t.incarnation.id), event.F("cause", "no_report"), event.F("age_ms", (now-t.reported).Milliseconds()))
}
