package dispatch

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The parameters of placing.
const (
	// refusalPause keeps an agent that refused a start from getting the same again
	// at once.
	refusalPause = 50 * time.Millisecond
	// roomPause is the like for an agent whose room was taken by others.
	roomPause = 5 * time.Millisecond
	// priorityStep is how much earlier a job has to be to go before one of the next
	// more urgent priority.
	priorityStep = 15 * time.Millisecond
	// zoneCost stands for the way to another availability zone and its price.
	zoneCost = 4 * time.Millisecond
	// maxQueued is the number of starts that may wait at an agent before it gets none
	// beyond its room.
	maxQueued = 4
	// maxBlocked bounds the jobs without room that are looked at in one pass.
	maxBlocked = 8
	// lateWeight and failWeight are what a late and a lost answer cost: a late one is
	// still worth a fifth. loadWeight is what a place on a full kind of hardware
	// costs; below the load freeLoad it costs nothing. speedWeight is what a second
	// of run time costs.
	lateWeight = 0.8
	failWeight = 0.6
	loadWeight = 0.5
	// avoidWeight is what a target costs on which the task failed or was lost.
	avoidWeight = 1
	freeLoad    = 0.6
	speedWeight = 0.05
	// patientGain is by how much the chance to end in time must be better on the
	// fastest target after a wait of patientTime for a task to wait for it; runs end
	// on each target every few ms under load.
	patientGain = 0.1
	patientTime = 120 * time.Millisecond
	// maxClockAge is the age of an agent's last sign of life from which it gets no
	// new work; a start would be void before it arrives.
	maxClockAge = 300 * time.Millisecond
)

// enqueue puts a job with ready tasks into the queue.
func (d *Dispatch) enqueue(j *job) {
	at := sort.Search(len(d.queue), func(i int) bool { return d.queue[i].rank > j.rank })
	for i := at - 1; i >= 0 && d.queue[i].rank == j.rank; i-- {
		if d.queue[i] == j {
			return
		}
	}
	d.queue = append(d.queue, nil)
	copy(d.queue[at+1:], d.queue[at:])
	d.queue[at] = j
}

func (d *Dispatch) dequeue(j *job) {
	for i, x := range d.queue {
		if x == j {
			d.queue = append(d.queue[:i], d.queue[i+1:]...)
			return
		}
	}
}

// place sends ready tasks to agents with room, the lowest rank first.
func (d *Dispatch) place(now time.Duration) {
	if len(d.queue) == 0 {
		return
	}
	blocked := 0
	for _, j := range append([]*job(nil), d.queue...) {
		if !d.placeJob(now, j) {
			blocked++
		}
		if len(j.ready) == 0 {
			d.dequeue(j)
		}
		if blocked >= maxBlocked {
			return
		}
	}
}

// load is the share of its capacity that is in use, by hardware label.
type load map[string]float64

// load returns the load as it was when the event came.
func (d *Dispatch) load() load {
	if d.loads == nil {
		d.loads = d.measureLoad()
	}
	return d.loads
}

// least is the load of the kind of hardware that has the most room.
func (l load) least() float64 {
	least := 1.0
	for _, x := range l {
		least = min(least, x)
	}
	return least
}

// scarcity is what room is worth at a load, between 0 and 1.
func scarcity(load float64) float64 {
	return max(0, load-freeLoad) / (1 - freeLoad)
}

func (d *Dispatch) measureLoad() load {
	used := map[string]int64{}
	size := map[string]int64{}
	for _, a := range d.sessions {
		if !a.usable() {
			continue
		}
		size[a.label()] += a.size.MilliCores()
		used[a.label()] += a.size.MilliCores() - max(a.open().MilliCores(), 0)
	}
	l := load{}
	for label, n := range size {
		if n > 0 {
			l[label] = float64(used[label]) / float64(n)
		}
	}
	return l
}

// placeJob places ready tasks of a job; it returns false if some found no room.
func (d *Dispatch) placeJob(now time.Duration, j *job) bool {
	var rest []*item
	whole := true
	for i, t := range j.ready {
		if d.busy[t.name()] != nil {
			rest = append(rest, t)
			continue
		}
		a := d.choose(now, t)
		if a == nil {
			rest = append(rest, j.ready[i:]...)
			whole = false
			break
		}
		d.start(now, a, t)
	}
	j.ready = rest
	return whole
}

// choose returns the agent that suits a task best, nil if none has room.
func (d *Dispatch) choose(now time.Duration, t *item) *agent {
	s := t.job.work.Steps()[t.step]
	base := d.baseOf(t)
	// Estimates alone are too far off to rule a target out.
	lengthKnown := t.base > 0 || t.job.shown.count > 0
	var best *agent
	var bestCost float64
	for _, a := range d.connected {
		if !d.fits(now, a, t, s) || lengthKnown && now+d.expected(a, s, base) > t.job.deadline {
			continue
		}
		cost, ok := d.cost(now, a, t, s, base)
		if !ok {
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && a.open().Quotient(s.Resources()) > best.open().Quotient(s.Resources()) {
			best = a
			bestCost = cost
		}
	}
	if best == nil && t.base > 0 {
		return d.queueAt(now, t, s, base)
	}
	return best
}

// baseOf is how long a task takes on a target of factor 1, by the best that is known.
func (d *Dispatch) baseOf(t *item) time.Duration {
	if t.base > 0 {
		return t.base
	}
	s := t.job.work.Steps()[t.step]
	return t.job.expect(d.learned.base(t.job.route.Name(), s.Estimate()))
}

// queueAt returns the agent with the most room left, or the least lacking, on which
// a moved task can still end in time. The task waits there for room; agents start
// what was accepted earlier first.
func (d *Dispatch) queueAt(now time.Duration, t *item, s task.Step, base time.Duration) *agent {
	var best *agent
	for _, a := range d.connected {
		if !d.admits(now, a, t, s) || a.waiting >= maxQueued || now+d.expected(a, s, base) > t.job.deadline {
			continue
		}
		if best == nil || a.open().MilliCores() > best.open().MilliCores() {
			best = a
		}
	}
	return best
}

func (d *Dispatch) fits(now time.Duration, a *agent, t *item, s task.Step) bool {
	return d.admits(now, a, t, s) && a.open().Covers(s.Resources())
}

// admits tells whether an agent may be given a task, whatever room it has.
func (d *Dispatch) admits(now time.Duration, a *agent, t *item, s task.Step) bool {
	switch {
	case !a.usable() || a.target.Service() != t.job.route.Service():
		return false
	case now < a.backoff || now-a.heard > maxClockAge || a.clock == 0:
		return false
	case !a.hasLabel(s.Label()) || !a.health.admits(now, len(a.runs)):
		return false
	case s.MaxPerTarget() > 0 && a.count(t.job, t.step) >= s.MaxPerTarget():
		return false
	}
	return true
}

// expected is how long a task takes on an agent, with the way there.
func (d *Dispatch) expected(a *agent, s task.Step, base time.Duration) time.Duration {
	x := time.Duration(float64(base)*d.learned.factor(a.label(), a.name)) + a.target.WarmUp()
	if s.Rack() != "" && a.rack() != s.Rack() {
		x += base / 2
	}
	if a.zone != d.hello.Zone() {
		x += zoneCost
	}
	return x
}

// cost weighs the chance that a task ends late on an agent against the room it
// takes there from others. Under load the fast targets are kept for work that is
// late elsewhere; without load each task goes where it ends first. It returns
// false where the job does better to wait for a faster target.
func (d *Dispatch) cost(now time.Duration, a *agent, t *item, s task.Step, base time.Duration) (float64, bool) {
	x := d.expected(a, s, base)
	j := t.job
	spread := d.learned.spread(j.route.Name())
	useful := chance(j.useful-now, x, spread)
	if useful < d.leastChance() && t.run == 0 && !j.ran {
		return 0, false
	}
	inTime := chance(j.due-now, x, spread)
	if x > j.fast+patientTime && inTime+patientGain < chance(j.due-now-patientTime, j.fast, spread) {
		return 0, false
	}
	late := 1 - inTime
	if t.avoid[a.name] {
		late += avoidWeight
	}
	u := scarcity(d.load()[a.label()])
	return worth(j.size)*(lateWeight*late+failWeight*(1-useful)) + loadWeight*u*u + x.Seconds()*speedWeight, true
}

// count is the number of runs of a job's step on an agent.
func (a *agent) count(j *job, step int) int {
	n := 0
	for _, x := range a.runs {
		if x.task.job == j && x.task.step == step {
			n++
		}
	}
	return n
}

// start sends a task to an agent; tasks of one step that go to the same agent
// share one start.
func (d *Dispatch) start(now time.Duration, a *agent, t *item) {
	j := t.job
	s := j.work.Steps()[t.step]
	t.run++
	x := &attempt{
		id:       frame.NewRunID(j.work.ID(), t.step, t.index, t.run),
		task:     t,
		need:     s.Resources(),
		state:    attemptSent,
		sent:     now,
		expected: d.expected(a, s, d.baseOf(t)),
	}
	t.attempt = x
	j.ran = true
	a.runs[x.id] = x
	d.busy[t.name()] = x
	a.number++
	a.unseen = append(a.unseen, unseenStart{
		number: a.number,
		need:   s.Resources(),
	})
	n := s.Resources()
	st := frame.NewStart(a.number, j.work.ID(), t.step, []int{t.index}, []int64{t.run}, j.work.Spec()).
		WithResources(n.MilliCores(), n.MemoryMB(), n.Accelerators()).
		WithTimes(a.clock+d.timing.silence, j.deadline-now, j.rank)
	if k := len(a.starts); k > 0 && a.starts[k-1].CanMerge(st) {
		*a.starts[k-1] = a.starts[k-1].Merge(st)
	} else {
		a.starts = append(a.starts, &st)
	}
	d.note(event.TaskPlaced, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("run", x.id.String()), event.F("agent", a.name),
		event.F("expected_ms", x.expected.Milliseconds()), event.F("heard_ms", (now-a.heard).Milliseconds()), event.F("waited_ms", (now-j.accepted).Milliseconds()))
}
