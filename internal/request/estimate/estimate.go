// Package estimate estimates run times and drain rates from ended tasks.
//
// Declared run times are often far off, and no process knows which capacity of
// shared agents one owner gets. Each estimate is a few numbers, so that one can be
// kept for each kind and service.
package estimate

import (
	"math"
	"time"
)

// The parameters of a run time estimate.
const (
	// minSamples is the number of ended tasks from which the estimate replaces the
	// declared run time.
	minSamples = 20
	// minStep is the smallest relative step. It lets the estimate follow a kind
	// whose run time changes.
	minStep = 0.02
	// initialStep is the relative step of the first sample. It corrects declared
	// run times that are off by orders of magnitude.
	initialStep = 1.0
)

// RunTime estimates a quantile of the run times of a kind.
type RunTime struct {
	quantile float64
	declared time.Duration
	value    float64
	samples  int
}

// NewRunTime returns an estimate that starts at the declared run time.
func NewRunTime(quantile float64, declared time.Duration) RunTime {
	return RunTime{
		quantile: quantile,
		declared: declared,
		value:    math.Log(float64(max(declared, time.Microsecond))),
	}
}

// Observe adds the run time of an ended task. The estimate moves up by a step
// weighted with the quantile, or down by a step weighted with its complement, so
// that it settles where the quantile's share of the samples lies below it. Steps
// are relative because run times of kinds differ by orders of magnitude.
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

// Value returns the estimate, or the declared run time before minSamples
// observations.
func (r *RunTime) Value() time.Duration {
	if r.samples < minSamples {
		return r.declared
	}
	return time.Duration(math.Exp(r.value))
}

// The parameters of a drain rate.
const (
	// drainWindow is the time over which finished work is summed. A shorter window
	// would contain too few tasks of a second each.
	drainWindow = 250 * time.Millisecond
	// drainSmoothing is the weight of the newest window in the exponential moving
	// average.
	drainSmoothing = 0.3
	// drainRateLifetime is how long a rate stays valid without a backlog.
	drainRateLifetime = 5 * time.Second
)

// DrainRate measures how much work a service completes per second while work is
// waiting. Work is counted in seconds of run time, so the rate is the number of
// slots that the owner effectively has.
type DrainRate struct {
	windowStart time.Time
	work        float64
	rate        float64
	measured    time.Time
}

// Observe adds the end of a task. Backlog reports whether work was waiting; without
// a backlog the rate says nothing about the capacity.
func (d *DrainRate) Observe(now time.Time, runTime time.Duration, backlog bool) {
	if !backlog {
		d.windowStart = time.Time{}
		return
	}
	if d.windowStart.IsZero() {
		d.windowStart = now
		d.work = 0
		return
	}
	d.work += runTime.Seconds()
	span := now.Sub(d.windowStart)
	if span < drainWindow {
		return
	}
	rate := d.work / span.Seconds()
	if d.measured.IsZero() || now.Sub(d.measured) > drainRateLifetime {
		d.rate = rate
	} else {
		d.rate += drainSmoothing * (rate - d.rate)
	}
	d.measured = now
	d.windowStart = now
	d.work = 0
}

// Rate returns the measured rate in slots; ok is false if there is no recent
// measurement.
func (d *DrainRate) Rate(now time.Time) (slots float64, ok bool) {
	return d.rate, !d.measured.IsZero() && now.Sub(d.measured) <= drainRateLifetime
}
