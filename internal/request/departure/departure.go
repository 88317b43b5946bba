// Package departure decides what becomes of the runs on a target that has announced
// when it leaves.
//
// It is for loads in which several targets leave at short notice while the others
// are busy. A run that probably ends before its target leaves goes on, and so does one
// whose task no other target could end in time: what it has done would be thrown away
// for nothing. The other runs are stopped early and start again elsewhere. The caller of
// this package moves those first that gain most by it, and only while there is free
// capacity for them, so that the targets that are left are not overrun.
package departure

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/lognormal"
)

const (
	// minGain is the gain in the probability of an answer in time from which a run is
	// stopped. A move throws away what the run has done, and the estimates of both
	// sides are off.
	minGain = 0.1
	// minSpread is the least standard deviation of the logarithm of a run time, so that
	// no estimate is taken as exact.
	minSpread = 0.05
)

// Run is what is known of a run on a target that leaves.
type Run struct {
	ran      time.Duration
	expected time.Duration
	spread   float64
	// left is the time until the answer is of no use.
	left time.Duration
}

// NewRun returns a run that has taken ran of an expected time. The spread is the
// standard deviation of the logarithm of the expected time, and left the time until the
// answer of its job is of no use.
func NewRun(ran, expected time.Duration, spread float64, left time.Duration) Run {
	return Run{
		ran:      max(ran, 0),
		expected: max(expected, time.Millisecond),
		spread:   max(spread, minSpread),
		left:     left,
	}
}

// Notice is how a target leaves.
type Notice struct {
	leavesIn  time.Duration
	lossFound time.Duration
}

// NewNotice returns the notice of a target that leaves after leavesIn. Tasks that it
// still runs then start elsewhere lossFound later.
func NewNotice(leavesIn, lossFound time.Duration) Notice {
	return Notice{
		leavesIn:  max(leavesIn, 0),
		lossFound: lossFound,
	}
}

// Elsewhere is the best place that has free capacity for the task of a run.
type Elsewhere struct {
	expected  time.Duration
	moveDelay time.Duration
}

// NewElsewhere returns a place on which the task is expected to take a time, after the
// time that it takes to stop the run and to start the next one.
func NewElsewhere(expected, moveDelay time.Duration) Elsewhere {
	return Elsewhere{
		expected:  max(expected, time.Millisecond),
		moveDelay: moveDelay,
	}
}

// Gain returns by how much the probability of an answer in time rises if the run is
// stopped now and its task starts elsewhere. It is 0 if the run should go on.
func Gain(r Run, n Notice, e Elsewhere) float64 {
	stays := lognormal.WithinGiven(r.ran, min(n.leavesIn, r.left), r.expected, r.spread)
	lost := 1 - lognormal.WithinGiven(r.ran, n.leavesIn, r.expected, r.spread)
	afterLoss := lognormal.Within(r.left-n.leavesIn-n.lossFound, e.expected, r.spread)
	moved := lognormal.Within(r.left-e.moveDelay, e.expected, r.spread)
	if gain := moved - stays - lost*afterLoss; gain >= minGain {
		return gain
	}
	return 0
}
