package owner

import (
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/request/queue"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// maxAgingDelay bounds the wait after which work is treated as aged.
const maxAgingDelay = 5 * time.Second

// requestOf returns the request number of an entry's message.
func requestOf(body any) uint64 {
	switch m := body.(type) {
	case message.Submit:
		return m.Request()
	case message.Query:
		return m.Request()
	case message.Cancel:
		return m.Request()
	}
	return 0
}

// keyOf returns the submission that an entry's message refers to.
func keyOf(body any) identity.Submission {
	switch m := body.(type) {
	case message.Submit:
		return m.Order().Submission()
	case message.Query:
		return m.Submission()
	case message.Cancel:
		return m.Submission()
	}
	return identity.Submission{}
}

// handleRequest handles a message of an entry, or keeps it pending until its shard
// is fenced.
func (o *Owner) handleRequest(now time.Time, r message.Received) {
	sh, refusal, ok := o.ownedShard(keyOf(r.Body()))
	switch {
	case !ok:
		o.reply(r.From(), requestOf(r.Body()), refusal)
		return
	case !sh.ready && len(sh.pending) >= maxPending:
		o.reply(r.From(), requestOf(r.Body()), answer.NotForwarded(answer.Unavailable, "the shard is being sealed", 0))
		return
	case !sh.ready:
		sh.pending = append(sh.pending, r)
		return
	}
	switch m := r.Body().(type) {
	case message.Submit:
		o.submit(now, sh, r.From(), m)
	case message.Query:
		o.query(r.From(), m)
	case message.Cancel:
		o.cancel(now, r.From(), m)
	}
}

// ownedShard returns the shard of a submission, or a refusal and false if this
// process does not own it.
func (o *Owner) ownedShard(key identity.Submission) (*ownedShard, answer.Answer, bool) {
	if s, ok := o.submissions[key]; ok {
		return s.shard, answer.Answer{}, true
	}
	if o.cfg == nil {
		return nil, answer.NotForwarded(answer.Unavailable, "the owner has no configuration", 0), false
	}
	team, ok := o.cfg.Team(key.Team())
	if !ok {
		return nil, answer.NotForwarded(answer.UnknownTeam, key.Team(), 0), false
	}
	sh, ok := o.shards[o.topology.Shard(key, team.HomeRegion())]
	if !ok {
		return nil, answer.NotForwarded(answer.Unavailable, "this process does not own the submission's shard", 0), false
	}
	return sh, answer.Answer{}, true
}

func (o *Owner) submit(now time.Time, sh *ownedShard, from identity.Process, m message.Submit) {
	order := m.Order()
	w := waiter{
		entry:   from,
		request: m.Request(),
	}
	if s, ok := o.submissions[order.Submission()]; ok {
		o.attach(w, s, order)
		return
	}
	kind, refusal, ok := o.validate(now, order)
	if !ok {
		o.reply(from, m.Request(), refusal)
		return
	}
	s := o.newSubmission(now, sh, order, kind)
	if rec, ok := o.recovered[order.Submission()]; ok {
		if rec.width() > len(order.Payloads()) {
			o.reply(from, m.Request(), answer.NotForwarded(answer.KeyConflict, "the key was used with more tasks", 0))
			return
		}
		s.waiters = append(s.waiters, w)
		o.register(now, s)
		o.adopt(now, s, rec)
		o.enqueue(now, s)
		if !s.job.Answer().Ended() {
			o.reply(from, m.Request(), answer.Pending())
		}
		return
	}
	if sh.recordsMayBeMissing(order.Submission()) {
		s.waiters = append(s.waiters, w)
		o.register(now, s)
		s.job.Adopt(nil, true)
		o.ended(s)
		return
	}
	if refusal, ok := o.admit(now, s); !ok {
		o.reply(from, m.Request(), refusal)
		return
	}
	s.waiters = append(s.waiters, w)
	o.register(now, s)
	o.reply(from, m.Request(), answer.Pending())
	o.enqueue(now, s)
}

// attach answers a request with the current answer of a job, and adds it to the
// waiters if the job has not ended.
func (o *Owner) attach(w waiter, s *submission, order job.Order) {
	if s.digest != order.Digest() {
		o.reply(w.entry, w.request, answer.NotForwarded(answer.KeyConflict, "the key was used with another content", 0))
		return
	}
	o.reply(w.entry, w.request, s.job.Answer())
	if !s.job.Answer().Ended() {
		s.waiters = append(s.waiters, w)
	}
}

// validate returns the kind of an order, or the refusal and false if the order is
// invalid regardless of the history of its key.
func (o *Owner) validate(now time.Time, order job.Order) (configuration.Kind, answer.Answer, bool) {
	refuse := func(r answer.Reason, detail string) (configuration.Kind, answer.Answer, bool) {
		return configuration.Kind{}, answer.NotForwarded(r, detail, 0), false
	}
	if !o.leased(now) {
		return refuse(answer.Unavailable, "the owner has no valid lease")
	}
	firstSent := order.Submission().FirstSent()
	if firstSent.After(now.Add(maxCallerSkew)) {
		return refuse(answer.KeyInFuture, "first sent "+firstSent.UTC().Format(time.RFC3339Nano))
	}
	if now.Sub(firstSent) >= o.retention() {
		return refuse(answer.KeyExpired, "first sent "+firstSent.UTC().Format(time.RFC3339))
	}
	kind, ok := o.cfg.Kind(order.Submission().Team(), order.Kind())
	if !ok {
		return refuse(answer.UnknownKind, order.Kind())
	}
	if n := len(order.Payloads()); n > o.cfg.Limits().MaxTasks() {
		return refuse(answer.InvalidRequest, "the job has "+strconv.Itoa(n)+" tasks, allowed are "+strconv.Itoa(o.cfg.Limits().MaxTasks()))
	}
	for _, p := range order.Payloads() {
		if len(p) > kind.PayloadBytes() {
			return refuse(answer.InvalidRequest, "a payload has "+strconv.Itoa(len(p))+" bytes, allowed are "+strconv.Itoa(kind.PayloadBytes()))
		}
	}
	return kind, answer.Answer{}, true
}

// workerService is the service name under which agents report the capacity of
// workers.
const workerService = "worker"

// serviceOf returns the name of the service whose capacity a kind's tasks use.
func serviceOf(k configuration.Kind) string {
	if k.BackEnd() == configuration.Worker {
		return workerService
	}
	return k.Service()
}

// newSubmission returns a submission that is not registered yet.
func (o *Owner) newSubmission(now time.Time, sh *ownedShard, order job.Order, kind configuration.Kind) *submission {
	o.accepted++
	s := &submission{
		sequence: o.accepted,
		job:      job.New(now, order, kind),
		digest:   order.Digest(),
		shard:    sh,
		svc:      o.service(serviceOf(kind)),
		runTimes: o.runTimesOf(kind),
	}
	s.waiters = s.firstWaiter[:0]
	s.item = queue.NewItem(queuedWork{
		submission: s,
	}, o.queueSpec(now, s))
	return s
}

// queueSpec returns the scheduling attributes of a submission's tasks.
func (o *Owner) queueSpec(now time.Time, s *submission) queue.Spec {
	kind := s.job.Kind()
	share := 0.0
	if team, ok := o.cfg.Team(kind.Team()); ok {
		share = team.Share()
	}
	end := now.Add(kind.Commitment())
	if d := s.job.Order().Deadline(); !d.IsZero() && d.Before(end) {
		end = d
	}
	return queue.NewSpec(kind.Team(), share, queue.NewClass(kind.Urgency(), kind.Long()), now,
		end.Add(-s.runTimes.tail.Value()), s.runTimes.typical.Value(), kind.Harm(), min(kind.Commitment(), maxAgingDelay))
}

// register stores a submission and arms its timers.
func (o *Owner) register(now time.Time, s *submission) {
	order := s.job.Order()
	o.submissions[order.Submission()] = s
	s.shard.submissionSet[s] = struct{}{}
	o.armRetention(now, order.Submission(), s)
	// Without a deadline, a job that can never run is answered when its key expires.
	end := order.Submission().FirstSent().Add(o.retention())
	if d := order.Deadline(); !d.IsZero() && d.Before(end) {
		end = d
	}
	o.arm(end, deadline, s)
}

// remove removes a submission without answering its waiters.
func (o *Owner) remove(s *submission) {
	key := s.job.Order().Submission()
	s.job.EachOpenAgent(func(p identity.Process) {
		a, ok := o.agents[p]
		if !ok {
			return
		}
		delete(a.jobs, s)
		if ep := a.endpoint(s.svc); ep != nil {
			o.reduceOpen(ep, s.job.OpenTasksAt(p))
		}
		o.discard(a)
	})
	o.resultBytes -= s.resultBytes
	delete(o.submissions, key)
	delete(s.shard.submissionSet, s)
}

func (o *Owner) query(from identity.Process, m message.Query) {
	w := waiter{
		entry:   from,
		request: m.Request(),
	}
	if s, ok := o.submissions[m.Submission()]; ok {
		o.reply(from, m.Request(), s.job.Answer())
		if m.Wait() && !s.job.Answer().Ended() {
			s.waiters = append(s.waiters, w)
		}
		return
	}
	if rec, ok := o.recovered[m.Submission()]; ok {
		o.reply(from, m.Request(), answer.Pending())
		if m.Wait() {
			rec.waiters = append(rec.waiters, w)
		}
		return
	}
	o.reply(from, m.Request(), answer.NotForwarded(answer.UnknownKey, m.Submission().String(), 0))
}

func (o *Owner) cancel(now time.Time, from identity.Process, m message.Cancel) {
	if !o.leased(now) {
		o.reply(from, m.Request(), answer.NotForwarded(answer.Unavailable, "the owner has no valid lease", 0))
		return
	}
	if rec, ok := o.recovered[m.Submission()]; ok {
		o.reply(from, m.Request(), rec.cancel(o, m.Submission()))
		return
	}
	s, ok := o.submissions[m.Submission()]
	if !ok {
		o.reply(from, m.Request(), answer.NotForwarded(answer.UnknownKey, m.Submission().String(), 0))
		return
	}
	if !s.job.Answer().Ended() {
		s.waiters = append(s.waiters, waiter{
			entry:   from,
			request: m.Request(),
		})
		o.reply(from, m.Request(), answer.Pending())
		o.stop(now, s, answer.Cancelled, "cancelled by the caller", 0)
		return
	}
	o.reply(from, m.Request(), s.job.Answer())
}
