package station

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// start accepts the tasks of a start, or refuses each with its cause.
func (s *Station) start(now time.Duration, x *session, st frame.Start) {
	x.seen = max(x.seen, st.Number())
	x.roomDue = true
	cores, memory, accels := st.Resources()
	need, err := task.NewResources(cores, memory, accels)
	for i, index := range st.Indexes() {
		r := &run{
			id:       task.NewRun(st.Job(), st.Step(), index, st.Runs()[i]),
			session:  x.number,
			entry:    x.entry,
			spec:     st.Spec(),
			need:     need,
			state:    runWaiting,
			rank:     st.Rank(),
			notAfter: st.NotAfter(),
			deadline: now + st.Timeout(),
		}
		if s.runs[r.id] != nil && s.runs[r.id].session == x.number {
			continue
		}
		if cause := s.startFault(now, r); cause != "" || err != nil {
			s.reportEnd(x, r, task.EndRefused, 0, cause)
			continue
		}
		s.runs[r.id] = r
		s.byTask[r.id.TaskName()] = r
		s.queue(r)
	}
	s.trimWaiting()
}

// startFault names the cause for which a start has no effect, empty for none.
func (s *Station) startFault(now time.Duration, r *run) string {
	switch {
	case now > r.notAfter:
		return "void"
	case s.leaving:
		return "leaving"
	case !s.target.usable():
		return "target_not_usable"
	case s.byTask[r.id.TaskName()] != nil:
		return "other_run"
	case !s.target.capacity.Covers(r.need):
		return "too_large"
	}
	return ""
}

func (s *Station) queue(r *run) {
	at := sort.Search(len(s.waiting), func(i int) bool { return s.waiting[i].rank > r.rank })
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = r
	s.queued = s.queued.Add(r.need)
}

// trimWaiting hands back the starts of the highest rank that neither fit nor
// find a place among those that wait.
func (s *Station) trimWaiting() {
	free := s.target.capacity.Sub(s.used)
	waits := 0
	for _, r := range append([]*run(nil), s.waiting...) {
		if free.Covers(r.need) {
			free = free.Sub(r.need)
			continue
		}
		waits++
		if waits > maxWaiting {
			s.refuse(r, task.EndNoCapacity, "no_room")
		}
	}
}

// startWaiting orders the waiting runs that fit, the lowest rank first.
func (s *Station) startWaiting(now time.Duration) {
	if len(s.waiting) == 0 || !s.target.usable() {
		return
	}
	for _, r := range append([]*run(nil), s.waiting...) {
		if s.target.capacity.Sub(s.used).Covers(r.need) {
			s.dequeue(r)
			s.used = s.used.Add(r.need)
			s.order(now, r)
		}
	}
}

func (s *Station) dequeue(r *run) {
	for i, w := range s.waiting {
		if w == r {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.queued = s.queued.Sub(r.need)
			return
		}
	}
}

// order tells the target to start a run.
func (s *Station) order(now time.Duration, r *run) {
	r.state = runStarting
	r.ordered = now
	s.target.extended(now, s.timing)
	s.out.orders = append(s.out.orders, Order{
		kind:    OrderStart,
		run:     r.id,
		spec:    r.spec,
		address: s.target.address,
		boot:    s.target.boot,
		fence:   s.target.fence,
		expires: s.target.clockAt(now) + s.timing.lease,
		sent:    now,
	})
}

// stop ends a run; one that was not ordered yet ends at once.
func (s *Station) stop(now time.Duration, r *run, cause string) {
	if r.state == runStopping {
		return
	}
	if r.state == runWaiting {
		s.refuse(r, task.EndStopped, cause)
		return
	}
	r.state = runStopping
	r.cause = cause
	s.note(event.RunStopping, event.F("run", r.id.String()), event.F("entry", r.entry), event.F("cause", cause),
		event.F("ran_ms", (now-r.ordered).Milliseconds()))
	s.sendStop(now, r)
}

func (s *Station) sendStop(now time.Duration, r *run) {
	r.stopSent = now
	s.out.orders = append(s.out.orders, s.stopOrder(now, r.id))
}

func (s *Station) stopOrder(now time.Duration, id task.Run) Order {
	return Order{
		kind:    OrderStop,
		run:     id,
		address: s.target.address,
		boot:    s.target.boot,
		fence:   s.target.fence,
		sent:    now,
	}
}

// refuse ends a run of which nothing was ordered.
func (s *Station) refuse(r *run, end task.End, cause string) {
	s.dequeue(r)
	s.forget(r)
	s.reportEnd(s.sessions[r.session], r, end, 0, cause)
}

// end ends a run that was ordered.
func (s *Station) end(now time.Duration, r *run, end task.End, cause string) {
	s.used = s.used.Sub(r.need)
	s.forget(r)
	s.roomChanged()
	s.reportEnd(s.sessions[r.session], r, end, now-r.ordered, cause)
}

func (s *Station) forget(r *run) {
	delete(s.runs, r.id)
	if s.byTask[r.id.TaskName()] == r {
		delete(s.byTask, r.id.TaskName())
	}
}

// reportEnd tells the entry of one end. The session is nil if it has ended.
func (s *Station) reportEnd(x *session, r *run, end task.End, ran time.Duration, cause string) {
	name := event.RunEnded
	if !end.MayHaveRun() {
		name = event.RunRefused
	}
	s.note(name, event.F("run", r.id.String()), event.F("entry", r.entry), event.F("end", end.String()),
		event.F("ran_ms", ran.Milliseconds()), event.F("cause", cause))
	if x == nil {
		return
	}
	x.ended = append(x.ended, frame.NewEnded(runID(r.id), int(end), ran))
}

// orderReply takes the target's answer to an order.
func (s *Station) orderReply(now time.Duration, in OrderReply) {
	o := in.order
	if o.boot != s.target.boot {
		return
	}
	s.target.answered(now, o.sent, in.verdict.answered(), in.clock)
	if in.verdict == VerdictFence {
		s.target.raiseFence(o.fence)
	}
	if in.verdict == VerdictBoot {
		s.target.replaced = true
	}
	if in.verdict == VerdictGone {
		s.gone(now)
		return
	}
	r, ok := s.runs[o.run]
	if !ok {
		return
	}
	if o.kind == OrderStop {
		s.stopReply(now, r, in.verdict)
		return
	}
	s.startReply(now, r, in.verdict)
}

func (s *Station) stopReply(now time.Duration, r *run, v Verdict) {
	switch v {
	case VerdictDone:
		if r.stopped == 0 {
			r.stopped = now
			s.target.lookDue = s.target.lookDue || !r.confirmed
		}
	case VerdictFence:
		s.sendStop(now, r)
	}
}

func (s *Station) startReply(now time.Duration, r *run, v Verdict) {
	switch v {
	case VerdictDone:
		r.confirmed = true
		r.confirmedAt = now
		if r.state == runStarting {
			r.state = runRunning
			s.note(event.RunStarted, event.F("run", r.id.String()), event.F("entry", r.entry),
				event.F("order_ms", (now-r.ordered).Milliseconds()), event.F("used_milli_cores", s.used.MilliCores()))
		}
	case VerdictUnknown:
		s.stop(now, r, "order_unanswered")
	case VerdictFence:
		if r.state == runStarting {
			s.order(now, r)
			return
		}
		s.end(now, r, task.EndRefused, v.String())
	case VerdictRoom:
		s.end(now, r, task.EndNoCapacity, v.String())
	default:
		s.end(now, r, task.EndRefused, v.String())
	}
}
