package agent

import (
	"slices"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
)

// maxTargets bounds the targets beside one agent.
const maxTargets = 4096

// announce enters a target, renews its announcement, or notes that it leaves.
func (a *Agent) announce(now time.Time, n announcement.Announcement) {
	t, ok := a.targets[n.Target()]
	leaving := n.Leaving() || a.cfg != nil && a.cfg.IsDrained(n.Target())
	switch {
	case leaving && ok:
		a.leave(t)
		return
	case leaving:
		return
	case !ok && len(a.targets) >= maxTargets:
		return
	case !ok:
		t = a.newTarget(n)
		a.targets[n.Target()] = t
	}
	t.until = now.Add(announcement.Lifetime)
	if ok && !t.leaving && sameOffer(t.announced, n) {
		t.announced = n
		return
	}
	// Offers count on the former slots and services.
	a.release(func(o *offer) bool { return o.target == t })
	moved := ok && !slices.Equal(t.announced.Services(), n.Services())
	if moved {
		a.unserve(t)
	}
	t.leaving = false
	t.announced = n
	if !ok || moved {
		a.serve(t)
	}
	a.touch(t)
}

func (a *Agent) newTarget(n announcement.Announcement) *target {
	a.entered++
	return newTarget(n, a.entered, &a.rules)
}

// sameOffer tells whether an announcement changes nothing that is decided by.
func sameOffer(a, b announcement.Announcement) bool {
	return a.Slots() == b.Slots() && a.Connections() == b.Connections() && slices.Equal(a.Services(), b.Services())
}

// leave gives the target no new work. It stays until its tasks have ended.
func (a *Agent) leave(t *target) {
	t.leaving = true
	a.release(func(o *offer) bool { return o.target == t })
	a.touch(t)
	if t.used == 0 {
		a.drop(t)
	}
}

func (a *Agent) drop(t *target) {
	delete(a.targets, t.announced.Target())
	a.unserve(t)
	a.changed = true
}

// inspect looks for a lapsed announcement and the end of an ejection.
func (a *Agent) inspect(now time.Time, name string, t *target) {
	switch {
	case t.readmit(now):
		a.touch(t)
	case !t.leaving && !t.until.After(now):
		a.leave(t)
	case t.leaving && t.used == 0:
		delete(a.targets, name)
	}
}

// sorted lists the targets by name.
func (a *Agent) sorted() []*target {
	list := make([]*target, 0, len(a.targets))
	for _, t := range a.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(x, y *target) int {
		return strings.Compare(x.announced.Target(), y.announced.Target())
	})
	return list
}
