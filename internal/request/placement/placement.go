// Package placement decides whether a task takes the place that is free now or waits for
// a better one.
//
// It is for loads in which many tasks want the few targets beside their data, or the fastest
// ones, while there is room elsewhere. A task that takes a worse place occupies it for
// longer, and so takes room from others; one that waits may wait in vain. Time is the
// only unit. Going now costs the time by which the caller's answer is later than at the
// better place, and the time that the longer run takes from others. Waiting costs the
// time until the better place is free.
//
// A task waits if that costs less than going now as far as can be expected, and never for
// longer than going now costs. This is the bound of the ski rental problem (Karlin,
// Manasse, Rudolph and Sleator, "Competitive snoopy caching", 1988): whatever happens, a
// wait costs at most twice as much as going now. No wait may make an answer late that
// would be in time on the worse side of its estimate.
//
// Where going now is not safely in time, time is not what counts. The task then waits
// only if it is more likely to be in time for it by a clear margin.
package placement

import (
	"math"
	"time"

	"greengagedoor.example/greengagedoor/internal/request/lognormal"
)

// The parameters of the decision.
const (
	// minGain is by how much a wait must raise the probability of an answer in time. Less
	// is lost in the error of the estimates. A wait also keeps the place from those behind,
	// so the gain must be higher where capacity is scarce, by scarcityGain times minGain at
	// most.
	minGain      = 0.1
	scarcityGain = 2
	// worseSide is the number of standard deviations of the worse side of an estimate.
	worseSide = 2
	// minWait is the shortest wait that is worth its bookkeeping. Reports take as long.
	minWait = 2 * time.Millisecond
	// gridSize is the number of intervals in which expectations are summed.
	gridSize = 12
)

// Offer is the choice of a task or group: a place that is free now, and a better one.
type Offer struct {
	// here is the expected run time at the free place, there that at the better one.
	here  time.Duration
	there time.Duration
	// spread is the standard deviation of the logarithms of run times.
	spread float64
	// slack is the time until an answer is late.
	slack time.Duration
	// covered is the time for which other tasks of the job run in any case.
	covered time.Duration
	// scarcity is the value of free capacity to others, from 0 to 1.
	scarcity float64
	// most is the longest wait that is left to the task.
	most time.Duration
}

// NewOffer returns the offer of a task with the expected run times at the place that is
// free now and at the better one, the spread of these estimates and the time until an
// answer is late.
func NewOffer(here, there time.Duration, spread float64, slack time.Duration) Offer {
	return Offer{
		here:   here,
		there:  there,
		spread: spread,
		slack:  slack,
		most:   math.MaxInt64,
	}
}

// WithJob returns the offer of a task whose job ends no earlier than after covered. A
// delay of the task within that time costs the caller nothing.
func (o Offer) WithJob(covered time.Duration) Offer {
	o.covered = covered
	return o
}

// WithScarcity returns the offer with the value of free capacity to others, from 0, where
// there is room for all, to 1, where each place is taken at once.
func (o Offer) WithScarcity(s float64) Offer {
	o.scarcity = s
	return o
}

// Within returns the offer of a task that waits already, with the rest of the longest
// wait that was decided when it began.
func (o Offer) Within(rest time.Duration) Offer {
	o.most = rest
	return o
}

// worst returns the run time here on the worse side of the estimate.
func (o Offer) worst() time.Duration {
	return time.Duration(float64(o.here) * (1 + worseSide*o.spread))
}

// GoingNow returns the cost of the free place: how much later the answer is, and how much
// time others lose.
func (o Offer) GoingNow() time.Duration {
	later := max(o.here, o.covered) - max(o.there, o.covered)
	return later + time.Duration(o.scarcity*float64(o.here-o.there))
}

// Waiting returns the cost of the better place after a wait.
func (o Offer) Waiting(t time.Duration) time.Duration {
	return max(t+o.there, o.covered) - max(o.there, o.covered)
}

// Limit returns the longest wait from now on: its cost is that of going now, and a run
// that starts here afterwards is in time on the worse side of the estimate.
func (o Offer) Limit() time.Duration {
	free := max(0, o.covered-o.there)
	return min(o.GoingNow()+free, o.slack-o.worst(), o.most)
}

// Decision is the outcome for a task.
type Decision struct {
	wait     bool
	expected time.Duration
	limit    time.Duration
}

// Wait reports whether the task waits.
func (d Decision) Wait() bool {
	return d.wait
}

// Expected returns the expected length of the wait, at most Limit.
func (d Decision) Expected() time.Duration {
	return d.expected
}

// Limit returns the time after which the wait ends in any case.
func (d Decision) Limit() time.Duration {
	return d.limit
}

// Decide decides on an offer by when the better place is expected to be free.
func Decide(o Offer, r Room) Decision {
	switch {
	case o.there >= o.here:
		return Decision{}
	case o.slack < o.worst():
		return decideByChance(o, r)
	}
	return decideByTime(o, r)
}

// decideByTime weighs the cost of a bounded wait, with a run here after a wait in vain,
// against that of going now.
func decideByTime(o Offer, r Room) Decision {
	limit := o.Limit()
	if limit < minWait {
		return Decision{}
	}
	now := o.GoingNow()
	cost, expected := 0.0, 0.0
	step := limit / gridSize
	before := 1.0
	for i := range gridSize {
		end := step * time.Duration(i+1)
		after := r.Later(end)
		cost += (before - after) * float64(o.Waiting(end-step/2))
		expected += (before + after) / 2 * float64(step)
		before = after
	}
	cost += before * float64(o.Waiting(limit)+now)
	return Decision{
		wait:     cost < float64(now),
		expected: time.Duration(expected),
		limit:    limit,
	}
}

// decideByChance compares the probabilities of an answer in time. The wait ends where
// the better place is no longer better than going now was.
func decideByChance(o Offer, r Room) Decision {
	now := lognormal.Within(o.slack, o.here, o.spread)
	limit := min(o.most, o.slack-time.Duration(float64(o.there)*float64(o.slack)/float64(o.here)))
	if limit < minWait {
		return Decision{}
	}
	chance, expected := 0.0, 0.0
	step := limit / gridSize
	before := 1.0
	for i := range gridSize {
		end := step * time.Duration(i+1)
		after := r.Later(end)
		chance += (before - after) * lognormal.Within(o.slack-end+step/2, o.there, o.spread)
		expected += (before + after) / 2 * float64(step)
		before = after
	}
	chance += before * lognormal.Within(o.slack-limit, o.here, o.spread)
	return Decision{
		wait:     chance >= now+minGain*(1+scarcityGain*o.scarcity),
		expected: time.Duration(expected),
		limit:    limit,
	}
}
