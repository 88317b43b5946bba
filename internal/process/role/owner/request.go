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

// maxPatience bounds the wait after which work counts as aged.
const maxPatience = 5 * time.Second

// requestOf is the number of an entry's message.
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

// keyOf is the submission that an entry's message names.
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

// request takes up a message of an entry once its shard is ready.
func (o *Owner) request(now time.Time, r message.Received) {
	h, refusal, ok := o.holding(keyOf(r.Body()))
	switch {
	case !ok:
		o.reply(r.From(), requestOf(r.Body()), refusal)
		return
	case !h.ready && len(h.held) >= maxHeld:
		o.reply(r.From(), requestOf(r.Body()), answer.NotForwarded(answer.Unavailable, "the shard is being sealed", 0))
		return
	case !h.ready:
		h.held = append(h.held, r)
		return
	}
	switch m := r.Body().(type) {
	case message.Submit:
		o.submit(now, h, r.From(), m)
	case message.Query:
		o.query(r.From(), m)
	case message.Cancel:
		o.cancel(now, r.From(), m)
	}
}

// holding is the shard of a submission, or a refusal if it is not owned here.
func (o *Owner) holding(key identity.Submission) (*holding, answer.Answer, bool) {
	if s, ok := o.live[key]; ok {
		return s.home, answer.Answer{}, true
	}
	if o.cfg == nil {
		return nil, answer.NotForwarded(answer.Unavailable, "the owner has no configuration", 0), false
	}
	team, ok := o.cfg.Team(key.Team())
	if !ok {
		return nil, answer.NotForwarded(answer.UnknownTeam, key.Team(), 0), false
	}
	h, ok := o.shards[o.topology.Shard(key, team.HomeRegion())]
	if !ok {
		return nil, answer.NotForwarded(answer.Unavailable, "this process does not own the submission's shard", 0), false
	}
	return h, answer.Answer{}, true
}

func (o *Owner) submit(now time.Time, h *holding, from identity.Process, m message.Submit) {
	order := m.Order()
	w := waiter{
		entry:   from,
		request: m.Request(),
	}
	if s, ok := o.live[order.Submission()]; ok {
		o.attach(w, s, order)
		return
	}
	kind, refusal, ok := o.check(now, order)
	if !ok {
		o.reply(from, m.Request(), refusal)
		return
	}
	s := o.prepare(now, h, order, kind)
	if r, ok := o.remnants[order.Submission()]; ok {
		if r.width() > len(order.Payloads()) {
			o.reply(from, m.Request(), answer.NotForwarded(answer.KeyConflict, "the key was used with more tasks", 0))
			return
		}
		s.waiters = append(s.waiters, w)
		o.keep(now, s)
		o.adopt(now, s, r)
		o.enqueue(now, s)
		if !s.job.Answer().Ended() {
			o.reply(from, m.Request(), answer.Pending())
		}
		return
	}
	if h.covered(order.Submission()) {
		s.waiters = append(s.waiters, w)
		o.keep(now, s)
		s.job.Adopt(nil, true)
		o.ended(s)
		return
	}
	if refusal, ok := o.admit(now, s); !ok {
		o.reply(from, m.Request(), refusal)
		return
	}
	s.waiters = append(s.waiters, w)
	o.keep(now, s)
	o.reply(from, m.Request(), answer.Pending())
	o.enqueue(now, s)
}

// attach joins a request to a job, or answers it with the stored answer.
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

// check refuses what cannot be accepted whatever is known of the key.
func (o *Owner) check(now time.Time, order job.Order) (configuration.Kind, answer.Answer, bool) {
	refuse := func(r answer.Reason, detail string) (configuration.Kind, answer.Answer, bool) {
		return configuration.Kind{}, answer.NotForwarded(r, detail, 0), false
	}
	if !o.leased(now) {
		return refuse(answer.Unavailable, "the owner has no valid lease")
	}
	first := order.Submission().FirstSent()
	if first.After(now.Add(maxCallerSkew)) {
		return refuse(answer.KeyInFuture, "first sent "+first.UTC().Format(time.RFC3339Nano))
	}
	if now.Sub(first) >= o.retention() {
		return refuse(answer.KeyExpired, "first sent "+first.UTC().Format(time.RFC3339))
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

// workerService is the service under which agents publish the room of workers.
const workerService = "worker"

// serviceOf names the room that a kind's tasks take.
func serviceOf(k configuration.Kind) string {
	if k.BackEnd() == configuration.Worker {
		return workerService
	}
	return k.Service()
}

// prepare builds a submission that is not yet kept.
func (o *Owner) prepare(now time.Time, h *holding, order job.Order, kind configuration.Kind) *submission {
	o.accepted++
	s := &submission{
		number:  o.accepted,
		job:     job.New(now, order, kind),
		digest:  order.Digest(),
		home:    h,
		svc:     o.service(serviceOf(kind)),
		learned: o.learnedOf(kind),
	}
	s.waiters = s.first[:0]
	s.item = queue.NewItem(work{
		submission: s,
	}, o.spec(now, s))
	return s
}

// spec is the order of a submission's tasks in the queue.
func (o *Owner) spec(now time.Time, s *submission) queue.Spec {
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
		end.Add(-s.learned.tail.Value()), s.learned.typical.Value(), kind.Harm(), min(kind.Commitment(), maxPatience))
}

// keep enters a submission, with the times at which it has to be looked at.
func (o *Owner) keep(now time.Time, s *submission) {
	order := s.job.Order()
	o.live[order.Submission()] = s
	s.home.subs[s] = struct{}{}
	o.forgetAt(now, order.Submission(), s)
	// A job that can never run, or without a deadline, is answered at the latest
	// when its key expires.
	end := order.Submission().FirstSent().Add(o.retention())
	if d := order.Deadline(); !d.IsZero() && d.Before(end) {
		end = d
	}
	o.arm(end, deadline, s)
}

// drop ends a submission without a word.
func (o *Owner) drop(s *submission) {
	key := s.job.Order().Submission()
	s.job.Holders(func(p identity.Process) {
		a, ok := o.agents[p]
		if !ok {
			return
		}
		delete(a.jobs, s)
		if r := a.room(s.svc); r != nil {
			o.closed(r, s.job.OpenAt(p))
		}
		o.discard(a)
	})
	o.kept -= s.kept
	delete(o.live, key)
	delete(s.home.subs, s)
}

func (o *Owner) query(from identity.Process, m message.Query) {
	w := waiter{
		entry:   from,
		request: m.Request(),
	}
	if s, ok := o.live[m.Submission()]; ok {
		o.reply(from, m.Request(), s.job.Answer())
		if m.Wait() && !s.job.Answer().Ended() {
			s.waiters = append(s.waiters, w)
		}
		return
	}
	if r, ok := o.remnants[m.Submission()]; ok {
		o.reply(from, m.Request(), answer.Pending())
		if m.Wait() {
			r.waiters = append(r.waiters, w)
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
	if r, ok := o.remnants[m.Submission()]; ok {
		o.reply(from, m.Request(), r.cancel(o, m.Submission()))
		return
	}
	s, ok := o.live[m.Submission()]
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
