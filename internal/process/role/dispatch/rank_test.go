package dispatch_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRankOfStarts guards against starts that wait at an agent behind all those of another
// entry, since the ranks of both count from the boots of their hosts.
func TestRankOfStarts(t *testing.T) {
	tests := map[string]time.Duration{
		"host_that_just_started":  time.Second,
		"host_that_runs_for_days": 100 * 24 * time.Hour,
	}
	for name, uptime := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a start has the rank of its job on the agent's clock", t, func() {
				fx := newFixture(t)
				fx.now = uptime
				fx.clock = time.Hour
				fx.version(1, 1)
				fx.agent(1, "agent_1", "a", "r1")
				fx.submit(1, "job", fx.step(1, 1000))
				So(fx.starts, ShouldHaveLength, 1)
				rank := time.Duration(fx.starts[0].Rank()) * time.Microsecond
				So(rank, ShouldBeBetween, time.Hour, time.Hour+5*time.Second)
			})
		})
	}
}
