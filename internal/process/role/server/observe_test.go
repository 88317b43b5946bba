package server

import (
	"expvar"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

// TestCounterKeys guards against a counter that gets a key for each text and never loses one.
func TestCounterKeys(t *testing.T) {
	tests := map[string]struct {
		name     event.Name
		field    string
		counters func(*observer) *expvar.Map
	}{
		"refusals": {name: event.JobRefused, field: "reason", counters: func(o *observer) *expvar.Map { return o.refusals }},
		"waits":    {name: event.TaskWaited, field: "outcome", counters: func(o *observer) *expvar.Map { return o.waits }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("further texts count together, and known ones as before", t, func() {
				o, err := newObserver()
				So(err, ShouldBeNil)
				m := tt.counters(o)
				for i := range 10_000 {
					o.observe(event.New(tt.name, event.F(tt.field, fmt.Sprintf("text %d", i))))
				}
				o.observe(event.New(tt.name, event.F(tt.field, "text 0")))
				So(countKeys(m), ShouldEqual, maxCounterKeys+1)
				So(m.Get("text 0").String(), ShouldEqual, "2")
				So(m.Get(otherKey).String(), ShouldEqual, fmt.Sprint(10_000-maxCounterKeys))
			})
		})
	}
}
