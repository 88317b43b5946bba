package freshness_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/version/freshness"
)

// TestBehind guards against a process that takes an older configuration for the newest, or counts from too late.
func TestBehind(t *testing.T) {
	const now = 10 * time.Second
	tests := map[string]struct {
		steps  func(f *freshness.Freshness)
		behind bool
		age    time.Duration
	}{
		"nothing_heard": {
			steps: func(f *freshness.Freshness) { f.Applied(3) },
		},
		"same_version": {
			steps: func(f *freshness.Freshness) {
				f.Applied(3)
				f.Heard(3, time.Second, "a")
			},
		},
		"newer_version": {
			steps: func(f *freshness.Freshness) {
				f.Applied(3)
				f.Heard(5, 4*time.Second, "a")
			},
			behind: true,
			age:    6 * time.Second,
		},
		"earliest_time_counts": {
			steps: func(f *freshness.Freshness) {
				f.Heard(5, 4*time.Second, "a")
				f.Heard(5, 2*time.Second, "b")
				f.Heard(5, 3*time.Second, "c")
			},
			behind: true,
			age:    8 * time.Second,
		},
		"earlier_version_was_confirmed_before": {
			steps: func(f *freshness.Freshness) {
				f.Heard(5, 4*time.Second, "a")
				f.Heard(7, 2*time.Second, "b")
			},
			behind: true,
			age:    8 * time.Second,
		},
		"later_version_remains": {
			steps: func(f *freshness.Freshness) {
				f.Heard(5, 4*time.Second, "a")
				f.Heard(7, 6*time.Second, "a")
				f.Applied(5)
			},
			behind: true,
			age:    4 * time.Second,
		},
		"caught_up": {
			steps: func(f *freshness.Freshness) {
				f.Heard(5, 4*time.Second, "a")
				f.Heard(7, 6*time.Second, "a")
				f.Applied(7)
			},
		},
		"more_versions_than_kept": {
			steps: func(f *freshness.Freshness) {
				for n := range int64(100) {
					f.Heard(n+1, time.Duration(n)*time.Millisecond, "a")
				}
				f.Applied(99)
			},
			behind: true,
			age:    now - 15*time.Millisecond,
		},
		"refuted_by_a_later_read": {
			steps: func(f *freshness.Freshness) {
				f.Heard(5, 4*time.Second, "a")
				f.Refuted(4, 5*time.Second)
			},
		},
		"not_refuted_by_an_earlier_read": {
			steps: func(f *freshness.Freshness) {
				f.Heard(5, 4*time.Second, "a")
				f.Refuted(4, 3*time.Second)
			},
			behind: true,
			age:    6 * time.Second,
		},
		"invalid_here": {
			steps: func(f *freshness.Freshness) {
				f.Heard(5, 4*time.Second, "a")
				f.Invalid(5)
				f.Heard(5, 4*time.Second, "a")
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the process knows whether and for how long it is behind", t, func() {
				f := freshness.Freshness{}
				tt.steps(&f)
				age, _, behind := f.Behind(now)
				So(behind, ShouldEqual, tt.behind)
				So(age, ShouldEqual, tt.age)
			})
		})
	}
}
