// Package queue schedules the waiting work of one service at an owner.
//
// Higher urgency goes first. Within an urgency, teams share by weighted fair
// queueing in virtual time; within a team, the job with the least slack goes
// first. Each task that a job starts delays the job's next task, so that a job of
// a thousand tasks does not block a narrow one. Every AgingInterval-th task is
// taken from the oldest work, so that no work starves and the most urgent work
// loses little.
package queue

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/heap"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The parameters of aging and sharing.
const (
	// AgingInterval is the number of dequeued tasks, of which the last one is taken
	// from the oldest work.
	AgingInterval = 16
	// minShare is the weight of a team without a share, which only gets capacity
	// that other teams leave.
	minShare = 0.001
)

// Classes is the number of classes: short and long work of each urgency.
const Classes = 2 * configuration.Urgencies

// Class is an urgency combined with the mark of long work.
type Class uint8

// NewClass returns the class of short or long work of an urgency.
func NewClass(u configuration.Urgency, long bool) Class {
	c := Class(u) * 2
	if long {
		c++
	}
	return c
}

func (c Class) Urgency() configuration.Urgency {
	return configuration.Urgency(c / 2)
}

// Long reports whether the limit for long work applies to the class.
func (c Class) Long() bool {
	return c%2 == 1
}

// Mask is a set of classes.
type Mask uint8

// MaskOf returns the set that contains one class.
func MaskOf(c Class) Mask {
	return 1 << c
}

// UpTo returns the set of all classes of an urgency and of the higher ones.
func UpTo(u configuration.Urgency) Mask {
	return Mask(1<<(2*(u+1)) - 1)
}

// Has reports whether a class is in the set.
func (m Mask) Has(c Class) bool {
	return m&(1<<c) != 0
}

// Spec has the attributes by which an item is scheduled.
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

// NewSpec returns the scheduling attributes of an item. latestStart is the time by
// which its tasks should start, cost the estimated run time of one task, and
// agingDelay the wait after which the item is treated as aged.
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

// Item is a job in a queue, with its number of waiting tasks.
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

func (i *Item[T]) Value() T {
	return i.value
}

// Tasks returns the number of waiting tasks.
func (i *Item[T]) Tasks() int {
	return i.tasks
}

func (i *Item[T]) Class() Class {
	return i.spec.class
}

// Cost returns the estimated run time of one task.
func (i *Item[T]) Cost() time.Duration {
	return i.spec.cost
}

// Harm returns the harm of refusing the item, by which shedding chooses.
func (i *Item[T]) Harm() int {
	return i.spec.harm
}

// flow is the waiting work of one team in one class, with the team's virtual time.
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

// lessHarm orders by harm. Of equal harm the newest item goes first.
func lessHarm[T any](a, b *Item[T]) bool {
	if a.spec.harm != b.spec.harm {
		return a.spec.harm < b.spec.harm
	}
	return a.spec.waitingSince.After(b.spec.waitingSince)
}

// Add adds n waiting tasks of an item to the queue.
func (q *Queue[T]) Add(i *Item[T], n int) {
	if n <= 0 {
		return
	}
	c := q.classes[i.spec.class]
	f := c.flow(i.spec.team)
	if i.tasks == 0 {
		i.flow = f
		if f.items.Len() == 0 {
			// A team that was idle starts at the current virtual time: it gets its
			// share from now on, without credit for the idle time.
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

// changeTasks adds n, which may be negative, to the number of an item's waiting
// tasks.
func (q *Queue[T]) changeTasks(i *Item[T], n int) {
	cost := i.spec.cost.Seconds()
	q.classes[i.spec.class].load.update(i.tasks, i.tasks+n, cost)
	i.flow.load.update(i.tasks, i.tasks+n, cost)
	i.tasks += n
	q.tasks += n
}

// MarkStarted notes that a task of an item has started, so that the item is no
// longer a candidate for shedding.
func (q *Queue[T]) MarkStarted(i *Item[T]) {
	i.started = true
	if i.harmIndex != heap.Absent {
		q.classes[i.spec.class].byHarm.Remove(i.harmIndex)
	}
}

// Remove removes all waiting tasks of an item.
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

// Next returns the item whose task should start next among the classes of a set.
// It returns false if none waits.
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

// shortOrLong returns the first item of a flow, or that of the long work of the
// same urgency if it has less slack.
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

// aged returns the item that has waited longest among those that have waited at
// least their aging delay.
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

// Take removes one waiting task of an item and charges its cost to the virtual
// time of the team.
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

// Tasks returns the number of waiting tasks.
func (q *Queue[T]) Tasks() int {
	return q.tasks
}

// Waiting returns the number of waiting tasks of a class and the wait of the
// oldest item.
func (q *Queue[T]) Waiting(now time.Time, c Class) (tasks int, oldest time.Duration) {
	if i, ok := q.classes[c].byAge.Top(); ok {
		oldest = now.Sub(i.spec.waitingSince)
	}
	return q.classes[c].load.tasks, oldest
}

// WorkAhead returns the work, in seconds of run time, that starts before the last
// task of a new job of a class and width: all work of higher urgencies, and
// WorkAheadAtUrgency.
func (q *Queue[T]) WorkAhead(c Class, width int) float64 {
	work := q.WorkAheadAtUrgency(c, width)
	for n := Class(0); n.Urgency() < c.Urgency(); n++ {
		work += q.classes[n].load.work()
	}
	return work
}

// WorkAheadAtUrgency returns the part of WorkAhead that has the urgency of the
// class: the tasks that waiting jobs start in turn with the new job.
func (q *Queue[T]) WorkAheadAtUrgency(c Class, width int) float64 {
	n := NewClass(c.Urgency(), false)
	return q.classes[n].load.workAhead(width) + q.classes[n+1].load.workAhead(width)
}

// TeamWorkAhead returns the part of WorkAheadAtUrgency that belongs to one team.
func (q *Queue[T]) TeamWorkAhead(c Class, team string, width int) float64 {
	var work float64
	for n := Class(0); n < Classes; n++ {
		if f, ok := q.classes[n].teams[team]; ok && n.Urgency() == c.Urgency() {
			work += f.load.workAhead(width)
		}
	}
	return work
}

// ShedCandidate returns the item with the least harm of which nothing has started,
// among the classes of a set. It returns false if there is none.
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
