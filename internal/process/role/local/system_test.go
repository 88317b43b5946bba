package local_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/role/local"
)

// start runs a system with the sample configuration until the test ends.
func start(t *testing.T) *local.System {
	t.Helper()
	s, _ := startStoppable(t, io.Discard)
	return s
}

// startStoppable also returns the function that stops the system. The system writes
// its log to lines.
func startStoppable(t *testing.T, lines io.Writer) (*local.System, func()) {
	t.Helper()
	return startWithClock(t, time.Now, lines)
}

// startWithClock runs a system whose roles read the clock now.
func startWithClock(t *testing.T, now func() time.Time, lines io.Writer) (*local.System, func()) {
	t.Helper()
	l, err := log.New(lines, "json", "debug", "test")
	if err != nil {
		t.Fatal(err)
	}
	s, cleanup, err := local.NewWithClock(1, now, l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	_, stop, err := s.Start(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	cfg, err := local.SampleConfiguration()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	if err := s.Apply(ctx, cfg); err != nil {
		t.Fatal(err)
	}
	if err := s.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return s, stop
}

// response is the answer to a request.
type response struct {
	status int
	header http.Header
	body   string
}

// send sends a request on a new connection.
func send(t *testing.T, method, url string, header map[string]string, body string) response {
	t.Helper()
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
		Timeout: testLimit,
	}
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(data),
	}
}

var jsonHeader = map[string]string{
	"Content-Type": "application/json",
}

// startedTasks returns the number of task starts so far.
func startedTasks(t *testing.T, s *local.System) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	n, err := s.Record().Counts(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return n.Started()
}
