// Package queue orders the work of one service that waits at an owner.
//
// Work is ordered by urgency first. Within an urgency each team gets its share,
// by virtual time; within a team the job with the least time to spare goes
// first. Each task that a job has started moves the job's next task back, so
// that a job of a thousand tasks does not hold up a narrow one. One take in
// AgedEvery goes to the work that has waited longest, so that nothing starves
// and the most urgent work loses little.
package queue

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/heap"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The parameters of ageing.
const (
	// AgingInterval is the number of takes of which one goes to the oldest work.
	AgingInterval = 16
	// minShare is the weight of a team without a share of its own, which then only
	// borrows.
	minShare = 0.001
)

// Classes is the number of classes: each urgency, short and long.
const Classes = 2 * configuration.Urgencies

// Class is an urgency together with the mark for long work.
type Class uint8

// NewClass joins both.
func NewClass(u configuration.Urgency, long bool) Class {
	c := Class(u) * 2
	if long {
		c++
	}
	return c
}

// Urgency is the class's urgency.
func (c Class) Urgency() configuration.Urgency {
	return configuration.Urgency(c / 2)
}

// Long tells whether the work is under the cap for long work.
func (c Class) Long() bool {
	return c%2 == 1
}

// Mask is a set of classes.
type Mask uint8

// MaskOf returns a set of one class.
func MaskOf(c Class) Mask {
	return 1 << c
}

// UpTo is the set of all classes of an urgency and the higher ones.
func UpTo(u configuration.Urgency) Mask {
	return Mask(1<<(2*(u+1)) - 1)
}

// Has tells whether a class is in the set.
func (m Mask) Has(c Class) bool {
	return m&(1<<c) != 0
}

// Spec says how an item is ordered.
type Spec struct {
	team         string
	share        float64
	class        Class
	waitingSince time.Time
	latestStart  time.Time
	cost         time.Duration
	harm         int
	agingDelay   time.Duration
}

// NewSpec returns the order of an item. Start is the latest time at which its
// tasks should start, cost the learned run time of one task, and patience the
// wait after which it counts as aged.
func NewSpec(team string, share float64, class Class, waitingSince, latestStart time.Time, cost time.Duration, harm int, agingDelay time.Duration) Spec {
	return Spec{
		team:         team,
		share:        max(share, minShare),
		class:        class,
		waitingSince: waitingSince,
		latestStart:  latestStart,
		cost:         cost,
		harm:         harm,
		agingDelay:   agingDelay,
	}
}

// Item is a job with waiting tasks.
type Item[T any] struct {
	value     T
	spec      Spec
	flow      *flow[T]
	sortKey   time.Time
	tasks     int
	started   bool
	flowIndex int
	ageIndex  int
	harmIndex int
}

// NewItem returns an item that is in no queue.
func NewItem[T any](value T, spec Spec) *Item[T] {
	return &Item[T]{
		value:     value,
		spec:      spec,
		sortKey:   spec.latestStart,
		flowIndex: heap.Absent,
		ageIndex:  heap.Absent,
		harmIndex: heap.Absent,
	}
}

// Value is what waits.
func (i *Item[T]) Value() T {
	return i.value
}

// Tasks is the number of waiting tasks.
func (i *Item[T]) Tasks() int {
	return i.tasks
}

// Class is the item's class.
func (i *Item[T]) Class() Class {
	return i.spec.class
}

// Cost is the run time by which one task is counted.
func (i *Item[T]) Cost() time.Duration {
	return i.spec.cost
}

// Harm is the harm of refusing the item.
func (i *Item[T]) Harm() int {
	return i.spec.harm
}

// flow is the waiting work of one team in one class.
type flow[T any] struct {
	team        string
	virtualTime float64
	load        load
	items       *heap.Heap[*Item[T]]
	index       int
}

// class is the waiting work of one class.
type class[T any] struct {
	virtualTime float64
	load        load
	teams       map[string]*flow[T]
	flows       *heap.Heap[*flow[T]]
	byAge       *heap.Heap[*Item[T]]
	byHarm      *heap.Heap[*Item[T]]
}

// Queue is the waiting work of one service.
type Queue[T any] struct {
	classes  [Classes]*class[T]
	tasks    int
	dequeued uint64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{}
	for c := range q.classes {
		q.classes[c] = &class[T]{
			teams:  map[string]*flow[T]{},
			flows:  heap.New(func(a, b *flow[T]) bool { return a.virtualTime < b.virtualTime }, func(f *flow[T], n int) { f.index = n }),
			byAge:  heap.New(func(a, b *Item[T]) bool { return a.spec.waitingSince.Before(b.spec.waitingSince) }, func(i *Item[T], n int) { i.ageIndex = n }),
			byHarm: heap.New(lessHarm[T], func(i *Item[T], n int) { i.harmIndex = n }),
		}
	}
	return q
}

// lessHarm orders by harm; of equal harm the newest goes first.
func lessHarm[T any](a, b *Item[T]) bool {
	if a.spec.harm != b.spec.harm {
		return a.spec.harm < b.spec.harm
	}
	return a.spec.waitingSince.After(b.spec.waitingSince)
}

// Add puts n more tasks of an item into the queue.
func (q *Queue[T]) Add(i *Item[T], n int) {
	if n <= 0 {
		return
	}
	c := q.classes[i.spec.class]
	f := c.flow(i.spec.team)
	if i.tasks == 0 {
		i.flow = f
		if f.items.Len() == 0 {
			// A team that was idle starts at the present virtual time: it gets its
			// share from now on, and no credit for the time before.
			f.virtualTime = max(f.virtualTime, c.virtualTime)
			c.flows.Push(f)
		}
		f.items.Push(i)
		c.byAge.Push(i)
		if !i.started {
			c.byHarm.Push(i)
		}
	}
	q.changeTasks(i, n)
}

func (c *class[T]) flow(team string) *flow[T] {
	f, ok := c.teams[team]
	if !ok {
		f = &flow[T]{
			team:  team,
			index: heap.Absent,
			items: heap.New(func(a, b *Item[T]) bool { return a.sortKey.Before(b.sortKey) }, func(i *Item[T], n int) { i.flowIndex = n }),
		}
		c.teams[team] = f
	}
	return f
}

// count changes the number of an item's waiting tasks.
func (q *Queue[T]) changeTasks(i *Item[T], n int) {
	cost := i.spec.cost.Seconds()
	q.classes[i.spec.class].load.update(i.tasks, i.tasks+n, cost)
	i.flow.load.update(i.tasks, i.tasks+n, cost)
	i.tasks += n
	q.tasks += n
}

// MarkStarted takes an item off the list of those that may be shed, because something
// of it has started.
func (q *Queue[T]) MarkStarted(i *Item[T]) {
	i.started = true
	if i.harmIndex != heap.Absent {
		q.classes[i.spec.class].byHarm.Remove(i.harmIndex)
	}
}

// Remove takes all tasks of an item out of the queue.
func (q *Queue[T]) Remove(i *Item[T]) {
	if i.tasks == 0 {
		return
	}
	c := q.classes[i.spec.class]
	f := i.flow
	q.changeTasks(i, -i.tasks)
	f.items.Remove(i.flowIndex)
	c.byAge.Remove(i.ageIndex)
	if i.harmIndex != heap.Absent {
		c.byHarm.Remove(i.harmIndex)
	}
	if f.items.Len() == 0 {
		c.flows.Remove(f.index)
		if f.virtualTime <= c.virtualTime {
			delete(c.teams, f.team)
		}
	}
}

// Next is the item whose task goes next among the classes of a set.
func (q *Queue[T]) Next(now time.Time, m Mask) (*Item[T], bool) {
	if q.dequeued%AgingInterval == AgingInterval-1 {
		if i, ok := q.aged(now, m); ok {
			return i, true
		}
	}
	for n, c := range q.classes {
		if f, ok := c.flows.Top(); ok && m.Has(Class(n)) {
			return q.shortOrLong(f, Class(n), m)
		}
	}
	return nil, false
}

// rival compares short and long work of one urgency by the time to spare.
func (q *Queue[T]) shortOrLong(f *flow[T], c Class, m Mask) (*Item[T], bool) {
	i, _ := f.items.Top()
	if c.Long() || !m.Has(c+1) {
		return i, true
	}
	g, ok := q.classes[c+1].flows.Top()
	if !ok {
		return i, true
	}
	if l, _ := g.items.Top(); l.sortKey.Before(i.sortKey) {
		return l, true
	}
	return i, true
}

// aged is the item that has waited longest, if it has waited past its patience.
func (q *Queue[T]) aged(now time.Time, m Mask) (*Item[T], bool) {
	var oldest *Item[T]
	for n, c := range q.classes {
		i, ok := c.byAge.Top()
		if !ok || !m.Has(Class(n)) || now.Sub(i.spec.waitingSince) < i.spec.agingDelay {
			continue
		}
		if oldest == nil || i.spec.waitingSince.Before(oldest.spec.waitingSince) {
			oldest = i
		}
	}
	return oldest, oldest != nil
}

// Take removes one task of an item that waits and charges it to its team.
func (q *Queue[T]) Take(i *Item[T]) {
	c := q.classes[i.spec.class]
	f := i.flow
	q.dequeued++
	q.MarkStarted(i)
	if top, ok := c.flows.Top(); ok {
		c.virtualTime = max(c.virtualTime, top.virtualTime)
	}
	f.virtualTime += max(i.spec.cost.Seconds(), time.Millisecond.Seconds()) / i.spec.share
	c.flows.Fix(f.index)
	if i.tasks == 1 {
		q.Remove(i)
		return
	}
	q.changeTasks(i, -1)
	i.sortKey = i.sortKey.Add(i.spec.cost)
	f.items.Fix(i.flowIndex)
}

// Tasks is the number of waiting tasks.
func (q *Queue[T]) Tasks() int {
	return q.tasks
}

// Waiting is the number of waiting tasks of a class and the wait of the oldest.
func (q *Queue[T]) Waiting(now time.Time, c Class) (tasks int, oldest time.Duration) {
	if i, ok := q.classes[c].byAge.Top(); ok {
		oldest = now.Sub(i.spec.waitingSince)
	}
	return q.classes[c].load.tasks, oldest
}

// WorkAhead is the work, in seconds of run time, that goes before the last task of
// new work of a class and width: all of higher urgencies, and what Within counts.
func (q *Queue[T]) WorkAhead(c Class, width int) float64 {
	work := q.WorkAheadAtUrgency(c, width)
	for n := Class(0); n.Urgency() < c.Urgency(); n++ {
		work += q.classes[n].load.work()
	}
	return work
}

// WorkAheadAtUrgency is the part of Ahead that is of the class's own urgency: what jobs of
// any width start in turn with the new work.
func (q *Queue[T]) WorkAheadAtUrgency(c Class, width int) float64 {
	n := NewClass(c.Urgency(), false)
	return q.classes[n].load.workAhead(width) + q.classes[n+1].load.workAhead(width)
}

// TeamWorkAhead is the part of Ahead that belongs to one team, of the class's urgency
// only.
func (q *Queue[T]) TeamWorkAhead(c Class, team string, width int) float64 {
	var work float64
	for n := Class(0); n < Classes; n++ {
		if f, ok := q.classes[n].teams[team]; ok && n.Urgency() == c.Urgency() {
			work += f.load.workAhead(width)
		}
	}
	return work
}

// ShedCandidate is the waiting item of the least harm among the classes of a set.
func (q *Queue[T]) ShedCandidate(m Mask) (*Item[T], bool) {
	var least *Item[T]
	for n := Classes - 1; n >= 0; n-- {
		i, ok := q.classes[n].byHarm.Top()
		if ok && m.Has(Class(n)) && (least == nil || i.spec.harm < least.spec.harm) {
			least = i
		}
	}
	return least, least != nil
}
