// Package estimate learns run times and drain rates from what was observed.
//
// Declared run times are often far off, and the capacity that one owner gets of
// shared agents is known to nobody. Both are estimated from ended tasks. Each
// estimate is a few numbers, so that one can be kept for each kind and service.
package estimate

import (
	"math"
	"time"
)

// The parameters of a run time estimate.
const (
	// enoughSamples is the number of ended tasks from which the estimate replaces
	// the declared run time.
	enoughSamples = 20
	// minStep bounds the step, as a part of the estimate, so that it follows a kind
	// whose run time changes.
	minStep = 0.02
	// initialStep lets the first samples correct a declaration that is off by
	// orders of magnitude.
	initialStep = 1.0
)

// RunTime estimates a quantile of a kind's run time.
type RunTime struct {
	quantile float64
	declared time.Duration
	value    float64
	samples  int
}

// NewRunTime returns an estimate that starts from the declared run time.
func NewRunTime(quantile float64, declared time.Duration) RunTime {
	return RunTime{
		quantile: quantile,
		declared: declared,
		value:    math.Log(float64(max(declared, time.Microsecond))),
	}
}

// Observe takes the run time of one ended task. The estimate moves up by a step
// weighted with the quantile, or down by one weighted with the rest, so that it
// rests where the quantile's part of the samples lies below it. Steps are
// relative, since run times of kinds differ by orders of magnitude.
func (r *RunTime) Observe(d time.Duration) {
	r.samples++
	step := max(initialStep/math.Sqrt(float64(r.samples)), minStep)
	x := math.Log(float64(max(d, time.Microsecond)))
	switch {
	case x > r.value:
		r.value += min(step*r.quantile, x-r.value)
	case x < r.value:
		r.value -= min(step*(1-r.quantile), r.value-x)
	}
}

// Value is the learned run time, or the declared one until enough was seen.
func (r *RunTime) Value() time.Duration {
	if r.samples < enoughSamples {
		return r.declared
	}
	return time.Duration(math.Exp(r.value))
}

// The parameters of a drain rate.
const (
	// drainWindow is the time over which finished work is counted; shorter windows
	// would hold too few tasks of a second each.
	drainWindow = 250 * time.Millisecond
	// drainWeight is the weight of the newest window.
	drainWeight = 0.3
	// drainLife is how long a rate stays valid without backlog.
	drainLife = 5 * time.Second
)

// DrainRate measures how much work a service ends in each second while work waits.
// Work is counted in seconds of run time, so the rate is the number of slots
// that the owner effectively has.
type DrainRate struct {
	since time.Time
	work  float64
	rate  float64
	last  time.Time
}

// Observe takes the end of one task. Backlog tells whether work was waiting;
// without backlog the rate says nothing about the capacity.
func (d *DrainRate) Observe(now time.Time, runTime time.Duration, backlog bool) {
	if !backlog {
		d.since = time.Time{}
		return
	}
	if d.since.IsZero() {
		d.since = now
		d.work = 0
		return
	}
	d.work += runTime.Seconds()
	span := now.Sub(d.since)
	if span < drainWindow {
		return
	}
	rate := d.work / span.Seconds()
	if d.last.IsZero() || now.Sub(d.last) > drainLife {
		d.rate = rate
	} else {
		d.rate += drainWeight * (rate - d.rate)
	}
	d.last = now
	d.since = now
	d.work = 0
}

// Rate is the observed rate in slots; ok is false if there is no recent one.
func (d *DrainRate) Rate(now time.Time) (slots float64, ok bool) {
	return d.rate, !d.last.IsZero() && now.Sub(d.last) <= drainLife
}
