package dispatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
)

// TestEntryBehind guards against an entry that uses a configuration for too long after a newer one was confirmed, and against one that refuses callers although waiting helps none.
func TestEntryBehind(t *testing.T) {
	const (
		heard  = 4
		before = 900 * ms
		after  = 1100 * ms
	)
	tests := map[string]struct {
		// age is how long ago the newer version was confirmed when the entry hears of it.
		age          time.Duration
		storeAnswers bool
		// held is set if the process that tells of the version has it.
		held    bool
		passes  time.Duration
		then    func(*fixture)
		known   dispatch.State
		unknown dispatch.State
		ready   bool
	}{
		"within_time":           {age: ms, storeAnswers: true, passes: before, unknown: dispatch.StateRefused, ready: true},
		"too_long":              {age: ms, storeAnswers: true, passes: after, known: dispatch.StateRefused, unknown: dispatch.StateRefused},
		"confirmed_long_before": {age: 2 * time.Second, storeAnswers: true, known: dispatch.StateRefused, unknown: dispatch.StateRefused},
		"age_is_not_told":       {storeAnswers: true, known: dispatch.StateRefused, unknown: dispatch.StateRefused},
		"held_by_another":       {age: ms, held: true, passes: after, known: dispatch.StateRefused, unknown: dispatch.StateRefused},
		"nobody_has_it":         {age: ms, passes: after, unknown: dispatch.StateRefused, ready: true},
		"caught_up": {
			age: ms, storeAnswers: true, passes: after, unknown: dispatch.StateUnknown, ready: true,
			then: func(fx *fixture) { fx.namedVersion(heard) },
		},
		"refuted_by_the_store": {
			age: ms, storeAnswers: true, passes: after, unknown: dispatch.StateUnknown, ready: true,
			then: func(fx *fixture) { fx.handle(dispatch.StoreRead(3, fx.now)) },
		},
		"unusable_here": {
			age: ms, storeAnswers: true, passes: after, unknown: dispatch.StateUnknown, ready: true,
			then: func(fx *fixture) { fx.handle(dispatch.VersionUnusable(heard)) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("requests are refused once the version must be in force", t, func() {
				fx := newFixture(t)
				fx.namedVersion(3)
				fx.agent(1, "agent", "a")
				fx.handle(dispatch.StoreAnswers(tt.storeAnswers))
				f := frame.Frame{
					ConfigVersion: 2,
					NewestVersion: heard,
					NewestAge:     tt.age,
				}
				if tt.held {
					f.ConfigVersion = heard
				}
				fx.frame(1, f)
				fx.advance(tt.passes, 1)
				if tt.then != nil {
					tt.then(fx)
				}
				fx.handle(dispatch.Tick())
				fx.submit(1, "kind/known", fx.step(1, 1000))
				fx.submit(2, "added/unknown", fx.step(1, 1000))
				So(fx.answers[1].State(), ShouldEqual, tt.known)
				So(fx.answers[2].State(), ShouldEqual, tt.unknown)
				for _, a := range fx.answers {
					So(a.RetryAfter() > 0, ShouldEqual, a.State() == dispatch.StateRefused)
				}
				So(fx.d.Ready(), ShouldEqual, tt.ready)
			})
		})
	}
}
