package lognormal_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/lognormal"
)

// TestWithinGiven guards against a probability outside 0 and 1 for odd estimates, and against
// a run that is taken to end soon since it is long overdue.
func TestWithinGiven(t *testing.T) {
	tests := map[string]struct {
		ran, more, expected time.Duration
		spread              float64
		low, high           float64
	}{
		"half_of_the_time":  {ran: 0, more: time.Second, expected: time.Second, spread: 0.5, low: 0.5, high: 0.5},
		"no_time_left":      {ran: time.Second, more: 0, expected: time.Second, spread: 0.5},
		"nothing_expected":  {ran: 0, more: time.Second, expected: 0, spread: 0, low: 1, high: 1},
		"far_too_long":      {ran: time.Hour, more: time.Hour, expected: time.Second, spread: 0.2},
		"more_likely_later": {ran: 900 * time.Millisecond, more: 200 * time.Millisecond, expected: time.Second, spread: 0.2, low: 0.4, high: 0.7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the probability is in its range", t, func() {
				p := lognormal.WithinGiven(tt.ran, tt.more, tt.expected, tt.spread)
				So(p, ShouldBeGreaterThanOrEqualTo, tt.low)
				So(p, ShouldBeLessThanOrEqualTo, tt.high)
			})
		})
	}
}

// Half of the runs end within their expected time.
func ExampleWithin() {
	fmt.Println(lognormal.Within(time.Second, time.Second, 0.4))
	// Output: 0.5
}
