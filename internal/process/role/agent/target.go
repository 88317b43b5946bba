package agent

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The parameters of slots and speed.
const (
	// minSlotsForReserve is the number of slots from which some are reserved for
	// critical tasks. A smaller target would lose too much of its capacity.
	minSlotsForReserve = 4
	// speedWeight is the weight of a new sample in the moving average.
	speedWeight = 0.1
	minSpeed    = 0.01
	maxSpeed    = 100
)

// The parameters of outlier ejection.
const (
	// ejectionFailures is the number of consecutive quick failures after which a
	// target is ejected.
	ejectionFailures = 5
	// minEjection and maxEjection bound the duration of an ejection, which doubles each time.
	minEjection = time.Second
	maxEjection = time.Minute
	// quickFailureFactor times the expected run time is the limit of a quick failure.
	quickFailureFactor = 0.5
)

// rules has the admission parameters of the configuration, shared by all targets.
type rules struct {
	reserved  int
	longShare float64
}

func (r *rules) set(a configuration.Admission) {
	r.reserved = a.ReservedSlots()
	r.longShare = a.LongShare()
}

// class determines which slots a task may use.
type class uint8

// The classes. Critical tasks may use reserved slots. Long tasks may use only a share
// of the slots.
const (
	general class = iota
	critical
	long
	criticalLong
	classes
)

func classOf(isCritical, isLong bool) class {
	c := general
	if isCritical {
		c |= critical
	}
	if isLong {
		c |= long
	}
	return c
}

func (c class) critical() bool {
	return c&critical != 0
}

func (c class) long() bool {
	return c&long != 0
}

// target is an announced target, or the worker, with its slots and statistics.
type target struct {
	rules         *rules
	order         uint64
	announced     announcement.Announcement
	expires       time.Time
	leaving       bool
	used          int
	usedLong      int
	offered       int
	speed         float64
	quickFailures int
	backoff       time.Duration
	ejected       time.Time
	probing       bool
	worker        bool
	workerSlots   int
	registrations []registration
	contributed   contribution
}

// registration is a target's membership in a service, with its index in the ranking
// of each class.
type registration struct {
	service *service
	index   [classes]int
}

// newTarget returns a target. Among targets with the same load, the lowest order is
// first.
func newTarget(n announcement.Announcement, order uint64, r *rules) *target {
	return &target{
		rules:     r,
		order:     order,
		announced: n,
		speed:     1,
	}
}

// slots returns how many tasks may run at a time. Each call occupies a connection, so
// the number of connections is a limit, too. A probed target has one slot.
func (t *target) slots() int {
	n := min(t.announced.Slots(), t.announced.Connections())
	if t.worker {
		n = t.workerSlots
	}
	if t.probing {
		return min(n, 1)
	}
	return n
}

func (t *target) accepting() bool {
	return !t.leaving && t.ejected.IsZero()
}

func (t *target) reservedSlots() int {
	if t.slots() < minSlotsForReserve {
		return 0
	}
	return min(t.rules.reserved, t.slots()-1)
}

// free returns the number of free slots that a class may use.
func (t *target) free(c class) int {
	if !t.accepting() {
		return 0
	}
	n := t.slots() - t.used - t.offered
	if !c.critical() {
		n -= t.reservedSlots()
	}
	if c.long() {
		n = min(n, t.longFree())
	}
	return max(n, 0)
}

// longFree returns the number of free slots in the share for long tasks.
func (t *target) longFree() int {
	return max(int(float64(t.slots())*t.rules.longShare), 1) - t.usedLong
}

// load returns the load that ranks targets for a class. It is infinite if no slot is
// free.
func (t *target) load(c class) float64 {
	if t.free(c) == 0 {
		return infiniteLoad
	}
	return float64(t.used+t.offered+1) / (float64(t.slots()) * t.speed)
}

func (t *target) acquireSlot(isLong bool) {
	t.used++
	if isLong {
		t.usedLong++
	}
}

func (t *target) releaseSlot(isLong bool) {
	t.used--
	if isLong {
		t.usedLong--
	}
}

// observe updates the statistics of the target with the result of a task. Speed is
// relative to the declared run time of the kind, which is the same at all agents. A
// quick failure is relative to the estimated run time.
func (t *target) observe(now time.Time, r outcome.Result, took time.Duration, k *kindStats) {
	switch r.State() {
	case outcome.Succeeded:
		t.quickFailures = 0
		t.backoff = 0
		t.probing = false
		if r.RunTime() > 0 {
			s := min(max(float64(k.declared)/float64(r.RunTime()), minSpeed), maxSpeed)
			t.speed += speedWeight * (s - t.speed)
		}
		return
	case outcome.Failed, outcome.Unknown:
		if float64(took) > quickFailureFactor*float64(k.runTime()) {
			t.quickFailures = 0
			t.probing = false
			return
		}
	case outcome.Revoked:
		// The connection was refused, which is always a quick failure.
	}
	t.quickFailures++
	if t.quickFailures >= ejectionFailures || t.probing {
		t.eject(now)
	}
}

func (t *target) eject(now time.Time) {
	if !t.ejected.IsZero() {
		// The task was started before the ejection.
		return
	}
	t.backoff = min(max(2*t.backoff, minEjection), maxEjection)
	t.ejected = now.Add(t.backoff)
	t.quickFailures = 0
	t.probing = false
}

// readmit ends an ejection that is over and reports whether it did. The target runs
// one task at a time until one does not fail quickly.
func (t *target) readmit(now time.Time) bool {
	if t.ejected.IsZero() || t.ejected.After(now) {
		return false
	}
	t.ejected = time.Time{}
	t.probing = true
	return true
}
