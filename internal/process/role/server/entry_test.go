package server

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
)

// TestFullRingRefuses guards against a request that never reached the dispatcher and is answered as if it may have run.
func TestFullRingRefuses(t *testing.T) {
	tests := map[string]func(*Entry, context.Context) (dispatch.Answer, error){
		"submit": func(e *Entry, ctx context.Context) (dispatch.Answer, error) {
			return e.Submit(ctx, dispatch.NewSubmission("trace", "host", "/a/1", time.Second))
		},
		"cancel": func(e *Entry, ctx context.Context) (dispatch.Answer, error) { return e.Cancel(ctx, "host", "/a/1") },
		"query":  func(e *Entry, ctx context.Context) (dispatch.Answer, error) { return e.Query(ctx, "host", "/a/1") },
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the request is refused at once and may be sent again", t, func() {
				s, err := NewSettings("entry_1", "zone", "127.0.0.1:0", "", nil)
				So(err, ShouldBeNil)
				e, cleanup, err := NewEntry(s, Dependencies{})
				So(err, ShouldBeNil)
				defer cleanup()
				for e.ring.TryPush(callerLeft{}) == nil {
					continue
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				a, err := call(e, ctx)
				So(err, ShouldBeNil)
				So(a.State(), ShouldEqual, dispatch.StateRefused)
				So(a.Reason(), ShouldEqual, "overloaded")
				So(a.RetryAfter(), ShouldBeGreaterThan, 0)
			})
		})
	}
}
