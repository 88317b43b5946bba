// Package owner implements admission and dispatch for the shards that a process
// owns.
//
// The owner of a shard is the only place that knows whether a submission is a
// duplicate. It accepts a submission, attaches it to the job of an earlier one or
// refuses it, queues its tasks until an agent has free capacity, sends each start
// once, and answers when the job has ended. The package is a state machine without
// goroutines, clock and I/O: Handle takes one event and returns the messages to
// send.
//
// An owner acts only under a valid membership lease, and every start carries the
// receiving agent's newest credit. So nothing that the owner sent before a pause
// takes effect after its shards have moved. A new owner fences a shard at the
// agents and recovers from their start records what a previous owner started.
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

// Topology is the distribution of the shards over the regions of the installation.
type Topology struct {
	regions int
	shards  int
}

// NewTopology returns a topology. It fails unless there is at least one region and
// at least one shard for each region.
func NewTopology(regions, shards int) (Topology, error) {
	if regions < 1 || shards < regions {
		return Topology{}, errors.Errorf("topology: got %d shards for %d regions, need at least one region and a shard for each", shards, regions)
	}
	return Topology{
		regions: regions,
		shards:  shards,
	}, nil
}

// Shard returns the shard of a submission of a team whose home region is home.
func (t Topology) Shard(s identity.Submission, home int) identity.Shard {
	return identity.ShardOf(s, home, t.regions, t.shards)
}

// waiter is a request of an entry that is answered when the job ends.
type waiter struct {
	entry   identity.Process
	request uint64
}

// queuedWork is the value of a queue item: a job, or one task of it that failed
// before.
type queuedWork struct {
	submission *submission
	index      uint32
	retry      bool
}

// submission is a job with the requests that wait for its answer. It is kept until
// the retention and a margin after the time in its key have passed, or until its
// shard is released.
type submission struct {
	sequence     uint64
	job          *job.Job
	digest       [32]byte
	shard        *ownedShard
	svc          *service
	runTimes     *runTimes
	waiters      []waiter
	firstWaiter  [1]waiter // Backing array of waiters for the usual case of one.
	item         *queue.Item[queuedWork]
	retries      []*queue.Item[queuedWork]
	unfitAgents  []identity.Process
	payloadBytes int
	resultBytes  int
}

func (s *submission) key() identity.Submission {
	return s.job.Order().Submission()
}

// Owner is the state machine of a process as the owner of its shards.
type Owner struct {
	self              identity.Process
	topology          Topology
	rnd               *rand.Rand
	cfg               *configuration.Configuration
	leaseUntil        time.Time
	shards            map[identity.Shard]*ownedShard
	submissions       map[identity.Submission]*submission
	accepted          uint64
	recovered         map[identity.Submission]*recoveredSubmission
	lostAgents        map[identity.Process]struct{}
	nextBatch         *batch
	batches           []*batch
	agents            map[identity.Process]*agent
	workingSet        []*agent
	services          map[string]*service
	dirty             []*service
	kinds             map[kindName]*runTimes
	usage             *quota.Usage
	retries           *quota.RetryBudget
	waiting           waitingTotals
	resultBytes       int
	ejected           int
	stale             int
	nextCreditRequest time.Time
	pendingRevokes    revocations
	timers            *heap.Heap[timer]
	skipped           []*endpoint
	deferred          []deferred
	outgoing          []message.Send
}

// New returns an owner without shards.
func New(self identity.Process, topology Topology, rnd *rand.Rand) (*Owner, error) {
	if self.IsZero() || rnd == nil {
		return nil, errors.New("owner: process or random source is missing")
	}
	return &Owner{
		self:        self,
		topology:    topology,
		rnd:         rnd,
		shards:      map[identity.Shard]*ownedShard{},
		submissions: map[identity.Submission]*submission{},
		recovered:   map[identity.Submission]*recoveredSubmission{},
		lostAgents:  map[identity.Process]struct{}{},
		agents:      map[identity.Process]*agent{},
		services:    map[string]*service{},
		kinds:       map[kindName]*runTimes{},
		usage:       quota.NewUsage(),
		retries:     quota.NewRetryBudget(),
		pendingRevokes: revocations{
			byAgent: map[identity.Process][]*submission{},
		},
		timers: heap.New(func(a, b timer) bool { return a.at.Before(b.at) }, nil),
	}, nil
}

// Handle processes one event and returns the messages to send. The slice is valid
// until the next call.
func (o *Owner) Handle(now time.Time, event any) []message.Send {
	clear(o.outgoing)
	o.outgoing = o.outgoing[:0]
	o.expire(now)
	switch e := event.(type) {
	case message.Received:
		o.received(now, e)
	case message.Undelivered:
		o.undelivered(now, e.Send())
	case message.ProcessEnded:
		o.processLost(now, e.Process())
	case membership.Lease:
		o.leaseUntil = e.Until()
		o.markAllDirty()
	case membership.Granted:
		o.granted(now, e)
	case membership.Released:
		o.release(e.Shard())
	case membership.WorkingSet:
		o.updateWorkingSet(now, e)
	case *configuration.Configuration:
		if o.cfg == nil || e.Version() > o.cfg.Version() {
			o.cfg = e
		}
	}
	o.dispatch(now)
	o.flushRevokes(now)
	return o.outgoing
}

// leased reports whether the membership lease is valid, without which the owner
// neither starts nor refuses work.
func (o *Owner) leased(now time.Time) bool {
	return o.leaseUntil.After(now)
}

func (o *Owner) send(to identity.Process, body any) {
	o.outgoing = append(o.outgoing, message.NewSend(to, body))
}

func (o *Owner) reply(to identity.Process, request uint64, a answer.Answer) {
	o.send(to, message.NewReply(request, a))
}

func (o *Owner) received(now time.Time, r message.Received) {
	o.updateAgent(now, r)
	switch m := r.Body().(type) {
	case message.Submit, message.Query, message.Cancel:
		o.handleRequest(now, r)
	case message.Finished:
		o.finished(now, r.From(), m)
	case message.Rejected:
		o.rejected(now, r.From(), m.Task(), m.Cause())
	case message.Offer:
		o.offer(now, r.From(), m)
	case message.Revoked:
		o.revoked(now, r.From(), m)
	case message.FenceReply:
		o.fenced(now, r.From(), m)
	}
}

// undelivered handles a message that could not be sent. A start returns to the
// queue, a demand is treated as never sent, and any other message is sent again.
func (o *Owner) undelivered(now time.Time, s message.Send) {
	switch m := s.Body().(type) {
	case message.Start:
		o.rejected(now, s.To(), m.Task(), message.LedgerFull)
	case message.Interest:
		if a, ok := o.agents[s.To()]; ok {
			a.resetNotified()
		}
	default:
		if _, lost := o.lostAgents[s.To()]; !lost {
			o.arm(now.Add(resendDelay), resend, &s)
		}
	}
}
