package owner

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/queue"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// offerGrace is how long a service may be offered by no agent before its jobs are
// refused. An announcement expires after the same time, so a target that misses
// some announcements causes no refusals.
const offerGrace = 2 * time.Second

// count notes whether the room's agent offers the service.
func (o *Owner) count(r *room) {
	offers := r.agent.member && r.heard
	if offers == r.offers {
		return
	}
	r.offers = offers
	if offers {
		r.svc.offers++
	} else {
		r.svc.offers--
	}
	o.changed = append(o.changed, r.svc)
}

// watch starts the grace of services that no agent offers any more.
func (o *Owner) watch(now time.Time) {
	for _, svc := range o.changed {
		switch {
		case svc.offers > 0:
			svc.missing = time.Time{}
		case svc.missing.IsZero():
			svc.missing = now
			o.arm(now.Add(offerGrace), unoffered, svc)
		}
	}
	clear(o.changed)
	o.changed = o.changed[:0]
}

// unoffered tells whether no agent has offered the service for the grace.
func (svc *service) unoffered(now time.Time) bool {
	return !svc.missing.IsZero() && now.Sub(svc.missing) >= offerGrace
}

// noOffer is why a job of a service without offers is refused. A target may be
// announced at any time, so it is not said that the job fits nowhere.
func (svc *service) noOffer() string {
	return "no agent known to the owner has offered the service " + svc.name + " for " + offerGrace.String()
}

// refuseWaiting refuses the waiting jobs of a service without offers, except those
// of which a task has started.
func (o *Owner) refuseWaiting(now time.Time, svc *service) {
	if svc.offers > 0 || !svc.unoffered(now) {
		return
	}
	if !o.leased(now) {
		// Without a lease nothing can be said about what ran.
		o.arm(now.Add(rouseInterval), unoffered, svc)
		return
	}
	for {
		i, ok := svc.queue.Shed(queue.UpTo(configuration.Low))
		if !ok {
			return
		}
		s := i.Value().submission
		o.stop(now, s, answer.Overloaded, svc.noOffer(), o.retryAfter(offerGrace))
		if s.job.Answer().NotRun() {
			// A later attempt under the same key is a new one.
			o.drop(s)
		}
	}
}
