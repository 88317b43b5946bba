package dispatch

import (
	"cmp"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

type attemptState int

const (
	attemptSent attemptState = iota + 1
	attemptStopping
	// attemptLost is a run behind a connection that ended.
	attemptLost
)

// attempt is one run of a task on an agent.
type attempt struct {
	id       frame.RunID
	task     *jobTask
	agent    *agent
	need     task.Resources
	state    attemptState
	sent     time.Duration
	began    time.Duration
	expected time.Duration
	// projectedTime is the run time extrapolated from the progress; 0 if unknown.
	projectedTime time.Duration
	// endedBy is when a lost run has certainly ended.
	endedBy           time.Duration
	targetIncarnation string
}

// startedAt returns when the run began, or when its start was sent if that is not known.
func (x *attempt) startedAt() time.Duration {
	return cmp.Or(x.began, x.sent)
}

// attemptsWhere returns the attempts for which ok holds, sorted by run id.
func (a *agent) attemptsWhere(ok func(*attempt) bool) []*attempt {
	var list []*attempt
	for _, x := range a.runs {
		if ok(x) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(x, y *attempt) int {
		return cmp.Or(
			cmp.Compare(x.id.Job(), y.id.Job()),
			cmp.Compare(x.id.Step(), y.id.Step()),
			cmp.Compare(x.id.Index(), y.id.Index()),
			cmp.Compare(x.id.Run(), y.id.Run()),
		)
	})
	return list
}

// lostAttempts returns the lost attempts for which ok holds, sorted by run id.
func (a *agent) lostAttempts(ok func(*attempt) bool) []*attempt {
	return a.attemptsWhere(func(x *attempt) bool { return x.state == attemptLost && ok(x) })
}

// stopRuns stops the runs of a job and returns their number.
func (d *Dispatch) stopRuns(j *job) int {
	stopped := 0
	for _, t := range j.tasks {
		if x := t.attempt; x != nil && x.state == attemptSent {
			x.state = attemptStopping
			x.agent.stops = append(x.agent.stops, x.id)
			stopped++
		}
	}
	return stopped
}

// endAttempt handles the end of a run. The task is done, or is placed again as often
// as its route allows.
func (d *Dispatch) endAttempt(now time.Duration, a *agent, x *attempt, end task.End, ran time.Duration) {
	delete(a.runs, x.id)
	t := x.task
	if d.running[t.name] == x {
		delete(d.running, t.name)
	}
	t.attempt = nil
	j := t.job
	d.observeRoom(now, a, -x.need.MilliCores())
	d.observe(now, a, x, end, ran)
	if j.ended {
		return
	}
	switch end {
	case task.EndDone:
		d.taskDone(now, t)
		return
	case task.EndFailed:
		t.failures++
		if t.failures >= j.route.Attempts() {
			d.finish(now, j, StateFailed, "attempts_used")
			return
		}
		t.avoid(a)
	case task.EndLost, task.EndStopped, task.EndStalled:
		t.avoid(a)
	case task.EndRefused:
		a.backoffUntil = now + refusalBackoff
	case task.EndNoCapacity:
		a.backoffUntil = now + capacityBackoff
	}
	d.logEvent(event.TaskRetried, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("run", t.name), event.F("number", t.run),
		event.F("agent", a.name), event.F("end", end.String()), event.F("failures", t.failures), event.F("ran_ms", ran.Milliseconds()))
	j.ready = append([]*jobTask{t}, j.ready...)
	d.enqueue(j)
}

func (d *Dispatch) taskDone(now time.Duration, t *jobTask) {
	t.done = true
	j := t.job
	j.steps[t.step].remaining--
	if j.steps[t.step].remaining > 0 {
		return
	}
	j.releaseSteps()
	if len(j.ready) > 0 {
		d.enqueue(j)
	}
	for _, s := range j.steps {
		if s.remaining > 0 {
			return
		}
	}
	d.finish(now, j, StateComplete, "done")
}
