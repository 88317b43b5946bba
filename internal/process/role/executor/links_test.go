package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// TestLinks guards against entries without targets of a service that few targets run,
// against connections that grow with the fleet, and against odd counts that make an agent
// connect to everything or to nothing.
func TestLinks(t *testing.T) {
	tests := map[string]struct {
		// counts are what the entry says at each review.
		counts []int
		want   int
	}{
		"not_said":        {counts: []int{0}, want: executor.MinLinks},
		"enough":          {counts: []int{52, 30, 17}, want: executor.MinLinks},
		"few":             {counts: []int{6}, want: 32},
		"few_then_enough": {counts: []int{6, 24}, want: 32},
		"few_then_many":   {counts: []int{6, 96}, want: executor.MinLinks},
		"few_for_long":    {counts: []int{1, 1, 1, 1}, want: 1024},
		"odd":             {counts: []int{1 << 40}, want: executor.MinLinks},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the number of connections follows the agents of the entries", t, func() {
				fx := newFixture(t)
				links := 0
				for _, n := range tt.counts {
					for range 31 {
						fx.now += 100 * time.Millisecond
						out := fx.handle(executor.FrameReceived(session, frame.Frame{
							Echo:          fx.now,
							ServiceAgents: n,
						}))
						if out.Links() > 0 {
							links = out.Links()
						}
					}
				}
				So(links, ShouldEqual, tt.want)
			})
		})
	}
}
