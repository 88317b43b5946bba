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
	// usageAfter is the number of reports after which they replace the declaration.
	usageAfter = 5
	// usageDecay lets the estimate come down slowly after a peak.
	usageDecay = 0.1
	// defaultSize is taken for the next task until one has been placed.
	defaultSize = 1000
	// maxPlaced bounds the tasks on the worker.
	maxPlaced = 1024
)

// placed is a task's place on the worker.
type placed struct {
	taken   configuration.Resources
	held    configuration.Resources
	means   Action
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
	task  identity.Task
	means Action
	done  bool
}

// NewControlled returns the event.
func NewControlled(task identity.Task, means Action, done bool) Controlled {
	return Controlled{
		task:  task,
		means: means,
		done:  done,
	}
}

// worker is the worker beside this process. Its room is counted in tasks of the
// size placed lately, so that slots, offers and ejection work as for a target.
type worker struct {
	event  Worker
	used   configuration.Resources
	size   configuration.Resources
	tasks  []identity.Task
	target *target
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
	size, err := configuration.NewResources(defaultSize, 0, 0)
	if err != nil {
		return
	}
	a.worker = &worker{
		event:  e,
		size:   size,
		target: t,
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
	a.release(func(o *offer) bool { return o.target == w.target })
	a.unserve(w.target)
	w.services = nil
	for _, k := range a.cfg.Kinds() {
		if k.BackEnd() == configuration.Worker {
			w.services = append(w.services, k.Service())
		}
	}
	slices.Sort(w.services)
	w.services = slices.Compact(w.services)
	a.serve(w.target)
	a.fit()
}

// fit sets the worker's slots to the tasks that run and those that would fit.
func (a *Agent) fit() {
	w := a.worker
	w.target.capacity = w.target.used + room(w.event.resources.Sub(w.used), w.size)
	a.touch(w.target)
}

// room is how many tasks of a size fit into what is left.
func room(left, size configuration.Resources) int {
	n := float64(maxPlaced)
	most := amounts(left)
	for i, v := range amounts(size) {
		if v > 0 {
			n = min(n, math.Floor(most[i]/v))
		}
	}
	return int(max(n, 0))
}

func (a *Agent) occupy(task identity.Task, r configuration.Resources) {
	a.worker.used = a.worker.used.Add(r)
	a.worker.size = r
	a.worker.tasks = append(a.worker.tasks, task)
	a.fit()
}

// vacate gives back what a task has taken, and what was set aside to resume it.
func (a *Agent) vacate(task identity.Task, p placed) {
	w := a.worker
	w.used = w.used.Sub(p.taken)
	if p.pending == Resume {
		w.used = w.used.Sub(p.held)
	}
	if n := slices.Index(w.tasks, task); n >= 0 {
		w.tasks = slices.Delete(w.tasks, n, n+1)
	}
	a.fit()
}

// needs is what a task of a kind takes, by its declaration or by what was learned.
// The estimate never exceeds the worker: the kind fits it by declaration.
func (a *Agent) needs(k *kindStats) configuration.Resources {
	if k.usage.reports < usageAfter {
		return k.usage.declared
	}
	v := k.usage.peak
	for n, most := range amounts(a.worker.event.resources) {
		v[n] = min(v[n], most)
	}
	return resourcesOf(v)
}

func (a *Agent) learnUse(e UsageReport) {
	k, ok := a.kinds[kindKey{
		team: e.team,
		name: e.kind,
	}]
	if ok {
		k.usage.observe(e.resources)
	}
}

// fits tells whether a task has room on the worker now. Urgent work that has none
// makes less harmful work give way; its owner gets the room by an offer.
func (a *Agent) fits(kind configuration.Kind, k *kindStats) (message.Cause, bool) {
	switch {
	case a.worker == nil:
		return message.NoBackEnd, false
	case !kind.Resources().Fits(a.worker.event.resources):
		return message.NeverFits, false
	}
	need := a.needs(k)
	left := a.worker.event.resources.Sub(a.worker.used)
	if need.Fits(left) {
		return 0, true
	}
	if kind.Urgency() <= configuration.High {
		a.yield(kind, need, left)
	}
	return message.Busy, false
}

// yield asks tasks of less harm and urgency to give way until the need would fit.
// Room that is already being made counts.
func (a *Agent) yield(kind configuration.Kind, need, left configuration.Resources) {
	type candidate struct {
		task identity.Task
		run  *running
	}
	var list []candidate
	for _, task := range a.worker.tasks {
		r := a.running[task]
		switch {
		case r.place.pending == Resume:
		case r.place.pending != 0:
			left = left.Add(r.place.yields(r.place.pending))
		case r.urgency > kind.Urgency() && r.harm < kind.Harm() && r.place.next(r.permitted) != 0:
			list = append(list, candidate{
				task: task,
				run:  r,
			})
		}
	}
	slices.SortStableFunc(list, func(x, y candidate) int {
		if mx, my := x.run.place.next(x.run.permitted), y.run.place.next(y.run.permitted); mx != my {
			return int(mx) - int(my)
		}
		return x.run.harm - y.run.harm
	})
	for _, c := range list {
		if need.Fits(left) {
			return
		}
		m := c.run.place.next(c.run.permitted)
		left = left.Add(c.run.place.yields(m))
		a.control(c.task, c.run, m)
	}
}

// next is the mildest permitted means that was not used yet.
func (p placed) next(permitted configuration.Preemption) Action {
	switch {
	case p.means == Checkpoint:
		return 0
	case permitted&configuration.MayCheckpoint != 0:
		return Checkpoint
	case permitted&configuration.MayThrottle != 0 && p.means != Throttle:
		return Throttle
	case permitted&configuration.MayStop != 0:
		return Stop
	}
	return 0
}

// yields is the room that a means makes: half of the cores, or all.
func (p placed) yields(m Action) configuration.Resources {
	if m != Throttle {
		return p.taken
	}
	half := amounts(p.taken)
	return resourcesOf([3]float64{math.Floor(half[0] / 2), 0, 0})
}

func (a *Agent) control(task identity.Task, r *running, m Action) {
	r.place.pending = m
	a.counts.controls++
	a.effects = append(a.effects, Control{
		task:  task,
		means: m,
	})
}

// stop ends a task that runs on the worker. A target cannot be told to stop.
func (a *Agent) stop(task identity.Task) {
	r, ok := a.running[task]
	if ok && r.target.worker && r.place.pending != Stop {
		a.control(task, r, Stop)
	}
}

// controlled books the room that a means has made. After a stop the pool reports
// the end of the task, which gives back the rest.
func (a *Agent) controlled(e Controlled) {
	r, ok := a.running[e.task]
	if !ok || r.place.pending != e.means {
		return
	}
	r.place.pending = 0
	switch {
	case e.means == Resume && !e.done:
		a.worker.used = a.worker.used.Sub(r.place.held)
	case e.means == Resume:
		r.place.taken = r.place.taken.Add(r.place.held)
		r.place.held = configuration.Resources{}
		r.place.means = 0
	case e.done && e.means != Stop:
		room := r.place.yields(e.means)
		r.place.held = r.place.held.Add(room)
		r.place.taken = r.place.taken.Sub(room)
		r.place.means = e.means
		a.worker.used = a.worker.used.Sub(room)
	}
	a.fit()
}

// resume gives room back to tasks that gave way, when no urgent work waits for it.
func (a *Agent) resume(now time.Time) {
	if a.worker == nil {
		return
	}
	if a.worker.target.readmit(now) {
		a.fit()
	}
	if a.urgentWaits() {
		return
	}
	for _, task := range a.worker.tasks {
		r := a.running[task]
		if r.place.pending != 0 || r.place.means == 0 {
			continue
		}
		if !r.place.held.Fits(a.worker.event.resources.Sub(a.worker.used)) {
			continue
		}
		a.worker.used = a.worker.used.Add(r.place.held)
		a.control(task, r, Resume)
		a.fit()
	}
}

func (a *Agent) urgentWaits() bool {
	for _, i := range a.queue {
		for _, d := range i.demands {
			if d.service.worker && d.urgency <= configuration.High && d.count > 0 {
				return true
			}
		}
	}
	return false
}
