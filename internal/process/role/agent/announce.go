package agent

import (
	"slices"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
)

// maxTargets limits the targets of one agent, which keeps state for each.
const maxTargets = 4096

// announce adds or renews a target, or drains one that is leaving or drained by the
// configuration.
func (a *Agent) announce(now time.Time, n announcement.Announcement) {
	t, ok := a.targets[n.Target()]
	leaving := n.Leaving() || a.cfg != nil && a.cfg.IsDrained(n.Target())
	switch {
	case leaving && ok:
		a.drainTarget(t)
		return
	case leaving:
		return
	case !ok && len(a.targets) >= maxTargets:
		return
	case !ok:
		t = a.newTarget(n)
		a.targets[n.Target()] = t
	}
	t.expires = now.Add(announcement.Lifetime)
	if ok && !t.leaving && sameCapacity(t.announced, n) {
		t.announced = n
		return
	}
	// Existing offers are based on the previous slots and services.
	a.cancelOffers(func(o *offer) bool { return o.target == t })
	servicesChanged := ok && !slices.Equal(t.announced.Services(), n.Services())
	if servicesChanged {
		a.unregister(t)
	}
	t.leaving = false
	t.announced = n
	if !ok || servicesChanged {
		a.register(t)
	}
	a.targetChanged(t)
}

func (a *Agent) newTarget(n announcement.Announcement) *target {
	a.targetsAdded++
	return newTarget(n, a.targetsAdded, &a.rules)
}

// sameCapacity reports whether two announcements of a target have the same slots,
// connections and services.
func sameCapacity(a, b announcement.Announcement) bool {
	return a.Slots() == b.Slots() && a.Connections() == b.Connections() && slices.Equal(a.Services(), b.Services())
}

// drainTarget gives the target no new work. The target is removed when its tasks
// have ended.
func (a *Agent) drainTarget(t *target) {
	t.leaving = true
	a.cancelOffers(func(o *offer) bool { return o.target == t })
	a.targetChanged(t)
	if t.used == 0 {
		a.removeTarget(t)
	}
}

func (a *Agent) removeTarget(t *target) {
	delete(a.targets, t.announced.Target())
	a.unregister(t)
	a.capacityChanged = true
}

// checkTarget readmits an ejected target whose ejection has ended, drains one whose
// announcement has expired, and removes one that has been drained.
func (a *Agent) checkTarget(now time.Time, name string, t *target) {
	switch {
	case t.readmit(now):
		a.targetChanged(t)
	case !t.leaving && !t.expires.After(now):
		a.drainTarget(t)
	case t.leaving && t.used == 0:
		delete(a.targets, name)
	}
}

// sortedTargets returns the targets in the order of their names.
func (a *Agent) sortedTargets() []*target {
	list := make([]*target, 0, len(a.targets))
	for _, t := range a.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(x, y *target) int {
		return strings.Compare(x.announced.Target(), y.announced.Target())
	})
	return list
}
