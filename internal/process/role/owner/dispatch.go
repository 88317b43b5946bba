package owner

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/estimate"
	"greengagedoor.example/greengagedoor/internal/request/heap"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/request/queue"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// criticalMask is the set of the classes that may use reserved slots.
var criticalMask = queue.UpTo(configuration.Critical)

// service is the waiting work and the capacity of one service.
type service struct {
	name       string
	queue      *queue.Queue[queuedWork]
	pools      [pools]*heap.Heap[*endpoint]
	free       int // Free slots of all usable endpoints.
	open       int // Starts without a result.
	drainRates [configuration.Urgencies]estimate.DrainRate
	published  [queue.Classes]int // Waiting tasks at the latest notification of agents.
	dirty      bool               // Is in the dirty list of the owner.
}

// deferred is an item that no endpoint in the pools can run now.
type deferred struct {
	item  *queue.Item[queuedWork]
	tasks int
}

// waitingTotals are the totals of all queues.
type waitingTotals struct {
	tasks        int
	payloadBytes int
}

func (o *Owner) service(name string) *service {
	svc, ok := o.services[name]
	if !ok {
		svc = &service{
			name:  name,
			queue: queue.New[queuedWork](),
		}
		for n := range svc.pools {
			svc.pools[n] = heap.New(preferred, func(ep *endpoint, i int) { ep.poolIndex[n] = i })
		}
		o.services[name] = svc
	}
	return svc
}

// markDirty marks a service with waiting work for dispatch after its work or its
// capacity changed.
func (o *Owner) markDirty(svc *service) {
	if !svc.dirty && svc.queue.Tasks() > 0 {
		svc.dirty = true
		o.dirty = append(o.dirty, svc)
	}
}

func (o *Owner) markAllDirty() {
	for _, name := range o.serviceNames() {
		o.markDirty(o.services[name])
	}
}

// add adds waiting tasks of an item to the queue.
func (o *Owner) add(svc *service, i *queue.Item[queuedWork], n int) {
	svc.queue.Add(i, n)
	o.waiting.tasks += n
	o.markDirty(svc)
}

func (o *Owner) enqueue(_ time.Time, s *submission) {
	if s.job.Answer().Ended() || s.job.Stopping() {
		return
	}
	if s.job.Started() {
		s.svc.queue.MarkStarted(s.item)
	}
	s.payloadBytes = s.job.Order().Bytes()
	o.waiting.payloadBytes += s.payloadBytes
	o.add(s.svc, s.item, s.job.WaitingTasks())
}

// dequeue removes the waiting tasks of a submission from the queue.
func (o *Owner) dequeue(s *submission) {
	if s.item == nil {
		return
	}
	o.waiting.tasks -= s.item.Tasks()
	o.waiting.payloadBytes -= s.payloadBytes
	s.payloadBytes = 0
	s.svc.queue.Remove(s.item)
	for _, i := range s.retries {
		o.waiting.tasks -= i.Tasks()
		s.svc.queue.Remove(i)
	}
	s.retries = nil
	if s.job.Answer().Ended() {
		s.item = nil
	}
}

// dispatch sends starts while agents have free capacity, and notifies agents of the
// work that still waits.
func (o *Owner) dispatch(now time.Time) {
	if !o.leased(now) {
		for _, svc := range o.dirty {
			svc.dirty = false
		}
		o.dirty = o.dirty[:0]
		if !now.Before(o.nextCreditRequest) {
			// With a time in the past, the duty would spin until the lease is back.
			o.nextCreditRequest = now.Add(creditRequestInterval)
		}
		return
	}
	for n := 0; n < len(o.dirty); n++ {
		o.dispatchService(now, o.dirty[n])
	}
	for _, svc := range o.dirty {
		svc.dirty = false
		o.publishDemand(now, svc)
	}
	clear(o.dirty)
	o.dirty = o.dirty[:0]
	if o.stale > 0 && o.waiting.tasks > 0 && !now.Before(o.nextCreditRequest) {
		o.requestCredits(now)
	}
}

// dispatchService sends starts of one service.
func (o *Owner) dispatchService(now time.Time, svc *service) {
	for svc.queue.Tasks() > 0 {
		m := o.usableClasses(now, svc)
		i, ok := o.nextItem(now, svc, m)
		if m == 0 || !ok {
			break
		}
		if ep, ok := o.choose(now, svc, i); ok {
			o.occupyAndStart(now, svc, i, ep)
			continue
		}
		o.deferred = append(o.deferred, deferred{
			item:  i,
			tasks: i.Tasks(),
		})
		svc.queue.Remove(i)
	}
	for _, d := range o.deferred {
		svc.queue.Add(d.item, d.tasks)
	}
	clear(o.deferred)
	o.deferred = o.deferred[:0]
}

// usableClasses returns the classes for which some agent has free capacity and a
// fresh credit.
func (o *Owner) usableClasses(now time.Time, svc *service) queue.Mask {
	var m queue.Mask
	has := [pools]bool{}
	for n := range svc.pools {
		_, has[n] = o.best(now, svc, n)
	}
	for c := queue.Class(0); c < queue.Classes; c++ {
		if has[poolOf(c)] {
			m |= queue.MaskOf(c)
		}
	}
	return m
}

// best returns the preferred endpoint of a pool. Agents whose credit is too old are
// marked as stale and skipped.
func (o *Owner) best(now time.Time, svc *service, pool int) (*endpoint, bool) {
	for {
		ep, ok := svc.pools[pool].Top()
		if !ok || now.Sub(ep.agent.lastSeen) <= maxCreditAge {
			return ep, ok
		}
		o.markStale(now, ep.agent)
	}
}

// choose returns the best endpoint for the next task of an item and skips agents
// that must not run it.
func (o *Owner) choose(now time.Time, svc *service, i *queue.Item[queuedWork]) (*endpoint, bool) {
	w := i.Value()
	pool := poolOf(i.Class())
	ep, ok := o.best(now, svc, pool)
	for ok && !o.mayRunAt(w, ep.agent) {
		svc.pools[pool].Remove(ep.poolIndex[pool])
		o.skipped = append(o.skipped, ep)
		ep, ok = o.best(now, svc, pool)
	}
	for _, s := range o.skipped {
		o.updatePools(s)
	}
	clear(o.skipped)
	o.skipped = o.skipped[:0]
	return ep, ok
}

// occupyAndStart occupies a slot of an endpoint and starts the next task of an item
// there.
func (o *Owner) occupyAndStart(now time.Time, svc *service, i *queue.Item[queuedWork], ep *endpoint) {
	ep.occupy(now, i.Class())
	o.start(now, svc, i, ep)
}

// start sends the next task of an item to the agent of an endpoint. The caller has
// a slot for it.
func (o *Owner) start(now time.Time, svc *service, i *queue.Item[queuedWork], ep *endpoint) {
	w := i.Value()
	s := w.submission
	index := w.index
	ok := true
	if !w.retry {
		index, ok = s.job.Pop()
	}
	o.waiting.tasks--
	svc.queue.Take(i)
	if !ok || s.job.Send(index, ep.agent.process) != nil {
		// Not reached, since the queue counts exactly the tasks that wait.
		return
	}
	o.usage.Charge(now, s.job.Kind().Team(), i.Cost())
	ep.agent.jobs[s] = struct{}{}
	ep.open++
	svc.open++
	o.updatePools(ep)
	order := s.job.Order()
	o.send(ep.agent.process, message.NewStart(identity.NewTask(order.Submission(), index), s.shard.grant,
		ep.agent.credit, order.Kind(), order.Payloads()[index], order.Deadline()))
}

// offer starts tasks in the slots that an agent has reserved for this owner. If
// slots are left, it sends the agent the current demand.
func (o *Owner) offer(now time.Time, from identity.Process, m message.Offer) {
	a, ok := o.agents[from]
	if !ok || !a.member || !o.leased(now) {
		return
	}
	svc := o.service(m.Service())
	mask := queue.UpTo(configuration.Low)
	if m.CriticalOnly() {
		mask = criticalMask
	}
	left := m.Slots()
	ep := a.endpoint(svc)
	for ep != nil && left > 0 && !ep.ejected && (!ep.probing || ep.open == 0) {
		i, ok := o.nextItem(now, svc, mask)
		if !ok || !o.mayRunAt(i.Value(), a) {
			break
		}
		o.start(now, svc, i, ep)
		left--
	}
	if left > 0 {
		o.sendInterest(now, a, nil)
	}
}

// mayRunAt reports whether the agent may run the work. A task that failed goes to
// an agent that has not run it, as long as one offers the service, since the cause
// of the failure may persist at the first agent.
func (o *Owner) mayRunAt(w queuedWork, a *agent) bool {
	s := w.submission
	if s.isUnfit(a.process) {
		return false
	}
	if !w.retry || !s.job.TriedAt(w.index, a.process) {
		return true
	}
	for _, other := range o.workingSet {
		ep := other.endpoint(s.svc)
		if ep != nil && ep.reported && !s.isUnfit(other.process) && !s.job.TriedAt(w.index, other.process) {
			return false
		}
	}
	return true
}
