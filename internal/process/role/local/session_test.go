package local_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// sessionStart is the time on the roles' clock at the start of the session.
var sessionStart = time.UnixMilli(1_800_000_000_000)

// sessionKey returns the n-th key of the session with the given time.
func sessionKey(at time.Time, n int) string {
	ms := fmt.Sprintf("%012x", at.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012d", ms[:8], ms[8:], n)
}

// step is one request of the session, through entry 1 or 2.
type step struct {
	title  string
	entry  int
	method string
	path   string
	body   string
	// starts is the total number of starts to wait for before the next step.
	starts int64
}

const jobsPath = "/v1/teams/%s/jobs"

func post(title string, entry int, team, query, key, kind, tasks string) step {
	return step{
		title:  title,
		entry:  entry,
		method: "POST",
		path:   fmt.Sprintf(jobsPath, team) + query,
		body:   submission(key, kind, tasks),
	}
}

// jobRequest returns a step about the job with a key.
func jobRequest(title string, entry int, method, team, key string) step {
	return step{
		title:  title,
		entry:  entry,
		method: method,
		path:   fmt.Sprintf(jobsPath, team) + "/" + key,
	}
}

// after sets the number of starts to wait for.
func (s step) after(starts int64) step {
	s.starts = starts
	return s
}

func session() []step {
	sale, pull, bad := sessionKey(sessionStart, 1), sessionKey(sessionStart, 2), sessionKey(sessionStart, 3)
	old, ahead := sessionKey(sessionStart.Add(-time.Hour), 4), sessionKey(sessionStart.Add(time.Hour), 5)
	const tasks = `[{"run_ms":5,"echo":"sold"},{"run_ms":5,"echo":"stamped"}]`
	const failing = `[{"run_ms":5,"fail":true}]`
	return []step{
		post("submit", 0, "tegnestuen", "", sale, "log_sale", tasks).after(2),
		post("resubmit through the other entry", 1, "tegnestuen", "", sale, "log_sale", tasks).after(2),
		jobRequest("ask for the answer", 1, "GET", "tegnestuen", sale),
		post("submit without waiting", 0, "lakeshore", "?wait_ms=0", pull, "funeral_pull", `[{"run_ms":3000}]`).after(3),
		jobRequest("cancel through the other entry", 1, "DELETE", "lakeshore", pull),
		post("resubmit after the cancellation", 0, "lakeshore", "", pull, "funeral_pull", `[{"run_ms":3000}]`).after(3),
		post("submit a job whose task fails", 0, "tegnestuen", "", bad, "check_slot", failing).after(4),
		post("reuse a key for another body", 1, "tegnestuen", "", sale, "log_sale", `[{"echo":"another"}]`),
		post("use an expired key", 0, "tegnestuen", "", old, "log_sale", tasks),
		post("use a key from the future", 0, "tegnestuen", "", ahead, "log_sale", tasks),
		post("name an unknown kind", 0, "tegnestuen", "", sessionKey(sessionStart, 6), "unheard_of", tasks),
		post("name an unknown team", 0, "nobody", "", sale, "log_sale", tasks),
		post("send no tasks", 0, "tegnestuen", "", sale, "log_sale", "[]"),
		jobRequest("ask for an unknown key", 0, "GET", "lakeshore", sale),
		jobRequest("use a wrong method", 0, "PATCH", "tegnestuen", sale),
	}
}

// TestSession guards against a change of any byte that callers see in a session. The
// flag -update rewrites the golden file.
func TestSession(t *testing.T) {
	t.Parallel()
	began := time.Now()
	s, _ := startWithClock(t, func() time.Time { return sessionStart.Add(time.Since(began)) }, io.Discard)
	var got strings.Builder
	for _, st := range session() {
		r := send(t, st.method, s.Entries()[st.entry]+st.path, jsonHeader, st.body)
		fmt.Fprintf(&got, "# %s\n%s %s (entry %d)\n", st.title, st.method, st.path, st.entry+1)
		if st.body != "" {
			got.WriteString(st.body + "\n")
		}
		fmt.Fprintf(&got, "%d %s\n", r.status, r.header.Get("Content-Type"))
		got.WriteString(strings.TrimSuffix(r.body, "\n") + "\n\n")
		if st.starts > 0 {
			waitStarted(t, func() int64 { return startedTasks(t, s) }, st.starts)
		}
	}
	if n := startedTasks(t, s); n != 4 {
		t.Errorf("%d tasks started in the session, want 4", n)
	}
	goldie.New(t).Assert(t, "session", []byte(got.String()))
}
