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

// The parameters of estimating the resources of a kind.
const (
	// minUsageReports is the number of reports from which the estimate replaces the
	// declared resources.
	minUsageReports = 5
	// usageDecay is the weight of a new sample that is below the estimate.
	usageDecay = 0.1
	// defaultMilliCores is the assumed size of a task until one has been placed.
	defaultMilliCores = 1000
	// maxWorkerTasks limits the tasks on the worker.
	maxWorkerTasks = 1024
)

// allocation has the resources of a task on the worker.
type allocation struct {
	granted configuration.Resources
	// yielded has the resources that preemption took away, for a resume.
	yielded configuration.Resources
	// action is the last action in effect, or 0 if there is none.
	action Action
	// pending is the action whose result is awaited, or 0.
	pending Action
}

// usage estimates the resources that a task of a kind uses, from the reports of the
// worker pool.
type usage struct {
	declared configuration.Resources
	reports  int
	peak     [3]float64
}

// observe raises the estimate at once and lowers it slowly, since a task with too small
// a lease is ended, while too large a lease only wastes capacity.
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

// Controlled is an event: the result of a Control.
type Controlled struct {
	task   identity.Task
	action Action
	done   bool
}

// NewControlled returns the event. done is whether the action took effect.
func NewControlled(task identity.Task, action Action, done bool) Controlled {
	return Controlled{
		task:   task,
		action: action,
		done:   done,
	}
}

// worker is the worker of this process. Its free capacity is counted in tasks of the
// size that was placed last, so that slots, offers and ejection work as for a target.
type worker struct {
	event    Worker
	used     configuration.Resources
	taskSize configuration.Resources
	tasks    []identity.Task
	target   *target
	// services has the services of the configured kinds that run on workers.
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

// setServices registers the worker for the services of all kinds that run on workers.
// This includes kinds that do not fit the worker: the rejection tells their owners
// that they can never run.
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

// updateSlots sets the worker's slots to the number of running tasks plus the
// number that still fits.
func (a *Agent) updateSlots() {
	w := a.worker
	w.target.workerSlots = w.target.used + tasksThatFit(w.event.resources.Sub(w.used), w.taskSize)
	a.targetChanged(w.target)
}

// tasksThatFit returns how many tasks of a size fit into the resources left.
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

// deallocate releases the resources of a task, and those reserved for resuming it.
func (a *Agent) deallocate(task identity.Task, alloc allocation) {
	w := a.worker
	w.used = w.used.Sub(alloc.granted)
	if alloc.pending == Resume {
		w.used = w.used.Sub(alloc.yielded)
	}
	if n := slices.Index(w.tasks, task); n >= 0 {
		w.tasks = slices.Delete(w.tasks, n, n+1)
	}
	a.updateSlots()
}

// resourcesFor returns the resources to allocate for a task of a kind: the declared or
// the estimated ones. An estimate is limited to the resources of the worker, which the
// declared ones fit.
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

// checkWorker reports whether a task fits into the free resources of the worker; if
// not, it returns the cause. A high or critical task that does not fit preempts tasks
// with less harm. Its owner then gets an offer for the freed resources.
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

// preempt starts actions on tasks with less harm and lower urgency until the needed
// resources will fit. Resources that pending actions will free are included.
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
		if ax, ay := x.run.alloc.nextAction(x.run.permitted), y.run.alloc.nextAction(y.run.permitted); ax != ay {
			return int(ax) - int(ay)
		}
		return x.run.harm - y.run.harm
	})
	for _, c := range list {
		if need.Fits(left) {
			return
		}
		act := c.run.alloc.nextAction(c.run.permitted)
		left = left.Add(c.run.alloc.freedBy(act))
		a.control(c.task, c.run, act)
	}
}

// nextAction returns the least disruptive permitted action that has not been applied,
// or 0 if there is none.
func (al allocation) nextAction(permitted configuration.Preemption) Action {
	switch {
	case al.action == Checkpoint:
		return 0
	case permitted&configuration.MayCheckpoint != 0:
		return Checkpoint
	case permitted&configuration.MayThrottle != 0 && al.action != Throttle:
		return Throttle
	case permitted&configuration.MayStop != 0:
		return Stop
	}
	return 0
}

// freedBy returns the resources that an action frees: half of the cores for a throttle,
// everything for the others.
func (al allocation) freedBy(act Action) configuration.Resources {
	if act != Throttle {
		return al.granted
	}
	half := amounts(al.granted)
	return resourcesOf([3]float64{math.Floor(half[0] / 2), 0, 0})
}

func (a *Agent) control(task identity.Task, r *running, act Action) {
	r.alloc.pending = act
	a.counts.controls++
	a.effects = append(a.effects, Control{
		task:   task,
		action: act,
	})
}

// stop stops a task that runs on the worker. Targets have no way to stop a task.
func (a *Agent) stop(task identity.Task) {
	r, ok := a.running[task]
	if ok && r.target.worker && r.alloc.pending != Stop {
		a.control(task, r, Stop)
	}
}

// controlled updates the allocation of a task after an action. After a stop, the
// resources are released when the pool reports the end of the task.
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

// resumeTasks resumes preempted tasks that fit again, unless urgent work is queued.
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
