package dispatch_test

import (
	"slices"
	"strings"
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
		"own_job":            {cancels: []string{"mine"}, passed: []string{"mine"}},
		"comes_back":         {cancels: []string{"a"}, again: []string{"a"}, passed: []string{"a"}},
		"cancelled_again":    {cancels: []string{"a"}, again: []string{"a"}, wait: 6 * time.Second, passed: []string{"a", "a"}, back: []string{"a", "a"}},
		"told_on_connection": {cancels: []string{"a", "b"}, wait: 2 * time.Second, passed: []string{"a", "b", "a", "b"}, back: []string{"a", "b"}},
		"forgotten":          {cancels: []string{"a"}, wait: 15 * time.Second, passed: []string{"a"}},
		"odd_ids":            {cancels: []string{"", "a.b", strings.Repeat("x", 65), "\xff"}},
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
				if tt.wait > 0 {
					connect()
				}
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

// TestCancelledStaysCancelled guards against a job that is cancelled at one entry and begins or
// goes on at another, or when its request arrives once more.
func TestCancelledStaysCancelled(t *testing.T) {
	const peer = 31
	cancel := func(fx *fixture) {
		fx.handle(dispatch.CancelRequested(9, "", "/job"))
	}
	told := func(fx *fixture) {
		fx.handle(dispatch.SessionOpened(peer, frame.NewHello("entry", peer, "zone", "10.0.0.2:1", frame.RoleEntry)))
		fx.handle(dispatch.FrameReceived(peer, frame.Frame{
			Cancels: []string{"job"},
		}))
	}
	begin := func(fx *fixture) { fx.submit(1, "job", fx.step(1, 1000)) }
	tests := map[string]struct {
		before  func(*fixture)
		wait    time.Duration
		state   dispatch.State
		started int
	}{
		"late_request_where_it_was_cancelled": {
			before: func(fx *fixture) {
				begin(fx)
				cancel(fx)
			},
			wait:    12 * time.Second,
			state:   dispatch.StateCancelled,
			started: 1,
		},
		"late_request_elsewhere": {before: told, wait: 12 * time.Second, state: dispatch.StateCancelled},
		"cancelled_first":        {before: cancel, state: dispatch.StateCancelled},
		"told_while_it_runs": {
			before: func(fx *fixture) {
				begin(fx)
				told(fx)
			},
			state:   dispatch.StateCancelled,
			started: 1,
		},
		"long_ago": {before: cancel, wait: 15 * time.Second, started: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the job does not start again", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(1, "a")
				tt.before(fx)
				fx.now += tt.wait
				fx.agent(1, "a")
				fx.submit(2, "job", fx.step(1, 1000))
				So(fx.answers[2].State(), ShouldEqual, tt.state)
				So(len(fx.allStarts), ShouldEqual, tt.started)
				So(len(fx.stops), ShouldBeLessThanOrEqualTo, tt.started)
			})
		})
	}
}
