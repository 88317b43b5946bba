// Package owner decides for the submissions of the shards that a process owns.
//
// The owner is the one place that knows whether a submission was seen before. It
// accepts, joins or refuses it, keeps its tasks until an agent has room, sends
// each start once, and answers when the job has ended. It holds no goroutine,
// clock or socket: Handle takes one event and returns the messages to send.
//
// An owner acts only under its membership lease, and every start carries the
// receiving agent's newest credit, so that nothing it sent before a pause can
// take effect after its shards have moved on. What a former owner started is
// learned from the agents' records when a shard is sealed.
package owner

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/heap"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/request/queue"
	"greengagedoor.example/greengagedoor/internal/request/quota"
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

// work is what waits in a queue: a job, or one task of it that failed before.
type work struct {
	submission *submission
	index      uint32
	retry      bool
}

// submission is a job with those who wait for its answer. It ends one retention
// and a margin after the time in its key, or when its shard is released.
type submission struct {
	number  uint64
	job     *job.Job
	digest  [32]byte
	home    *holding
	svc     *service
	learned *learned
	waiters []waiter
	first   [1]waiter // The array of waiters for the usual case of one.
	item    *queue.Item[work]
	retries []*queue.Item[work]
	misfit  []identity.Process
	bytes   int
	kept    int
}

func (s *submission) key() identity.Submission {
	return s.job.Order().Submission()
}

// Owner is the decision.
type Owner struct {
	self     identity.Process
	topology Topology
	rnd      *rand.Rand
	cfg      *configuration.Configuration
	lease    time.Time
	shards   map[identity.Shard]*holding
	live     map[identity.Submission]*submission
	accepted uint64
	remnants map[identity.Submission]*remnant
	departed map[identity.Process]struct{}
	opening  *batch
	batches  []*batch
	agents   map[identity.Process]*agent
	set      []*agent
	services map[string]*service
	dirty    []*service
	kinds    map[kindName]*learned
	usage    *quota.Usage
	retries  *quota.Retries
	waiting  waitingBytes
	kept     int
	ejected  int
	asleep   int
	rouse    time.Time
	revokes  revocations
	timers   *heap.Heap[timer]
	skipped  []*room
	parked   []parked
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
		shards:   map[identity.Shard]*holding{},
		live:     map[identity.Submission]*submission{},
		remnants: map[identity.Submission]*remnant{},
		departed: map[identity.Process]struct{}{},
		agents:   map[identity.Process]*agent{},
		services: map[string]*service{},
		kinds:    map[kindName]*learned{},
		usage:    quota.NewUsage(),
		retries:  quota.NewRetries(),
		revokes: revocations{
			byAgent: map[identity.Process][]*submission{},
		},
		timers: heap.New(func(a, b timer) bool { return a.at.Before(b.at) }, nil),
	}, nil
}

// Handle takes one event and returns the messages to send. The slice is valid
// until the next call.
func (o *Owner) Handle(now time.Time, event any) []message.Send {
	clear(o.effects)
	o.effects = o.effects[:0]
	o.expire(now)
	switch e := event.(type) {
	case message.Received:
		o.received(now, e)
	case message.Undelivered:
		o.undelivered(now, e.Send())
	case message.ProcessEnded:
		o.gone(now, e.Process())
	case membership.Lease:
		o.lease = e.Until()
		o.touchAll()
	case membership.Granted:
		o.granted(now, e)
	case membership.Released:
		o.release(e.Shard())
	case membership.WorkingSet:
		o.setAgents(now, e)
	case *configuration.Configuration:
		if o.cfg == nil || e.Version() > o.cfg.Version() {
			o.cfg = e
		}
	}
	o.dispatch(now)
	o.flushRevokes(now)
	return o.effects
}

// leased tells whether the owner may start and refuse work.
func (o *Owner) leased(now time.Time) bool {
	return o.lease.After(now)
}

func (o *Owner) send(to identity.Process, body any) {
	o.effects = append(o.effects, message.NewSend(to, body))
}

func (o *Owner) reply(to identity.Process, request uint64, a answer.Answer) {
	o.send(to, message.NewReply(request, a))
}

func (o *Owner) received(now time.Time, r message.Received) {
	o.hear(now, r)
	switch m := r.Body().(type) {
	case message.Submit, message.Query, message.Cancel:
		o.request(now, r)
	case message.Finished:
		o.finished(now, r.From(), m)
	case message.Rejected:
		o.rejected(now, r.From(), m.Task(), m.Cause())
	case message.Offer:
		o.offer(now, r.From(), m)
	case message.Revoked:
		o.revoked(now, r.From(), m)
	case message.FenceReply:
		o.sealed(now, r.From(), m)
	}
}

// undelivered repeats what must not be lost; a start goes back to the queue.
func (o *Owner) undelivered(now time.Time, s message.Send) {
	switch m := s.Body().(type) {
	case message.Start:
		o.rejected(now, s.To(), m.Task(), message.LedgerFull)
	case message.Interest:
		if a, ok := o.agents[s.To()]; ok {
			a.forgetTold()
		}
	default:
		if _, gone := o.departed[s.To()]; !gone {
			o.arm(now.Add(resendDelay), resend, &s)
		}
	}
}
