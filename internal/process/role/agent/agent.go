// Package agent decides for the back ends beside a process.
//
// The agent alone admits work to its targets and its worker, and it keeps the
// ledger of what was started there. A start passes these checks before the back
// end is called: the membership lease is valid, the credit was issued a moment
// ago, the shard's epoch is not stale, the submission was not revoked, the ledger
// has no record of the task, and a slot is free that the task may take. A slot
// that becomes free is offered to the owner with the most urgent demand.
//
// Handle takes one event and returns effects; it holds no goroutine, clock or
// socket.
package agent

import (
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	// MaxCreditAge is how long a credit is valid after it was issued.
	MaxCreditAge = 500 * time.Millisecond
	// MaxCallerSkew is how far a caller's clock may be ahead.
	MaxCallerSkew = time.Second
	// maxWakeInterval is the longest time between two wakes.
	maxWakeInterval = 50 * time.Millisecond
)

// Agent is the decision.
type Agent struct {
	self            identity.Process
	issueCredit     func(time.Time) uint64
	cfg             *configuration.Configuration
	leaseUntil      time.Time
	leased          bool
	draining        bool
	drained         bool
	ledger          *ledger.Ledger
	rules           rules
	targets         map[string]*target
	targetsAdded    uint64
	services        map[serviceKey]*service
	sortedServices  []*service
	worker          *worker
	running         map[identity.Task]*running
	freeList        []*running
	kinds           map[kindKey]*kindStats
	owners          map[identity.Shard]identity.Process
	interests       map[identity.Process]*interest
	queue           []*interest
	offers          []offer
	batch           []offerMessage
	offered         uint64
	revoked         revocations
	unsent          []unsent
	rejected        rejections
	resendAt        time.Time
	fencing         []fencing
	barriers        uint64
	counts          counts
	capacities      []message.Capacity
	published       []message.Capacity
	capacityChanged bool
	hintLost        bool
	effects         []any
}

// New returns an agent without back ends. Issue gives the credit of a moment, a
// number that rises by one each millisecond.
func New(self identity.Process, l *ledger.Ledger, issueCredit func(time.Time) uint64) (*Agent, error) {
	if self.IsZero() || l == nil || issueCredit == nil {
		return nil, errors.New("agent needs its process, a ledger and a source of credits")
	}
	a := &Agent{
		self:        self,
		issueCredit: issueCredit,
		ledger:      l,
		targets:     map[string]*target{},
		services:    map[serviceKey]*service{},
		running:     map[identity.Task]*running{},
		kinds:       map[kindKey]*kindStats{},
		owners:      map[identity.Shard]identity.Process{},
		interests:   map[identity.Process]*interest{},
		revoked:     newRevocations(),
	}
	a.rules.set(configuration.DefaultAdmission())
	return a, nil
}

// Handle takes one event and returns the effects. The slice is valid until the
// next call.
func (a *Agent) Handle(now time.Time, event any) []any {
	clear(a.effects)
	a.effects = a.effects[:0]
	a.expire(now)
	a.handle(now, event)
	a.sendOffers(now)
	a.publishCapacity()
	a.reportDrained()
	return a.effects
}

func (a *Agent) handle(now time.Time, event any) {
	switch e := event.(type) {
	case message.Received:
		a.received(now, e)
	case message.Undelivered:
		a.undelivered(now, e.Send())
	case message.ProcessEnded:
		a.processEnded(e.Process())
	case announcement.Announcement:
		a.announce(now, e)
	case Worker:
		a.setWorker(e)
	case Ended:
		a.end(now, e)
	case UsageReport:
		a.observeUsage(e)
	case Controlled:
		a.controlled(e)
	case HintUndelivered:
		a.hintLost = true
	case Drain:
		a.drain()
	case membership.Lease:
		a.leaseUntil = e.Until()
	case *configuration.Configuration:
		a.configure(e)
	case message.Wake:
		a.wake(now)
	}
}

// Next is when the agent wants a message.Wake.
func (a *Agent) Next(now time.Time) time.Time {
	next := now.Add(maxWakeInterval)
	if len(a.offers) > 0 && a.offers[0].expires.Before(next) {
		next = a.offers[0].expires
	}
	return next
}

func (a *Agent) send(to identity.Process, body any) {
	a.effects = append(a.effects, message.NewSend(to, body))
}

func (a *Agent) received(now time.Time, r message.Received) {
	switch m := r.Body().(type) {
	case message.Start:
		a.resetBackoff(r.From())
		if cause, ok := a.start(now, r.From(), m); !ok {
			a.reject(r.From(), m, cause)
		}
	case message.Interest:
		a.setInterest(now, r.From(), m)
	case message.Revoke:
		a.revoke(now, r.From(), m)
	case message.Fence:
		a.fence(r.From(), m)
	case Barrier:
		a.barrier(m)
	}
}

func (a *Agent) reject(to identity.Process, m message.Start, cause message.Cause) {
	a.counts.reject(cause)
	a.rejected.add(m.Task(), m.Grant().Shard(), a.ledger.Epoch(m.Grant().Shard()))
	a.send(to, message.NewRejected(m.Task(), cause))
}

// configure takes a newer version of the configuration.
func (a *Agent) configure(cfg *configuration.Configuration) {
	if a.cfg != nil && cfg.Version() <= a.cfg.Version() {
		return
	}
	a.cfg = cfg
	for _, name := range cfg.Drained() {
		if t, ok := a.targets[name]; ok {
			a.drainTarget(t)
		}
	}
	a.ledger.ExtendRetention(ledger.RecordRetention(cfg.Limits().Retention(), MaxCallerSkew))
	a.rules.set(cfg.Limits().Admission())
	a.setServices()
	for _, t := range a.targets {
		a.targetChanged(t)
	}
	for key, k := range a.kinds {
		kind, ok := cfg.Kind(key.team, key.name)
		if !ok {
			delete(a.kinds, key)
			continue
		}
		k.declare(kind)
	}
}

// expire ends what holds only for a time: the lease, and offers that no owner
// has used.
func (a *Agent) expire(now time.Time) {
	if leased := a.leaseUntil.After(now) && a.cfg != nil; leased != a.leased {
		a.leased = leased
		a.capacityChanged = true
	}
	a.expireOffers(now)
}

func (a *Agent) wake(now time.Time) {
	a.ledger.Expire(now)
	a.revoked.expire(now, a.ledger.Retention())
	for name, t := range a.targets {
		a.checkTarget(now, name, t)
	}
	a.resumeTasks(now)
	if a.hintLost {
		a.hintLost = false
		a.published = nil
		a.capacityChanged = true
	}
	a.resend(now)
}

// drain refuses new work from now on. Owners see that no service has room.
func (a *Agent) drain() {
	a.draining = true
	a.capacityChanged = true
	a.cancelOffers(func(*offer) bool { return true })
	for len(a.queue) > 0 {
		a.removeInterest(a.queue[0].owner)
	}
}

// reportDrained reports once that a draining agent has nothing left to do.
func (a *Agent) reportDrained() {
	if a.draining && !a.drained && len(a.running) == 0 && len(a.unsent) == 0 {
		a.drained = true
		a.effects = append(a.effects, Drained{})
	}
}

// accepting tells whether the agent may start or offer anything.
func (a *Agent) accepting() bool {
	return a.leased && !a.draining
}

// publishCapacity publishes the free capacity by service when it has changed.
func (a *Agent) publishCapacity() {
	if !a.capacityChanged {
		return
	}
	a.capacityChanged = false
	a.capacities = a.capacities[:0]
	if a.accepting() {
		for _, s := range a.sortedServices {
			if !s.empty() {
				a.capacities = append(a.capacities, s.capacity())
			}
		}
	}
	if a.published != nil && equalCapacities(a.capacities, a.published) {
		return
	}
	a.published = append(a.published[:0], a.capacities...)
	if a.published == nil {
		a.published = []message.Capacity{}
	}
	f := &CapacityHint{}
	f.capacities = append(f.inline[:0], a.capacities...)
	a.effects = append(a.effects, f)
}

func equalCapacities(a, b []message.Capacity) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
