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

// The bounds of the time that a back end may take.
const (
	// timeoutFactor leaves room for stragglers, which take many times longer.
	timeoutFactor = 60
	minTimeout    = 10 * time.Second
	maxTimeout    = 5 * time.Minute
)

// The rules for learning a kind's run time.
const (
	// learnAfter is the number of ends after which the declared run time no longer
	// counts.
	learnAfter    = 16
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
	place     placed
	harm      int
	urgency   configuration.Urgency
	permitted configuration.Preemption
}

type kindKey struct {
	team string
	name string
}

// kindStats is what the agent has learned of a kind.
type kindStats struct {
	declared time.Duration
	mean     float64
	ends     int
	usage    usage
}

func (k *kindStats) declare(kind configuration.Kind) {
	k.declared = kind.RunTime()
	k.usage.declared = kind.Resources()
}

// runTime is the run time to expect.
func (k *kindStats) runTime() time.Duration {
	if k.ends < learnAfter {
		return k.declared
	}
	return time.Duration(k.mean)
}

func (k *kindStats) observe(r outcome.Result) {
	if r.State() != outcome.Succeeded {
		return
	}
	k.ends++
	if k.ends == 1 {
		k.mean = float64(r.RunTime())
		return
	}
	k.mean += runTimeWeight * (float64(r.RunTime()) - k.mean)
}

func (k *kindStats) timeout() time.Duration {
	return min(max(timeoutFactor*max(k.declared, k.runTime()), minTimeout), maxTimeout)
}

func (a *Agent) stats(kind configuration.Kind) *kindStats {
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

// start admits a task, or tells why it was refused.
func (a *Agent) start(now time.Time, owner identity.Process, m message.Start) (message.Cause, bool) {
	if cause, ok := a.permit(now, m); !ok {
		return cause, false
	}
	kind, ok := a.cfg.Kind(m.Task().Submission().Team(), m.Kind())
	if !ok {
		return message.NoBackEnd, false
	}
	if err := a.ledger.Check(m.Task(), m.Grant().Shard(), m.Grant().Epoch(), kind.MaxStarts()); err != nil {
		return causeOf(err), false
	}
	k := a.stats(kind)
	t, cause, ok := a.place(owner, kind, k)
	if !ok {
		return cause, false
	}
	if err := a.ledger.Begin(now, m.Task(), m.Grant().Shard(), m.Grant().Epoch(), kind.MaxStarts()); err != nil {
		return causeOf(err), false
	}
	a.owners[m.Grant().Shard()] = owner
	a.served(owner, kind)
	a.begin(now, owner, m, kind, k, t)
	return 0, true
}

// permit checks what does not depend on the back ends.
func (a *Agent) permit(now time.Time, m message.Start) (message.Cause, bool) {
	switch {
	case !a.leased:
		return message.NoLease, false
	case m.Credit()+uint64(MaxCreditAge.Milliseconds()) < a.issue(now), m.Credit() > a.issue(now):
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

// place finds the back end for a task. A slot offered to the owner goes first.
func (a *Agent) place(owner identity.Process, kind configuration.Kind, k *kindStats) (*target, message.Cause, bool) {
	key := serviceKey{
		name:   kind.Service(),
		worker: kind.BackEnd() == configuration.Worker,
	}
	if key.worker {
		if cause, ok := a.fits(kind, k); !ok {
			return nil, cause, false
		}
	}
	s, ok := a.services[key]
	if !ok || s.empty() {
		return nil, message.NoBackEnd, false
	}
	c := classOf(kind.Urgency() == configuration.Critical, kind.Long())
	if t := a.accept(owner, s, c); t != nil {
		return t, 0, true
	}
	if t := s.best(c); t != nil {
		return t, 0, true
	}
	if !s.staffed() {
		return nil, message.Draining, false
	}
	return nil, message.Busy, false
}

// staffed tells whether any target of the service takes new work.
func (s *service) staffed() bool {
	for _, e := range s.ranking[general].entries {
		if !e.target.leaving {
			return true
		}
	}
	return false
}

func (a *Agent) begin(now time.Time, owner identity.Process, m message.Start, kind configuration.Kind, k *kindStats, t *target) {
	a.counts.started++
	r := a.run()
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
	t.take(r.long)
	if t.worker {
		r.place.taken = a.needs(k)
		a.occupy(m.Task(), r.place.taken)
		a.effects = append(a.effects, Place{
			worker:    a.worker.event.name,
			task:      m.Task(),
			kind:      m.Kind(),
			payload:   m.Payload(),
			resources: r.place.taken,
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
	a.touch(t)
}

// maxSpare bounds the values kept for the next start, which spare it an
// allocation.
const maxSpare = 256

func (a *Agent) run() *running {
	n := len(a.spare)
	if n == 0 {
		return &running{}
	}
	r := a.spare[n-1]
	a.spare = a.spare[:n-1]
	return r
}

func (a *Agent) reuse(r *running) {
	if len(a.spare) < maxSpare {
		*r = running{}
		a.spare = append(a.spare, r)
	}
}

// touch notes that a target's slots have changed.
func (a *Agent) touch(t *target) {
	t.update()
	a.changed = true
}

func (a *Agent) end(now time.Time, e Ended) {
	r, ok := a.running[e.task]
	if !ok {
		return
	}
	delete(a.running, e.task)
	defer a.reuse(r)
	a.counts.end(e.result.State())
	a.ledger.End(now, e.task, e.result)
	r.target.give(r.long)
	if r.target.worker {
		a.vacate(e.task, r.place)
	}
	if !e.uncalled {
		r.target.observe(now, e.result, now.Sub(r.began), r.kind)
		r.kind.observe(e.result)
	}
	a.touch(r.target)
	if !r.target.open() {
		a.release(func(o *offer) bool { return o.target == r.target })
	}
	if r.target.leaving && r.target.used == 0 {
		a.drop(r.target)
	}
	a.report(r, e)
}

// report sends the end to the owner that sealed the shard last, which is the one
// that waits for it.
func (a *Agent) report(r *running, e Ended) {
	owner, ok := a.owners[r.shard]
	if !ok {
		owner = r.owner
	}
	a.send(owner, message.NewFinished(e.task, e.result))
}
