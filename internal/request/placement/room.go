package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/request/lognormal"
)

// maxEnds and maxAhead limit what one decision examines. A task behind more others waits
// in vain in the time that a wait may take.
const (
	maxEnds  = 8
	maxAhead = 24
)

// Run is a run whose end frees a place.
type Run struct {
	ran      time.Duration
	expected time.Duration
}

// NewRun returns a run by how long it has run and its expected run time.
func NewRun(ran, expected time.Duration) Run {
	return Run{
		ran:      ran,
		expected: expected,
	}
}

// Room tells when places that are taken now become free.
type Room struct {
	runs   []Run
	spread float64
	rate   float64
	needed int
}

// NewRoom returns the room of places: the runs on them that are known, the spread of
// their run times, and the number of places a second that other runs free.
func NewRoom(runs []Run, spread, rate float64) Room {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.expected-a.ran, b.expected-b.ran), cmp.Compare(a.ran, b.ran))
	})
	return Room{
		runs:   runs[:min(len(runs), maxEnds)],
		spread: math.Max(spread, 1e-3),
		rate:   math.Max(rate, 0),
		needed: 1,
	}
}

// Behind returns the room for a task that gets the place after as many others.
func (r Room) Behind(others int) Room {
	r.needed = others + 1
	return r
}

// ForGroup returns the room for a group that starts once as many places more are free.
func (r Room) ForGroup(missing int) Room {
	r.needed = missing
	return r
}

// Later returns the probability that the room is free only after t.
func (r Room) Later(t time.Duration) float64 {
	if r.needed <= 0 {
		return 0
	}
	if r.needed > maxAhead {
		return 1
	}
	// freed[k] is the probability that k places are free by t.
	var freed [maxAhead]float64
	mean := r.rate * t.Seconds()
	freed[0] = math.Exp(-mean)
	for k := 1; k < r.needed; k++ {
		freed[k] = freed[k-1] * mean / float64(k)
	}
	for _, x := range r.runs {
		p := lognormal.WithinGiven(x.ran, t, x.expected, r.spread)
		for k := r.needed - 1; k > 0; k-- {
			freed[k] = freed[k]*(1-p) + freed[k-1]*p
		}
		freed[0] *= 1 - p
	}
	sum := 0.0
	for _, p := range freed[:r.needed] {
		sum += p
	}
	return min(sum, 1)
}
