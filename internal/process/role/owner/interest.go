package owner

import (
	"maps"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/request/queue"
)

// toldPerTask is how many agents are told of a waiting task. A few are enough to
// find a slot soon; each one more is an offer in vain. Of the most urgent work all
// are told.
const toldPerTask = 2

func (o *Owner) names() []string {
	return slices.Sorted(maps.Keys(o.services))
}

// demands is all work that waits at this owner.
func (o *Owner) demands(now time.Time) []message.Demand {
	var demands []message.Demand
	for _, name := range o.names() {
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

// differs tells whether an agent that was told one count should be told another.
// That a demand became zero is told to an agent when it offers in vain: at full
// load a queue runs empty again and again, and each time a message to every agent
// would cost more than the offer.
func differs(told, n int) bool {
	return n > 0 && (told == 0 || n >= 2*told || 2*n <= told)
}

// publish tells agents of the working set that offer the service what waits, if
// it differs from what they were told.
func (o *Owner) publish(now time.Time, svc *service) {
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
	left := toldPerTask * svc.queue.Tasks()
	if counts[0]+counts[1] > 0 {
		left = len(o.set)
	}
	// Starting anywhere spreads the demands of all owners over the agents.
	from := o.rnd.IntN(max(len(o.set), 1))
	for n := 0; n < len(o.set) && left > 0; n++ {
		a := o.set[(from+n)%len(o.set)]
		r := a.room(svc)
		if r == nil || !r.heard || r.ejected {
			continue
		}
		for c, n := range counts {
			if differs(r.told[c], n) {
				o.tell(now, a, demands)
				left--
				break
			}
		}
	}
}

// tell sends the whole demand to one agent.
func (o *Owner) tell(now time.Time, a *agent, demands []message.Demand) {
	if demands == nil {
		demands = o.demands(now)
	}
	for _, r := range a.rooms {
		for c := queue.Class(0); c < queue.Classes; c++ {
			r.told[c], _ = r.svc.queue.Waiting(now, c)
			if r.told[c] == 0 {
				// The agent has to be told again when work waits.
				r.svc.published[c] = 0
			}
		}
	}
	a.asked = now
	o.send(a.process, message.NewInterest(demands))
}

func (a *agent) forgetTold() {
	for _, r := range a.rooms {
		r.told = [queue.Classes]int{}
		r.svc.published = [queue.Classes]int{}
	}
	a.asked = time.Time{}
}

// ask wakes an agent whose credit is too old: its answer carries a new one.
func (o *Owner) ask(now time.Time, a *agent) {
	if a.asked.After(a.heard) && now.Sub(a.asked) < rouseInterval {
		return
	}
	o.tell(now, a, nil)
}

// sleep takes an agent out of the choice until it is heard again.
func (o *Owner) sleep(now time.Time, a *agent) {
	if a.member && a.awake {
		a.awake = false
		o.asleep++
		for _, r := range a.rooms {
			o.refresh(r)
		}
	}
	o.ask(now, a)
}

// rouseAgents asks the agents that have not answered while work waits.
func (o *Owner) rouseAgents(now time.Time) {
	o.rouse = now.Add(rouseInterval)
	for _, a := range o.set {
		if !a.awake {
			o.ask(now, a)
		}
	}
}
