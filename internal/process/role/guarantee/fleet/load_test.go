package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// attemptTimeout is the time within which every attempt must end with an answer.
	attemptTimeout = 30 * time.Second
	jobInterval    = 60 * time.Millisecond
	retryDelay     = 100 * time.Millisecond
	// maxAttempts bounds the results of a load, which wait in a channel until its end.
	maxAttempts = 4096
)

// job is a generated job with the body of its request.
type job struct {
	key   string
	body  []byte
	tasks int
}

// attempt is one caller's attempt to get the answer of a job. It repeats a request
// that ended without a final answer, as a client does.
type attempt struct {
	job          job
	began        time.Time
	ended        time.Time
	state        string
	reason       string
	detail       string
	notRun       bool
	mismatch     string
	lastResponse string
}

// String describes the attempt in the output of a failed check.
func (a attempt) String() string {
	return fmt.Sprintf("%s/%s state %q reason %q detail %q not_run %t mismatch %q last response %q after %v",
		team, a.job.key, a.state, a.reason, a.detail, a.notRun, a.mismatch, a.lastResponse, a.ended.Sub(a.began).Round(time.Millisecond))
}

// final reports whether the attempt got a refusal, or an answer that a further
// request cannot change.
func (a attempt) final() bool {
	return a.state == "complete" || a.state == "failed" || a.state == "refused"
}

// expectedEcho returns the expected result of the i-th task of a job.
func expectedEcho(key string, i int) string {
	return fmt.Sprintf("%s.%d", key, i)
}

// newJob returns a job of 1 to 6 tasks of 20 to 200 ms.
func newJob(rnd *rand.Rand) job {
	j := job{
		key:   uuid.Must(uuid.NewV7()).String(),
		tasks: 1 + rnd.IntN(6),
	}
	var tasks []json.RawMessage
	for i := range j.tasks {
		tasks = append(tasks, json.RawMessage(fmt.Sprintf(`{"run_ms":%d,"echo":%q}`, 20+rnd.IntN(181), expectedEcho(j.key, i))))
	}
	j.body, _ = json.Marshal(map[string]any{
		"key":   j.key,
		"kind":  kind,
		"tasks": tasks,
	})
	return j
}

// submit makes one attempt. Its requests go to the entries in turn, from
// entries[first] on.
func submit(entries []*process, first int, j job) attempt {
	a := attempt{
		job:   j,
		began: time.Now(),
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.began.Add(attemptTimeout))
	defer cancel()
	for n := first; ctx.Err() == nil; n++ {
		if a.request(ctx, entries[n%len(entries)]) {
			break
		}
		time.Sleep(retryDelay)
	}
	a.ended = time.Now()
	return a
}

// request sends one request and reports whether its answer is final.
func (a *attempt) request(ctx context.Context, entry *process) bool {
	url := fmt.Sprintf("%s/v1/teams/%s/jobs?wait_ms=10000", entry.url, team)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.job.body))
	if err != nil {
		a.lastResponse = err.Error()
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		a.lastResponse = err.Error()
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		a.lastResponse = err.Error()
		return false
	}
	a.lastResponse = fmt.Sprintf("%d %s", resp.StatusCode, data)
	return a.evaluate(resp.StatusCode, data)
}

// evaluate records an answer and reports whether it is final.
func (a *attempt) evaluate(status int, data []byte) bool {
	var d struct {
		State   string   `json:"state"`
		Reason  string   `json:"reason"`
		Detail  string   `json:"detail"`
		NotRun  bool     `json:"not_run"`
		Results []string `json:"results"`
	}
	if err := json.Unmarshal(data, &d); err != nil {
		a.mismatch = err.Error()
		return true
	}
	a.state, a.reason, a.detail, a.notRun = d.State, d.Reason, d.Detail, d.NotRun
	switch {
	case d.State == "complete":
		a.mismatch = a.compare(d.Results)
		return true
	case d.State == "failed", d.NotRun:
		return true
	}
	// The caller repeats the request after "running", and after a refusal that says
	// only that the entry did not pass on this request. Other refusals are final.
	return d.State == "refused" && status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// compare returns the first difference from the expected results, or "".
func (a *attempt) compare(results []string) string {
	if len(results) != a.job.tasks {
		return fmt.Sprintf("%d results, want %d", len(results), a.job.tasks)
	}
	for i, r := range results {
		if r != expectedEcho(a.job.key, i) {
			return fmt.Sprintf("result %d is %q", i, r)
		}
	}
	return ""
}

// load submits jobs in the background and collects the starts at the targets.
type load struct {
	cluster  *cluster
	stopping chan struct{}
	callers  sync.WaitGroup
	attempts chan attempt
	starts   chan map[string]map[string]int
}

func startLoad(c *cluster) *load {
	l := &load{
		cluster:  c,
		stopping: make(chan struct{}),
		attempts: make(chan attempt, maxAttempts),
		starts:   make(chan map[string]map[string]int, 1),
	}
	l.callers.Go(l.submitPeriodically)
	go l.collectStarts()
	return l
}

func (l *load) submitPeriodically() {
	rnd := rand.New(rand.NewPCG(1, 1))
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-l.stopping:
			return
		}
		j := newJob(rnd)
		l.callers.Go(func() { l.submitJob(n, j) })
	}
}

// submitJob submits every third job a second time through the other entry. It
// alternates between a concurrent second attempt and one after the answer.
func (l *load) submitJob(n int, j job) {
	if n%6 == 2 {
		l.callers.Go(func() { l.attempts <- submit(l.cluster.entries, n+1, j) })
	}
	first := submit(l.cluster.entries, n, j)
	l.attempts <- first
	if n%6 == 5 && first.final() {
		l.attempts <- submit(l.cluster.entries, n+1, j)
	}
}

// collectStarts polls the start counts of the targets, since a killed target
// loses its counts.
func (l *load) collectStarts() {
	counts := map[string]map[string]int{}
	for {
		for _, p := range l.cluster.targets {
			if s := startCounts(p); s != nil {
				counts[p.name] = s
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-l.stopping:
			l.starts <- counts
			return
		}
	}
}

// stop ends the load and waits for its answers. It returns them with the number of
// starts of each task over all targets.
func (l *load) stop() ([]attempt, map[string]int) {
	close(l.stopping)
	l.callers.Wait()
	close(l.attempts)
	var attempts []attempt
	for a := range l.attempts {
		attempts = append(attempts, a)
	}
	counts := <-l.starts
	// Within this time, starts that a lost process has sent reach their targets.
	time.Sleep(time.Second)
	for _, p := range l.cluster.targets {
		if s := startCounts(p); s != nil {
			counts[p.name] = s
		}
	}
	merged := map[string]int{}
	for _, s := range counts {
		for task, n := range s {
			merged[task] += n
		}
	}
	return attempts, merged
}

// submissionOf returns the submission in the name of a task.
func submissionOf(task string) string {
	return task[:strings.LastIndex(task, "/")]
}
