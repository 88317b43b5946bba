package station

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The pauses of calls to a target that does not answer.
const (
	// holdRetry is the pause before a list is asked for again.
	holdRetry = 50 * time.Millisecond
	// holdHedge is the age of an open call for lists from which a second one is made:
	// answers get lost, and without lists no end is known and no room is freed.
	holdHedge = 40 * time.Millisecond
	// maxHolds bounds the open calls for lists.
	maxHolds = 2
	// maxUnanswered is the number of calls in a row without answer from which the
	// target gets no new work until it answers.
	maxUnanswered = 2
	// reportLife is how long a target that runs nothing is taken as alive without a
	// report; targets report every 1.5 s.
	reportLife = 4 * time.Second
)

// target is what the station knows about the target.
type target struct {
	boot     Boot
	fence    int64
	known    bool
	synced   bool
	replaced bool
	left     bool
	stale    bool
	sequence int64
	reported time.Duration

	service  string
	address  string
	zone     string
	labels   []string
	capacity task.Resources
	draining bool
	cold     time.Duration

	// clock is the target's clock at the moment clockAt of the agent's clock. It is
	// behind rather than ahead, since answers take time.
	clock     time.Duration
	clockSeen time.Duration
	// leaseEnd is when everything that runs has lapsed unless it is extended.
	leaseEnd time.Duration

	lastSeen int64
	acked    int64
	holds    uint64
	listed   uint64
	// waiting holds when each call for lists was sent that is not answered yet.
	waiting    map[uint64]time.Duration
	lookDue    bool
	looking    bool
	holdAfter  time.Duration
	unanswered int
	// silentHolds counts the calls for lists in a row that were not answered.
	silentHolds int
	unclaimed   map[task.Run]time.Duration
}

// usable tells whether the target may be given new work.
func (t *target) usable() bool {
	return t.known && t.synced && !t.draining && !t.left && !t.replaced && !t.stale && t.unanswered < maxUnanswered
}

func (t *target) describe(leaving bool) frame.Target {
	return frame.NewTarget(t.boot.String(), t.service, t.zone, t.labels, t.usable() && !leaving).
		WithCapacity(t.capacity.MilliCores(), t.capacity.MemoryMB(), t.capacity.Accelerators()).
		WithWarmUp(t.cold)
}

// clockAt is the target's clock now. It is never ahead of the true one, whose
// rate may be lower than the agent's, so that no lease gets longer than intended.
func (t *target) clockAt(now time.Duration) time.Duration {
	return t.clock + time.Duration(float64(now-t.clockSeen)/clockDrift)
}

// frozen takes that the agent did nothing for a time. The target may have been
// suspended with its host, so its clock counts as not having moved.
func (t *target) frozen(gap time.Duration) {
	t.clockSeen += gap
}

// extended notes that a call with a new end of the lease is sent.
func (t *target) extended(now time.Duration, timing Timing) {
	t.leaseEnd = now + timing.lapse()
}

// answered takes whether a call that was sent at a time was answered, and the
// target's clock in the answer, which it read between then and now.
func (t *target) answered(now, sent time.Duration, ok bool, clock time.Duration) {
	if !ok {
		t.unanswered++
		return
	}
	t.unanswered = 0
	if clock <= 0 {
		return
	}
	estimate := min(max(t.clockAt(now), clock), clock+now-sent)
	t.clock = estimate
	t.clockSeen = now
}

// raiseFence raises the fence above one that was refused.
func (t *target) raiseFence(refused int64) {
	if t.fence <= refused {
		t.fence = refused + fenceStep
	}
}

// report takes what the target says about itself. Reports of earlier lives, and
// those that others have overtaken, are passed over.
func (s *Station) report(now time.Duration, r Report) {
	t := &s.target
	switch {
	case t.known && r.boot != t.boot && r.boot.started < t.boot.started:
		return
	case t.known && r.boot == t.boot && r.sequence <= t.sequence:
		return
	case r.boot != t.boot:
		s.renew(now, r)
	}
	t.known = true
	t.sequence = r.sequence
	t.reported = now
	t.service = r.service
	t.address = r.address
	t.zone = r.zone
	t.labels = r.labels
	t.capacity = r.capacity
	t.cold = r.cold
	t.replaced = false
	t.stale = false
	if r.draining != t.draining {
		t.draining = r.draining
		s.note(event.TargetChanged, event.F("target", r.boot.id), event.F("draining", r.draining), event.F("remaining_ms", r.remaining.Milliseconds()))
	}
}

// renew starts anew with another life of the target, which runs nothing.
func (s *Station) renew(now time.Duration, r Report) {
	for _, x := range s.ordered() {
		if x.state == runWaiting {
			s.refuse(x, task.EndRefused, "target_restarted")
			continue
		}
		s.end(now, x, task.EndLost, "target_restarted")
	}
	fence := s.target.fence
	s.target = target{
		boot:      r.boot,
		fence:     fence,
		sequence:  r.sequence - 1,
		clock:     r.clock,
		clockSeen: now,
		waiting:   map[uint64]time.Duration{},
		unclaimed: map[task.Run]time.Duration{},
	}
	s.targetChanged()
	s.note(event.TargetSeen, event.F("target", r.boot.id), event.F("started_ms", r.boot.started), event.F("address", r.address),
		event.F("service", r.service), event.F("labels", r.labels), event.F("milli_cores", r.capacity.MilliCores()), event.F("fence", fence))
}

func (s *Station) left(id string) {
	if !s.target.known || s.target.boot.id != id {
		return
	}
	s.target.left = true
	s.note(event.TargetLost, event.F("target", id), event.F("cause", "left"))
}

func (s *Station) refuseWaiting(cause string) {
	for _, r := range append([]*run(nil), s.waiting...) {
		s.refuse(r, task.EndRefused, cause)
	}
}

func (s *Station) targetChanged() {
	for _, x := range s.sessions {
		x.target = false
	}
}

// age takes a target that runs nothing and has not reported for long as gone.
func (s *Station) age(now time.Duration) {
	t := &s.target
	if !t.known || t.stale || now-t.reported <= reportLife || len(s.runs) > 0 {
		return
	}
	t.stale = true
	s.note(event.TargetLost, event.F("target", t.boot.id), event.F("cause", "no_report"), event.F("age_ms", (now-t.reported).Milliseconds()))
}

// gone ends what ran on a target that has ended. It gets no work before its next
// life reports.
func (s *Station) gone(now time.Duration) {
	t := &s.target
	t.replaced = true
	t.holdAfter = now + holdRetry
	s.note(event.TargetLost, event.F("target", t.boot.id), event.F("cause", "no_process"), event.F("runs", len(s.runs)-len(s.waiting)))
	for _, r := range s.ordered() {
		if r.state != runWaiting {
			s.end(now, r, task.EndLost, "target_gone")
		}
	}
}

// lapse ends what runs when the lease has certainly run out.
func (s *Station) lapse(now time.Duration) {
	t := &s.target
	if !t.known || now <= t.leaseEnd || len(s.runs) == len(s.waiting) {
		return
	}
	s.note(event.TargetLost, event.F("target", t.boot.id), event.F("cause", "lease_over"), event.F("unanswered", t.unanswered))
	for _, r := range s.ordered() {
		if r.state != runWaiting {
			s.end(now, r, task.EndLost, "lease_over")
		}
	}
}
