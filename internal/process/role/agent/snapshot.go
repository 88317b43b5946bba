package agent

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// causes is the number of causes for rejecting a start.
const causes = int(message.Withdrawn) + 1

// counts has the totals since the process started. The dump prints the field names.
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

// Snapshot has the counts and sizes of the agent for the dump, which prints the
// field names.
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

// TargetState has the counts of one target for the dump, which prints the field
// names.
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

func (t TargetState) Name() string {
	return t.name
}

// Slots returns how many tasks the target may run at a time.
func (t TargetState) Slots() int {
	return t.slots
}

// Used returns the number of running tasks.
func (t TargetState) Used() int {
	return t.used
}

// Long returns the number of slots that long tasks occupy or have been offered.
func (t TargetState) Long() int {
	return t.long
}

// Offered returns the number of slots reserved by offers.
func (t TargetState) Offered() int {
	return t.offered
}

// Speed returns the measured speed; 1 is the declared run time.
func (t TargetState) Speed() float64 {
	return t.speed
}

// Leaving reports whether the target gets no new work.
func (t TargetState) Leaving() bool {
	return t.leaving
}

// Ejected returns the end of the target's ejection, or zero if it is not ejected.
func (t TargetState) Ejected() time.Time {
	return t.ejected
}

// Snapshot returns the current counts and sizes.
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

// Started returns the number of started tasks.
func (s Snapshot) Started() int {
	return s.counts.started
}

// Ended returns the number of starts that ended with a state.
func (s Snapshot) Ended(state outcome.State) int {
	return s.counts.ended[state]
}

// Rejected returns the number of starts rejected for a cause.
func (s Snapshot) Rejected(cause message.Cause) int {
	return s.counts.rejected[cause]
}

// Fences returns the number of handled Fence messages.
func (s Snapshot) Fences() int {
	return s.counts.seals
}

// Revokes returns the number of handled Revoke messages.
func (s Snapshot) Revokes() int {
	return s.counts.revokes
}

// Controls returns the number of actions on tasks of the worker.
func (s Snapshot) Controls() int {
	return s.counts.controls
}

// Abandoned returns the number of unsent reports that were dropped.
func (s Snapshot) Abandoned() int {
	return s.counts.abandoned
}

// Offered returns the number of slots offered since the start.
func (s Snapshot) Offered() uint64 {
	return s.offersMade
}

// ExpiredOffers returns the number of offered slots that no owner used in time.
func (s Snapshot) ExpiredOffers() int {
	return s.counts.lapsed
}

// Targets returns the targets in the order of their names, then the worker.
func (s Snapshot) Targets() []TargetState {
	return s.targets
}

// Running returns the number of tasks at back ends.
func (s Snapshot) Running() int {
	return s.running
}

// Records returns the number of start records.
func (s Snapshot) Records() int {
	return s.records
}

// ResultBytes returns the size of the stored results in bytes.
func (s Snapshot) ResultBytes() int {
	return s.resultSize
}

// Evicted returns the number of results evicted from the ledger.
func (s Snapshot) Evicted() int {
	return s.evicted
}

// Revoked returns the number of stored revocations.
func (s Snapshot) Revoked() int {
	return s.revoked
}

// Interested returns the number of owners with demand.
func (s Snapshot) Interested() int {
	return s.interested
}

// Offers returns the number of slots that are reserved by offers.
func (s Snapshot) Offers() int {
	return s.offers
}

// Unsent returns the number of reports to be sent again.
func (s Snapshot) Unsent() int {
	return s.unsent
}

// Draining reports whether the agent is draining.
func (s Snapshot) Draining() bool {
	return s.draining
}

// Leased reports whether the membership lease is valid.
func (s Snapshot) Leased() bool {
	return s.leased
}
