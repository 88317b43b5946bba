package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The parameters of judging targets by what their runs show.
const (
	// failureWeight is the weight of the newest run in the rate of failures.
	failureWeight = 0.2
	// suspectRate is the rate of failures from which a target gets no work. Sound
	// targets fail a few of a thousand runs.
	suspectRate = 0.35
	// firstPause and maxPause bound for how long a suspect target gets no work.
	firstPause = time.Second
	maxPause   = 8 * time.Second
	// probes is the number of runs that a target gets at a time after a pause.
	probes = 1
	// probation is the number of good runs after which a target is trusted again.
	probation = 3
)

// health is what the runs of a target show about it.
type health struct {
	failures  float64
	pause     time.Duration
	until     time.Duration
	probation int
}

// admits tells whether the target may be given one more run.
func (h health) admits(now time.Duration, running int) bool {
	if now < h.until {
		return false
	}
	return h.probation == 0 || running < probes
}

// observe takes the end of a run for what it shows about target and kind.
func (d *Dispatch) observe(now time.Duration, a *agent, x *attempt, end task.End, ran time.Duration) {
	j := x.task.job
	switch end {
	case task.EndDone:
		s := j.work.Steps()[x.task.step]
		d.show(a, j, s, ran)
		d.learned.observe(j.route.Name(), a.label(), a.name, s.Estimate(), ran)
		a.health.failures *= 1 - failureWeight
		if a.health.probation > 0 {
			a.health.probation--
			if a.health.probation == 0 {
				a.health.pause = 0
				d.note(event.TargetTrusted, event.F("agent", a.name))
			}
		}
	case task.EndFailed, task.EndStalled:
		a.health.failures += failureWeight * (1 - a.health.failures)
		d.suspect(now, a)
	}
}

// suspect takes work from a target that fails much of what it runs.
func (d *Dispatch) suspect(now time.Duration, a *agent) {
	h := &a.health
	if now < h.until || h.failures < suspectRate && h.probation == 0 {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), maxPause)
	h.until = now + h.pause
	h.probation = probation
	h.failures = 0
	d.note(event.TargetSuspect, event.F("agent", a.name), event.F("target", a.target.Incarnation()), event.F("pause_ms", h.pause.Milliseconds()))
}
