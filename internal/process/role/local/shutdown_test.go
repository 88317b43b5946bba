package local_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// waitStarted waits until n tasks have started.
func waitStarted(t *testing.T, count func() int64, n int64) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(testLimit)
	for count() < n {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatal("the tasks did not start in time")
		}
	}
}

// TestShutdown guards against an entry that drops a request in flight, accepts a new
// one while it stops, or exceeds its shutdown limit.
func TestShutdown(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	tests := map[string]struct {
		runMS  string
		status int
		state  string
	}{
		"job_ends_in_time": {
			runMS:  "1000",
			status: 200,
			state:  `"complete"`,
		},
		"job_outlasts_shutdown": {
			runMS:  "8000",
			status: 202,
			state:  `"running"`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, stop := startStoppable(t, io.Discard)
			Convey("the request in flight gets its answer", t, func() {
				url := s.Entries()[1] + "/v1/teams/tegnestuen/jobs"
				got := make(chan response, 1)
				go func() {
					got <- send(t, http.MethodPost, url, jsonHeader, submission(keyAt(time.Now()), "log_sale", `[{"run_ms":`+tt.runMS+`}]`))
				}()
				waitStarted(t, func() int64 { return startedTasks(t, s) }, 1)
				began := time.Now()
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					stop()
				}()
				refused := submitUntilRefused(t, s.Entries()[1])
				r := <-got
				So(time.Since(began), ShouldBeLessThan, host.DrainLimit+5*time.Second)
				So(r.status, ShouldEqual, tt.status)
				So(r.body, ShouldContainSubstring, tt.state)
				So(decodeProblem(t, refused).Reason, ShouldEqual, "shutting_down")
				So(decodeProblem(t, refused).NotRun, ShouldBeFalse)
				So(time.Since(began), ShouldBeLessThan, host.DrainLimit+time.Second)
				waitClosed(t, strings.TrimPrefix(s.Entries()[1], "http://"))
				So(time.Since(began), ShouldBeLessThan, host.DrainLimit+time.Second+web.ShutdownLimit)
				<-stopped
				// The agents stop after the entries and also wait for the task.
				So(time.Since(began), ShouldBeLessThan, host.DrainLimit+5*time.Second+host.AgentDrainLimit)
			})
		})
	}
}

// waitClosed waits until nothing listens at an address.
func waitClosed(t *testing.T, address string) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for range ticker.C {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// submitUntilRefused submits new jobs until the entry refuses one.
func submitUntilRefused(t *testing.T, entry string) response {
	t.Helper()
	for {
		r := send(t, http.MethodPost, entry+"/v1/teams/tegnestuen/jobs?wait_ms=0", jsonHeader, submission(keyAt(time.Now()), "log_sale", `[{"run_ms":1}]`))
		if r.status == http.StatusServiceUnavailable {
			return r
		}
	}
}

// TestLeavingEntryEndsConnections guards against callers that stay on the connection to a leaving entry, which refuses them for seconds.
func TestLeavingEntryEndsConnections(t *testing.T) {
	s, stop := startStoppable(t, io.Discard)
	Convey("the answer with the refusal closes the connection", t, func() {
		stopped := make(chan struct{})
		client := &http.Client{
			Transport: &http.Transport{},
			Timeout:   testLimit,
		}
		defer client.CloseIdleConnections()
		// The entry leaves as long as this job lasts.
		held := make(chan response, 1)
		go func() {
			held <- send(t, http.MethodPost, s.Entries()[1]+"/v1/teams/tegnestuen/jobs", jsonHeader, submission(keyAt(time.Now()), "log_sale", `[{"run_ms":500}]`))
		}()
		waitStarted(t, func() int64 { return startedTasks(t, s) }, 1)
		go func() {
			defer close(stopped)
			stop()
		}()
		var refusal *http.Response
		for refusal == nil {
			r, err := http.NewRequest(http.MethodPost, s.Entries()[1]+"/v1/teams/tegnestuen/jobs?wait_ms=0",
				strings.NewReader(submission(keyAt(time.Now()), "log_sale", `[{"run_ms":1}]`)))
			So(err, ShouldBeNil)
			for k, v := range jsonHeader {
				r.Header.Set(k, v)
			}
			w, err := client.Do(r)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, w.Body)
			So(err, ShouldBeNil)
			So(w.Body.Close(), ShouldBeNil)
			if w.StatusCode == http.StatusServiceUnavailable {
				refusal = w
			}
		}
		So(refusal.Close, ShouldBeTrue)
		So((<-held).status, ShouldEqual, http.StatusOK)
		<-stopped
	})
}
