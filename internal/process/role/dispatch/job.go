package dispatch

import (
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// The times of a request.
const (
	// defaultLimit is how long a job may take whose caller and route say nothing.
	defaultLimit = 30 * time.Second
	// retryPause is the time to come back that a refused caller is told where
	// nothing better is known, such as without configuration.
	retryPause = time.Second
	// maxJobs bounds the jobs that an entry holds; each has a few KB.
	maxJobs = 4096
)

// callersLeft is the reason of a job whose callers all left.
const callersLeft = "callers_left"

// job is a job from its request to its answer.
type job struct {
	work     task.Job
	trace    string
	route    route.Route
	callers  []uint64
	accepted time.Duration
	deadline time.Duration
	// due is when the commitment ends, and useful when an answer is of no use any
	// more.
	due    time.Duration
	useful time.Duration
	// fast is the expected time on the fastest target, and latest the latest start
	// there that meets the commitment.
	fast    time.Duration
	latest  time.Duration
	rank    int64
	demoted bool
	// size is the work of the job against the mean of its kind.
	size  float64
	group group
	// shown is by how much ended tasks of the job took longer than expected, in
	// logarithms.
	shown average
	steps []*step
	ready []*item
	// ran tells that a task may have started.
	ran   bool
	ended bool
}

// step is the progress of one step.
type step struct {
	number   int
	left     int
	released bool
	chain    time.Duration
}

// item is one task of a job.
type item struct {
	job      *job
	step     int
	index    int
	run      int64
	failures int
	avoid    map[string]bool
	// base is how long the task takes on a target of factor 1, as a run has shown that
	// was stopped since only a faster target ends the task in time; 0 for none.
	base    time.Duration
	attempt *attempt
	done    bool
}

func (t *item) name() string {
	return task.NewRun(t.job.work.ID(), t.step, t.index, 0).TaskName()
}

func (d *Dispatch) answer(request uint64, s State, reason string, retryAfter time.Duration) {
	d.out.answers = append(d.out.answers, Answer{
		request:    request,
		state:      s,
		reason:     reason,
		retryAfter: retryAfter,
	})
}

// locate returns the route of a path and the id of the job in it.
func (d *Dispatch) locate(host, path string) (route.Route, string, bool) {
	r, ok := d.version.Match(host, path)
	if !ok {
		return route.Route{}, "", false
	}
	return r, strings.TrimPrefix(path, r.Prefix()), true
}

func (d *Dispatch) refuse(s Submission, id string, st State, reason string, retryAfter time.Duration) {
	d.note(event.JobRefused, event.F("job", id), event.F("trace", s.trace), event.F("reason", reason),
		event.F("retry_after_ms", retryAfter.Milliseconds()), event.F("jobs_held", len(d.jobs)))
	d.answer(s.request, st, reason, retryAfter)
}

// submit takes a job, or refuses it at once.
func (d *Dispatch) submit(now time.Duration, s Submission) {
	if d.version == nil {
		d.refuse(s, s.path, StateRefused, "no_configuration", retryPause)
		return
	}
	r, id, ok := d.locate(s.host, s.path)
	if !ok {
		d.refuse(s, s.path, StateUnknown, "no_route", 0)
		return
	}
	if j, ok := d.jobs[id]; ok {
		j.callers = append(j.callers, s.request)
		d.requests[s.request] = j
		return
	}
	if p, ok := d.ended[id]; ok && now-p.at < pastLife {
		d.answer(s.request, p.state, "answered_before", 0)
		return
	}
	work, err := task.NewJob(id, s.spec, s.steps)
	if err != nil {
		d.refuse(s, id, StateInvalid, err.Error(), 0)
		return
	}
	if reason := d.refusal(r, work); reason != "" {
		d.refuse(s, id, StateRefused, reason, retryPause)
		return
	}
	d.accept(now, s, r, work)
}

// refusal names the cause for which a job can't be taken, empty for none.
func (d *Dispatch) refusal(r route.Route, work task.Job) string {
	if len(d.jobs) >= maxJobs {
		return "too_many_jobs"
	}
	usable := false
	for _, a := range d.agents {
		usable = usable || a.usable() && a.target.Service() == r.Service()
	}
	if !usable {
		return "no_target"
	}
	return ""
}

func (d *Dispatch) accept(now time.Duration, s Submission, r route.Route, work task.Job) {
	limit := s.limit
	if limit <= 0 {
		limit = defaultLimit
	}
	if r.Timeout() > 0 {
		limit = min(limit, r.Timeout())
	}
	j := &job{
		work:     work,
		trace:    s.trace,
		route:    r,
		callers:  []uint64{s.request},
		accepted: now,
		deadline: now + limit,
	}
	for i, x := range work.Steps() {
		j.steps = append(j.steps, &step{
			number: i,
			left:   x.Count(),
		})
	}
	d.judge(j)
	if d.hopeless(now, j) {
		d.refuse(s, work.ID(), StateRefused, "too_long_for_caller", retryPause)
		return
	}
	j.releaseSteps()
	d.jobs[work.ID()] = j
	d.requests[s.request] = j
	d.enqueue(j)
	d.noteAccepted(now, j)
}

// releaseSteps makes the tasks of steps ready whose prerequisites are done.
func (j *job) releaseSteps() {
	for i, st := range j.steps {
		if st.released || !j.reached(i) {
			continue
		}
		st.released = true
		for n := range j.work.Steps()[i].Count() {
			j.ready = append(j.ready, &item{
				job:   j,
				step:  i,
				index: n,
				avoid: map[string]bool{},
			})
		}
	}
}

func (j *job) reached(i int) bool {
	for _, p := range j.work.Steps()[i].Prerequisites() {
		if j.steps[p].left > 0 {
			return false
		}
	}
	return true
}

// finish answers all callers of a job and stops what still runs.
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
	if reason != callersLeft {
		d.fair.observe(j.group, s == StateComplete && now <= j.due)
	}
	stopped := d.stopAll(j)
	if s == StateComplete || s == StateFailed || s == StateCancelled {
		d.ended[j.work.ID()] = past{
			state: s,
			at:    now,
		}
	}
	name := event.JobEnded
	if s == StateRefused {
		name = event.JobRefused
	}
	d.note(name, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("route", j.route.Name()), event.F("state", s.String()),
		event.F("reason", reason), event.F("took_ms", (now-j.accepted).Milliseconds()), event.F("late_ms", (now-j.due).Milliseconds()),
		event.F("runs_stopped", stopped))
}

func (d *Dispatch) callerLeft(now time.Duration, request uint64) {
	j, ok := d.requests[request]
	if !ok {
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
	d.note(event.JobLeft, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("held_ms", (now-j.accepted).Milliseconds()))
	d.finish(now, j, StateExpired, callersLeft)
}

// cancel ends a job on request. A job of another entry is cancelled through it
// and through the agents.
func (d *Dispatch) cancel(now time.Duration, c Cancel) {
	if d.version == nil {
		d.answer(c.request, StateRefused, "no_configuration", retryPause)
		return
	}
	_, id, ok := d.locate(c.host, c.path)
	if !ok {
		d.answer(c.request, StateUnknown, "no_route", 0)
		return
	}
	if d.cancelJob(now, id) {
		d.answer(c.request, StateCancelled, "cancelled", 0)
		return
	}
	for _, p := range d.entries {
		p.cancels = append(p.cancels, id)
	}
	for _, a := range d.sessions {
		a.cancels = append(a.cancels, id)
	}
	d.answer(c.request, StateGone, "no_job", 0)
}

func (d *Dispatch) cancelJob(now time.Duration, id string) bool {
	j, ok := d.jobs[id]
	if !ok {
		return false
	}
	d.note(event.JobCancelled, event.F("job", id), event.F("trace", j.trace))
	d.finish(now, j, StateCancelled, "cancelled")
	return true
}

// expireJobs ends jobs whose time is over and forgets old answers.
func (d *Dispatch) expireJobs(now time.Duration) {
	for _, id := range d.overdueJobs(now) {
		j := d.jobs[id]
		if j.ran {
			d.finish(now, j, StateExpired, "deadline")
		} else {
			d.finish(now, j, StateRefused, "deadline")
		}
	}
	for id, p := range d.ended {
		if now-p.at >= pastLife {
			delete(d.ended, id)
		}
	}
}
