package dispatch

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

// updateTarget takes over the description of an agent's target. A new incarnation may run on
// other hardware, so it starts with the speed of its label.
func (d *Dispatch) updateTarget(now time.Duration, a *agent, t frame.Target) {
	previous := a.target
	if t.Service() != "" && t.Incarnation() != a.health.incarnation {
		a.health = health{
			incarnation: t.Incarnation(),
		}
		d.estimates.forget(a.name)
	}
	if t.Incarnation() != previous.Incarnation() {
		d.logEvent(event.TargetSeen, event.F("agent", a.name), event.F("target", t.Incarnation()), event.F("service", t.Service()), event.F("usable", t.Usable()))
	}
	a.target = t
	a.leavesAt = 0
	if in := t.LeavesIn(); in > 0 {
		a.leavesAt = now + in
		d.nextDepartureReview = now
	}
	a.warmUntil = now + t.WarmUp()
	a.warmUp = t.WarmUp()
	d.reviewEvacuated(a)
	if previous.Service() != t.Service() || previous.Zone() != t.Zone() {
		d.countAgents()
	}
	if previous.Service() != t.Service() || !slices.Equal(previous.Labels(), t.Labels()) {
		d.stopUnsuited(a)
	}
	a.size = resourcesOrZero(t.Capacity())
	a.speed = d.estimates.speed(a.label(), a.name)
	a.load = d.loadOf(a.label())
}

// updateWarmUps counts down what is left of the warm-up of targets.
func (d *Dispatch) updateWarmUps(now time.Duration) {
	for _, a := range d.connected {
		a.warmUp = max(0, a.warmUntil-now)
	}
}

// stopUnsuited stops the runs that the agent's target must not have since it is of another
// kind: a start may have reached its present incarnation before the agent knew of that.
func (d *Dispatch) stopUnsuited(a *agent) {
	for _, x := range a.attemptsWhere(func(x *attempt) bool {
		return x.state == attemptSent && !a.suits(x.task.job, x.task.job.work.Steps()[x.task.step])
	}) {
		x.state = attemptStopping
		a.stops = append(a.stops, x.id)
		d.logEvent(event.TaskUnsuited, event.F("job", x.id.Job()), event.F("run", x.id.String()), event.F("agent", a.name), event.F("target", a.target.Incarnation()))
	}
}

func (d *Dispatch) updateCapacity(now time.Duration, a *agent, r frame.FreeCapacity) {
	a.free = resourcesOrZero(r.Amounts())
	a.queuedStarts = r.Queued()
	kept := a.unreported[:0]
	for _, u := range a.unreported {
		if u.number > r.LastStart() {
			kept = append(kept, u)
		}
	}
	a.unreported = kept
	before := a.left
	a.updateLeft()
	d.observeRoom(now, a, a.left.MilliCores()-before.MilliCores())
}
