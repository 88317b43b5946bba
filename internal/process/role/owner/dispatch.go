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

// criticalMask has the classes that may use reserved slots.
var criticalMask = queue.UpTo(configuration.Critical)

// service is the work and the room of one service.
type service struct {
	name      string
	queue     *queue.Queue[work]
	pools     [pools]*heap.Heap[*room]
	free      int
	open      int
	drains    [configuration.Urgencies]estimate.DrainRate
	published [queue.Classes]int
	dirty     bool
}

// parked is an item that no room in the choice can take.
type parked struct {
	item  *queue.Item[work]
	tasks int
}

// waitingBytes counts what waits in all queues.
type waitingBytes struct {
	tasks int
	bytes int
}

func (o *Owner) service(name string) *service {
	svc, ok := o.services[name]
	if !ok {
		svc = &service{
			name:  name,
			queue: queue.New[work](),
		}
		for n := range svc.pools {
			svc.pools[n] = heap.New(before, func(r *room, i int) { r.at[n] = i })
		}
		o.services[name] = svc
	}
	return svc
}

// touch marks a service whose work or room changed.
func (o *Owner) touch(svc *service) {
	if !svc.dirty && svc.queue.Tasks() > 0 {
		svc.dirty = true
		o.dirty = append(o.dirty, svc)
	}
}

func (o *Owner) touchAll() {
	for _, name := range o.names() {
		o.touch(o.services[name])
	}
}

// add puts tasks into the queue.
func (o *Owner) add(svc *service, i *queue.Item[work], n int) {
	svc.queue.Add(i, n)
	o.waiting.tasks += n
	o.touch(svc)
}

func (o *Owner) enqueue(_ time.Time, s *submission) {
	if s.job.Answer().Ended() || s.job.Stopping() {
		return
	}
	if s.job.Started() {
		s.svc.queue.Keep(s.item)
	}
	s.bytes = s.job.Order().Bytes()
	o.waiting.bytes += s.bytes
	o.add(s.svc, s.item, s.job.WaitingTasks())
}

// dequeue takes the waiting tasks of a submission out of the queue.
func (o *Owner) dequeue(s *submission) {
	if s.item == nil {
		return
	}
	o.waiting.tasks -= s.item.Tasks()
	o.waiting.bytes -= s.bytes
	s.bytes = 0
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

// dispatch sends starts while agents have room, and tells agents of the rest.
func (o *Owner) dispatch(now time.Time) {
	if !o.leased(now) {
		for _, svc := range o.dirty {
			svc.dirty = false
		}
		o.dirty = o.dirty[:0]
		if !now.Before(o.rouse) {
			// A time in the past would keep the shell awake until the lease is back.
			o.rouse = now.Add(rouseInterval)
		}
		return
	}
	for n := 0; n < len(o.dirty); n++ {
		o.drain(now, o.dirty[n])
	}
	for _, svc := range o.dirty {
		svc.dirty = false
		o.publish(now, svc)
	}
	clear(o.dirty)
	o.dirty = o.dirty[:0]
	if o.asleep > 0 && o.waiting.tasks > 0 && !now.Before(o.rouse) {
		o.rouseAgents(now)
	}
}

// drain sends starts of one service.
func (o *Owner) drain(now time.Time, svc *service) {
	for svc.queue.Tasks() > 0 {
		m := o.usable(now, svc)
		i, ok := o.next(now, svc, m)
		if m == 0 || !ok {
			break
		}
		if r, ok := o.choose(now, svc, i); ok {
			o.begin(now, svc, i, r)
			continue
		}
		o.parked = append(o.parked, parked{
			item:  i,
			tasks: i.Tasks(),
		})
		svc.queue.Remove(i)
	}
	for _, p := range o.parked {
		svc.queue.Add(p.item, p.tasks)
	}
	clear(o.parked)
	o.parked = o.parked[:0]
}

// usable is the set of classes for which some agent has room and a fresh credit.
func (o *Owner) usable(now time.Time, svc *service) queue.Mask {
	var m queue.Mask
	has := [pools]bool{}
	for n := range svc.pools {
		_, has[n] = o.top(now, svc, n)
	}
	for c := queue.Class(0); c < queue.Classes; c++ {
		if has[poolOf(c)] {
			m |= queue.MaskOf(c)
		}
	}
	return m
}

// top is the best room of a pool; agents whose credit is too old are put to sleep
// until they are heard again.
func (o *Owner) top(now time.Time, svc *service, pool int) (*room, bool) {
	for {
		r, ok := svc.pools[pool].Top()
		if !ok || now.Sub(r.agent.heard) <= creditUse {
			return r, ok
		}
		o.sleep(now, r.agent)
	}
}

// choose returns the best room for an item's next task, passing over agents that
// cannot take it.
func (o *Owner) choose(now time.Time, svc *service, i *queue.Item[work]) (*room, bool) {
	w := i.Value()
	pool := poolOf(i.Class())
	r, ok := o.top(now, svc, pool)
	for ok && !o.takes(w, r.agent) {
		svc.pools[pool].Remove(r.at[pool])
		o.skipped = append(o.skipped, r)
		r, ok = o.top(now, svc, pool)
	}
	for _, s := range o.skipped {
		o.refresh(s)
	}
	clear(o.skipped)
	o.skipped = o.skipped[:0]
	return r, ok
}

// begin sends the start of an item's next task.
func (o *Owner) begin(now time.Time, svc *service, i *queue.Item[work], r *room) {
	r.use(now, i.Class())
	o.start(now, svc, i, r)
}

// start sends a task to an agent that has room for it.
func (o *Owner) start(now time.Time, svc *service, i *queue.Item[work], r *room) {
	w := i.Value()
	s := w.submission
	index := w.index
	ok := true
	if !w.retry {
		index, ok = s.job.Pop()
	}
	o.waiting.tasks--
	svc.queue.Take(i)
	if !ok || s.job.Send(index, r.agent.process) != nil {
		// The queue counts exactly the tasks that wait, so this is not reached.
		return
	}
	o.usage.Charge(now, s.job.Kind().Team(), i.Cost())
	r.agent.jobs[s] = struct{}{}
	r.open++
	svc.open++
	o.refresh(r)
	order := s.job.Order()
	o.send(r.agent.process, message.NewStart(identity.NewTask(order.Submission(), index), s.home.grant,
		r.agent.credit, order.Kind(), order.Payloads()[index], order.Deadline()))
}

// offer uses the slots that an agent keeps for this owner, or tells the agent
// what waits here.
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
	r := a.room(svc)
	for r != nil && left > 0 && !r.ejected && (!r.probing || r.open == 0) {
		i, ok := o.next(now, svc, mask)
		if !ok || !o.takes(i.Value(), a) {
			break
		}
		o.start(now, svc, i, r)
		left--
	}
	if left > 0 {
		o.tell(now, a, nil)
	}
}

// takes tells whether the work may go to the agent. A task that failed goes to an
// agent that has not run it, as long as one offers the service: whatever broke
// the task there may last.
func (o *Owner) takes(w work, a *agent) bool {
	s := w.submission
	if s.unfit(a.process) {
		return false
	}
	if !w.retry || !s.job.Tried(w.index, a.process) {
		return true
	}
	for _, other := range o.set {
		r := other.room(s.svc)
		if r != nil && r.heard && !s.unfit(other.process) && !s.job.Tried(w.index, other.process) {
			return false
		}
	}
	return true
}
