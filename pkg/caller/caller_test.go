package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"greengagedoor.example/greengagedoor/pkg/caller"
)

// recordPauses returns seams that record the pauses instead of waiting, and that
// report an expired deadline at the given number of pauses.
func recordPauses(pauses *[]time.Duration, jitter float64, limit int) caller.Seams {
	return caller.Seams{
		Wait: func(_ context.Context, d time.Duration) error {
			*pauses = append(*pauses, d)
			if len(*pauses) >= limit {
				return context.DeadlineExceeded
			}
			return nil
		},
		Jitter: func() float64 { return jitter },
	}
}

const refusal = `{"status":503,"state":"refused","reason":"overloaded","retry_after_ms":700}`

// TestSubmit guards against a client that stops at an answer that is not final,
// retries after one that is, returns a partial answer, or retries too early.
func TestSubmit(t *testing.T) {
	const complete = `{"state":"complete","results":[1,2]}`
	tests := map[string]struct {
		responses []string
		jitter    float64
		state     string
		undecided bool
		pauses    []time.Duration
	}{
		"complete": {
			responses: []string{complete},
			state:     caller.Complete,
		},
		"failed_is_final": {
			responses: []string{`{"state":"failed","reason":"task_failed","ran":"something"}`},
			state:     caller.Failed,
		},
		"conflict_is_final": {
			responses: []string{`{"status":409,"state":"refused","reason":"key_conflict"}`},
			state:     caller.Refused,
		},
		"honours_retry_after": {
			responses: []string{refusal, complete},
			state:     caller.Complete,
			pauses:    []time.Duration{700 * time.Millisecond},
		},
		"running_is_asked_again": {
			responses: []string{`{"state":"running"}`, complete},
			state:     caller.Complete,
			pauses:    []time.Duration{25 * time.Millisecond},
		},
		"partial_answer_is_not_returned": {
			responses: []string{`{"state":"complete","results":[1]}`, complete},
			state:     caller.Complete,
			pauses:    []time.Duration{25 * time.Millisecond},
		},
		"cut_answer_is_not_returned": {
			responses: []string{`{"state":"complete","results":[1,2`, complete},
			state:     caller.Complete,
			pauses:    []time.Duration{25 * time.Millisecond},
		},
		"backoff_doubles_with_jitter": {
			responses: []string{"gateway"},
			jitter:    1,
			undecided: true,
			pauses: []time.Duration{
				50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
				800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 5 * time.Second, 5 * time.Second,
			},
		},
		"last_refusal_is_returned": {
			responses: []string{refusal},
			state:     caller.Refused,
			undecided: true,
			pauses: []time.Duration{
				700 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond,
				800 * time.Millisecond, 1600 * time.Millisecond, 2500 * time.Millisecond, 2500 * time.Millisecond,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			Convey("the client returns the expected answer after the expected pauses", t, func() {
				entry := newEntry(tt.responses...)
				defer entry.Close()
				var pauses []time.Duration
				c, cleanup, err := caller.NewWithSeams(recordPauses(&pauses, tt.jitter, 9), entry.URL)
				So(err, ShouldBeNil)
				defer cleanup()
				j, err := caller.NewJob("t", "k", json.RawMessage("1"), json.RawMessage("2"))
				So(err, ShouldBeNil)
				a, err := c.Submit(t.Context(), j)
				So(errors.Is(err, caller.ErrUndecided), ShouldEqual, tt.undecided)
				So(a.State(), ShouldEqual, tt.state)
				So(pauses, ShouldResemble, tt.pauses)
			})
		})
	}
}

// TestOtherEntry guards against a client that retries only at an entry that has
// stopped, and against a retry with another key.
func TestOtherEntry(t *testing.T) {
	Convey("the job is sent through the other entry with the same key", t, func() {
		stopped := httptest.NewServer(nil)
		stopped.Close()
		var requests atomic.Int32
		var keys [2]string
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var d struct {
				Key string `json:"key"`
			}
			_ = json.NewDecoder(r.Body).Decode(&d)
			n := requests.Add(1)
			keys[n-1] = d.Key
			if n == 1 {
				// The response is lost after the job was accepted.
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_ = conn.Close()
				}
				return
			}
			_, _ = w.Write([]byte(`{"state":"complete","results":[1]}`))
		}))
		defer other.Close()
		var pauses []time.Duration
		c, cleanup, err := caller.NewWithSeams(recordPauses(&pauses, 0, 9), stopped.URL, other.URL)
		So(err, ShouldBeNil)
		defer cleanup()
		j, err := caller.NewJob("t", "k", json.RawMessage("1"))
		So(err, ShouldBeNil)
		a, err := c.Submit(t.Context(), j)
		So(err, ShouldBeNil)
		So(a.State(), ShouldEqual, caller.Complete)
		So(keys, ShouldResemble, [2]string{j.Key().String(), j.Key().String()})
	})
}

// TestNew guards against invalid entry URLs that fail only at the first request.
func TestNew(t *testing.T) {
	tests := map[string][]string{
		"none":      nil,
		"no_scheme": {"127.0.0.1:80"},
		"no_host":   {"http://"},
	}
	for name, entries := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("New fails", t, func() {
				_, _, err := caller.New(entries...)
				So(err, ShouldNotBeNil)
			})
		})
	}
}
