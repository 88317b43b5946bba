package agent

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// causes is the number of reasons for refusing a start.
const causes = int(message.Withdrawn) + 1

// counts is what has happened since the process started.
type counts struct {
	started   int
	ended     [outcome.Revoked + 1]int
	rejected  [causes]int
	seals     int
	revokes   int
	lapsed    int
	controls  int
	abandoned int
}

func (c *counts) reject(cause message.Cause) {
	if int(cause) < causes {
		c.rejected[cause]++
	}
}

func (c *counts) end(s outcome.State) {
	if int(s) < len(c.ended) {
		c.ended[s]++
	}
}

// Snapshot is the state of the agent in numbers, for the dump.
type Snapshot struct {
	counts     counts
	offersMade uint64
	targets    []TargetState
	running    int
	records    int
	resultSize int
	evicted    int
	revoked    int
	interested int
	offers     int
	unsent     int
	draining   bool
	leased     bool
}

// TargetState is one target in numbers.
type TargetState struct {
	name    string
	slots   int
	used    int
	long    int
	offered int
	speed   float64
	leaving bool
	ejected time.Time
}

// Name is the target's name.
func (t TargetState) Name() string {
	return t.name
}

// Slots is how many tasks it may run.
func (t TargetState) Slots() int {
	return t.slots
}

// Used is how many tasks run.
func (t TargetState) Used() int {
	return t.used
}

// Long is how many slots kinds marked long hold or are offered.
func (t TargetState) Long() int {
	return t.long
}

// Offered is how many slots are kept for owners.
func (t TargetState) Offered() int {
	return t.offered
}

// Speed is the learned speed.
func (t TargetState) Speed() float64 {
	return t.speed
}

// Leaving tells that the target gets no new work.
func (t TargetState) Leaving() bool {
	return t.leaving
}

// Ejected is the end of the target's ejection, zero if it is not ejected.
func (t TargetState) Ejected() time.Time {
	return t.ejected
}

// Snapshot returns the state in numbers.
func (a *Agent) Snapshot() Snapshot {
	s := Snapshot{
		counts:     a.counts,
		offersMade: a.offered,
		running:    len(a.running),
		records:    a.ledger.Len(),
		resultSize: a.ledger.Bytes(),
		evicted:    a.ledger.Evicted(),
		revoked:    len(a.revoked.at),
		interested: len(a.queue),
		offers:     len(a.offers),
		unsent:     len(a.unsent),
		draining:   a.draining,
		leased:     a.leased,
	}
	for _, t := range a.sortedTargets() {
		s.targets = append(s.targets, t.state())
	}
	if a.worker != nil {
		s.targets = append(s.targets, a.worker.target.state())
	}
	return s
}

func (t *target) state() TargetState {
	return TargetState{
		name:    t.announced.Target(),
		slots:   t.slots(),
		used:    t.used,
		long:    t.usedLong,
		offered: t.offered,
		speed:   t.speed,
		leaving: t.leaving,
		ejected: t.ejected,
	}
}

// Started is the number of starts.
func (s Snapshot) Started() int {
	return s.counts.started
}

// Ended is the number of ends with a state.
func (s Snapshot) Ended(state outcome.State) int {
	return s.counts.ended[state]
}

// Rejected is the number of refused starts with a cause.
func (s Snapshot) Rejected(cause message.Cause) int {
	return s.counts.rejected[cause]
}

// Fences is the number of answered seals.
func (s Snapshot) Fences() int {
	return s.counts.seals
}

// Revokes is the number of answered revocations.
func (s Snapshot) Revokes() int {
	return s.counts.revokes
}

// Controls is the number of tasks told to give way, to resume or to stop.
func (s Snapshot) Controls() int {
	return s.counts.controls
}

// Abandoned is the number of reports that could not be kept for another try.
func (s Snapshot) Abandoned() int {
	return s.counts.abandoned
}

// Offered is the number of slots offered so far.
func (s Snapshot) Offered() uint64 {
	return s.offersMade
}

// ExpiredOffers is the number of offers that no owner used.
func (s Snapshot) ExpiredOffers() int {
	return s.counts.lapsed
}

// Targets lists the targets by name, and the worker last.
func (s Snapshot) Targets() []TargetState {
	return s.targets
}

// Running is the number of tasks at back ends.
func (s Snapshot) Running() int {
	return s.running
}

// Records is the number of start records.
func (s Snapshot) Records() int {
	return s.records
}

// ResultBytes is the size of the kept results.
func (s Snapshot) ResultBytes() int {
	return s.resultSize
}

// Evicted is the number of results given up for want of room.
func (s Snapshot) Evicted() int {
	return s.evicted
}

// Revoked is the number of submissions that may not start any more.
func (s Snapshot) Revoked() int {
	return s.revoked
}

// Interested is the number of owners with demand.
func (s Snapshot) Interested() int {
	return s.interested
}

// Offers is the number of slots kept for owners now.
func (s Snapshot) Offers() int {
	return s.offers
}

// Unsent is the number of reports that wait for another try.
func (s Snapshot) Unsent() int {
	return s.unsent
}

// Draining tells that the agent takes no new work.
func (s Snapshot) Draining() bool {
	return s.draining
}

// Leased tells that the membership lease is valid.
func (s Snapshot) Leased() bool {
	return s.leased
}
