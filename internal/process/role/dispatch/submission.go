package dispatch

import (
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// The limits of requests.
const (
	// defaultTimeLimit applies to jobs whose caller states no limit, on a route without a
	// time-out.
	defaultTimeLimit = 30 * time.Second
	// maxTimeLimit bounds the limit that a caller states, and so how long a job is held
	// and its runs use capacity.
	maxTimeLimit = 2 * time.Minute
	// defaultRetryAfter is the time after which a refused caller may retry.
	defaultRetryAfter = time.Second
	// maxJobs limits the jobs of an entry; each takes a few KB of memory.
	maxJobs = 4096
)

// reasonNoConfiguration is the reason while no configuration is known.
const reasonNoConfiguration = "no_configuration"

// reasonInvalid is the reason of a job that is not allowed.
const reasonInvalid = "invalid"

// findRoute returns the route of a path and the job id in the rest of the path.
func (d *Dispatch) findRoute(host, path string) (route.Route, string, bool) {
	r, ok := d.version.Match(host, path)
	if !ok {
		return route.Route{}, "", false
	}
	return r, strings.TrimPrefix(path, r.Prefix()), true
}

func (d *Dispatch) refuse(s Submission, id string, st State, reason string, retryAfter time.Duration, fields ...event.Field) {
	d.logRefused(s, id, reason, retryAfter, fields...)
	d.answer(s.request, st, reason, retryAfter)
}

// refuseInvalid refuses a job that is not allowed. What is wrong with it may quote the
// client, so it goes to the caller and into the log line only: reasons are keys of counters.
func (d *Dispatch) refuseInvalid(s Submission, id string, err error) {
	d.logRefused(s, id, reasonInvalid, 0, event.F("detail", err.Error()))
	d.answer(s.request, StateInvalid, err.Error(), 0)
}

func (d *Dispatch) logRefused(s Submission, id, reason string, retryAfter time.Duration, fields ...event.Field) {
	d.logEvent(event.JobRefused, append([]event.Field{
		event.F("job", id[:min(len(id), task.MaxIDBytes)]),
		event.F("trace", s.trace),
		event.F("reason", reason),
		event.F("retry_after_ms", retryAfter.Milliseconds()),
		event.F("jobs_held", len(d.jobs)),
	}, fields...)...)
}

// submit accepts or refuses a job.
func (d *Dispatch) submit(now time.Duration, s Submission) {
	if d.version == nil {
		if !d.hold(now, s) {
			d.refuse(s, s.path, StateRefused, reasonNoConfiguration, defaultRetryAfter)
		}
		return
	}
	r, id, ok := d.findRoute(s.host, s.path)
	if !ok {
		st, reason, retryAfter := d.unknownRoute(now)
		d.refuse(s, s.path, st, reason, retryAfter)
		return
	}
	if j, ok := d.jobs[id]; ok {
		j.callers = append(j.callers, s.request)
		d.requests[s.request] = j
		return
	}
	if p, ok := d.finished[id]; ok && now-p.finishedAt < answerRetention {
		d.answer(s.request, p.state, "answered_before", 0)
		return
	}
	if d.cancelled.has(now, id) {
		// A request that arrives once more, maybe at another entry than the one before.
		d.answer(s.request, StateCancelled, "cancelled_before", 0)
		return
	}
	work, err := task.NewJob(id, s.spec, s.steps)
	if err != nil {
		d.refuseInvalid(s, id, err)
		return
	}
	switch {
	case d.refusing:
		d.refuse(s, id, StateRefused, reasonBehind, defaultRetryAfter)
	case len(d.jobs) >= maxJobs:
		d.refuse(s, id, StateRefused, "too_many_jobs", defaultRetryAfter)
	case d.overload.exceeded():
		d.refuse(s, id, StateRefused, ReasonOverloaded, defaultRetryAfter)
	case d.hasTarget(r.Service()):
		d.accept(now, s, r, work)
	case d.allEvacuated(r.Service()):
		d.refuse(s, id, StateRefused, event.ReasonEvacuated, defaultRetryAfter)
	case !d.hold(now, s):
		d.refuse(s, id, StateRefused, "no_target", defaultRetryAfter)
	}
}

// hasTarget reports whether a target of a service can get work.
func (d *Dispatch) hasTarget(service string) bool {
	for _, a := range d.connected {
		if a.usable() && a.target.Service() == service {
			return true
		}
	}
	return false
}

func (d *Dispatch) accept(now time.Duration, s Submission, r route.Route, work task.Job) {
	arrived := now
	if s.arrived > 0 {
		arrived = min(s.arrived, now)
	}
	j := &job{
		work:     work,
		trace:    s.trace,
		route:    r,
		model:    d.estimates.route(r.Name()),
		callers:  []uint64{s.request},
		arrived:  arrived,
		deadline: arrived + timeLimit(s, r),
	}
	for i, x := range work.Steps() {
		j.steps = append(j.steps, &step{
			number:    i,
			remaining: x.Count(),
		})
	}
	d.prioritize(j)
	if d.leaving {
		d.cutTimes(j)
	}
	if d.endsTooSoon(now, j) {
		d.refuse(s, work.ID(), StateRefused, ReasonLeaving, d.retryAfter())
		return
	}
	fields := []event.Field{
		event.F("route", r.Name()),
		event.F("expected_ms", j.fastestTime.Milliseconds()),
		event.F("limit_ms", (j.deadline - now).Milliseconds()),
		event.F("queued_ms", (now - j.arrived).Milliseconds()),
		event.F("took_ms", (now - j.arrived).Milliseconds()),
		event.F("size_class", j.fairnessGroup.sizeClass),
	}
	if d.unlikelyInTime(now, j) {
		d.refuse(s, work.ID(), StateRefused, "too_long_for_caller", defaultRetryAfter, fields...)
		return
	}
	ahead := d.backlogAhead(r.Service(), j.rank)
	admitted := d.admission(now, j, ahead, d.shareOf(now, r.Service(), j.firstNeed()), d.decide)
	if admitted.Reason() != "" {
		d.refuse(s, work.ID(), StateRefused, string(admitted.Reason()), admitted.RetryAfter(), append(fields,
			event.F("expected_end_ms", (admitted.ExpectedEnd()-now).Milliseconds()), event.F("ahead_core_ms", int64(ahead.Work()*1000)))...)
		return
	}
	j.expectedEnd = admitted.ExpectedEnd()
	j.releaseSteps()
	d.jobs[work.ID()] = j
	d.nextDeadline = min(d.nextDeadline, j.deadline)
	d.requests[s.request] = j
	d.enqueue(j)
	d.logAccepted(now, j, ahead)
}

// timeLimit returns the time from its arrival within which a job is answered: what the caller
// waits. The route's time-out stands for a caller that does not say so. It bounds no other
// job, since the work of a job may take longer than the requests of its route usually do.
func timeLimit(s Submission, r route.Route) time.Duration {
	switch {
	case s.timeLimit > 0:
		return min(s.timeLimit, maxTimeLimit)
	case r.Timeout() > 0:
		return r.Timeout()
	}
	return defaultTimeLimit
}
