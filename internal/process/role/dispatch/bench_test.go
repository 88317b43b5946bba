package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
)

// BenchmarkFrame measures the cost of a frame from an idle agent for an entry with
// as many agents as a large site has.
func BenchmarkFrame(b *testing.B) {
	const agents = 64
	d := dispatch.New(frame.NewHello("entry", 1, "zone", "", frame.RoleEntry), dispatch.NewTiming(500*ms, 1178*ms, 200*ms))
	now := time.Minute
	for n := range uint64(agents) {
		d.Handle(now, dispatch.SessionOpened(n+1, frame.NewHello(fmt.Sprintf("agent_%d", n), 1, "zone", "", frame.RoleAgent)))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now += 200 * ms / agents
		d.Handle(now, dispatch.FrameReceived(uint64(n%agents)+1, frame.Frame{
			Clock: now,
		}))
	}
}
