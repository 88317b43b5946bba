package dispatch_test

import (
	"fmt"
	"testing"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// BenchmarkAdmission measures the time from a request to its decision at a load peak. An
// entry of a fleet of 30 to 300 hosts is connected to 35 to 60 agents.
func BenchmarkAdmission(b *testing.B) {
	for _, agents := range []int{35, 48, 60} {
		b.Run(fmt.Sprintf("agents_%d", agents), func(b *testing.B) {
			l := newPeakLoad(b, agents)
			for range 1000 {
				l.handle(l.advance(b)...)
			}
			need, err := task.NewResources(1300, 64, 0)
			if err != nil {
				b.Fatal(err)
			}
			s, err := task.NewStep(2, need, 100*ms)
			if err != nil {
				b.Fatal(err)
			}
			refused := 0
			for n := 0; b.Loop(); n++ {
				out := l.d.Handle(l.now, dispatch.Submitted(dispatch.NewSubmission("trace", "", fmt.Sprintf("/more%d", n), 1500*ms).
					WithWork("spec", []task.Step{s}).WithRequest(uint64(1_000_000+n))))
				refused += len(out.Answers())
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}
