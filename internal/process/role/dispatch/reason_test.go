package dispatch_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// TestReasonOfInvalidJobs guards against a process whose counters grow with the texts of its
// clients until it exceeds its memory: reasons are the keys of counters.
func TestReasonOfInvalidJobs(t *testing.T) {
	fx := newFixture(t)
	fx.version(1, 2)
	fx.agent(1, "a")
	valid := []task.Step{fx.step(1, 1000)}
	tests := map[string]struct {
		id    string
		spec  string
		steps []task.Step
	}{
		"dot":              {id: "a.b", steps: valid},
		"blank":            {id: "a b", steps: valid},
		"long_id":          {id: strings.Repeat("x", 16_000), steps: valid},
		"long_payload":     {id: "job", spec: strings.Repeat("x", task.MaxSpecBytes+1), steps: valid},
		"no_step":          {id: "job"},
		"later_step_first": {id: "job", steps: []task.Step{fx.step(1, 1000).WithPrerequisites([]int{7})}},
		"too_many_tasks":   {id: "job", steps: []task.Step{fx.step(task.MaxTasks, 1000), fx.step(1, 1000)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the reason does not depend on the client, and no text of it is long", t, func() {
				s := dispatch.NewSubmission("trace", "", "/"+tt.id, 1500*ms).WithWork(tt.spec, tt.steps).WithRequest(1)
				out := fx.d.Handle(fx.now, dispatch.Submitted(s))
				So(out.Answers(), ShouldHaveLength, 1)
				So(out.Answers()[0].State(), ShouldEqual, dispatch.StateInvalid)
				refused := 0
				for _, n := range out.Notes() {
					if n.Name() != event.JobRefused {
						continue
					}
					refused++
					for _, f := range n.Fields() {
						So(len(fmt.Sprint(f.Value())), ShouldBeLessThan, 200)
						if f.Key() == "reason" {
							So(f.Value(), ShouldEqual, "invalid")
						}
					}
				}
				So(refused, ShouldEqual, 1)
			})
		})
	}
}
