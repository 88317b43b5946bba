package estimate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/estimate"
)

// TestRunTime guards against an estimate that stays at a wrong declared run time,
// or that follows a single straggler.
func TestRunTime(t *testing.T) {
	tests := map[string]struct {
		declared time.Duration
		samples  int
		low      time.Duration
		high     time.Duration
	}{
		"declared run time below the minimum number of samples": {
			declared: time.Second,
			samples:  19,
			low:      time.Second,
			high:     time.Second,
		},
		"declared a hundred times too long": {
			declared: 10 * time.Second,
			samples:  500,
			low:      85 * time.Millisecond,
			high:     115 * time.Millisecond,
		},
		"declared a hundred times too short": {
			declared: time.Millisecond,
			samples:  500,
			low:      85 * time.Millisecond,
			high:     115 * time.Millisecond,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			rnd := rand.New(rand.NewPCG(1, 2))
			r := estimate.NewRunTime(0.5, tt.declared)
			for i := range tt.samples {
				d := time.Duration(float64(100*time.Millisecond) * (0.8 + 0.4*rnd.Float64()))
				if i%50 == 0 {
					d = 20 * time.Second
				}
				r.Observe(d)
			}
			So(r.Value(), ShouldBeGreaterThanOrEqualTo, tt.low)
			So(r.Value(), ShouldBeLessThanOrEqualTo, tt.high)
		})
	}
}

// TestDrain guards against a rate that includes times without work.
func TestDrain(t *testing.T) {
	Convey("the rate is the number of occupied slots while work is waiting", t, func() {
		now := time.Unix(1_800_000_000, 0)
		var d estimate.DrainRate
		_, ok := d.Rate(now)
		So(ok, ShouldBeFalse)
		for range 200 {
			// Four slots that end a task of 100 ms every 25 ms.
			now = now.Add(25 * time.Millisecond)
			d.Observe(now, 100*time.Millisecond, true)
		}
		rate, ok := d.Rate(now)
		So(ok, ShouldBeTrue)
		So(rate, ShouldAlmostEqual, 4, 0.4)
		for range 200 {
			now = now.Add(time.Millisecond)
			d.Observe(now, 100*time.Millisecond, false)
		}
		after, _ := d.Rate(now)
		So(after, ShouldEqual, rate)
		_, ok = d.Rate(now.Add(time.Minute))
		So(ok, ShouldBeFalse)
	})
}
