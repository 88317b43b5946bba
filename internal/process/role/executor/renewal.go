package executor

import (
	"cmp"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// renew renews the lease and requests the target's lists if something depends on
// them.
func (s *StateMachine) renew(now time.Duration) {
	t := &s.target
	active := len(s.runs) > len(s.queue)
	if !t.known || t.replaced && !active {
		return
	}
	if t.synced && active && !t.polling && (t.pollDue || s.extensionDue(now)) {
		t.polling = true
		t.pollDue = false
		s.sendRenewal(now, 0, true)
	}
	wanted := active || !t.synced || t.unclaimedListed || t.ackedEnd < t.lastEndSeen || t.unanswered > 0
	if !wanted || now < t.renewAfter || !t.renewalDue(now) {
		return
	}
	wait := time.Duration(renewalWait)
	if (!t.synced || !active) && !t.unclaimedListed {
		wait = 0
	}
	s.sendRenewal(now, wait, false)
	t.pending[t.renewals] = now
}

// renewalDue reports whether another renewal is due: none is unanswered, or the
// only unanswered one is old enough to be lost.
func (t *target) renewalDue(now time.Duration) bool {
	for _, sent := range t.pending {
		if now-sent < renewalHedge {
			return false
		}
	}
	return len(t.pending) < maxPendingRenewals
}

func (s *StateMachine) sendRenewal(now, wait time.Duration, poll bool) {
	t := &s.target
	t.renewals++
	renewal := Renewal{
		number:      t.renewals,
		poll:        poll,
		address:     t.address,
		incarnation: t.incarnation,
		fence:       t.fence,
		lastEndSeen: t.lastEndSeen,
		wait:        wait,
		sent:        now,
	}
	// A call to a target that does not answer or has been replaced renews nothing, so
	// that the end of the lease stays known.
	if t.synced && !t.replaced && t.unansweredRenewals == 0 && !s.leaseWithheld() {
		renewal.expires = t.extendLease(now, s.timing)
	}
	s.out.renewals = append(s.out.renewals, renewal)
}

// handleRenewalReply processes the target's answer to a renewal.
func (s *StateMachine) handleRenewalReply(now time.Duration, reply RenewalReply) {
	t := &s.target
	request := reply.renewal
	if request.incarnation != t.incarnation {
		return
	}
	if request.poll {
		t.polling = false
	} else {
		delete(t.pending, request.number)
	}
	t.unansweredRenewals++
	if reply.result.answered() {
		t.unansweredRenewals = 0
	}
	if t.answered(now, request.sent, reply.result.answered(), reply.clock) {
		s.suspectRestart(now)
	}
	switch {
	case reply.result == ResultNoProcess:
		s.handleNoProcess(now, request.sent)
		return
	case reply.result == ResultStaleFence:
		t.raiseFence(request.fence)
		return
	case reply.result == ResultOtherIncarnation:
		t.replaced = true
		t.renewAfter = now + renewalRetry
		return
	case reply.result == ResultDone && reply.started != 0 && reply.started != t.incarnation.started:
		s.adoptIncarnation(now, reply.started, reply.clock)
		return
	case reply.result != ResultDone:
		t.renewAfter = now + renewalRetry
		return
	}
	t.ackedEnd = max(t.ackedEnd, request.lastEndSeen)
	if t.firstList == 0 {
		t.firstList = now
	}
	s.logOmitted(reply.omitted)
	s.applyFinished(now, reply)
	if request.number > t.newestList {
		t.newestList = request.number
		s.applyRunning(now, reply)
	}
}

func (s *StateMachine) applyFinished(now time.Duration, reply RenewalReply) {
	t := &s.target
	if reply.omitted.ends > 0 {
		// The target lists them again at once until a later end is acknowledged.
		t.renewAfter = now + renewalRetry
	}
	if reply.truncated() {
		// Nothing but the acknowledgement of these rows lets the target list later ends.
		t.acknowledge(reply.omitted.lastEnd)
	}
	for _, f := range reply.finished {
		if !t.acknowledge(f.number) {
			t.renewAfter = now + renewalRetry
			s.logOmitted(Omitted{}.AddEnd(0, "number of an end skips too many"))
			continue
		}
		r, ok := s.runs[f.run]
		if !ok || r.state == runQueued {
			continue
		}
		end := f.end
		if end == task.EndStopped && r.cause == stalledCause {
			end = task.EndStalled
		}
		s.end(now, r, end, r.cause)
	}
}

// truncated reports whether the target may have left ended runs out of its list.
func (r RenewalReply) truncated() bool {
	return len(r.finished)+r.omitted.ends >= maxEndsListed
}

// acknowledge records the number of a listed end. It reports false for a number that
// is too far ahead: acknowledging it would hide all ends before it.
func (t *target) acknowledge(number int64) bool {
	if t.lastEndSeen > 0 && number > t.lastEndSeen+maxEndsSkipped {
		return false
	}
	t.lastEndSeen = max(t.lastEndSeen, number)
	return true
}

// applyRunning compares the target's list with the accepted runs: it stops runs
// that no entry asked for, and ends runs that are known to have ended.
func (s *StateMachine) applyRunning(now time.Duration, reply RenewalReply) {
	t := &s.target
	listed := map[task.Run]bool{}
	unclaimed := 0
	for _, l := range reply.running {
		listed[l.run] = true
		r, ok := s.runs[l.run]
		if !ok {
			s.stopUnclaimed(now, l.run)
			unclaimed++
			continue
		}
		if l.percent != UnknownPercent {
			s.trackProgress(now, r, l.percent)
		}
	}
	if reply.truncated() {
		return
	}
	t.unclaimedListed = unclaimed > 0
	for _, r := range s.sortedRuns() {
		if r.state != runQueued && !listed[r.id] && r.resolvedBefore(reply, s.timing) {
			s.end(now, r, task.EndLost, cmp.Or(r.cause, r.lossCause(t)))
		}
	}
	if !t.synced && unclaimed == 0 && (reply.omitted.runs == 0 || reply.renewal.sent > t.firstList+s.timing.maxLeaseSpan()) {
		t.synced = true
		s.capacityChanged()
	}
}

// resolvedBefore reports whether a list that lacks the run would contain it if it
// still ran or could still start.
func (r *run) resolvedBefore(reply RenewalReply, timing Timing) bool {
	sent := reply.renewal.sent
	if r.startResolved == 0 {
		// The start is still under way and may meet the next incarnation, which knows of no
		// stop.
		return false
	}
	if reply.omitted.runs > 0 {
		// A row that was left out may be of this run, so only a stop proves its end: two
		// runs of a task could overlap otherwise.
		return r.stopConfirmed > 0 && sent > r.stopConfirmed+maxStopTime
	}
	switch {
	case r.stopConfirmed > 0 && r.stopConfirmed < sent:
		return true
	case r.confirmed && r.confirmedAt < sent:
		return true
	}
	return r.state == runStopping && r.incarnation == reply.renewal.incarnation && sent > r.startSent+timing.maxLeaseSpan()
}

// lossCause returns why a run that was not stopped is missing from a list.
func (r *run) lossCause(t *target) string {
	if r.incarnation != t.incarnation {
		return "target_restarted"
	}
	return ""
}

// frozen corrects the time of a stop after the agent was frozen. The target may have
// been suspended with its host before it carried out the stop.
func (r *run) frozen(gap time.Duration) {
	if r.stopConfirmed > 0 {
		r.stopConfirmed += gap
	}
}

func (s *StateMachine) stopUnclaimed(now time.Duration, id task.Run) {
	t := &s.target
	if last, ok := t.unclaimed[id]; ok && now-last < unclaimedRetryInterval {
		return
	}
	if len(t.unclaimed) >= maxUnclaimed {
		t.forgetUnclaimed(now)
	}
	if len(t.unclaimed) >= maxUnclaimed {
		return
	}
	t.unclaimed[id] = now
	s.out.commands = append(s.out.commands, s.stopCommand(now, id))
	s.logEvent(event.RunUnclaimed, event.F("run", id.String()), event.F("target", t.incarnation.id))
}

// forgetUnclaimed removes the runs whose stop may be repeated.
func (t *target) forgetUnclaimed(now time.Duration) {
	for id, last := range t.unclaimed {
		if now-last >= unclaimedRetryInterval {
			delete(t.unclaimed, id)
		}
	}
}
