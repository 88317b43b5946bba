package dispatch_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

// TestUnsuitedRuns guards against a run that goes on where the target of its agent turned
// out to be of another kind: its start reached an incarnation that nobody knew of yet.
func TestUnsuitedRuns(t *testing.T) {
	tests := map[string]struct {
		label string
		next  frame.Target
		stops int
	}{
		"other_label":    {label: "a", next: frame.NewTarget("i-agent_1@2", "service", "zone", []string{"c"}, true), stops: 1},
		"same_label":     {label: "a", next: frame.NewTarget("i-agent_1@2", "service", "zone", []string{"a", "r2"}, true)},
		"no_label_asked": {label: "", next: frame.NewTarget("i-agent_1@2", "service", "zone", []string{"c"}, true)},
		"other_service":  {label: "", next: frame.NewTarget("i-agent_1@2", "other", "zone", []string{"a"}, true), stops: 1},
		"not_usable_yet": {label: "a", next: frame.NewTarget("i-agent_1@2", "service", "zone", []string{"a"}, false)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the runs that the new target must not have are stopped", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(1, "agent_1", "a")
				fx.submit(1, "job", fx.step(1, 1000).WithLabel(tt.label))
				So(fx.starts, ShouldHaveLength, 1)
				next := tt.next.WithCapacity(30000, 65536, 0)
				fx.frame(1, frame.Frame{
					Target: &next,
				})
				So(fx.stops, ShouldHaveLength, tt.stops)
			})
		})
	}
}
