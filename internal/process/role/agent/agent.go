// Package agent implements admission control for the back ends of one process: its
// targets and its worker.
//
// Owners in other processes compete for these back ends. Only the agent admits tasks to
// them, so it knows which slots are free. It records every start in its ledger, so a
// task starts again only where its kind permits it. A back end is called only if the
// membership lease is valid, the credit of the start was issued within MaxCreditAge,
// the epoch of the shard is not stale, the submission was not revoked, the ledger does
// not rule out the start, and a slot is free that the task may use. A free slot is
// offered to the owner with the most urgent demand.
//
// Agent is a state machine: Handle takes one event and returns its effects. It has
// no goroutine, clock or socket.
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
	// MaxCreditAge is the time for which an issued credit is valid.
	MaxCreditAge = 500 * time.Millisecond
	// MaxCallerSkew is the most by which a caller's clock may be ahead.
	MaxCallerSkew = time.Second
	// maxWakeInterval is the longest time between two timer events.
	maxWakeInterval = 50 * time.Millisecond
)

// Agent is the agent's state machine. It is not safe for concurrent use.
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

// New returns an agent without back ends. issueCredit returns the credit for a time:
// a number that rises by one each millisecond.
func New(self identity.Process, l *ledger.Ledger, issueCredit func(time.Time) uint64) (*Agent, error) {
	if self.IsZero() || l == nil || issueCredit == nil {
		return nil, errors.New("agent: process, ledger and credit source are required")
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

// Handle processes one event and returns its effects. The slice is valid until the
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

// Next returns the time at which the agent needs a message.Wake.
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

// configure applies cfg if its version is newer than the current one.
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

// expire checks the lease and expires unused offers.
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

// drain makes the agent reject all new work and publish no free capacity.
func (a *Agent) drain() {
	a.draining = true
	a.capacityChanged = true
	a.cancelOffers(func(*offer) bool { return true })
	for len(a.queue) > 0 {
		a.removeInterest(a.queue[0].owner)
	}
}

// reportDrained emits Drained once, when no task runs and no report is unsent.
func (a *Agent) reportDrained() {
	if a.draining && !a.drained && len(a.running) == 0 && len(a.unsent) == 0 {
		a.drained = true
		a.effects = append(a.effects, Drained{})
	}
}

// accepting reports whether the agent may start tasks and make offers.
func (a *Agent) accepting() bool {
	return a.leased && !a.draining
}

// publishCapacity emits a CapacityHint if the free capacity of a service has changed.
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
	h := &CapacityHint{}
	h.capacities = append(h.inline[:0], a.capacities...)
	a.effects = append(a.effects, h)
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
