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
	// agedShare gives every eighth offer to the demand that has waited longest, if
	// that is longer than agedAfter. Without it a steady flow of urgent work would
	// starve the owners of other work.
	agedShare = 8
	agedAfter = 5 * time.Second
	// maxMuted is how long an owner at most gets no offer after it did not use one.
	// It starts with OfferAge and doubles; any sign of the owner ends it.
	maxMuted = 640 * time.Millisecond
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

func (d *demand) open() int {
	return max(d.count-d.offered, 0)
}

// change adds to the count and to the slots offered for it, and keeps the
// service's sum of open demand.
func (d *demand) change(count, offered int) {
	before := d.open()
	d.count += count
	d.offered += offered
	d.service.open[d.class] += d.open() - before
}

// interest is the whole demand of one owner.
type interest struct {
	owner   identity.Process
	demands []demand
	muted   time.Time
	pause   time.Duration
}

// offer is one slot kept for an owner.
type offer struct {
	owner   identity.Process
	service *service
	target  *target
	class   class
	urgent  bool
	until   time.Time
	covers  *demand
}

// batched is an Offer message that collects slots.
type batched struct {
	owner   identity.Process
	service string
	urgent  bool
	slots   uint32
}

// interest replaces what is known of an owner's demand. Offers that exceed the
// new demand are taken back, since the owner answered them with it.
func (a *Agent) setInterest(now time.Time, owner identity.Process, m message.Interest) {
	a.heard(owner)
	a.changed = true
	if len(m.Demands()) == 0 || a.draining {
		a.forget(owner)
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
	former := i.demands
	i.demands = make([]demand, 0, len(m.Demands()))
	for _, d := range m.Demands()[:min(len(m.Demands()), maxDemands)] {
		i.demands = append(i.demands, demand{
			service: a.wanted(d.Service()),
			class:   classOf(d.Urgency() == configuration.Critical, d.Long()),
			urgency: d.Urgency(),
			since:   now.Add(-d.Oldest()),
		})
		n := &i.demands[len(i.demands)-1]
		n.service.demands++
		n.change(int(min(d.Count(), maxDemand)), 0)
	}
	a.release(func(o *offer) bool { return o.owner == owner && !i.cover(o) })
	a.clear(former)
}

// clear takes demands out of the sums of their services.
func (a *Agent) clear(demands []demand) {
	for n := range demands {
		d := &demands[n]
		d.change(-d.count, 0)
		d.service.demands--
		a.discard(d.service)
	}
}

const (
	// maxDemand bounds a count, so that sums cannot overflow.
	maxDemand = 1 << 30
	// maxDemands bounds the entries of one owner; 32 services of 8 classes each.
	maxDemands = 256
)

// cover assigns an outstanding offer to a demand that may use it.
func (i *interest) cover(o *offer) bool {
	if o.covers != nil {
		o.covers.change(0, -1)
		o.covers = nil
	}
	for n := range i.demands {
		d := &i.demands[n]
		if d.service == o.service && d.open() > 0 && (d.class.critical() || !o.urgent) {
			d.change(0, 1)
			o.covers = d
			return true
		}
	}
	return false
}

// forget drops an owner's demand and takes back its offers.
func (a *Agent) forget(owner identity.Process) {
	i, ok := a.interests[owner]
	if !ok {
		return
	}
	a.release(func(o *offer) bool { return o.owner == owner })
	delete(a.interests, owner)
	a.queue = slices.DeleteFunc(a.queue, func(o *interest) bool { return o == i })
	a.clear(i.demands)
	a.changed = true
}

// heard ends the pause of an owner that did not use an offer.
func (a *Agent) heard(owner identity.Process) {
	if i, ok := a.interests[owner]; ok {
		i.muted = time.Time{}
		i.pause = 0
	}
}

// served counts a started task off its owner's demand.
func (a *Agent) served(owner identity.Process, kind configuration.Kind) {
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

// accept uses up an offer of the owner and returns its target; nil if the owner
// has none that fits the task.
func (a *Agent) accept(owner identity.Process, s *service, c class) *target {
	for n, o := range a.offers {
		if o.owner != owner || o.service != s || (o.urgent && !c.critical()) {
			continue
		}
		if c.long() && !o.class.long() && o.target.longFree() == 0 {
			continue
		}
		a.offers = append(a.offers[:n], a.offers[n+1:]...)
		a.withdraw(o)
		return o.target
	}
	return nil
}

// withdraw gives the slot of an offer back to its target.
func (a *Agent) withdraw(o offer) {
	o.target.offered--
	if o.class.long() {
		o.target.usedLong--
	}
	if o.covers != nil {
		o.covers.change(0, -1)
	}
	a.touch(o.target)
}

// release takes back the offers that match.
func (a *Agent) release(match func(*offer) bool) {
	kept := a.offers[:0]
	var gone []offer
	for n := range a.offers {
		o := a.offers[n]
		if match(&o) {
			gone = append(gone, o)
		} else {
			kept = append(kept, o)
		}
	}
	clear(a.offers[len(kept):])
	a.offers = kept
	for _, o := range gone {
		a.withdraw(o)
	}
}

// lapse takes back the offers whose time is over. An owner that did not use one
// gets the next after a pause, so that a silent owner holds up no others.
func (a *Agent) lapse(now time.Time) {
	for len(a.offers) > 0 && !a.offers[0].until.After(now) {
		o := a.offers[0]
		a.offers = append(a.offers[:0], a.offers[1:]...)
		a.withdraw(o)
		a.counts.lapsed++
		a.mute(now, o.owner)
	}
}

func (a *Agent) mute(now time.Time, owner identity.Process) {
	if i, ok := a.interests[owner]; ok && !i.muted.After(now) {
		i.pause = min(max(2*i.pause, OfferLifetime), maxMuted)
		i.muted = now.Add(i.pause)
	}
}

// distribute offers every free slot that a registered demand may use. Slots for
// one owner go out in one message.
func (a *Agent) distribute(now time.Time) {
	if !a.active() || !a.matched() {
		return
	}
	a.batch = a.batch[:0]
	for {
		i, d := a.next(now)
		if d == nil {
			break
		}
		a.offer(now, i, d)
	}
	for _, b := range a.batch {
		a.send(b.owner, message.NewOffer(b.service, b.slots, b.urgent))
	}
}

// matched tells whether any slot is free for any demand.
func (a *Agent) matched() bool {
	for _, s := range a.listed {
		for c, n := range s.open {
			if n > 0 && s.best(class(c)) != nil {
				return true
			}
		}
	}
	return false
}

// next picks the demand for the next free slot: the most urgent and then the
// oldest, or now and then the oldest of all.
func (a *Agent) next(now time.Time) (*interest, *demand) {
	var owner, agedOwner *interest
	var best, aged *demand
	for _, i := range a.queue {
		if i.muted.After(now) {
			continue
		}
		for n := range i.demands {
			d := &i.demands[n]
			if d.open() == 0 || d.service.best(d.class) == nil {
				continue
			}
			if best == nil || d.urgency < best.urgency || (d.urgency == best.urgency && d.since.Before(best.since)) {
				owner, best = i, d
			}
			if now.Sub(d.since) > agedAfter && (aged == nil || d.since.Before(aged.since)) {
				agedOwner, aged = i, d
			}
		}
	}
	if aged != nil && (a.offered+1)%agedShare == 0 {
		return agedOwner, aged
	}
	return owner, best
}

func (a *Agent) offer(now time.Time, i *interest, d *demand) {
	s := d.service
	t := s.best(d.class)
	o := offer{
		owner:   i.owner,
		service: s,
		target:  t,
		class:   d.class,
		urgent:  t.free(d.class&^critical) == 0,
		until:   now.Add(OfferLifetime),
		covers:  d,
	}
	t.offered++
	if d.class.long() {
		t.usedLong++
	}
	d.change(0, 1)
	a.offered++
	a.offers = append(a.offers, o)
	a.touch(t)
	for n := range a.batch {
		b := &a.batch[n]
		if b.owner == o.owner && b.service == s.name && b.urgent == o.urgent {
			b.slots++
			return
		}
	}
	a.batch = append(a.batch, batched{
		owner:   o.owner,
		service: s.name,
		urgent:  o.urgent,
		slots:   1,
	})
}
