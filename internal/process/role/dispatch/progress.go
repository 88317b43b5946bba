package dispatch

import (
	"math"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The parameters of using the progress of runs.
const (
	// showPercent is the progress from which a run tells how long its job's other
	// tasks take.
	showPercent = 10
	// moveGain is the part of the remaining time that a move must save, since the
	// work done so far is thrown away.
	moveGain = 0.6
	// overrun is how far a run must exceed the caller's time before it is given up;
	// progress is counted in whole percents.
	overrun = 1.05
)

// progress takes how far a run is. A run that can't end while its caller waits is
// moved to a faster target if it can end there, and its job is given up at once
// otherwise.
func (d *Dispatch) progress(now time.Duration, a *agent, x *attempt, p frame.Progress) {
	j := x.task.job
	if x.state != attemptSent || j.ended {
		return
	}
	if p.Percent() >= showPercent {
		x.total = p.Ran() * 100 / time.Duration(p.Percent())
		d.showTotal(a, x)
	}
	// The last percent may be almost done.
	least := p.Ran() * 100 / time.Duration(p.Percent()+1)
	if now+time.Duration(float64(least-p.Ran())*overrun) <= j.deadline {
		return
	}
	if b := d.faster(now, a, x, least); b != nil {
		d.move(now, a, x, b, least)
		return
	}
	best := time.Duration(float64(least) * d.bestFactor(j.route.Service()) / d.learned.factor(a.label(), a.name))
	if now+time.Duration(float64(best)*overrun) <= j.deadline {
		// A faster target may have room in a moment.
		return
	}
	d.finish(now, j, StateExpired, "work_exceeds_time")
}

// showTotal takes the expected length of a run for what it tells of the others.
func (d *Dispatch) showTotal(a *agent, x *attempt) {
	j := x.task.job
	s := j.work.Steps()[x.task.step]
	expected := float64(d.learned.base(j.route.Name(), s.Estimate())) * d.learned.factor(a.label(), a.name)
	if j.shown.count > 0 || expected <= 0 {
		return
	}
	j.shown.add(math.Log(float64(x.total)/expected), 0)
}

// faster returns an agent with room where a run can end in time, nil for none.
func (d *Dispatch) faster(now time.Duration, a *agent, x *attempt, total time.Duration) *agent {
	j := x.task.job
	s := j.work.Steps()[x.task.step]
	own := d.learned.factor(a.label(), a.name)
	var best *agent
	bestTime := time.Duration(moveGain * float64(total))
	for _, n := range sortedKeys(d.sessions) {
		b := d.sessions[n]
		if b == a || !d.fits(now, b, x.task, s) {
			continue
		}
		t := time.Duration(float64(total) * d.learned.factor(b.label(), b.name) / own)
		if t < bestTime && now+t <= j.deadline {
			best = b
			bestTime = t
		}
	}
	return best
}

// move stops a run so that its task is placed again once the run has ended.
func (d *Dispatch) move(now time.Duration, a *agent, x *attempt, b *agent, total time.Duration) {
	x.state = attemptStopping
	x.task.avoid[a.name] = true
	a.stops = append(a.stops, x.id)
	d.note(event.TaskOverdue, event.F("job", x.id.Job()), event.F("trace", x.task.job.trace), event.F("run", x.id.String()), event.F("agent", a.name),
		event.F("to", b.name), event.F("total_ms", total.Milliseconds()), event.F("end", task.EndStopped.String()), event.F("left_ms", (x.task.job.deadline-now).Milliseconds()))
}
