package station

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// hold asks the target for its lists where something waits for them.
func (s *StateMachine) hold(now time.Duration) {
	t := &s.target
	if !t.known || t.replaced {
		return
	}
	active := len(s.runs) > len(s.waiting)
	if t.synced && active && t.lookDue && !t.looking {
		t.looking = true
		t.lookDue = false
		s.sendHold(now, 0, true)
	}
	wanted := active || !t.synced || t.acked < t.lastSeen || t.unanswered > 0
	if !wanted || now < t.holdAfter || !t.holdDue(now) {
		return
	}
	wait := time.Duration(holdWait)
	if !t.synced || !active {
		wait = 0
	}
	s.sendHold(now, wait, false)
	t.waiting[t.holds] = now
}

// holdDue tells whether another call for lists is due: if none is open, or if the
// only one has had no answer for a time and may be lost.
func (t *target) holdDue(now time.Duration) bool {
	for _, sent := range t.waiting {
		if now-sent < holdHedge {
			return false
		}
	}
	return len(t.waiting) < maxHolds
}

func (s *StateMachine) sendHold(now, wait time.Duration, look bool) {
	t := &s.target
	t.holds++
	h := Renewal{
		number:   t.holds,
		look:     look,
		address:  t.address,
		boot:     t.boot,
		fence:    t.fence,
		lastSeen: t.lastSeen,
		wait:     wait,
		sent:     now,
	}
	// A call to a target that does not answer extends nothing, so that the end of
	// the lease stays known.
	if t.synced && t.silentHolds == 0 {
		h.expires = t.clockAt(now) + s.timing.lease
		t.extended(now, s.timing)
	}
	s.out.holds = append(s.out.holds, h)
}

// holdReply takes the lists of the target.
func (s *StateMachine) holdReply(now time.Duration, in RenewalReply) {
	t := &s.target
	h := in.hold
	if h.boot != t.boot {
		return
	}
	if h.look {
		t.looking = false
	} else {
		delete(t.waiting, h.number)
	}
	t.silentHolds++
	if in.verdict.answered() {
		t.silentHolds = 0
	}
	t.answered(now, h.sent, in.verdict.answered(), in.clock)
	switch {
	case in.verdict == ResultNoProcess:
		s.gone(now)
		return
	case in.verdict == ResultStaleFence:
		t.raiseFence(h.fence)
		return
	case in.verdict == ResultOtherIncarnation, in.verdict == ResultDone && in.started != 0 && in.started != t.boot.started:
		t.replaced = true
		return
	case in.verdict != ResultDone:
		t.holdAfter = now + holdRetry
		return
	}
	t.acked = max(t.acked, h.lastSeen)
	s.takeFinished(now, in)
	if h.number > t.listed {
		t.listed = h.number
		s.takeRunning(now, in)
	}
}

func (s *StateMachine) takeFinished(now time.Duration, in RenewalReply) {
	for _, f := range in.finished {
		s.target.lastSeen = max(s.target.lastSeen, f.number)
		r, ok := s.runs[f.run]
		if !ok || r.state == runWaiting {
			continue
		}
		end := f.end
		if end == task.EndStopped && r.cause == stalledCause {
			end = task.EndStalled
		}
		s.end(now, r, end, r.cause)
	}
}

// takeRunning compares the target's list with the station's: runs that nobody
// asked for are stopped, and runs that are certainly gone end.
func (s *StateMachine) takeRunning(now time.Duration, in RenewalReply) {
	t := &s.target
	listed := map[task.Run]bool{}
	for _, l := range in.running {
		listed[l.run] = true
		r, ok := s.runs[l.run]
		if !ok {
			s.stopUnclaimed(now, l.run)
			continue
		}
		s.follow(now, r, l.percent)
	}
	if len(in.finished) >= maxListed {
		return
	}
	for _, r := range s.ordered() {
		if r.state != runWaiting && !listed[r.id] && r.resolvedBefore(in.hold.sent, s.timing) {
			s.end(now, r, task.EndLost, r.cause)
		}
	}
	if !t.synced && len(in.running) == 0 {
		t.synced = true
		s.roomChanged()
	}
}

// resolvedBefore tells whether a list that was asked for at the given time would
// have the run if it still ran or could still start.
func (r *run) resolvedBefore(sent time.Duration, timing Timing) bool {
	switch {
	case r.stopped > 0 && r.stopped < sent:
		return true
	case r.confirmed && r.confirmedAt < sent:
		return true
	}
	return r.state == runStopping && sent > r.ordered+timing.lapse()
}

func (s *StateMachine) stopUnclaimed(now time.Duration, id task.Run) {
	t := &s.target
	if last, ok := t.unclaimed[id]; ok && now-last < stopRetry {
		return
	}
	t.unclaimed[id] = now
	s.out.orders = append(s.out.orders, s.stopOrder(now, id))
	s.note(event.RunUnclaimed, event.F("run", id.String()), event.F("target", t.boot.id))
}
