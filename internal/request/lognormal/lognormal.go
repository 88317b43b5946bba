// Package lognormal gives the probabilities with which runs end in time.
//
// Run times are known by an estimate whose error grows with it, so their logarithms are
// taken to be normally distributed around that of the estimate.
package lognormal

import (
	"math"
	"time"
)

const (
	// minExpected and minSpread keep estimates of nothing, and those that are taken as exact,
	// from a division by zero.
	minExpected = time.Microsecond
	minSpread   = 1e-3
	// minLasted is the least probability of having lasted from which something is known of
	// the rest of a run.
	minLasted = 1e-6
)

// Within returns the probability that a run with an expected time ends within limit. The
// spread is the standard deviation of the logarithm of the run time.
func Within(limit, expected time.Duration, spread float64) float64 {
	if limit <= 0 {
		return 0
	}
	z := math.Log(limit.Seconds()/max(expected, minExpected).Seconds()) / math.Max(spread, minSpread)
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// WithinGiven returns the probability that a run which has lasted for ran ends within more.
// It is 0 for a run that is far longer than expected, of whose end nothing is known.
func WithinGiven(ran, more, expected time.Duration, spread float64) float64 {
	lasted := 1 - Within(ran, expected, spread)
	if more <= 0 || lasted < minLasted {
		return 0
	}
	return 1 - (1-Within(ran+more, expected, spread))/lasted
}
