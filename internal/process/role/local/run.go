package local

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/pkg/caller"
)

const (
	callerCount   = 16
	readyInterval = 50 * time.Millisecond
	resendDelay   = 20 * time.Millisecond
)

// Ready waits until every process is ready and every entry knows as many shard
// owners as there are availability zones, which are all agents in a system of the
// default size. Otherwise a shard could move to an agent that joins after the first
// job.
func (s *System) Ready(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	for _, e := range s.entries {
		err := waitUntil(ctx, ticker, func() bool { return e.Owners() >= len(zones) })
		if err != nil {
			return err
		}
	}
	for _, url := range append(s.Entries(), s.Agents()...) {
		err := waitUntil(ctx, ticker, func() bool { return isReady(ctx, client, url+"/readyz") })
		if err != nil {
			return err
		}
	}
	return nil
}

// waitUntil checks a condition at every tick until it is true.
func waitUntil(ctx context.Context, ticker *time.Ticker, condition func() bool) error {
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the system to become ready")
		}
	}
	return nil
}

// isReady reports whether a page answers with 200.
func isReady(ctx context.Context, client *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// attempt is a submitted sample job with its answers: the first and, if the job was
// resubmitted, the one through the other entry.
type attempt struct {
	sample  sampleJob
	job     caller.Job
	answers []caller.Answer
	err     error
}

// RunSample submits n sample jobs of both teams and waits for their answers. It
// compares the answers with the expected ones and with the starts that targets and
// workers recorded.
func (s *System) RunSample(ctx context.Context, seed uint64, n int) (Summary, error) {
	began := time.Now()
	pending, err := ring.New[sampleJob]("sample", max(n, 1))
	if err != nil {
		return Summary{}, err
	}
	finished, err := ring.New[attempt]("answered", max(n, 1))
	if err != nil {
		return Summary{}, err
	}
	for _, j := range sampleJobs(seed, n) {
		if err := pending.TryPush(j); err != nil {
			return Summary{}, err
		}
	}
	stop, err := s.startCallers(ctx, pending, finished)
	if err != nil {
		return Summary{}, err
	}
	defer stop()
	var sum Summary
	for range n {
		a, err := finished.Pop(ctx)
		if err != nil {
			return sum, errors.Wrapf(err, "%d of %d sample jobs are answered", sum.answered, n)
		}
		sum.add(a)
	}
	starts, err := s.record.Tasks(ctx)
	if err != nil {
		return sum, err
	}
	sum.compare(starts)
	sum.took = time.Since(began)
	return sum, nil
}

// startCallers starts callers that submit the pending jobs.
func (s *System) startCallers(ctx context.Context, pending *ring.Ring[sampleJob], finished *ring.Ring[attempt]) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	var clients []*caller.Client
	var cleanups []func()
	urls := s.Entries()
	for i := range urls {
		// Each client prefers a different entry.
		c, cleanup, err := caller.New(append(append([]string(nil), urls[i:]...), urls[:i]...)...)
		if err != nil {
			cancel()
			return nil, err
		}
		clients = append(clients, c)
		cleanups = append(cleanups, cleanup)
	}
	var running sync.WaitGroup
	for range callerCount {
		running.Go(func() {
			for {
				j, err := pending.Pop(ctx)
				if err != nil {
					return
				}
				_ = finished.TryPush(submit(ctx, clients, j))
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
		for _, c := range cleanups {
			c()
		}
	}, nil
}

// submit sends a job. For some jobs it sends the same submission through the other
// entry while the first request is still pending.
func submit(ctx context.Context, clients []*caller.Client, s sampleJob) attempt {
	a := attempt{
		sample: s,
	}
	a.job, a.err = caller.NewJob(s.team, s.kind, s.tasks...)
	if a.err != nil {
		return a
	}
	type result struct {
		answer caller.Answer
		err    error
	}
	second := make(chan result, 1)
	if s.resend {
		go func() {
			var e result
			timer := time.NewTimer(resendDelay)
			defer timer.Stop()
			select {
			case <-timer.C:
				e.answer, e.err = clients[(s.entry+1)%len(clients)].Submit(ctx, a.job)
			case <-ctx.Done():
				e.err = ctx.Err()
			}
			second <- e
		}()
	}
	first, err := clients[s.entry].Submit(ctx, a.job)
	a.answers = append(a.answers, first)
	a.err = err
	if s.resend {
		e := <-second
		a.answers = append(a.answers, e.answer)
		if a.err == nil {
			a.err = e.err
		}
	}
	return a
}

// submission returns the job's identity as targets and workers record it.
func (a attempt) submission() (identity.Submission, error) {
	return identity.SubmissionOf(a.job.Team(), a.job.Key())
}
