package local

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/pkg/caller"
)

// answerOf returns the answer that a client reads from a response body.
func answerOf(t *testing.T, j caller.Job, body string) (caller.Answer, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	c, cleanup, err := caller.New(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	return c.Status(t.Context(), j.Team(), j.Key().String())
}

// TestSummary guards against a violated guarantee that the summary does not report.
func TestSummary(t *testing.T) {
	tests := map[string]struct {
		body    string
		starts  int
		faults  int
		partial int
	}{
		"whole": {
			body:   `{"state":"complete","results":["a"]}`,
			starts: 1,
		},
		"started_twice": {
			body:   `{"state":"complete","results":["a"]}`,
			starts: 2,
			faults: 1,
		},
		"not_started": {
			body:   `{"state":"complete","results":["a"]}`,
			faults: 1,
		},
		"partial": {
			body:    `{"state":"complete","results":[]}`,
			starts:  1,
			faults:  1,
			partial: 1,
		},
		"another_jobs_answer": {
			body:    `{"state":"complete","results":["b"]}`,
			starts:  1,
			faults:  1,
			partial: 1,
		},
		"false_not_run": {
			body:   `{"state":"refused","reason":"overloaded","not_run":true}`,
			starts: 1,
			// The refusal itself is a fault, since a sample job must be accepted.
			faults: 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the summary reports the faults of the answer", t, func() {
				j, err := caller.NewJob(tegnestuen, "log_sale", json.RawMessage(`{"echo":"a"}`))
				So(err, ShouldBeNil)
				a := attempt{
					sample: sampleJob{
						results: []string{`"a"`},
					},
					job: j,
				}
				answer, err := answerOf(t, j, tt.body)
				So(err, ShouldBeNil)
				a.answers = append(a.answers, answer)
				id, err := a.submission()
				So(err, ShouldBeNil)
				starts := map[string]int{}
				if tt.starts > 0 {
					starts[id.String()+"/0"] = tt.starts
				}
				var s Summary
				s.add(a)
				s.compare(starts)
				So(s.faults, ShouldHaveLength, tt.faults)
				So(errors.Is(s.Err(), ErrGuaranteeViolated), ShouldEqual, tt.faults > 0)
				So(s.partial, ShouldEqual, tt.partial)
			})
		})
	}
}
