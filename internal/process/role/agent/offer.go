package agent

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The parameters of offers.
const (
	// OfferLifetime is the time for which a slot is reserved by an offer.
	OfferLifetime = 20 * time.Millisecond
	// Every agedOfferInterval-th offer goes to the demand that has waited longest,
	// if it has waited more than agedWait. Without this a steady flow of urgent work
	// starves other work.
	agedOfferInterval = 8
	agedWait          = 5 * time.Second
	// maxOfferBackoff is the longest time for which an owner gets no offer after
	// it left one unused. The backoff starts at OfferLifetime and doubles. It
	// ends when the owner sends a start or its demand.
	maxOfferBackoff = 640 * time.Millisecond
)

// demand is an owner's queued work of one service, class and urgency.
type demand struct {
	service *service
	class   class
	urgency configuration.Urgency
	since   time.Time
	count   int
	offered int
}

func (d *demand) unmet() int {
	return max(d.count-d.offered, 0)
}

// change adds to the demand and to the slots offered for it, and updates the unmet
// demand of the service.
func (d *demand) change(count, offered int) {
	before := d.unmet()
	d.count += count
	d.offered += offered
	d.service.unmet[d.class] += d.unmet() - before
}

// interest is the demand of one owner.
type interest struct {
	owner        identity.Process
	demands      []demand
	backoffUntil time.Time
	backoff      time.Duration
}

// offer is one slot reserved for an owner.
type offer struct {
	owner        identity.Process
	service      *service
	target       *target
	class        class
	criticalOnly bool
	expires      time.Time
	assigned     *demand
}

// offerMessage collects the slots of one Offer message.
type offerMessage struct {
	owner        identity.Process
	service      string
	criticalOnly bool
	slots        uint32
}

// setInterest replaces the demand of an owner. Offers beyond the new demand are
// cancelled: the owner sends its demand when it does not use an offer.
func (a *Agent) setInterest(now time.Time, owner identity.Process, m message.Interest) {
	a.resetBackoff(owner)
	a.capacityChanged = true
	if len(m.Demands()) == 0 || a.draining {
		a.removeInterest(owner)
		return
	}
	i, ok := a.interests[owner]
	if !ok {
		i = &interest{
			owner: owner,
		}
		a.interests[owner] = i
		a.queue = append(a.queue, i)
	}
	previous := i.demands
	i.demands = make([]demand, 0, len(m.Demands()))
	for _, d := range m.Demands()[:min(len(m.Demands()), maxDemands)] {
		i.demands = append(i.demands, demand{
			service: a.serviceNamed(d.Service()),
			class:   classOf(d.Urgency() == configuration.Critical, d.Long()),
			urgency: d.Urgency(),
			since:   now.Add(-d.Oldest()),
		})
		n := &i.demands[len(i.demands)-1]
		n.service.demands++
		n.change(int(min(d.Count(), maxDemand)), 0)
	}
	a.cancelOffers(func(o *offer) bool { return o.owner == owner && !i.assign(o) })
	a.removeDemands(previous)
}

// removeDemands subtracts demands from the totals of their services.
func (a *Agent) removeDemands(demands []demand) {
	for n := range demands {
		d := &demands[n]
		d.change(-d.count, 0)
		d.service.demands--
		a.removeIfUnused(d.service)
	}
}

const (
	// maxDemand limits a count, so that sums cannot overflow.
	maxDemand = 1 << 30
	// maxDemands limits the entries of one owner: 32 services with 4 urgencies, long
	// or not.
	maxDemands = 256
)

// assign assigns an existing offer to a demand that may use it, and reports whether
// there is one.
func (i *interest) assign(o *offer) bool {
	if o.assigned != nil {
		o.assigned.change(0, -1)
		o.assigned = nil
	}
	for n := range i.demands {
		d := &i.demands[n]
		if d.service == o.service && d.unmet() > 0 && (d.class.critical() || !o.criticalOnly) {
			d.change(0, 1)
			o.assigned = d
			return true
		}
	}
	return false
}

// removeInterest removes an owner's demand and cancels its offers.
func (a *Agent) removeInterest(owner identity.Process) {
	i, ok := a.interests[owner]
	if !ok {
		return
	}
	a.cancelOffers(func(o *offer) bool { return o.owner == owner })
	delete(a.interests, owner)
	a.queue = slices.DeleteFunc(a.queue, func(o *interest) bool { return o == i })
	a.removeDemands(i.demands)
	a.capacityChanged = true
}

// resetBackoff lets an owner get offers again after it left one unused.
func (a *Agent) resetBackoff(owner identity.Process) {
	if i, ok := a.interests[owner]; ok {
		i.backoffUntil = time.Time{}
		i.backoff = 0
	}
}

// reduceDemand subtracts a started task from its owner's demand.
func (a *Agent) reduceDemand(owner identity.Process, kind configuration.Kind) {
	i, ok := a.interests[owner]
	if !ok {
		return
	}
	for n := range i.demands {
		d := &i.demands[n]
		if d.service.name == kind.Service() && d.urgency == kind.Urgency() && d.class.long() == kind.Long() && d.count > 0 {
			d.change(-1, 0)
			break
		}
	}
}

// takeOffer removes an offer of the owner and returns its target. It returns nil if
// the owner has no offer that a task of the class may use.
func (a *Agent) takeOffer(owner identity.Process, s *service, c class) *target {
	for n, o := range a.offers {
		if o.owner != owner || o.service != s || (o.criticalOnly && !c.critical()) {
			continue
		}
		if c.long() && !o.class.long() && o.target.longFree() == 0 {
			continue
		}
		a.offers = append(a.offers[:n], a.offers[n+1:]...)
		a.releaseOffer(o)
		return o.target
	}
	return nil
}

// releaseOffer releases the slot of an offer.
func (a *Agent) releaseOffer(o offer) {
	o.target.offered--
	if o.class.long() {
		o.target.usedLong--
	}
	if o.assigned != nil {
		o.assigned.change(0, -1)
	}
	a.targetChanged(o.target)
}

// cancelOffers cancels the offers that match.
func (a *Agent) cancelOffers(match func(*offer) bool) {
	kept := a.offers[:0]
	var cancelled []offer
	for n := range a.offers {
		o := a.offers[n]
		if match(&o) {
			cancelled = append(cancelled, o)
		} else {
			kept = append(kept, o)
		}
	}
	clear(a.offers[len(kept):])
	a.offers = kept
	for _, o := range cancelled {
		a.releaseOffer(o)
	}
}

// expireOffers cancels the expired offers. Their owners get the next offer after a
// backoff, so that an unresponsive owner does not delay others.
func (a *Agent) expireOffers(now time.Time) {
	for len(a.offers) > 0 && !a.offers[0].expires.After(now) {
		o := a.offers[0]
		a.offers = append(a.offers[:0], a.offers[1:]...)
		a.releaseOffer(o)
		a.counts.lapsed++
		a.backOff(now, o.owner)
	}
}

func (a *Agent) backOff(now time.Time, owner identity.Process) {
	if i, ok := a.interests[owner]; ok && !i.backoffUntil.After(now) {
		i.backoff = min(max(2*i.backoff, OfferLifetime), maxOfferBackoff)
		i.backoffUntil = now.Add(i.backoff)
	}
}

// sendOffers offers each free slot for which there is demand. The slots for one owner
// and service go out in one message, and the reserved ones in another.
func (a *Agent) sendOffers(now time.Time) {
	if !a.accepting() || !a.canOffer() {
		return
	}
	a.batch = a.batch[:0]
	for {
		i, d := a.nextDemand(now)
		if d == nil {
			break
		}
		a.offer(now, i, d)
	}
	for _, b := range a.batch {
		a.send(b.owner, message.NewOffer(b.service, b.slots, b.criticalOnly))
	}
}

// canOffer reports whether a slot is free for any unmet demand.
func (a *Agent) canOffer() bool {
	for _, s := range a.sortedServices {
		for c, n := range s.unmet {
			if n > 0 && s.best(class(c)) != nil {
				return true
			}
		}
	}
	return false
}

// nextDemand returns the demand for the next free slot: the oldest among the most
// urgent or, for every agedOfferInterval-th offer, the oldest of all if it has
// waited longer than agedWait. Owners in backoff are skipped. The demand is nil
// if there is none.
func (a *Agent) nextDemand(now time.Time) (*interest, *demand) {
	var owner, agedOwner *interest
	var best, aged *demand
	for _, i := range a.queue {
		if i.backoffUntil.After(now) {
			continue
		}
		for n := range i.demands {
			d := &i.demands[n]
			if d.unmet() == 0 || d.service.best(d.class) == nil {
				continue
			}
			if best == nil || d.urgency < best.urgency || (d.urgency == best.urgency && d.since.Before(best.since)) {
				owner, best = i, d
			}
			if now.Sub(d.since) > agedWait && (aged == nil || d.since.Before(aged.since)) {
				agedOwner, aged = i, d
			}
		}
	}
	if aged != nil && (a.offered+1)%agedOfferInterval == 0 {
		return agedOwner, aged
	}
	return owner, best
}

func (a *Agent) offer(now time.Time, i *interest, d *demand) {
	s := d.service
	t := s.best(d.class)
	o := offer{
		owner:        i.owner,
		service:      s,
		target:       t,
		class:        d.class,
		criticalOnly: t.free(d.class&^critical) == 0,
		expires:      now.Add(OfferLifetime),
		assigned:     d,
	}
	t.offered++
	if d.class.long() {
		t.usedLong++
	}
	d.change(0, 1)
	a.offered++
	a.offers = append(a.offers, o)
	a.targetChanged(t)
	for n := range a.batch {
		b := &a.batch[n]
		if b.owner == o.owner && b.service == s.name && b.criticalOnly == o.criticalOnly {
			b.slots++
			return
		}
	}
	a.batch = append(a.batch, offerMessage{
		owner:        o.owner,
		service:      s.name,
		criticalOnly: o.criticalOnly,
		slots:        1,
	})
}
