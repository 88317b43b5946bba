package agent

import (
	"math"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The rules for learning what a kind takes of a worker.
const (
	// minUsageReports is the number of reports after which they replace the declaration.
	minUsageReports = 5
	// usageDecay lets the estimate come down slowly after a peak.
	usageDecay = 0.1
	// defaultMilliCores is taken for the next task until one has been placed.
	defaultMilliCores = 1000
	// maxWorkerTasks bounds the tasks on the worker.
	maxWorkerTasks = 1024
)

// allocation is a task's place on the worker.
type allocation struct {
	granted configuration.Resources
	yielded configuration.Resources
	action  Action
	pending Action
}

// usage is what the tasks of a kind were reported to take.
type usage struct {
	declared configuration.Resources
	reports  int
	peak     [3]float64
}

// observe raises the estimate at once and lowers it slowly, since too small a
// lease ends a task and too large a one only wastes room.
func (u *usage) observe(r configuration.Resources) {
	for n, v := range amounts(r) {
		if u.reports == 0 || v > u.peak[n] {
			u.peak[n] = v
		} else {
			u.peak[n] += usageDecay * (v - u.peak[n])
		}
	}
	u.reports++
}

func amounts(r configuration.Resources) [3]float64 {
	return [3]float64{float64(r.MilliCores()), float64(r.MemoryBytes()), float64(r.Accelerators())}
}

func resourcesOf(v [3]float64) configuration.Resources {
	r, err := configuration.NewResources(int64(math.Ceil(v[0])), int64(math.Ceil(v[1])), int64(math.Ceil(v[2])))
	if err != nil {
		return configuration.Resources{}
	}
	return r
}

// Controlled is an event: whether a Control took effect.
type Controlled struct {
	task   identity.Task
	action Action
	done   bool
}

// NewControlled returns the event.
func NewControlled(task identity.Task, action Action, done bool) Controlled {
	return Controlled{
		task:   task,
		action: action,
		done:   done,
	}
}

// worker is the worker beside this process. Its room is counted in tasks of the
// size placed lately, so that slots, offers and ejection work as for a target.
type worker struct {
	event    Worker
	used     configuration.Resources
	taskSize configuration.Resources
	tasks    []identity.Task
	target   *target
	// services are those of the configuration's kinds that run on workers.
	services []string
}

func (a *Agent) setWorker(e Worker) {
	n, err := announcement.New(e.name, "http://worker", []string{"worker"}, 1, 1, false)
	if err != nil {
		return
	}
	if a.worker != nil {
		a.worker.event = e
		a.setServices()
		return
	}
	t := a.newTarget(n)
	t.worker = true
	taskSize, err := configuration.NewResources(defaultMilliCores, 0, 0)
	if err != nil {
		return
	}
	a.worker = &worker{
		event:    e,
		taskSize: taskSize,
		target:   t,
	}
	a.setServices()
}

// setServices publishes the worker's room under the services of all kinds that
// run on workers. One that fits no worker is published too: its owner learns from
// the refusal that it can never run.
func (a *Agent) setServices() {
	w := a.worker
	if w == nil || a.cfg == nil {
		return
	}
	a.cancelOffers(func(o *offer) bool { return o.target == w.target })
	a.unregister(w.target)
	w.services = nil
	for _, k := range a.cfg.Kinds() {
		if k.BackEnd() == configuration.Worker {
			w.services = append(w.services, k.Service())
		}
	}
	slices.Sort(w.services)
	w.services = slices.Compact(w.services)
	a.register(w.target)
	a.updateSlots()
}

// updateSlots sets the worker's slots to the tasks that run and those that would updateSlots.
func (a *Agent) updateSlots() {
	w := a.worker
	w.target.workerSlots = w.target.used + tasksThatFit(w.event.resources.Sub(w.used), w.taskSize)
	a.targetChanged(w.target)
}

// tasksThatFit is how many tasks of a size fit into what is left.
func tasksThatFit(left, size configuration.Resources) int {
	n := float64(maxWorkerTasks)
	most := amounts(left)
	for i, v := range amounts(size) {
		if v > 0 {
			n = min(n, math.Floor(most[i]/v))
		}
	}
	return int(max(n, 0))
}

func (a *Agent) allocate(task identity.Task, r configuration.Resources) {
	a.worker.used = a.worker.used.Add(r)
	a.worker.taskSize = r
	a.worker.tasks = append(a.worker.tasks, task)
	a.updateSlots()
}

// deallocate gives back what a task has taken, and what was set aside to resume it.
func (a *Agent) deallocate(task identity.Task, p allocation) {
	w := a.worker
	w.used = w.used.Sub(p.granted)
	if p.pending == Resume {
		w.used = w.used.Sub(p.yielded)
	}
	if n := slices.Index(w.tasks, task); n >= 0 {
		w.tasks = slices.Delete(w.tasks, n, n+1)
	}
	a.updateSlots()
}

// resourcesFor is what a task of a kind takes, by its declaration or by what was learned.
// The estimate never exceeds the worker: the kind fits it by declaration.
func (a *Agent) resourcesFor(k *kindStats) configuration.Resources {
	if k.usage.reports < minUsageReports {
		return k.usage.declared
	}
	v := k.usage.peak
	for n, most := range amounts(a.worker.event.resources) {
		v[n] = min(v[n], most)
	}
	return resourcesOf(v)
}

func (a *Agent) observeUsage(e UsageReport) {
	k, ok := a.kinds[kindKey{
		team: e.team,
		name: e.kind,
	}]
	if ok {
		k.usage.observe(e.resources)
	}
}

// checkWorker tells whether a task has room on the worker now. Urgent work that has none
// makes less harmful work give way; its owner gets the room by an offer.
func (a *Agent) checkWorker(kind configuration.Kind, k *kindStats) (message.Cause, bool) {
	switch {
	case a.worker == nil:
		return message.NoBackEnd, false
	case !kind.Resources().Fits(a.worker.event.resources):
		return message.NeverFits, false
	}
	need := a.resourcesFor(k)
	left := a.worker.event.resources.Sub(a.worker.used)
	if need.Fits(left) {
		return 0, true
	}
	if kind.Urgency() <= configuration.High {
		a.preempt(kind, need, left)
	}
	return message.Busy, false
}

// preempt asks tasks of less harm and urgency to give way until the need would fit.
// Room that is already being made counts.
func (a *Agent) preempt(kind configuration.Kind, need, left configuration.Resources) {
	type candidate struct {
		task identity.Task
		run  *running
	}
	var list []candidate
	for _, task := range a.worker.tasks {
		r := a.running[task]
		switch {
		case r.alloc.pending == Resume:
		case r.alloc.pending != 0:
			left = left.Add(r.alloc.freedBy(r.alloc.pending))
		case r.urgency > kind.Urgency() && r.harm < kind.Harm() && r.alloc.nextAction(r.permitted) != 0:
			list = append(list, candidate{
				task: task,
				run:  r,
			})
		}
	}
	slices.SortStableFunc(list, func(x, y candidate) int {
		if mx, my := x.run.alloc.nextAction(x.run.permitted), y.run.alloc.nextAction(y.run.permitted); mx != my {
			return int(mx) - int(my)
		}
		return x.run.harm - y.run.harm
	})
	for _, c := range list {
		if need.Fits(left) {
			return
		}
		m := c.run.alloc.nextAction(c.run.permitted)
		left = left.Add(c.run.alloc.freedBy(m))
		a.control(c.task, c.run, m)
	}
}

// nextAction is the mildest permitted means that was not used yet.
func (p allocation) nextAction(permitted configuration.Preemption) Action {
	switch {
	case p.action == Checkpoint:
		return 0
	case permitted&configuration.MayCheckpoint != 0:
		return Checkpoint
	case permitted&configuration.MayThrottle != 0 && p.action != Throttle:
		return Throttle
	case permitted&configuration.MayStop != 0:
		return Stop
	}
	return 0
}

// freedBy is the room that a means makes: half of the cores, or all.
func (p allocation) freedBy(m Action) configuration.Resources {
	if m != Throttle {
		return p.granted
	}
	half := amounts(p.granted)
	return resourcesOf([3]float64{math.Floor(half[0] / 2), 0, 0})
}

func (a *Agent) control(task identity.Task, r *running, m Action) {
	r.alloc.pending = m
	a.counts.controls++
	a.effects = append(a.effects, Control{
		task:   task,
		action: m,
	})
}

// stop ends a task that runs on the worker. A target cannot be told to stop.
func (a *Agent) stop(task identity.Task) {
	r, ok := a.running[task]
	if ok && r.target.worker && r.alloc.pending != Stop {
		a.control(task, r, Stop)
	}
}

// controlled books the room that a means has made. After a stop the pool reports
// the end of the task, which gives back the rest.
func (a *Agent) controlled(e Controlled) {
	r, ok := a.running[e.task]
	if !ok || r.alloc.pending != e.action {
		return
	}
	r.alloc.pending = 0
	switch {
	case e.action == Resume && !e.done:
		a.worker.used = a.worker.used.Sub(r.alloc.yielded)
	case e.action == Resume:
		r.alloc.granted = r.alloc.granted.Add(r.alloc.yielded)
		r.alloc.yielded = configuration.Resources{}
		r.alloc.action = 0
	case e.done && e.action != Stop:
		freed := r.alloc.freedBy(e.action)
		r.alloc.yielded = r.alloc.yielded.Add(freed)
		r.alloc.granted = r.alloc.granted.Sub(freed)
		r.alloc.action = e.action
		a.worker.used = a.worker.used.Sub(freed)
	}
	a.updateSlots()
}

// resumeTasks gives room back to tasks that gave way, when no urgent work waits for it.
func (a *Agent) resumeTasks(now time.Time) {
	if a.worker == nil {
		return
	}
	if a.worker.target.readmit(now) {
		a.updateSlots()
	}
	if a.urgentQueued() {
		return
	}
	for _, task := range a.worker.tasks {
		r := a.running[task]
		if r.alloc.pending != 0 || r.alloc.action == 0 {
			continue
		}
		if !r.alloc.yielded.Fits(a.worker.event.resources.Sub(a.worker.used)) {
			continue
		}
		a.worker.used = a.worker.used.Add(r.alloc.yielded)
		a.control(task, r, Resume)
		a.updateSlots()
	}
}

func (a *Agent) urgentQueued() bool {
	for _, i := range a.queue {
		for _, d := range i.demands {
			if d.service.worker && d.urgency <= configuration.High && d.count > 0 {
				return true
			}
		}
	}
	return false
}
