package dispatch

import (
	"math"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/placement"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The parameters of waits for a place on the rack with a task's data.
const (
	// waitReview is the least time between two decisions on one wait. It is short against
	// the interval in which agents report free capacity.
	waitReview = 5 * time.Millisecond
	// freedTime is the time constant with which the rate of freed room decays. It is long
	// against most runs, and short against a load peak.
	freedTime = time.Second
)

// The outcomes of waits.
const (
	waitGotPlace  = "got_place"
	waitNotWorth  = "no_longer_pays"
	waitTooLong   = "limit_reached"
	waitNoTargets = "no_targets"
	waitJobEnded  = "job_ended"
)

// wait is the wait of a task for a place on the rack with its data. A task waits once.
type wait struct {
	active   bool
	over     bool
	began    time.Duration
	expected time.Duration
	// until is when the wait ends in any case.
	until    time.Duration
	reviewed time.Duration
	outcome  string
}

// freedRoom is the decayed rate at which runs of other entries free room on a rack.
type freedRoom struct {
	milliCores float64
	at         time.Duration
}

func (f *freedRoom) add(now time.Duration, milliCores int64) {
	f.milliCores = math.Max(0, f.decayed(now)+float64(milliCores))
	f.at = now
}

func (f *freedRoom) decayed(now time.Duration) float64 {
	return f.milliCores * math.Exp(-(now-f.at).Seconds()/freedTime.Seconds())
}

// perSecond returns the rate in thousandths of a core.
func (f *freedRoom) perSecond(now time.Duration) float64 {
	return f.decayed(now) / freedTime.Seconds()
}

// remoteFactorOn returns by how much a step takes longer on an agent than on the rack with
// its data, 1 there.
func (d *Dispatch) remoteFactorOn(a *agent, s task.Step) float64 {
	if s.Rack() == "" || a.rack() == s.Rack() {
		return 1
	}
	return d.remoteFactor
}

// observeRoom adds a change of an agent's free capacity to the freed capacity of its rack.
// What own runs free is subtracted when they end, because their ends are expected one by
// one.
func (d *Dispatch) observeRoom(now time.Duration, a *agent, milliCores int64) {
	rack := a.rack()
	if rack == "" || milliCores == 0 {
		return
	}
	f, known := d.freed[rack]
	if !known {
		if milliCores < 0 {
			return
		}
		f = &freedRoom{}
		d.freed[rack] = f
	}
	f.add(now, milliCores)
}

// stillWaits reports whether a waiting task goes on to wait without a new decision: its
// last one is recent and its rack has no room yet.
func (d *Dispatch) stillWaits(now time.Duration, t *jobTask) bool {
	if !t.wait.active || now >= t.wait.until || now-t.wait.reviewed >= waitReview {
		return false
	}
	s := t.job.work.Steps()[t.step]
	targets := 0
	for _, a := range d.candidates {
		if a.rack() != s.Rack() {
			continue
		}
		if a.fits(t, s) {
			return false
		}
		targets++
	}
	if targets == 0 {
		return false
	}
	d.waitingFor[s.Rack()]++
	return true
}

// shouldWait reports whether a task waits for a place on the rack with its data rather
// than to start on an agent elsewhere. The rules decide first: only agents that may get
// the task are chosen from and waited for. A task that had a place before, or moves away
// from a target, does not wait.
func (d *Dispatch) shouldWait(now time.Duration, t *jobTask, here *agent) bool {
	s := t.job.work.Steps()[t.step]
	if s.Rack() == "" || here.rack() == s.Rack() || t.wait.over || t.run > 0 || d.neverWait || d.remoteFactor <= 1 {
		return false
	}
	if t.wait.active && now >= t.wait.until {
		return t.stopWaiting(waitTooLong)
	}
	there, room, ok := d.roomOnRack(now, t, s)
	if !ok {
		return t.stopWaiting(waitNoTargets)
	}
	base := d.baseTime(t)
	o := placement.NewOffer(d.expectedTime(here, s, base), there, t.job.model.spread(), t.job.due-now).
		WithJob(t.job.othersEnd(now)).
		WithScarcity(scarcity(here.load.share()))
	if t.wait.active {
		o = o.Within(t.wait.until - now)
	}
	decision := placement.Decide(o, room.Behind(d.waitingFor[s.Rack()]))
	if !decision.Wait() {
		return t.stopWaiting(waitNotWorth)
	}
	d.waitingFor[s.Rack()]++
	t.keepWaiting(now, decision)
	return true
}

// stopWaiting ends a wait before the start of the task elsewhere. It returns false.
func (t *jobTask) stopWaiting(outcome string) bool {
	if t.wait.active {
		t.wait.over = true
		t.wait.outcome = outcome
	}
	return false
}

func (t *jobTask) keepWaiting(now time.Duration, decision placement.Decision) {
	t.wait.reviewed = now
	if t.wait.active {
		return
	}
	t.wait.active = true
	t.wait.began = now
	t.wait.expected = decision.Expected()
	t.wait.until = now + decision.Limit()
}

// roomOnRack returns the run time of a task on the rack with its data and when room for
// it is expected there. It returns false if no target of the rack may get the task.
func (d *Dispatch) roomOnRack(now time.Duration, t *jobTask, s task.Step) (time.Duration, placement.Room, bool) {
	var there time.Duration
	var runs []placement.Run
	base := d.baseTime(t)
	targets := 0
	for _, a := range d.candidates {
		if a.rack() != s.Rack() || !a.suits(t.job, s) || !a.size.Covers(s.Resources()) {
			continue
		}
		targets++
		there += d.expectedTime(a, s, base)
		for _, x := range a.runs {
			if a.left.Add(x.need).Covers(s.Resources()) {
				runs = append(runs, placement.NewRun(now-x.startedAt(), x.totalTime()))
			}
		}
	}
	if targets == 0 {
		return 0, placement.Room{}, false
	}
	rate := 0.0
	if f, ok := d.freed[s.Rack()]; ok {
		rate = f.perSecond(now) / float64(max(s.Resources().MilliCores(), 1))
	}
	return there / time.Duration(targets), placement.NewRoom(runs, t.job.model.spread(), rate), true
}

// totalTime returns the best estimate of the run time of an attempt.
func (x *attempt) totalTime() time.Duration {
	if x.projectedTime > 0 {
		return x.projectedTime
	}
	return x.expected
}

// othersEnd returns how long the runs of a job last that have been started.
func (j *job) othersEnd(now time.Duration) time.Duration {
	last := time.Duration(0)
	for _, t := range j.tasks {
		if t.attempt != nil {
			last = max(last, t.attempt.startedAt()+t.attempt.totalTime()-now)
		}
	}
	return last
}

// endWait logs the wait of a task that starts on an agent.
func (d *Dispatch) endWait(now time.Duration, t *jobTask, a *agent) {
	if !t.wait.active {
		return
	}
	s := t.job.work.Steps()[t.step]
	outcome := t.wait.outcome
	if a.rack() == s.Rack() {
		outcome = waitGotPlace
	}
	d.logWait(now, t, outcome)
}

// endWaits logs the waits of a job that is answered.
func (d *Dispatch) endWaits(now time.Duration, j *job) {
	for _, t := range j.ready {
		if t.wait.active {
			d.logWait(now, t, waitJobEnded)
		}
	}
}

func (d *Dispatch) logWait(now time.Duration, t *jobTask, outcome string) {
	w := t.wait
	t.wait.active = false
	t.wait.over = true
	j := t.job
	d.logEvent(event.TaskWaited, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("run", t.name), event.F("rack", j.work.Steps()[t.step].Rack()),
		event.F("outcome", outcome), event.F("expected_ms", w.expected.Milliseconds()), event.F("waited_ms", (now-w.began).Milliseconds()),
		event.F("limit_ms", (w.until-w.began).Milliseconds()))
}
