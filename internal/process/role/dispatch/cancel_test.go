package dispatch_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
)

// TestCancelsArePassedOn guards against a cancellation that does not reach the entry that
// has the job, since entries are connected to few others, and against one that goes
// around for good.
func TestCancelsArePassedOn(t *testing.T) {
	const from, other = 31, 32
	tests := map[string]struct {
		// cancels are the jobs that the entry from cancels, and then the entry other.
		cancels []string
		again   []string
		wait    time.Duration
		passed  []string
		back    []string
	}{
		"other_entrys_job":   {cancels: []string{"a"}, passed: []string{"a"}},
		"several":            {cancels: []string{"a", "b"}, passed: []string{"a", "b"}},
		"own_job":            {cancels: []string{"mine"}},
		"comes_back":         {cancels: []string{"a"}, again: []string{"a"}, passed: []string{"a"}},
		"cancelled_again":    {cancels: []string{"a"}, again: []string{"a"}, wait: 6 * time.Second, passed: []string{"a"}, back: []string{"a"}},
		"odd_id":             {cancels: []string{""}, passed: []string{""}},
		"twice_in_one_frame": {cancels: []string{"a", "a"}, passed: []string{"a"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the job is cancelled, or each other entry is told once", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(1, "agent_1")
				sent := map[uint64][]string{}
				handle := func(ev dispatch.Event) {
					for _, f := range fx.d.Handle(fx.now, ev).Frames() {
						sent[f.Session()] = append(sent[f.Session()], f.Frame().Cancels...)
					}
				}
				connect := func() {
					for _, s := range []uint64{from, other} {
						handle(dispatch.SessionOpened(s, frame.NewHello("entry", s, "zone", "10.0.0.2:1", frame.RoleEntry)))
					}
				}
				connect()
				fx.submit(1, "mine", fx.step(1, 1000))
				handle(dispatch.FrameReceived(from, frame.Frame{
					Cancels: tt.cancels,
				}))
				idle := fx.d.Idle()
				fx.now += ms + tt.wait
				connect()
				handle(dispatch.FrameReceived(other, frame.Frame{
					Cancels: tt.again,
				}))
				So(sent[other], ShouldResemble, tt.passed)
				So(sent[from], ShouldResemble, tt.back)
				So(idle, ShouldEqual, slices.Contains(tt.cancels, "mine"))
			})
		})
	}
}
