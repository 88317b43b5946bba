package dispatch

import (
	"math"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

// The parameters of progress reports.
const (
	// minProgressPercent is the progress from which a run is used to estimate the other
	// tasks of its job.
	minProgressPercent = 10
	// minMovePercent is the progress from which a run is moved because it is probably late.
	minMovePercent = 5
	// moveSlack is the relative error of a projected run time.
	moveSlack = 0.05
	// moveDelay is the time to stop a run and to start its task elsewhere.
	moveDelay = 60 * time.Millisecond
	// progressLag is by how much a reported run time may exceed the time at which the
	// percentage was measured, and how long a report takes on its way. Starts, inventories
	// and frames take a few ms on the network.
	progressLag = 5 * time.Millisecond
)

// updateProgress handles a progress report. A run that cannot end before its job's
// deadline is moved if it can still end on the fastest target. Otherwise its job is
// abandoned at once.
func (d *Dispatch) updateProgress(now time.Duration, a *agent, x *attempt, p frame.Progress) {
	j := x.task.job
	if x.state != attemptSent || j.ended {
		return
	}
	if p.Percent() >= minProgressPercent {
		x.projectedTime = p.RunTime() * 100 / time.Duration(p.Percent())
		d.observeProjection(a, x)
	}
	ran := max(0, p.RunTime()-progressLag)
	// The percentage is rounded down, so the next percent may be almost done.
	least := ran * 100 / time.Duration(p.Percent()+1)
	start := d.earliestStart(now, x, p)
	s := j.work.Steps()[x.task.step]
	own := a.speed.value() * d.remoteFactorOn(a, s)
	fastest := d.fastestFactorFor(j, s) / own
	if start+least <= j.deadline {
		d.moveIfSafer(now, a, x, p, start, own, fastest)
		return
	}
	best := time.Duration(float64(least) * fastest)
	if now+moveDelay+best > j.deadline {
		d.logOverdue(now, a, x, p, best, "given_up")
		d.finish(now, j, StateExpired, "work_exceeds_time")
		return
	}
	x.task.measuredTime = time.Duration(float64(least) / own)
	d.logOverdue(now, a, x, p, best, "moved")
	d.moveRun(a, x)
}

// earliestStart returns the earliest time at which a run may have started. A report tells
// the progress at the time of the target's list. It then waits up to the heartbeat interval
// for the agent's next frame, while the run goes on.
func (d *Dispatch) earliestStart(now time.Duration, x *attempt, p frame.Progress) time.Duration {
	return max(x.sent, now-p.RunTime()-d.timing.heartbeatInterval-progressLag)
}

// moveIfSafer moves a run that probably ends after the deadline, if another run on the
// fastest target probably ends before it with time to spare. Own is the factor of the run's
// target, and fastest that of the fastest target relative to it.
func (d *Dispatch) moveIfSafer(now time.Duration, a *agent, x *attempt, p frame.Progress, start time.Duration, own, fastest float64) {
	j := x.task.job
	if p.Percent() < minMovePercent {
		return
	}
	likely := p.RunTime() * 200 / time.Duration(2*p.Percent()+1)
	slack := time.Duration(moveSlack * float64(likely))
	if start+likely+slack <= j.deadline {
		return
	}
	best := time.Duration(float64(likely) * fastest)
	if now+moveDelay+best+time.Duration(moveSlack*float64(best))+slack > j.deadline {
		return
	}
	x.task.measuredTime = time.Duration(float64(likely) / own)
	d.logOverdue(now, a, x, p, best, "moved_early")
	d.moveRun(a, x)
}

// logOverdue logs the projection for a run that cannot end in time.
func (d *Dispatch) logOverdue(now time.Duration, a *agent, x *attempt, p frame.Progress, best time.Duration, outcome string) {
	j := x.task.job
	d.logEvent(event.TaskOverdue, event.F("job", x.id.Job()), event.F("trace", j.trace), event.F("run", x.id.String()), event.F("agent", a.name),
		event.F("outcome", outcome), event.F("percent", p.Percent()), event.F("ran_ms", p.RunTime().Milliseconds()),
		event.F("expected_ms", x.expected.Milliseconds()), event.F("fastest_ms", best.Milliseconds()), event.F("left_ms", (j.deadline-now).Milliseconds()))
}

// observeProjection adds the projected time of a run to the job's ratio of measured
// to expected times, unless the ratio has a sample already.
func (d *Dispatch) observeProjection(a *agent, x *attempt) {
	j := x.task.job
	s := j.work.Steps()[x.task.step]
	expected := float64(j.model.base(s.Estimate())) * a.speed.value() * d.remoteFactorOn(a, s)
	if j.observedRatio.count > 0 || expected <= 0 {
		return
	}
	j.observedRatio.add(math.Log(float64(x.projectedTime)/expected), 0)
}

// moveRun stops a run, so that its task is placed again after the run has ended. It does
// not reserve capacity, because the run probably can't end in time where it is.
func (d *Dispatch) moveRun(a *agent, x *attempt) {
	x.state = attemptStopping
	x.task.avoid(a)
	a.stops = append(a.stops, x.id)
}
