package dispatch

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/lognormal"
	"greengagedoor.example/greengagedoor/internal/request/placement"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The parameters of placement.
const (
	// refusalBackoff keeps an agent that refused a start from getting the same start
	// again at once.
	refusalBackoff = 50 * time.Millisecond
	// capacityBackoff is the backoff for an agent whose capacity was taken by others.
	capacityBackoff = 5 * time.Millisecond
	// priorityStep is by how much earlier a job must rank to precede one of the next
	// more urgent priority.
	priorityStep = 15 * time.Millisecond
	// zonePenalty covers the latency and the price of another availability zone.
	zonePenalty = 4 * time.Millisecond
	// maxQueuedStarts is the number of starts queued at an agent from which it gets
	// none beyond its free capacity.
	maxQueuedStarts = 4
	// maxBlockedJobs limits the jobs without an agent that one pass examines.
	maxBlockedJobs = 8
	// lateWeight and lossWeight are the costs of a late and of a lost answer: a late
	// one keeps a fifth of its value. loadWeight is the cost of a place on fully
	// loaded hardware; below the load freeLoadLimit it is 0. speedWeight is the cost
	// of a second of run time.
	lateWeight = 0.8
	lossWeight = 0.6
	loadWeight = 0.5
	// avoidWeight is the cost of a target on which a run of the task failed, was lost
	// or was stopped.
	avoidWeight   = 1
	freeLoadLimit = 0.6
	speedWeight   = 0.05
	// minWaitGain is the gain in the probability of ending in time for which a task
	// waits for the fastest target.
	minWaitGain = 0.1
	// maxReportAge is the age of an agent's last frame from which it gets no new work,
	// since a start would expire before it arrives.
	maxReportAge = 300 * time.Millisecond
)

// enqueue adds a job with ready tasks to the queue, unless it is there already.
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

// place sends ready tasks to agents with free capacity, the lowest rank first.
func (d *Dispatch) place(now time.Duration) {
	if len(d.queue) == 0 {
		return
	}
	d.findCandidates(now)
	clear(d.waitingFor)
	d.scratch = append(d.scratch[:0], d.queue...)
	blocked := 0
	for _, j := range d.scratch {
		if !d.placeJob(now, j) {
			blocked++
		}
		if len(j.ready) == 0 {
			d.dequeue(j)
		}
		if blocked >= maxBlockedJobs {
			return
		}
	}
}

// findCandidates lists the agents that can get work in this pass.
func (d *Dispatch) findCandidates(now time.Duration) {
	d.candidates = d.candidates[:0]
	for _, a := range d.connected {
		if a.open(now) {
			d.candidates = append(d.candidates, a)
		}
	}
}

// open reports whether an agent can get work now.
func (a *agent) open(now time.Duration) bool {
	return a.usable() && now >= a.backoffUntil && now-a.lastSeen <= maxReportAge && a.clock != 0 && a.health.admits(now, len(a.runs))
}

// placeJob places the ready tasks of a job. It returns false if a task found no
// agent.
func (d *Dispatch) placeJob(now time.Duration, j *job) bool {
	var rest []*jobTask
	placedAll := true
	for i, t := range j.ready {
		if d.running[t.name] != nil {
			rest = append(rest, t)
			continue
		}
		if d.stillWaits(now, t) {
			rest = append(rest, t)
			continue
		}
		a := d.chooseAgent(now, t)
		if a != nil && d.shouldWait(now, t, a) {
			rest = append(rest, t)
			continue
		}
		if a == nil {
			rest = append(rest, j.ready[i:]...)
			placedAll = false
			break
		}
		d.start(now, a, t)
	}
	j.ready = rest
	return placedAll
}

// chooseAgent returns the agent with the lowest cost for a task, nil if the task
// has to wait.
func (d *Dispatch) chooseAgent(now time.Duration, t *jobTask) *agent {
	s := t.job.work.Steps()[t.step]
	base := d.baseTime(t)
	// Estimates alone are too far off to rule a target out.
	lengthKnown := t.measuredTime > 0 || t.job.observedRatio.count > 0
	fastest := d.fastestTimeFor(t, s, base)
	var best *agent
	var bestCost float64
	for _, a := range d.candidates {
		if !a.fits(t, s) || lengthKnown && now+d.expectedTime(a, s, base) > t.job.deadline {
			continue
		}
		cost, ok := d.cost(now, a, t, s, base, fastest)
		if !ok {
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && a.left.Quotient(s.Resources()) > best.left.Quotient(s.Resources()) {
			best = a
			bestCost = cost
		}
	}
	if best == nil && t.measuredTime > 0 {
		return d.chooseQueue(now, t, s, base)
	}
	return best
}

// fastestTimeFor returns the run time on the fastest target that a task may wait for. That of
// the job takes neither its rack nor its label into account.
func (d *Dispatch) fastestTimeFor(t *jobTask, s task.Step, base time.Duration) time.Duration {
	if s.Rack() == "" && s.Label() == "" {
		return t.job.fastestTime
	}
	return max(t.job.fastestTime, time.Duration(float64(base)*d.fastestFactorFor(t.job, s)))
}

// baseTime returns the best estimate of the run time on a target of factor 1.
func (d *Dispatch) baseTime(t *jobTask) time.Duration {
	if t.measuredTime > 0 {
		return t.measuredTime
	}
	s := t.job.work.Steps()[t.step]
	return t.job.adjustEstimate(t.job.model.base(s.Estimate()))
}

// chooseQueue returns the agent with the most capacity left, or the smallest
// shortage, on which a moved task can still end in time. The task waits at the
// agent, which starts first what it accepted first.
func (d *Dispatch) chooseQueue(now time.Duration, t *jobTask, s task.Step, base time.Duration) *agent {
	var best *agent
	for _, a := range d.candidates {
		if !a.eligible(t, s) || a.queuedStarts >= maxQueuedStarts || now+d.expectedTime(a, s, base) > t.job.deadline {
			continue
		}
		if best == nil || a.left.MilliCores() > best.left.MilliCores() {
			best = a
		}
	}
	return best
}

func (a *agent) fits(t *jobTask, s task.Step) bool {
	return a.left.Covers(s.Resources()) && a.eligible(t, s)
}

// suits reports whether an agent's target is of the service and the kind that a step needs.
func (a *agent) suits(j *job, s task.Step) bool {
	return a.target.Service() == j.route.Service() && a.hasLabel(s.Label())
}

// eligible reports whether an open agent may get a task, apart from its free
// capacity.
func (a *agent) eligible(t *jobTask, s task.Step) bool {
	switch {
	case !a.suits(t.job, s):
		return false
	case a.health.probationLeft > 0 && len(a.runs) >= maxProbes:
		return false
	case s.MaxPerTarget() > 0 && a.countRuns(t.job, t.step) >= s.MaxPerTarget():
		return false
	}
	return true
}

// expectedTime returns the expected run time on an agent, including cold start,
// transfers from another rack, and the penalty of another availability zone.
func (d *Dispatch) expectedTime(a *agent, s task.Step, base time.Duration) time.Duration {
	x := time.Duration(float64(base)*a.speed.value()*d.remoteFactorOn(a, s)) + a.warmUp
	if a.zone != d.hello.Zone() {
		x += zonePenalty
	}
	return x
}

// cost weighs the probability that a task ends late on an agent against the
// capacity that it takes there from others. Under load, fast targets are kept for
// work that would be late elsewhere; without load, each task goes where it ends
// first. It returns false if a useful answer is too unlikely there, or if the task
// should wait for a faster target, on which it takes the time fastest.
func (d *Dispatch) cost(now time.Duration, a *agent, t *jobTask, s task.Step, base, fastest time.Duration) (float64, bool) {
	x := d.expectedTime(a, s, base)
	j := t.job
	spread := j.model.spread()
	useful := lognormal.Within(j.usefulUntil-now, x, spread)
	if useful < d.minProbability() && t.run == 0 && !j.started {
		return 0, false
	}
	inTime := lognormal.Within(j.due-now, x, spread)
	d.measureLoad()
	u := scarcity(a.load.share())
	wait := placement.Charge(x, fastest, u)
	if x > fastest+wait && inTime+minWaitGain < lognormal.Within(j.due-now-wait, fastest, spread) {
		return 0, false
	}
	late := 1 - inTime
	if t.avoidAgents[a.name] {
		late += avoidWeight
	}
	return jobValue(j.relativeSize)*(lateWeight*late+lossWeight*(1-useful)) + loadWeight*u*u + x.Seconds()*speedWeight, true
}

// rankAt returns the rank of a job on an agent's clock. An agent orders the starts of
// several entries, whose clocks begin with the boots of their hosts.
func (j *job) rankAt(a *agent) int64 {
	return j.rank + (a.clock - a.lastSeen).Microseconds()
}

// countRuns returns the number of runs of a job's step on an agent.
func (a *agent) countRuns(j *job, step int) int {
	n := 0
	for _, x := range a.runs {
		if x.task.job == j && x.task.step == step {
			n++
		}
	}
	return n
}

// start sends a task to an agent. Tasks of one step for the same agent share one
// start.
func (d *Dispatch) start(now time.Duration, a *agent, t *jobTask) {
	j := t.job
	s := j.work.Steps()[t.step]
	t.run++
	x := &attempt{
		id:       frame.NewRunID(j.work.ID(), t.step, t.index, t.run),
		task:     t,
		agent:    a,
		need:     s.Resources(),
		state:    attemptSent,
		sent:     now,
		expected: d.expectedTime(a, s, d.baseTime(t)),
	}
	d.countStart(a)
	t.attempt = x
	d.lastPlaced[j.route.Service()] = now
	d.endWait(now, t, a)
	j.started = true
	a.runs[x.id] = x
	d.running[t.name] = x
	a.lastStart++
	a.unreported = append(a.unreported, unreportedStart{
		number: a.lastStart,
		need:   s.Resources(),
	})
	a.left = a.left.Sub(s.Resources())
	n := s.Resources()
	st := frame.NewStart(a.lastStart, j.work.ID(), t.step, []int{t.index}, []int64{t.run}, j.work.Spec()).
		WithResources(n.MilliCores(), n.MemoryMB(), n.Accelerators()).
		WithTimes(a.clock+d.timing.sessionTimeout, j.deadline-now, j.rankAt(a))
	if k := len(a.starts); k > 0 && a.starts[k-1].CanMerge(st) {
		*a.starts[k-1] = a.starts[k-1].Merge(st)
	} else {
		a.starts = append(a.starts, &st)
	}
	d.logEvent(event.TaskPlaced, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("run", x.id.String()), event.F("agent", a.name),
		event.F("target", a.target.Incarnation()), event.F("expected_ms", x.expected.Milliseconds()), event.F("heard_ms", (now-a.lastSeen).Milliseconds()), event.F("waited_ms", (now-j.arrived).Milliseconds()))
}
