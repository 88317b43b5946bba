package server

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// TestAgentDrainsOnceLeaving guards against an agent that ends while starts are queued which it would still accept.
func TestAgentDrainsOnceLeaving(t *testing.T) {
	tests := map[string]struct {
		event   executor.Event
		drained bool
	}{
		"before": {event: executor.Tick()},
		"after":  {event: executor.ShutdownRequested(time.Second), drained: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the agent may end only after it has told entries that it leaves", t, func() {
				s, err := NewSettings("agent_1", "zone", "127.0.0.1:0", "", nil)
				So(err, ShouldBeNil)
				a, cleanup, err := NewAgent(s, Dependencies{}, TargetCalls{})
				So(err, ShouldBeNil)
				defer cleanup()
				a.handle(tt.event)
				So(a.drained.Load(), ShouldEqual, tt.drained)
			})
		})
	}
}
