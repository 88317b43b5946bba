package agent_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/message"
)

// TestDrained guards against new work for a target that operators have drained, and
// against a target that stays unused after the drain ends.
func TestDrained(t *testing.T) {
	Convey("a drained target finishes its tasks and gets work again after the drain", t, func() {
		b := newBench(t)
		b.announce("t", 8, false)
		task, _ := b.run(one, normal)
		b.handle(config().WithDrained([]string{"t"}).WithVersion(2))
		So(b.capacities["print"].Free(), ShouldEqual, 0)
		b.announce("t", 8, false)
		So(b.capacities["print"].Free(), ShouldEqual, 0)
		So(sent[message.Finished](b.end(task, success()), one), ShouldHaveLength, 1)
		b.announce("t", 8, false)
		So(b.capacities, ShouldBeEmpty)
		b.handle(config().WithVersion(3))
		b.announce("t", 8, false)
		So(b.capacities["print"].Free(), ShouldBeGreaterThan, 0)
	})
}
