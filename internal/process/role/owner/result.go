package owner

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/request/queue"
)

// revokeInterval is the least interval between two rounds of revocations. The first
// of a burst is sent at once, and those that follow within the interval are sent
// together.
const revokeInterval = 5 * time.Millisecond

// revocations are the pending revocations of jobs by agent. The agents are in the
// order of their first one.
type revocations struct {
	byAgent map[identity.Process][]*submission
	order   []identity.Process
	last    time.Time
}

func (r *revocations) add(p identity.Process, s *submission) {
	if len(r.byAgent[p]) == 0 {
		r.order = append(r.order, p)
	}
	r.byAgent[p] = append(r.byAgent[p], s)
}

// flushRevokes sends the pending revocations, one message to each agent.
func (o *Owner) flushRevokes(now time.Time) {
	if len(o.pendingRevokes.order) == 0 || now.Sub(o.pendingRevokes.last) < revokeInterval {
		return
	}
	o.pendingRevokes.last = now
	for _, p := range o.pendingRevokes.order {
		var grants []message.Grant
		var keys []identity.Submission
		for _, s := range o.pendingRevokes.byAgent[p] {
			if s.job.OpenTasksAt(p) > 0 {
				grants = append(grants, s.shard.grant)
				keys = append(keys, s.job.Order().Submission())
			}
		}
		if len(keys) > 0 {
			o.send(p, message.NewRevoke(grants, keys))
		}
	}
	clear(o.pendingRevokes.byAgent)
	o.pendingRevokes.order = o.pendingRevokes.order[:0]
}

// stop ends a job for a reason outside its tasks. Without a lease the owner does
// not state that nothing ran, since another owner may have the shard.
func (o *Owner) stop(now time.Time, s *submission, reason answer.Reason, detail string, retryAfter time.Duration) {
	if s.job.Stopping() {
		return
	}
	if !o.leased(now) {
		s.job.MarkHistoryUnknown()
	}
	if s.job.Stop(reason, detail, retryAfter) {
		o.ended(s)
		return
	}
	if !s.job.Stopping() {
		return
	}
	o.dequeue(s)
	o.revoke(s)
	o.arm(now.Add(confirmTimeout), confirm, s)
}

func (o *Owner) revoke(s *submission) {
	s.job.EachOpenAgent(func(p identity.Process) { o.pendingRevokes.add(p, s) })
}

// ended answers the waiters of a job, removes its waiting tasks and revokes its
// open ones.
func (o *Owner) ended(s *submission) {
	for _, w := range s.waiters {
		o.reply(w.entry, w.request, s.job.Answer())
	}
	s.waiters = nil
	s.unfitAgents = nil
	for _, r := range s.job.Answer().Results() {
		s.resultBytes += len(r)
	}
	o.resultBytes += s.resultBytes
	o.dequeue(s)
	o.revoke(s)
}

// releaseTask updates the counts after a task is no longer open at an agent.
func (o *Owner) releaseTask(s *submission, p identity.Process) {
	a, ok := o.agents[p]
	if !ok {
		return
	}
	if s.job.OpenTasksAt(p) == 0 {
		delete(a.jobs, s)
	}
	if ep := a.endpoint(s.svc); ep != nil {
		o.reduceOpen(ep, 1)
	}
	o.discard(a)
}

// reduceOpen subtracts n from the open tasks of an endpoint. It stops at zero, since
// tasks adopted before the agent's first capacity report were not counted.
func (o *Owner) reduceOpen(ep *endpoint, n int) {
	n = min(n, ep.open)
	ep.open -= n
	ep.svc.open -= n
	o.updatePools(ep)
}

func (o *Owner) finished(now time.Time, from identity.Process, m message.Finished) {
	key := m.Task().Submission()
	s, ok := o.submissions[key]
	if !ok {
		if rec, ok := o.recovered[key]; ok {
			rec.finished(m.Task().Index(), from, m.Result())
		}
		return
	}
	index := m.Task().Index()
	retry := m.Result().State() == outcome.Failed && o.mayRetry(s, index, from)
	step := s.job.RecordResult(index, from, m.Result(), retry)
	if step == job.Ignored {
		return
	}
	o.observe(now, s, from, m.Result())
	o.releaseTask(s, from)
	if step != job.Retry {
		o.retries.Deposit()
	}
	switch step {
	case job.Ended:
		o.ended(s)
	case job.Retry:
		o.queueRetry(now, s, index)
	case job.Progress:
		// A start that never reached its back end has the result revoked, and its task
		// waits again.
		o.requeue(now, s, index)
	}
}

// requeue queues a task that waits again because its start took no effect.
func (o *Owner) requeue(now time.Time, s *submission, index uint32) {
	if !s.job.Waiting(index) {
		return
	}
	if s.job.Starts(index) > 0 {
		o.queueRetry(now, s, index)
		return
	}
	s.job.Requeue(index)
	o.add(s.svc, s.item, 1)
}

// finished updates the record of a task that was running when its shard was fenced.
func (rec *recoveredSubmission) finished(index uint32, from identity.Process, result outcome.Result) {
	t, ok := rec.tasks[index]
	if ok && t.Agent() == from && t.Result().State() == outcome.Running && result.State().Ended() {
		rec.tasks[index] = job.NewRecoveredTask(from, result)
	}
}

// cancel revokes the running tasks of a submission whose content is not known to
// this owner.
func (rec *recoveredSubmission) cancel(o *Owner, key identity.Submission) answer.Answer {
	rec.cancelled = true
	ran := answer.RanUnknown
	sentTo := map[identity.Process]bool{}
	for i := range uint32(rec.width()) {
		t, ok := rec.tasks[i]
		if !ok || t.Result().State() == outcome.Revoked {
			continue
		}
		if t.Result().State() != outcome.Unknown {
			ran = answer.RanSomething
		}
		if t.Result().State() == outcome.Running && !sentTo[t.Agent()] {
			sentTo[t.Agent()] = true
			o.send(t.Agent(), message.NewRevoke([]message.Grant{rec.shard.grant}, []identity.Submission{key}))
		}
	}
	return answer.Failure(answer.Cancelled, "begun under a former owner", ran)
}

// width returns the least number of tasks that the records imply.
func (rec *recoveredSubmission) width() int {
	n := 0
	for i := range rec.tasks {
		n = max(n, int(i)+1)
	}
	return n
}

// mayRetry reports whether a failed task starts again. Its kind has to permit it,
// and it takes a token from the retry budget.
func (o *Owner) mayRetry(s *submission, index uint32, from identity.Process) bool {
	return s.job.MayRetry(index, from) && o.retries.TryWithdraw()
}

// queueRetry queues a failed task as a separate item, so that it does not delay the
// other tasks of its job.
func (o *Owner) queueRetry(now time.Time, s *submission, index uint32) {
	i := queue.NewItem(queuedWork{
		submission: s,
		index:      index,
		retry:      true,
	}, o.queueSpec(now, s))
	s.svc.queue.MarkStarted(i)
	s.retries = append(s.retries, i)
	o.add(s.svc, i, 1)
}

// rejected undoes a start that had no effect and acts on its cause.
func (o *Owner) rejected(now time.Time, from identity.Process, task identity.Task, cause message.Cause) {
	s, ok := o.submissions[task.Submission()]
	if !ok || !s.job.IsOpenAt(task.Index(), from) {
		return
	}
	if cause == message.StaleEpoch {
		o.release(s.shard.grant.Shard())
		return
	}
	if cause == message.AlreadyStarted {
		o.failTask(now, s, task.Index(), from, "the agent "+from.String()+" has an earlier start of the task")
		return
	}
	step := s.job.NotStarted(task.Index(), from)
	o.releaseTask(s, from)
	o.noteRejection(now, s, from, cause)
	if step == job.Ended {
		o.ended(s)
		return
	}
	switch {
	case cause == message.PastDeadline:
		o.stop(now, s, answer.DeadlinePassed, "the deadline passed", 0)
	case cause == message.Withdrawn:
		o.stop(now, s, answer.Cancelled, "a former owner revoked the submission", 0)
	case cause == message.NeverFits && o.fitsNowhere(s, from):
		o.stop(now, s, answer.FitsNowhere, "a task is larger than every worker known to the owner", 0)
	}
	o.requeue(now, s, task.Index())
}

// fitsNowhere notes that an agent can never run the job, and reports whether this
// applies to all agents of the working set that have offered the service.
func (o *Owner) fitsNowhere(s *submission, from identity.Process) bool {
	if !s.isUnfit(from) {
		s.unfitAgents = append(s.unfitAgents, from)
	}
	for _, a := range o.workingSet {
		if a.endpoint(s.svc) != nil && !s.isUnfit(a.process) {
			return false
		}
	}
	return true
}

func (s *submission) isUnfit(p identity.Process) bool {
	for _, m := range s.unfitAgents {
		if m == p {
			return true
		}
	}
	return false
}

// failTask ends a task whose result will never be known.
func (o *Owner) failTask(now time.Time, s *submission, index uint32, p identity.Process, detail string) {
	step := s.job.RecordResult(index, p, outcome.Lost(detail), false)
	if step == job.Ignored {
		return
	}
	o.releaseTask(s, p)
	if step == job.Ended {
		o.ended(s)
	}
}

// revoked applies an agent's confirmation of revocations. A task that the agent has
// no record of can no longer start there.
func (o *Owner) revoked(now time.Time, from identity.Process, m message.Revoked) {
	states := make(map[identity.Task]outcome.State, len(m.Tasks()))
	for _, t := range m.Tasks() {
		states[t.Task()] = t.State()
	}
	for _, key := range m.Submissions() {
		s, ok := o.submissions[key]
		if !ok {
			continue
		}
		answered := s.job.Answer().Ended()
		if !answered && !o.leased(now) {
			s.job.MarkHistoryUnknown()
		}
		var open []uint32
		s.job.EachOpenTask(from, func(i uint32) { open = append(open, i) })
		for _, i := range open {
			state, found := states[identity.NewTask(key, i)]
			if !found {
				state = outcome.Revoked
			}
			s.job.ConfirmRevocation(i, from, state)
			if !s.job.IsOpenAt(i, from) {
				o.releaseTask(s, from)
			}
		}
		if !answered && s.job.Answer().Ended() {
			o.ended(s)
		}
	}
}

// processLost ends every start at a lost agent, which will never answer.
func (o *Owner) processLost(now time.Time, p identity.Process) {
	o.lostAgents[p] = struct{}{}
	o.arm(now.Add(o.retention()+retentionMargin), forgetLostAgent, &p)
	o.markMemberLost(now, p)
	a, ok := o.agents[p]
	if !ok {
		return
	}
	o.removeFromSet(a)
	for i, m := range o.workingSet {
		if m == a {
			o.workingSet = append(o.workingSet[:i], o.workingSet[i+1:]...)
			break
		}
	}
	delete(o.agents, p)
	for _, s := range byAcceptance(a.jobs) {
		var open []uint32
		s.job.EachOpenTask(p, func(i uint32) { open = append(open, i) })
		for _, i := range open {
			o.failTask(now, s, i, p, "the agent "+p.String()+" was lost")
		}
	}
	for _, ep := range a.endpoints {
		ep.svc.open -= ep.open
	}
}
