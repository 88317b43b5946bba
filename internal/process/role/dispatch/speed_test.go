package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// learn adds jobs of four tasks on targets drawn at random. The lengths of the jobs differ
// by a factor of 1.6 from their estimates, those of the tasks of one job by 1.15.
func learn(e *estimator, jobs int, at []speed, factors []float64) {
	const estimate = 500 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	for range jobs {
		length := estimate.Seconds() * math.Exp(0.5*random.NormFloat64())
		var runs []runResidual
		for range 4 {
			i := random.IntN(len(at))
			ran := length * math.Exp(0.15*random.NormFloat64()) * factors[i]
			if r, ok := e.observe("route", at[i], estimate, time.Duration(ran*float64(time.Second))); ok {
				runs = append(runs, runResidual{
					speed: at[i],
					value: r,
				})
			}
		}
		observeSpeeds(runs, e.route("route").spread(), true)
	}
}

// TestSpeeds guards against a target that seems fast or slow since it got jobs that are
// shorter or longer than estimated, and against a slow target that is not found out.
func TestSpeeds(t *testing.T) {
	const targets = 40
	tests := map[string]struct {
		// labels and factors repeat over the targets.
		labels  []string
		factors []float64
	}{
		"equal":                  {labels: []string{"a"}, factors: []float64{1}},
		"two_equal_labels":       {labels: []string{"a", "b"}, factors: []float64{1, 1}},
		"slow_label":             {labels: []string{"a", "b"}, factors: []float64{1, 2.4}},
		"slow_targets_of_a_kind": {labels: []string{"a"}, factors: []float64{1, 1, 1, 2.4}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the ratios of the speeds are those of the targets", t, func() {
				e := newEstimator()
				var at []speed
				var factors []float64
				for i := range targets {
					at = append(at, e.speed(tt.labels[i%len(tt.labels)], fmt.Sprint(i)))
					factors = append(factors, tt.factors[i%len(tt.factors)])
				}
				learn(e, 1000, at, factors)
				mean := 0.0
				for i := range at {
					mean += math.Log(at[i].value()/factors[i]) / targets
				}
				worst := 0.0
				for i := range at {
					worst = math.Max(worst, math.Abs(math.Log(at[i].value()/factors[i])-mean))
				}
				So(worst, ShouldBeLessThan, 0.15)
			})
		})
	}
}

// TestNewTarget guards against a new target that gets no work at the speed of its hardware
// or, after its first runs, work as if it were far faster or slower.
func TestNewTarget(t *testing.T) {
	Convey("a new target starts with the speed of its label and keeps near it", t, func() {
		e := newEstimator()
		known := []speed{e.speed("a", "1"), e.speed("a", "2"), e.speed("b", "3"), e.speed("b", "4")}
		learn(e, 500, known, []float64{1, 1, 2.4, 2.4})
		n := e.speed("b", "5")
		So(n.value(), ShouldAlmostEqual, math.Exp(e.labels["b"].value), 1e-9)
		So(n.value()/known[0].value(), ShouldAlmostEqual, 2.4, 0.4)
		learn(e, 2, append(known, n), []float64{1, 1, 2.4, 2.4, 2.4})
		So(n.value()/known[0].value(), ShouldAlmostEqual, 2.4, 0.5)
	})
}
