package server

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// TestStages guards against a leaving process whose stages overlap or do not fit into its grace period.
func TestStages(t *testing.T) {
	const (
		// grace is the grace period of the installations.
		grace = 6 * time.Second
		// callerWait is how long their callers wait for an answer.
		callerWait = 1500 * time.Millisecond
		// stall is the longest time in which a process at its processor limit gets none.
		stall = 100 * time.Millisecond
		// servers is the number of HTTP servers of an entry.
		servers = 3
	)
	at := map[string]time.Duration{}
	for _, s := range stages {
		at[s.name] = s.at(grace)
	}
	tests := map[string]struct {
		parts []time.Duration
		limit time.Duration
	}{
		"the balancer notices before idle connections close": {
			parts: []time.Duration{at["balancer_notices"], 2 * stall},
			limit: at["linger_over"],
		},
		"a job of the linger time has all its time": {
			parts: []time.Duration{at["linger_over"], callerWait},
			limit: at["last_answer"],
		},
		"the dispatcher answers before requests stop to wait": {
			parts: []time.Duration{at["last_answer"], tickInterval, stall},
			limit: at["reply_deadline"],
		},
		"answers are written before connections are cut": {
			parts: []time.Duration{at["reply_deadline"], stall},
			limit: at["connections_cut"],
		},
		"new connections get their first request through": {
			parts: []time.Duration{at["last_answer"], web.SettleTime},
			limit: at["connections_cut"],
		},
		"the other duties end in the grace period": {
			parts: []time.Duration{at["connections_cut"], servers * web.CutTime, revokeLimit, stream.StopLimit},
			limit: at["grace_end"],
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the sum of the parts is within the limit", t, func() {
				sum := time.Duration(0)
				for _, p := range tt.parts {
					sum += p
				}
				So(sum, ShouldBeLessThanOrEqualTo, tt.limit)
			})
		})
	}
	Convey("the page has the times of the stages", t, func() {
		page, err := os.ReadFile("../../../../docs/shutdown.md")
		So(err, ShouldBeNil)
		for i, s := range stages {
			So(string(page), ShouldContainSubstring, fmt.Sprintf("\n| `%s` | %.2f s |", s.name, s.at(grace).Seconds()))
			if i > 0 {
				So(s.at(grace), ShouldBeGreaterThan, stages[i-1].at(grace))
			}
		}
	})
}
