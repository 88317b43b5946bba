package agent

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The rules for offers.
const (
	// OfferLifetime is how long an offer is valid.
	OfferLifetime = 20 * time.Millisecond
	// agedOfferInterval gives every eighth offer to the demand that has waited longest, if
	// that is longer than agedAfter. Without it a steady flow of urgent work would
	// starve the owners of other work.
	agedOfferInterval = 8
	agedWait          = 5 * time.Second
	// maxOfferBackoff is how long an owner at most gets no offer after it did not use one.
	// It starts with OfferAge and doubles; any sign of the owner ends it.
	maxOfferBackoff = 640 * time.Millisecond
)

// demand is work of one service and class that waits at an owner.
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

// change adds to the count and to the slots offered for it, and keeps the
// service's sum of open demand.
func (d *demand) change(count, offered int) {
	before := d.unmet()
	d.count += count
	d.offered += offered
	d.service.unmet[d.class] += d.unmet() - before
}

// interest is the whole demand of one owner.
type interest struct {
	owner        identity.Process
	demands      []demand
	backoffUntil time.Time
	backoff      time.Duration
}

// offer is one slot kept for an owner.
type offer struct {
	owner    identity.Process
	service  *service
	target   *target
	class    class
	urgent   bool
	expires  time.Time
	assigned *demand
}

// offerMessage is an Offer message that collects slots.
type offerMessage struct {
	owner   identity.Process
	service string
	urgent  bool
	slots   uint32
}

// interest replaces what is known of an owner's demand. Offers that exceed the
// new demand are taken back, since the owner answered them with it.
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

// removeDemands takes demands out of the sums of their services.
func (a *Agent) removeDemands(demands []demand) {
	for n := range demands {
		d := &demands[n]
		d.change(-d.count, 0)
		d.service.demands--
		a.removeIfUnused(d.service)
	}
}

const (
	// maxDemand bounds a count, so that sums cannot overflow.
	maxDemand = 1 << 30
	// maxDemands bounds the entries of one owner; 32 services of 8 classes each.
	maxDemands = 256
)

// assign assigns an outstanding offer to a demand that may use it.
func (i *interest) assign(o *offer) bool {
	if o.assigned != nil {
		o.assigned.change(0, -1)
		o.assigned = nil
	}
	for n := range i.demands {
		d := &i.demands[n]
		if d.service == o.service && d.unmet() > 0 && (d.class.critical() || !o.urgent) {
			d.change(0, 1)
			o.assigned = d
			return true
		}
	}
	return false
}

// removeInterest drops an owner's demand and takes back its offers.
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

// resetBackoff ends the pause of an owner that did not use an offer.
func (a *Agent) resetBackoff(owner identity.Process) {
	if i, ok := a.interests[owner]; ok {
		i.backoffUntil = time.Time{}
		i.backoff = 0
	}
}

// reduceDemand counts a started task off its owner's demand.
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

// takeOffer uses up an offer of the owner and returns its target; nil if the owner
// has none that fits the task.
func (a *Agent) takeOffer(owner identity.Process, s *service, c class) *target {
	for n, o := range a.offers {
		if o.owner != owner || o.service != s || (o.urgent && !c.critical()) {
			continue
		}
		if c.long() && !o.class.long() && o.target.longFree() == 0 {
			continue
		}
		a.offers = append(a.offers[:n], a.offers[n+1:]...)
		a.cancelOffer(o)
		return o.target
	}
	return nil
}

// cancelOffer gives the slot of an offer back to its target.
func (a *Agent) cancelOffer(o offer) {
	o.target.offered--
	if o.class.long() {
		o.target.usedLong--
	}
	if o.assigned != nil {
		o.assigned.change(0, -1)
	}
	a.targetChanged(o.target)
}

// cancelOffers takes back the offers that match.
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
		a.cancelOffer(o)
	}
}

// expireOffers takes back the offers whose time is over. An owner that did not use one
// gets the next after a pause, so that a silent owner holds up no others.
func (a *Agent) expireOffers(now time.Time) {
	for len(a.offers) > 0 && !a.offers[0].expires.After(now) {
		o := a.offers[0]
		a.offers = append(a.offers[:0], a.offers[1:]...)
		a.cancelOffer(o)
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

// sendOffers offers every free slot that a registered demand may use. Slots for
// one owner go out in one message.
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
		a.send(b.owner, message.NewOffer(b.service, b.slots, b.urgent))
	}
}

// canOffer tells whether any slot is free for any demand.
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

// nextDemand picks the demand for the nextDemand free slot: the most urgent and then the
// oldest, or now and then the oldest of all.
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
		owner:    i.owner,
		service:  s,
		target:   t,
		class:    d.class,
		urgent:   t.free(d.class&^critical) == 0,
		expires:  now.Add(OfferLifetime),
		assigned: d,
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
		if b.owner == o.owner && b.service == s.name && b.urgent == o.urgent {
			b.slots++
			return
		}
	}
	a.batch = append(a.batch, offerMessage{
		owner:   o.owner,
		service: s.name,
		urgent:  o.urgent,
		slots:   1,
	})
}
