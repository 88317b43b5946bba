package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/admission"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// minRateRuns is the number of its own runs from which an entry knows the rate at which it
// gets capacity. Below it, a few jobs wait in any case.
const minRateRuns = 8

// Decide is a decision on a job behind a backlog.
type Decide func(now time.Duration, j admission.Job, ahead admission.Backlog, c admission.Capacity) admission.Decision

// WithAdmission replaces the decisions whether a job is accepted, and whether it stays in
// the queue until it starts.
func (d *Dispatch) WithAdmission(decide, keep Decide) *Dispatch {
	d.decide = decide
	d.keep = keep
	return d
}

// share is what an entry can get of the targets of a service.
type share struct {
	runs int
	free float64
	rate float64
}

// shareOf returns what the entry can get of the targets of a service for tasks of one
// need. Each end of an own run frees capacity for the entry. So while targets are full,
// the rate at which it gets capacity is that at which its own runs end, whatever other
// entries use.
func (d *Dispatch) shareOf(now time.Duration, service string, need task.Resources) share {
	var s share
	for _, a := range d.connected {
		if !a.usable() || a.target.Service() != service {
			continue
		}
		held := task.Resources{}
		for _, x := range a.runs {
			if x.state != attemptLost {
				held = held.Add(x.need)
				s.runs++
			}
		}
		free := 0.0
		if a.open(now) {
			free = coresOf(need) * float64(a.left.Quotient(need))
		}
		s.free += free
		s.rate += (coresOf(held) + free) / a.speed.value()
	}
	return s
}

// backlogAhead returns the queued work of a service that precedes a rank.
func (d *Dispatch) backlogAhead(service string, rank int64) admission.Backlog {
	var b admission.Backlog
	for _, j := range d.queue {
		if j.rank > rank {
			break
		}
		if j.route.Service() == service {
			j.addTo(&b)
		}
	}
	return b
}

// addTo adds the part of the job that has not been placed to a backlog.
func (j *job) addTo(b *admission.Backlog) {
	part := float64(j.width-len(j.tasks)+len(j.ready)) / float64(j.width)
	b.Add(part*j.cores, part*j.coreSeconds)
}

// admission decides on a job that has not started, behind a backlog, with the entry's share
// of the targets.
func (d *Dispatch) admission(now time.Duration, j *job, ahead admission.Backlog, s share, decide Decide) admission.Decision {
	work := admission.NewJob(j.cores, j.coreSeconds, j.fastestTime, j.model.spread()).WithTimes(j.due, j.usefulUntil)
	if s.runs < minRateRuns && ahead.Jobs() < admission.MinQueue {
		return admission.Accept(now, work)
	}
	return decide(now+d.overload.highest(), work, ahead, admission.NewCapacity(s.free, s.rate).Stalled(d.stalled(now, j.route.Service())))
}

// stalled returns for how long no task of a service has started while jobs wait for it.
func (d *Dispatch) stalled(now time.Duration, service string) time.Duration {
	for _, j := range d.queue {
		if j.route.Service() == service {
			return max(0, now-max(j.arrived, d.lastPlaced[service]))
		}
	}
	return 0
}

// firstNeed returns the need of the tasks of the first step.
func (j *job) firstNeed() task.Resources {
	return j.work.Steps()[0].Resources()
}

// shareKey identifies what an entry can get of a service for tasks of one need.
type shareKey struct {
	service string
	need    task.Resources
}

// refuseTooLate refuses queued jobs that have not started and whose answer would come too
// late, because targets were lost or free no capacity.
func (d *Dispatch) refuseTooLate(now time.Duration) {
	shares := map[shareKey]share{}
	backlogs := map[string]*admission.Backlog{}
	for _, j := range append([]*job(nil), d.queue...) {
		service := j.route.Service()
		k := shareKey{
			service: service,
			need:    j.firstNeed(),
		}
		s, ok := shares[k]
		if !ok {
			s = d.shareOf(now, service, k.need)
			shares[k] = s
		}
		ahead := getOrCreate(backlogs, service)
		if j.started {
			j.addTo(ahead)
			continue
		}
		if x := d.admission(now, j, *ahead, s, d.keep); x.Reason() != "" {
			d.finish(now, j, StateRefused, string(x.Reason()))
			continue
		}
		j.addTo(ahead)
	}
}
