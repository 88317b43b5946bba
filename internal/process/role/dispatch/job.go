package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// reasonCallersLeft is the reason of a job that no caller waits for any more.
const reasonCallersLeft = "callers_left"

// job is a job from its request to its answer.
type job struct {
	work    task.Job
	trace   string
	route   route.Route
	model   *routeModel
	callers []uint64
	// arrived is when the request arrived, which may be some time before the decision
	// on it.
	arrived  time.Duration
	deadline time.Duration
	// due is when the commitment expires. An answer after usefulUntil has no value for
	// the caller.
	due         time.Duration
	usefulUntil time.Duration
	// cut is set if the entry ends before the deadline of the caller. uncutUntil is then
	// usefulUntil without that end.
	cut        bool
	uncutUntil time.Duration
	// fastestTime is the expected time on the fastest target. latestStart is the latest
	// start there that meets the commitment.
	fastestTime time.Duration
	latestStart time.Duration
	rank        int64
	demoted     bool
	// expectedEnd is when the last task was expected to end when the job was accepted.
	expectedEnd time.Duration
	// coreSeconds is the expected work on a target of factor 1, and cores what all tasks
	// together need. width is the number of tasks.
	coreSeconds float64
	cores       float64
	width       int
	// relativeSize is the work of the job relative to the mean of its route.
	relativeSize  float64
	fairnessGroup group
	// observedRatio is the logarithm of the measured over the expected run time of the
	// job's tasks.
	observedRatio movingAverage
	// residuals are those of the job's successful runs.
	residuals []runResidual
	steps     []*step
	// tasks are the tasks of all released steps, and ready those that can be placed.
	tasks []*jobTask
	ready []*jobTask
	// started is set once a task may have started.
	started bool
	ended   bool
}

// step is the progress of one step.
type step struct {
	number       int
	remaining    int
	released     bool
	criticalPath time.Duration
}

// jobTask is one task of a job.
type jobTask struct {
	job      *job
	step     int
	index    int
	name     string
	run      int64
	failures int
	// avoidAgents has the agents on which a run of the task failed, was lost or was
	// stopped; nil before the first.
	avoidAgents map[string]bool
	// measuredTime is a lower bound of the run time on a target of factor 1, from the
	// progress of a run that was stopped because only a faster target can end the task
	// in time. It is 0 before such a run.
	measuredTime time.Duration
	wait         wait
	attempt      *attempt
	done         bool
}

func (t *jobTask) avoid(a *agent) {
	if t.avoidAgents == nil {
		t.avoidAgents = map[string]bool{}
	}
	t.avoidAgents[a.name] = true
}

func (d *Dispatch) answer(request uint64, s State, reason string, retryAfter time.Duration) {
	d.out.answers = append(d.out.answers, Answer{
		request:    request,
		state:      s,
		reason:     reason,
		retryAfter: retryAfter,
	})
}

// releaseSteps makes the tasks of all steps ready whose prerequisites are done.
func (j *job) releaseSteps() {
	for i, st := range j.steps {
		if st.released || !j.prerequisitesDone(i) {
			continue
		}
		st.released = true
		for n := range j.work.Steps()[i].Count() {
			t := &jobTask{
				job:   j,
				step:  i,
				index: n,
				name:  task.NewRun(j.work.ID(), i, n, 0).TaskName(),
			}
			j.tasks = append(j.tasks, t)
			j.ready = append(j.ready, t)
		}
	}
}

func (j *job) prerequisitesDone(i int) bool {
	for _, p := range j.work.Steps()[i].Prerequisites() {
		if j.steps[p].remaining > 0 {
			return false
		}
	}
	return true
}

// finish answers all callers of a job and stops its runs.
func (d *Dispatch) finish(now time.Duration, j *job, s State, reason string) {
	if j.ended {
		return
	}
	j.ended = true
	for _, r := range j.callers {
		retry := time.Duration(0)
		if s == StateRefused {
			retry = d.retryAfter()
		}
		d.answer(r, s, reason, retry)
		delete(d.requests, r)
	}
	delete(d.jobs, j.work.ID())
	d.dequeue(j)
	d.endWaits(now, j)
	if reason != reasonCallersLeft {
		d.fairness.observe(j.fairnessGroup, s == StateComplete && now <= j.due)
	}
	observeSpeeds(j.residuals, j.model.spread(), s == StateComplete)
	stopped := d.stopRuns(j)
	if s == StateComplete || s == StateFailed || s == StateCancelled {
		d.keepOutcome(now, j.work.ID(), s)
	}
	name := event.JobEnded
	if s == StateRefused {
		name = event.JobRefused
	}
	fields := []event.Field{
		event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("route", j.route.Name()), event.F("state", s.String()),
		event.F("reason", reason), event.F("took_ms", (now - j.arrived).Milliseconds()), event.F("late_ms", (now - j.due).Milliseconds()),
		event.F("runs_stopped", stopped), event.F("size_class", j.fairnessGroup.sizeClass), event.F("tasks_done", j.tasksDone()),
	}
	if s == StateComplete {
		fields = append(fields, event.F("admission_error_ms", (now-j.expectedEnd).Milliseconds()))
	}
	d.logEvent(name, fields...)
}

func (j *job) tasksDone() int {
	n := 0
	for _, t := range j.tasks {
		if t.done {
			n++
		}
	}
	return n
}

func (d *Dispatch) callerLeft(now time.Duration, request uint64) {
	j, ok := d.requests[request]
	if !ok {
		d.releaseHeld(request)
		return
	}
	delete(d.requests, request)
	for i, r := range j.callers {
		if r == request {
			j.callers = append(j.callers[:i], j.callers[i+1:]...)
			break
		}
	}
	if len(j.callers) > 0 {
		return
	}
	d.logEvent(event.JobLeft, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("held_ms", (now-j.arrived).Milliseconds()))
	d.finish(now, j, StateExpired, reasonCallersLeft)
}

// keepOutcome keeps the outcome of a finished job for answerRetention.
func (d *Dispatch) keepOutcome(now time.Duration, id string, s State) {
	d.finished[id] = finishedJob{
		state:      s,
		finishedAt: now,
	}
	d.finishedOrder = append(d.finishedOrder, id)
}

// expireJobs ends the jobs past their deadline and removes old outcomes.
func (d *Dispatch) expireJobs(now time.Duration) {
	for _, id := range d.overdueJobs(now) {
		j := d.jobs[id]
		if j.started {
			d.finish(now, j, StateExpired, j.expiryReason())
		} else {
			d.finish(now, j, StateRefused, j.expiryReason())
		}
	}
	for len(d.finishedOrder) > 0 {
		id := d.finishedOrder[0]
		if p, ok := d.finished[id]; ok && now-p.finishedAt < answerRetention {
			return
		}
		delete(d.finished, id)
		d.finishedOrder = d.finishedOrder[1:]
	}
}
