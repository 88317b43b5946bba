package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The parameters of outlier ejection.
const (
	// failureWeight is the weight of the newest run in the failure rate.
	failureWeight = 0.2
	// ejectionRate is the failure rate from which a target is ejected. Healthy targets
	// fail a few of a thousand runs.
	ejectionRate = 0.35
	// minEjection and maxEjection bound for how long an ejected target gets no work.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// maxProbes is the number of concurrent runs of a target on probation.
	maxProbes = 1
	// probationRuns is the number of successful runs that end the probation.
	probationRuns = 3
)

// health is the state of an incarnation of a target as its runs have shown it.
type health struct {
	incarnation   string
	failureRate   float64
	ejection      time.Duration
	ejectedUntil  time.Duration
	probationLeft int
}

// admits reports whether the target may get one more run.
func (h health) admits(now time.Duration, running int) bool {
	if now < h.ejectedUntil {
		return false
	}
	return h.probationLeft == 0 || running < maxProbes
}

// observe updates estimates and target health with the end of a run.
func (d *Dispatch) observe(now time.Duration, a *agent, x *attempt, end task.End, ran time.Duration) {
	j := x.task.job
	switch end {
	case task.EndDone:
		s := j.work.Steps()[x.task.step]
		ran = time.Duration(float64(ran) / d.remoteFactorOn(a, s))
		d.observeRun(a, j, s, ran)
		if r, ok := d.estimates.observe(j.route.Name(), a.speed, s.Estimate(), ran); ok {
			j.residuals = append(j.residuals, runResidual{
				speed: a.speed,
				value: r,
			})
		}
		a.health.failureRate *= 1 - failureWeight
		if a.health.probationLeft > 0 {
			a.health.probationLeft--
			if a.health.probationLeft == 0 {
				a.health.ejection = 0
				d.logEvent(event.TargetTrusted, event.F("agent", a.name))
			}
		}
	case task.EndFailed, task.EndStalled:
		a.health.failureRate += failureWeight * (1 - a.health.failureRate)
		d.eject(now, a)
	}
}

// eject stops new work for a target that fails too many runs, or any run on
// probation. Each further ejection doubles the time, up to maxEjection.
func (d *Dispatch) eject(now time.Duration, a *agent) {
	h := &a.health
	if now < h.ejectedUntil || h.failureRate < ejectionRate && h.probationLeft == 0 {
		return
	}
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now + h.ejection
	h.probationLeft = probationRuns
	h.failureRate = 0
	d.logEvent(event.TargetSuspect, event.F("agent", a.name), event.F("target", a.target.Incarnation()), event.F("pause_ms", h.ejection.Milliseconds()))
}
