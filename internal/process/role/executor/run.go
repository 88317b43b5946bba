package executor

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// handleStart accepts the tasks of a start, or rejects each one with its cause. Echo is the
// time of the newest frame that the entry had when it placed them.
func (s *StateMachine) handleStart(now time.Duration, sess *session, echo time.Duration, st frame.Start) {
	sess.lastStart = max(sess.lastStart, st.Number())
	sess.capacityDue = true
	cores, memory, accels := st.Resources()
	resources, err := task.NewResources(cores, memory, accels)
	for i, index := range st.Indexes() {
		r := &run{
			id:        task.NewRun(st.Job(), st.Step(), index, st.Runs()[i]),
			session:   sess.number,
			entry:     sess.entry,
			spec:      st.Spec(),
			resources: resources,
			state:     runQueued,
			rank:      st.Rank(),
			notAfter:  st.NotAfter(),
			deadline:  now + st.TimeLimit(),
		}
		if s.runs[r.id] != nil && s.runs[r.id].session == sess.number {
			continue
		}
		if cause := s.rejectionCause(now, sess, echo, r); cause != "" || err != nil {
			s.reportEnd(sess, r, task.EndRefused, 0, cause)
			continue
		}
		s.runs[r.id] = r
		s.byTask[r.id.TaskName()] = r
		s.enqueue(r)
	}
	s.trimQueue()
}

// rejectionCause returns the cause for which a start is rejected, empty if it is
// accepted.
func (s *StateMachine) rejectionCause(now time.Duration, sess *session, echo time.Duration, r *run) string {
	switch {
	case now > r.notAfter:
		return "void"
	case echo <= sess.describedAfter:
		// The entry chose this target by what it knew of it before, maybe of another kind.
		return "older_target"
	case s.leaving:
		return "leaving"
	case s.inEvacuatedZone():
		s.evacuation.rejected++
		return event.CauseEvacuated
	case !s.target.usable():
		return "target_not_usable"
	case s.byTask[r.id.TaskName()] != nil:
		return "other_run"
	case !s.target.capacity.Covers(r.resources):
		return "too_large"
	}
	return ""
}

func (s *StateMachine) enqueue(r *run) {
	at := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].rank > r.rank })
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = r
	s.queuedResources = s.queuedResources.Add(r.resources)
}

// trimQueue rejects the starts of the highest rank that neither fit the target nor
// the queue.
func (s *StateMachine) trimQueue() {
	free := s.target.capacity.Sub(s.inUse)
	queued := 0
	for _, r := range append([]*run(nil), s.queue...) {
		if free.Covers(r.resources) {
			free = free.Sub(r.resources)
			continue
		}
		queued++
		if queued > maxQueued {
			s.reject(r, task.EndNoCapacity, "no_room")
		}
	}
}

// startQueued starts the queued runs that fit, the lowest rank first.
func (s *StateMachine) startQueued(now time.Duration) {
	if len(s.queue) == 0 || !s.target.usable() || s.inEvacuatedZone() {
		return
	}
	for _, r := range append([]*run(nil), s.queue...) {
		if s.target.capacity.Sub(s.inUse).Covers(r.resources) {
			s.dequeue(r)
			s.inUse = s.inUse.Add(r.resources)
			s.sendStart(now, r)
		}
	}
}

func (s *StateMachine) dequeue(r *run) {
	for i, w := range s.queue {
		if w == r {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.queuedResources = s.queuedResources.Sub(r.resources)
			return
		}
	}
}

// sendStart sends the target the command to start a run.
func (s *StateMachine) sendStart(now time.Duration, r *run) {
	r.state = runStarting
	r.startSent = now
	r.startResolved = 0
	r.incarnation = s.target.incarnation
	if s.inEvacuatedZone() {
		s.evacuation.starts++
	}
	expires := s.target.leaseExpires
	if !s.leaseWithheld() {
		expires = s.target.extendLease(now, s.timing)
	}
	s.out.commands = append(s.out.commands, Command{
		kind:        CommandStart,
		run:         r.id,
		spec:        r.spec,
		address:     s.target.address,
		incarnation: s.target.incarnation,
		fence:       s.target.fence,
		expires:     expires,
		sent:        now,
	})
}

// stop stops a run. A queued run ends at once.
func (s *StateMachine) stop(now time.Duration, r *run, cause string) {
	if r.state == runStopping {
		return
	}
	if r.state == runQueued {
		s.reject(r, task.EndStopped, cause)
		return
	}
	r.state = runStopping
	r.cause = cause
	s.logEvent(event.RunStopping, event.F("run", r.id.String()), event.F("entry", r.entry), event.F("cause", cause),
		event.F("ran_ms", (now-r.startSent).Milliseconds()))
	s.sendStop(now, r)
}

func (s *StateMachine) sendStop(now time.Duration, r *run) {
	r.stopSent = now
	r.openStops++
	s.out.commands = append(s.out.commands, s.stopCommand(now, r.id))
}

func (s *StateMachine) stopCommand(now time.Duration, id task.Run) Command {
	return Command{
		kind:        CommandStop,
		run:         id,
		address:     s.target.address,
		incarnation: s.target.incarnation,
		fence:       s.target.fence,
		sent:        now,
	}
}

// reject ends a run for which no command was sent.
func (s *StateMachine) reject(r *run, end task.End, cause string) {
	s.dequeue(r)
	s.remove(r)
	s.reportEnd(s.sessions[r.session], r, end, 0, cause)
}

// end ends a run for which a start command was sent.
func (s *StateMachine) end(now time.Duration, r *run, end task.End, cause string) {
	s.inUse = s.inUse.Sub(r.resources)
	s.remove(r)
	s.capacityChanged()
	s.reportEnd(s.sessions[r.session], r, end, now-r.startSent, cause)
}

func (s *StateMachine) remove(r *run) {
	delete(s.runs, r.id)
	if s.byTask[r.id.TaskName()] == r {
		delete(s.byTask, r.id.TaskName())
	}
}

// reportEnd queues the report of an end for the entry. The session is nil if it has
// ended.
func (s *StateMachine) reportEnd(sess *session, r *run, end task.End, ran time.Duration, cause string) {
	name := event.RunEnded
	if !end.MayHaveRun() {
		name = event.RunRefused
	}
	s.logEvent(name, event.F("run", r.id.String()), event.F("entry", r.entry), event.F("end", end.String()),
		event.F("ran_ms", ran.Milliseconds()), event.F("cause", cause))
	if sess == nil {
		return
	}
	sess.ended = append(sess.ended, frame.NewEnded(frameRunID(r.id), int(end), ran))
}

// handleCommandReply processes the target's answer to a command.
func (s *StateMachine) handleCommandReply(now time.Duration, reply CommandReply) {
	c := reply.command
	if c.incarnation != s.target.incarnation {
		s.handleEarlierReply(now, c, reply.result)
		return
	}
	if s.target.answered(now, c.sent, reply.result.answered(), reply.clock) {
		s.suspectRestart(now)
	}
	if reply.result == ResultStaleFence {
		s.target.raiseFence(c.fence)
	}
	if reply.result == ResultOtherIncarnation {
		s.target.replaced = true
	}
	if reply.result == ResultNoProcess {
		s.handleNoProcess(now, c.sent)
	}
	r, ok := s.runs[c.run]
	if !ok {
		return
	}
	if c.kind == CommandStop {
		s.handleStopReply(now, r, reply.result)
		return
	}
	s.handleStartReply(now, r, reply.result)
}

func (s *StateMachine) handleStopReply(now time.Duration, r *run, result Result) {
	r.openStops--
	switch result {
	case ResultUnknown:
		s.withholdLease(now, r)
	case ResultDone:
		if r.stopConfirmed == 0 {
			r.stopConfirmed = now
			s.target.pollDue = s.target.pollDue || !r.confirmed
		}
	case ResultStaleFence:
		s.sendStop(now, r)
	}
}

func (s *StateMachine) handleStartReply(now time.Duration, r *run, result Result) {
	r.startResolved = now
	switch result {
	case ResultDone:
		r.confirmed = true
		r.confirmedAt = now
		if r.state == runStarting {
			r.state = runRunning
			s.logEvent(event.RunStarted, event.F("run", r.id.String()), event.F("entry", r.entry),
				event.F("target", r.incarnation.String()), event.F("order_ms", (now-r.startSent).Milliseconds()), event.F("used_milli_cores", s.inUse.MilliCores()))
		}
	case ResultUnknown:
		s.rememberUnanswered(now, r)
		s.stop(now, r, "order_unanswered")
	case ResultStaleFence:
		if r.state == runStarting && !s.inEvacuatedZone() {
			s.sendStart(now, r)
			return
		}
		s.end(now, r, task.EndRefused, result.String())
	case ResultNoCapacity:
		s.end(now, r, task.EndNoCapacity, result.String())
	case ResultNoProcess:
		s.end(now, r, task.EndLost, "target_gone")
	default:
		s.end(now, r, task.EndRefused, result.String())
	}
}
