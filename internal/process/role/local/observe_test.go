package local_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/metric"
)

// TestPages guards against missing pages of a process, missing sections of a dump,
// missing log lines of a job, and payloads in metrics, dump or log.
func TestPages(t *testing.T) {
	t.Parallel()
	const payload = "only-the-target-may-see-this"
	var logOutput bytes.Buffer
	s, stop := startStoppable(t, &logOutput)
	key := keyAt(time.Now())
	Convey("the pages show a job without its payload", t, func() {
		r := send(t, "POST", s.Entries()[0]+"/v1/teams/tegnestuen/jobs", jsonHeader, submission(key, "log_sale", `[{"echo":"`+payload+`"}]`))
		So(r.status, ShouldEqual, 200)
		for _, url := range append(s.Entries(), s.Agents()...) {
			So(send(t, "GET", url+"/healthz", nil, "").status, ShouldEqual, 200)
			So(send(t, "GET", url+"/readyz", nil, "").status, ShouldEqual, 200)
			vars := send(t, "GET", url+"/debug/vars", nil, "")
			var values map[string]any
			So(json.Unmarshal([]byte(vars.body), &values), ShouldBeNil)
			So(values, ShouldHaveLength, len(metric.Metrics()))
			So(values["config_version"], ShouldEqual, 1)
			dump := send(t, "GET", url+"/debug/dump", nil, "").body
			for _, section := range []string{"[process]", "[settings]", "[duties]", "[metrics]", "[role_"} {
				So(dump, ShouldContainSubstring, section)
			}
			So(dump, ShouldContainSubstring, "network depth=")
			So(dump, ShouldNotContainSubstring, "did not answer")
			So(dump+vars.body, ShouldNotContainSubstring, payload)
		}
		So(send(t, "GET", s.Agents()[0]+"/debug/dump", nil, "").body, ShouldContainSubstring, "caller count=")
		stop()
		So(logOutput.String(), ShouldNotContainSubstring, payload)
		for _, message := range []string{"submission received", "submission accepted or joined", "task sent", "task started", "task ended", "submission ended", "caller answered"} {
			So(countLines(logOutput.String(), message, "tegnestuen/"+key), ShouldEqual, 1)
		}
	})
}

// countLines counts the log lines with a message about a submission.
func countLines(text, message, submission string) int {
	n := 0
	for _, l := range strings.Split(text, "\n") {
		var f struct {
			Message    string `json:"msg"`
			Submission string `json:"submission_id"`
		}
		if json.Unmarshal([]byte(l), &f) == nil && f.Message == message && f.Submission == submission {
			n++
		}
	}
	return n
}
