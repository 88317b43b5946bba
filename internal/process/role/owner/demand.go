package owner

import (
	"maps"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/request/queue"
)

// notifiedPerTask is the number of agents that are notified of a waiting task. A
// few are enough to find a slot soon, and each further one makes an offer that is
// not used. All agents are notified of the most urgent work.
const notifiedPerTask = 2

func (o *Owner) serviceNames() []string {
	return slices.Sorted(maps.Keys(o.services))
}

// demands returns all work that waits at this owner, by service and class.
func (o *Owner) demands(now time.Time) []message.Demand {
	var demands []message.Demand
	for _, name := range o.serviceNames() {
		q := o.services[name].queue
		if q.Tasks() == 0 {
			continue
		}
		for c := queue.Class(0); c < queue.Classes; c++ {
			if n, oldest := q.Waiting(now, c); n > 0 {
				demands = append(demands, message.NewDemand(name, c.Urgency(), c.Long(), uint32(n), oldest))
			}
		}
	}
	return demands
}

// differs reports whether an agent that was notified of one count should be
// notified of n. An agent learns that a demand became zero only when its offer is
// not used: at full load queues run empty all the time, and a message to every
// agent would cost more each time than an unused offer.
func differs(notified, n int) bool {
	return n > 0 && (notified == 0 || n >= 2*notified || 2*n <= notified)
}

// publishDemand notifies agents of the working set that offer the service, if the
// waiting work differs from what they were notified of.
func (o *Owner) publishDemand(now time.Time, svc *service) {
	var counts [queue.Classes]int
	changed := false
	for c := queue.Class(0); c < queue.Classes; c++ {
		counts[c], _ = svc.queue.Waiting(now, c)
		if differs(svc.published[c], counts[c]) {
			svc.published[c] = counts[c]
			changed = true
		}
	}
	if !changed {
		return
	}
	demands := o.demands(now)
	left := notifiedPerTask * svc.queue.Tasks()
	if counts[0]+counts[1] > 0 {
		left = len(o.workingSet)
	}
	// A random first agent spreads the demands of all owners over the agents.
	from := o.rnd.IntN(max(len(o.workingSet), 1))
	for n := 0; n < len(o.workingSet) && left > 0; n++ {
		a := o.workingSet[(from+n)%len(o.workingSet)]
		ep := a.endpoint(svc)
		if ep == nil || !ep.reported || ep.ejected {
			continue
		}
		for c, n := range counts {
			if differs(ep.notified[c], n) {
				o.sendInterest(now, a, demands)
				left--
				break
			}
		}
	}
}

// sendInterest sends the complete demand to one agent. Demands may be nil if the
// caller has not computed them.
func (o *Owner) sendInterest(now time.Time, a *agent, demands []message.Demand) {
	if demands == nil {
		demands = o.demands(now)
	}
	for _, ep := range a.endpoints {
		for c := queue.Class(0); c < queue.Classes; c++ {
			ep.notified[c], _ = ep.svc.queue.Waiting(now, c)
			if ep.notified[c] == 0 {
				// The agent has to be notified again when work waits.
				ep.svc.published[c] = 0
			}
		}
	}
	a.interestSent = now
	o.send(a.process, message.NewInterest(demands))
}

func (a *agent) resetNotified() {
	for _, ep := range a.endpoints {
		ep.notified = [queue.Classes]int{}
		ep.svc.published = [queue.Classes]int{}
	}
	a.interestSent = time.Time{}
}

// requestCredit sends the demand to an agent whose credit is too old, since the
// answer carries a new credit. It does nothing if the previous request is not older
// than creditRequestInterval and unanswered.
func (o *Owner) requestCredit(now time.Time, a *agent) {
	if a.interestSent.After(a.lastSeen) && now.Sub(a.interestSent) < creditRequestInterval {
		return
	}
	o.sendInterest(now, a, nil)
}

// markStale removes an agent from the pools until it sends a new credit.
func (o *Owner) markStale(now time.Time, a *agent) {
	if a.member && a.fresh {
		a.fresh = false
		o.stale++
		for _, ep := range a.endpoints {
			o.updatePools(ep)
		}
	}
	o.requestCredit(now, a)
}

// requestCredits requests a credit from all stale agents of the working set.
func (o *Owner) requestCredits(now time.Time) {
	o.nextCreditRequest = now.Add(creditRequestInterval)
	for _, a := range o.workingSet {
		if !a.fresh {
			o.requestCredit(now, a)
		}
	}
}
