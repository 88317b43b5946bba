package agent

import (
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The limits of the time that a back end may take.
const (
	// timeoutFactor is the timeout as a multiple of the expected run time. It allows
	// for stragglers, which take many times longer.
	timeoutFactor = 60
	minTimeout    = 10 * time.Second
	maxTimeout    = 5 * time.Minute
)

// The parameters of the estimate of a kind's run time.
const (
	// minRunTimeSamples is the number of successes from which the estimate
	// replaces the declared run time.
	minRunTimeSamples = 16
	// runTimeWeight is the weight of a new sample in the moving average.
	runTimeWeight = 0.1
)

// running is a task at a back end.
type running struct {
	owner     identity.Process
	shard     identity.Shard
	target    *target
	kind      *kindStats
	began     time.Time
	long      bool
	alloc     allocation
	harm      int
	urgency   configuration.Urgency
	permitted configuration.Preemption
}

type kindKey struct {
	team string
	name string
}

// kindStats has the declarations and measurements of a kind. The mean run time is an
// exponential moving average in nanoseconds.
type kindStats struct {
	declared    time.Duration
	meanRunTime float64
	samples     int
	usage       usage
}

func (k *kindStats) declare(kind configuration.Kind) {
	k.declared = kind.RunTime()
	k.usage.declared = kind.Resources()
}

// runTime returns the expected run time.
func (k *kindStats) runTime() time.Duration {
	if k.samples < minRunTimeSamples {
		return k.declared
	}
	return time.Duration(k.meanRunTime)
}

func (k *kindStats) observe(r outcome.Result) {
	if r.State() != outcome.Succeeded {
		return
	}
	k.samples++
	if k.samples == 1 {
		k.meanRunTime = float64(r.RunTime())
		return
	}
	k.meanRunTime += runTimeWeight * (float64(r.RunTime()) - k.meanRunTime)
}

func (k *kindStats) timeout() time.Duration {
	return min(max(timeoutFactor*max(k.declared, k.runTime()), minTimeout), maxTimeout)
}

func (a *Agent) statsOf(kind configuration.Kind) *kindStats {
	key := kindKey{
		team: kind.Team(),
		name: kind.Name(),
	}
	k, ok := a.kinds[key]
	if !ok {
		k = &kindStats{}
		k.declare(kind)
		a.kinds[key] = k
	}
	return k
}

// start admits a task, or returns the cause of its rejection and false.
func (a *Agent) start(now time.Time, owner identity.Process, m message.Start) (message.Cause, bool) {
	if cause, ok := a.checkStart(now, m); !ok {
		return cause, false
	}
	kind, ok := a.cfg.Kind(m.Task().Submission().Team(), m.Kind())
	if !ok {
		return message.NoBackEnd, false
	}
	if err := a.ledger.Check(m.Task(), m.Grant().Shard(), m.Grant().Epoch(), kind.MaxStarts()); err != nil {
		return causeOf(err), false
	}
	k := a.statsOf(kind)
	t, cause, ok := a.selectTarget(owner, kind, k)
	if !ok {
		return cause, false
	}
	if err := a.ledger.Begin(now, m.Task(), m.Grant().Shard(), m.Grant().Epoch(), kind.MaxStarts()); err != nil {
		return causeOf(err), false
	}
	a.owners[m.Grant().Shard()] = owner
	a.reduceDemand(owner, kind)
	a.begin(now, owner, m, kind, k, t)
	return 0, true
}

// checkStart makes the checks that do not depend on the back ends.
func (a *Agent) checkStart(now time.Time, m message.Start) (message.Cause, bool) {
	switch {
	case !a.leased:
		return message.NoLease, false
	case m.Credit()+uint64(MaxCreditAge.Milliseconds()) < a.issueCredit(now), m.Credit() > a.issueCredit(now):
		return message.StaleCredit, false
	case a.draining:
		return message.Draining, false
	case a.revoked.has(m.Task().Submission()):
		return message.Withdrawn, false
	case !m.Deadline().IsZero() && !m.Deadline().After(now):
		return message.PastDeadline, false
	}
	return 0, true
}

func causeOf(err error) message.Cause {
	switch {
	case errors.Is(err, ledger.ErrEpoch):
		return message.StaleEpoch
	case errors.Is(err, ledger.ErrStarted):
		return message.AlreadyStarted
	}
	return message.LedgerFull
}

// selectTarget returns the back end for a task. A slot that is reserved for the owner
// has precedence.
func (a *Agent) selectTarget(owner identity.Process, kind configuration.Kind, k *kindStats) (*target, message.Cause, bool) {
	key := serviceKey{
		name:   kind.Service(),
		worker: kind.BackEnd() == configuration.Worker,
	}
	if key.worker {
		if cause, ok := a.checkWorker(kind, k); !ok {
			return nil, cause, false
		}
	}
	s, ok := a.services[key]
	if !ok || s.empty() {
		return nil, message.NoBackEnd, false
	}
	c := classOf(kind.Urgency() == configuration.Critical, kind.Long())
	if t := a.takeOffer(owner, s, c); t != nil {
		return t, 0, true
	}
	if t := s.best(c); t != nil {
		return t, 0, true
	}
	if !s.hasRemaining() {
		return nil, message.Draining, false
	}
	return nil, message.Busy, false
}

// hasRemaining reports whether the service has a target that is not leaving.
func (s *service) hasRemaining() bool {
	for _, e := range s.ranking[general].entries {
		if !e.target.leaving {
			return true
		}
	}
	return false
}

func (a *Agent) begin(now time.Time, owner identity.Process, m message.Start, kind configuration.Kind, k *kindStats, t *target) {
	a.counts.started++
	r := a.newRunning()
	*r = running{
		owner:     owner,
		shard:     m.Grant().Shard(),
		target:    t,
		kind:      k,
		began:     now,
		long:      kind.Long(),
		harm:      kind.Harm(),
		urgency:   kind.Urgency(),
		permitted: kind.Preemption(),
	}
	t.acquireSlot(r.long)
	if t.worker {
		r.alloc.granted = a.resourcesFor(k)
		a.allocate(m.Task(), r.alloc.granted)
		a.effects = append(a.effects, Place{
			worker:    a.worker.event.name,
			task:      m.Task(),
			kind:      m.Kind(),
			payload:   m.Payload(),
			resources: r.alloc.granted,
			timeout:   k.timeout(),
		})
	} else {
		a.effects = append(a.effects, Call{
			target:   t.announced.Target(),
			url:      t.announced.URL(),
			task:     m.Task(),
			kind:     m.Kind(),
			payload:  m.Payload(),
			deadline: m.Deadline(),
			timeout:  k.timeout(),
		})
	}
	a.running[m.Task()] = r
	a.targetChanged(t)
}

// maxFree limits the free list, which saves an allocation for each start.
const maxFree = 256

func (a *Agent) newRunning() *running {
	n := len(a.freeList)
	if n == 0 {
		return &running{}
	}
	r := a.freeList[n-1]
	a.freeList = a.freeList[:n-1]
	return r
}

func (a *Agent) recycle(r *running) {
	if len(a.freeList) < maxFree {
		*r = running{}
		a.freeList = append(a.freeList, r)
	}
}

// targetChanged updates the services of a target after a change of its slots.
func (a *Agent) targetChanged(t *target) {
	t.update()
	a.capacityChanged = true
}

func (a *Agent) end(now time.Time, e Ended) {
	r, ok := a.running[e.task]
	if !ok {
		return
	}
	delete(a.running, e.task)
	defer a.recycle(r)
	a.counts.end(e.result.State())
	a.ledger.End(now, e.task, e.result)
	r.target.releaseSlot(r.long)
	if r.target.worker {
		a.deallocate(e.task, r.alloc)
	}
	if !e.notCalled {
		r.target.observe(now, e.result, now.Sub(r.began), r.kind)
		r.kind.observe(e.result)
	}
	a.targetChanged(r.target)
	if !r.target.accepting() {
		a.cancelOffers(func(o *offer) bool { return o.target == r.target })
	}
	if r.target.leaving && r.target.used == 0 {
		a.removeTarget(r.target)
	}
	a.report(r, e)
}

// report sends the result to the current owner of the shard, which may not be the one
// that started the task.
func (a *Agent) report(r *running, e Ended) {
	owner, ok := a.owners[r.shard]
	if !ok {
		owner = r.owner
	}
	a.send(owner, message.NewFinished(e.task, e.result))
}
