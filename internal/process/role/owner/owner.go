// Package owner decides for the submissions of the shards that a process owns.
//
// The owner is the one place that knows whether a submission was seen before. It
// accepts, joins or refuses it, keeps its tasks until an agent has room, sends
// each start once, and answers when the job has ended. It holds no goroutine,
// clock or socket: Handle takes one event and returns the messages to send.
//
// An owner acts only under its membership lease, and every start carries the
// receiving agent's newest credit, so that nothing it sent before a pause can
// take effect after its shards have moved on.
package owner

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Topology is how shards are spread over the regions of the installation.
type Topology struct {
	regions int
	shards  int
}

// NewTopology checks that each region has at least one shard.
func NewTopology(regions, shards int) (Topology, error) {
	if regions < 1 || shards < regions {
		return Topology{}, errors.Errorf("topology: %d shards for %d regions", shards, regions)
	}
	return Topology{
		regions: regions,
		shards:  shards,
	}, nil
}

// Shard returns the shard of a submission of a team at home in a region.
func (t Topology) Shard(s identity.Submission, home int) identity.Shard {
	return identity.ShardOf(s, home, t.regions, t.shards)
}

// waiter is an entry's request that waits for the end of a job.
type waiter struct {
	entry   identity.Process
	request uint64
}

// submission is a job with those who wait for its answer.
type submission struct {
	job     *job.Job
	digest  [32]byte
	grant   message.Grant
	waiters []waiter
}

// holding is a shard that this process owns.
type holding struct {
	epoch identity.Epoch
}

// agent is what the owner knows of an agent.
type agent struct {
	process identity.Process
	credit  uint64
	heard   time.Time
	rooms   map[string]message.Room
}

// queued is a task that waits for room.
type queued struct {
	submission *submission
	index      uint32
}

// Owner is the decision.
type Owner struct {
	self     identity.Process
	topology Topology
	rnd      *rand.Rand
	cfg      *configuration.Configuration
	lease    time.Time
	shards   map[identity.Shard]holding
	live     map[identity.Submission]*submission
	agents   map[identity.Process]*agent
	set      []*agent
	queue    [configuration.Urgencies][]queued
	effects  []message.Send
}

// New returns an owner without shards.
func New(self identity.Process, topology Topology, rnd *rand.Rand) (*Owner, error) {
	if self.IsZero() || rnd == nil {
		return nil, errors.New("owner needs its process and a random source")
	}
	return &Owner{
		self:     self,
		topology: topology,
		rnd:      rnd,
		shards:   map[identity.Shard]holding{},
		live:     map[identity.Submission]*submission{},
		agents:   map[identity.Process]*agent{},
	}, nil
}

// Handle takes one event and returns the messages to send. The slice is valid
// until the next call.
func (o *Owner) Handle(now time.Time, event any) []message.Send {
	clear(o.effects)
	o.effects = o.effects[:0]
	switch e := event.(type) {
	case message.Received:
		o.received(now, e)
	case message.Undelivered:
		o.undelivered(e)
	case message.Gone:
		o.gone(now, e.Process())
	case membership.Lease:
		o.lease = e.Until()
	case membership.Granted:
		o.shards[e.Shard()] = holding{
			epoch: e.Epoch(),
		}
	case membership.Released:
		delete(o.shards, e.Shard())
	case membership.WorkingSet:
		o.setAgents(e)
	case *configuration.Configuration:
		if o.cfg == nil || e.Version() > o.cfg.Version() {
			o.cfg = e
		}
	}
	o.dispatch(now)
	return o.effects
}

// Next is when the owner wants a message.Wake; zero if it waits for messages only.
func (o *Owner) Next() time.Time {
	return time.Time{}
}

func (o *Owner) send(to identity.Process, body any) {
	o.effects = append(o.effects, message.NewSend(to, body))
}

func (o *Owner) received(now time.Time, r message.Received) {
	o.hear(now, r)
	switch m := r.Body().(type) {
	case message.Submit:
		o.submit(now, r.From(), m)
	case message.Query:
		o.query(r.From(), m)
	case message.Cancel:
		o.cancel(r.From(), m)
	case message.Finished:
		o.finished(now, r.From(), m)
	case message.Rejected:
		o.rejected(r.From(), m)
	}
}

func (o *Owner) hear(now time.Time, r message.Received) {
	a, ok := o.agents[r.From()]
	if !ok || r.Credit() == 0 {
		return
	}
	a.credit = max(a.credit, r.Credit())
	a.heard = now
	if r.Room() == nil {
		return
	}
	clear(a.rooms)
	for _, room := range r.Room() {
		a.rooms[room.Service()] = room
	}
}

func (o *Owner) setAgents(w membership.WorkingSet) {
	o.set = o.set[:0]
	for _, m := range w.Agents() {
		a, ok := o.agents[m.Process()]
		if !ok {
			a = &agent{
				process: m.Process(),
				rooms:   map[string]message.Room{},
			}
			o.agents[m.Process()] = a
			o.send(m.Process(), message.NewInterest(nil))
		}
		o.set = append(o.set, a)
	}
}

func (o *Owner) reply(to identity.Process, request uint64, a answer.Answer) {
	o.send(to, message.NewReply(request, a))
}

func (o *Owner) submit(now time.Time, from identity.Process, m message.Submit) {
	order := m.Order()
	if s, ok := o.live[order.Submission()]; ok {
		o.join(from, m.Request(), s, order)
		return
	}
	s, refusal, ok := o.accept(now, order)
	if !ok {
		o.reply(from, m.Request(), refusal)
		return
	}
	o.live[order.Submission()] = s
	s.waiters = append(s.waiters, waiter{
		entry:   from,
		request: m.Request(),
	})
	o.reply(from, m.Request(), answer.Pending())
	u := s.job.Kind().Urgency()
	for i := range s.job.Tasks() {
		o.queue[u] = append(o.queue[u], queued{
			submission: s,
			index:      uint32(i),
		})
	}
}

func (o *Owner) join(from identity.Process, request uint64, s *submission, order job.Order) {
	if s.digest != order.Digest() {
		o.reply(from, request, answer.NotPassed(answer.KeyConflict, "the key was used with another content", 0))
		return
	}
	o.reply(from, request, s.job.Answer())
	if !s.job.Answer().Ended() {
		s.waiters = append(s.waiters, waiter{
			entry:   from,
			request: request,
		})
	}
}

func (o *Owner) accept(now time.Time, order job.Order) (*submission, answer.Answer, bool) {
	if o.cfg == nil || !o.lease.After(now) {
		return nil, answer.NotPassed(answer.Unavailable, "the owner has no valid lease or configuration", 0), false
	}
	team, ok := o.cfg.Team(order.Submission().Team())
	if !ok {
		return nil, answer.NotPassed(answer.UnknownTeam, order.Submission().Team(), 0), false
	}
	shard := o.topology.Shard(order.Submission(), team.HomeRegion())
	h, ok := o.shards[shard]
	if !ok {
		return nil, answer.NotPassed(answer.Unavailable, "this process does not own the submission's shard", 0), false
	}
	kind, ok := o.cfg.Kind(team.Name(), order.Kind())
	if !ok {
		return nil, answer.NotPassed(answer.UnknownKind, order.Kind(), 0), false
	}
	if now.Sub(order.Submission().FirstSent()) >= o.cfg.Limits().Retention() {
		return nil, answer.NotPassed(answer.KeyExpired, "first sent "+order.Submission().FirstSent().UTC().Format(time.RFC3339), 0), false
	}
	return &submission{
		job:    job.New(now, order, kind),
		digest: order.Digest(),
		grant:  message.NewGrant(shard, h.epoch),
	}, answer.Answer{}, true
}

func (o *Owner) query(from identity.Process, m message.Query) {
	s, ok := o.live[m.Submission()]
	if !ok {
		o.reply(from, m.Request(), answer.NotPassed(answer.UnknownKey, m.Submission().String(), 0))
		return
	}
	o.reply(from, m.Request(), s.job.Answer())
	if m.Wait() && !s.job.Answer().Ended() {
		s.waiters = append(s.waiters, waiter{
			entry:   from,
			request: m.Request(),
		})
	}
}

func (o *Owner) cancel(from identity.Process, m message.Cancel) {
	s, ok := o.live[m.Submission()]
	if !ok {
		o.reply(from, m.Request(), answer.NotPassed(answer.UnknownKey, m.Submission().String(), 0))
		return
	}
	if s.job.Fail(answer.Cancelled, "cancelled by the caller") {
		o.ended(s)
	}
	o.reply(from, m.Request(), s.job.Answer())
}

func (o *Owner) finished(_ time.Time, from identity.Process, m message.Finished) {
	s, ok := o.live[m.Task().Submission()]
	if !ok {
		return
	}
	if s.job.End(m.Task().Index(), from, m.Result()) {
		o.ended(s)
	}
}

func (o *Owner) rejected(from identity.Process, m message.Rejected) {
	s, ok := o.live[m.Task().Submission()]
	if !ok || !s.job.NotStarted(m.Task().Index(), from) {
		return
	}
	if s.job.Waiting(m.Task().Index()) {
		u := s.job.Kind().Urgency()
		o.queue[u] = append(o.queue[u], queued{
			submission: s,
			index:      m.Task().Index(),
		})
	}
}

func (o *Owner) undelivered(u message.Undelivered) {
	m, ok := u.Send().Body().(message.Start)
	if ok {
		o.rejected(u.Send().To(), message.NewRejected(m.Task(), message.Busy))
	}
}

// gone ends every start at an agent that will never answer.
func (o *Owner) gone(_ time.Time, p identity.Process) {
	if _, ok := o.agents[p]; !ok {
		return
	}
	delete(o.agents, p)
	for i, a := range o.set {
		if a.process == p {
			o.set = append(o.set[:i], o.set[i+1:]...)
			break
		}
	}
	lost := outcome.Lost("the agent " + p.String() + " was lost")
	for _, s := range o.live {
		for i := range s.job.Tasks() {
			if s.job.End(uint32(i), p, lost) {
				o.ended(s)
			}
		}
	}
}

// ended answers those who wait and stops what the job still has at agents.
func (o *Owner) ended(s *submission) {
	for _, w := range s.waiters {
		o.reply(w.entry, w.request, s.job.Answer())
	}
	s.waiters = nil
	for _, p := range s.job.Open() {
		o.send(p, message.NewRevoke([]message.Grant{s.grant}, []identity.Submission{s.job.Order().Submission()}))
	}
}

// dispatch sends starts while an agent has room for the task at the head.
func (o *Owner) dispatch(now time.Time) {
	if !o.lease.After(now) {
		return
	}
	for u := range o.queue {
		q := o.queue[u]
		for len(q) > 0 && o.start(q[0]) {
			q = q[1:]
		}
		o.queue[u] = q
	}
}

// start sends the task if an agent has room, and tells whether the task has left
// the queue.
func (o *Owner) start(q queued) bool {
	j := q.submission.job
	if !j.Waiting(q.index) {
		return true
	}
	for _, a := range o.set {
		room, ok := a.rooms[j.Kind().Service()]
		if !ok || room.Free() == 0 || a.credit == 0 {
			continue
		}
		if err := j.Send(q.index, a.process); err != nil {
			return true
		}
		a.rooms[room.Service()] = message.NewRoom(room.Service(), room.Free()-1, room.Reserved(), room.Long(), room.Speed())
		o.send(a.process, message.NewStart(identity.NewTask(j.Order().Submission(), q.index), q.submission.grant,
			a.credit, j.Order().Kind(), j.Order().Payloads()[q.index], j.Order().Deadline()))
		return true
	}
	return false
}
