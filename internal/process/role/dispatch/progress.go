package dispatch

import (
	"math"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

// The parameters of using the progress of runs.
const (
	// showPercent is the progress from which a run tells how long its job's other
	// tasks take.
	showPercent = 10
	// stopDelay is how long it takes to stop a run and to start its task elsewhere.
	stopDelay = 60 * time.Millisecond
	// progressLag is by how much an agent may overstate how long a run had run when its
	// percent was taken; orders and lists take some ms on the network.
	progressLag = 5 * time.Millisecond
)

// progress takes how far a run is. A run that can't end while its caller waits is
// moved if it can end on the fastest target, and its job is given up at once
// otherwise.
func (d *Dispatch) progress(now time.Duration, a *agent, x *attempt, p frame.Progress) {
	j := x.task.job
	if x.state != attemptSent || j.ended {
		return
	}
	if p.Percent() >= showPercent {
		x.total = p.RunTime() * 100 / time.Duration(p.Percent())
		d.showTotal(a, x)
	}
	// The next percent may be almost done.
	ran := max(0, p.RunTime()-progressLag)
	least := ran * 100 / time.Duration(p.Percent()+1)
	if now+least-ran <= j.deadline {
		return
	}
	own := d.learned.factor(a.label(), a.name)
	best := time.Duration(float64(least) * d.bestFactor(j.route.Service()) / own)
	if now+stopDelay+best > j.deadline {
		d.noteOverdue(now, a, x, p, best, "given_up")
		d.finish(now, j, StateExpired, "work_exceeds_time")
		return
	}
	x.task.base = time.Duration(float64(least) / own)
	d.noteOverdue(now, a, x, p, best, "moved")
	d.move(a, x)
}

// noteOverdue logs what is known about a run that can't end in time.
func (d *Dispatch) noteOverdue(now time.Duration, a *agent, x *attempt, p frame.Progress, best time.Duration, outcome string) {
	j := x.task.job
	d.note(event.TaskOverdue, event.F("job", x.id.Job()), event.F("trace", j.trace), event.F("run", x.id.String()), event.F("agent", a.name),
		event.F("outcome", outcome), event.F("percent", p.Percent()), event.F("ran_ms", p.RunTime().Milliseconds()),
		event.F("expected_ms", x.expected.Milliseconds()), event.F("fastest_ms", best.Milliseconds()), event.F("left_ms", (j.deadline-now).Milliseconds()))
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

// move stops a run so that its task is placed on a faster target once the run has
// ended. It does not wait for room there: where the run is, it can't end in time.
func (d *Dispatch) move(a *agent, x *attempt) {
	x.state = attemptStopping
	x.task.avoid[a.name] = true
	a.stops = append(a.stops, x.id)
}
