package dispatch

import (
	"cmp"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/departure"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// departureInterval is the minimum time between two reviews of the runs on leaving
// targets. It is short against the notice that targets give.
const departureInterval = 20 * time.Millisecond

// rescue is a run that gains by a move from a leaving target.
type rescue struct {
	attempt *attempt
	gain    float64
}

// reviewDepartures stops the runs on leaving targets that should start again elsewhere,
// those that gain most first, as long as there is free capacity for their tasks.
func (d *Dispatch) reviewDepartures(now time.Duration) {
	if now < d.nextDepartureReview {
		return
	}
	d.nextDepartureReview = now + departureInterval
	var leaving []*agent
	for _, a := range d.connected {
		if a.leavesAt > 0 && len(a.runs) > 0 {
			leaving = append(leaving, a)
		}
	}
	if len(leaving) == 0 {
		return
	}
	room := d.freeRoom(now)
	var rescues []rescue
	for _, a := range leaving {
		for _, x := range a.attemptsWhere(func(x *attempt) bool { return x.state != attemptLost && !x.task.job.ended }) {
			if x.state == attemptStopping {
				// Its task takes the free capacity that it was stopped for.
				room.take(x)
				continue
			}
			if gain := d.rescueGain(now, a, x, room); gain > 0 {
				rescues = append(rescues, rescue{
					attempt: x,
					gain:    gain,
				})
			}
		}
	}
	slices.SortStableFunc(rescues, func(x, y rescue) int { return cmp.Compare(y.gain, x.gain) })
	for _, x := range rescues {
		if room.take(x.attempt) {
			d.rescueRun(now, x)
		}
	}
}

// rescueGain returns by how much the probability of an answer in time rises if a run is
// moved from a leaving target, 0 if it stays.
func (d *Dispatch) rescueGain(now time.Duration, a *agent, x *attempt, room freeRoom) float64 {
	j := x.task.job
	s := j.work.Steps()[x.task.step]
	ran := now - x.startedAt()
	expected := x.totalTime()
	base := d.baseTime(x.task)
	spread := j.model.spread()
	if x.projectedTime > 0 {
		base = time.Duration(float64(x.projectedTime) / (a.speed.value() * d.remoteFactorOn(a, s)))
		spread = moveSlack
	}
	best := time.Duration(0)
	for b, left := range room {
		if b.eligible(x.task, s) && left.Covers(s.Resources()) {
			if e := d.expectedTime(b, s, base); best == 0 || e < best {
				best = e
			}
		}
	}
	if best == 0 {
		return 0
	}
	return departure.Gain(departure.NewRun(ran, expected, spread, j.deadline-now),
		departure.NewNotice(a.leavesAt-now, d.timing.runsEndWithin), departure.NewElsewhere(best, moveDelay))
}

// rescueRun stops a run on a leaving target, so that its task is placed elsewhere.
func (d *Dispatch) rescueRun(now time.Duration, x rescue) {
	a := x.attempt.agent
	j := x.attempt.task.job
	d.logEvent(event.TaskRescued, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("run", x.attempt.id.String()),
		event.F("agent", a.name), event.F("target", a.target.Incarnation()), event.F("leaves_ms", (a.leavesAt-now).Milliseconds()),
		event.F("ran_ms", (now-x.attempt.startedAt()).Milliseconds()), event.F("gain_percent", int(x.gain*100)))
	d.moveRun(a, x.attempt)
}

// freeRoom is the free capacity of the agents that take work.
type freeRoom map[*agent]task.Resources

func (d *Dispatch) freeRoom(now time.Duration) freeRoom {
	room := freeRoom{}
	for _, a := range d.connected {
		if a.open(now) {
			room[a] = a.left
		}
	}
	return room
}

// take takes the capacity that a run needs from the agent with the most cores left. It
// returns false if none has enough.
func (r freeRoom) take(x *attempt) bool {
	s := x.task.job.work.Steps()[x.task.step]
	var best *agent
	for a, left := range r {
		if !left.Covers(x.need) || !a.eligible(x.task, s) {
			continue
		}
		if best == nil || left.MilliCores() > r[best].MilliCores() || left.MilliCores() == r[best].MilliCores() && a.name < best.name {
			best = a
		}
	}
	if best == nil {
		return false
	}
	r[best] = r[best].Sub(x.need)
	return true
}
