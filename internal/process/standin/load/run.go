package load

import (
	"context"
	"sync"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// Outcome is how a job ended.
type Outcome uint8

// The outcomes of a job.
const (
	Complete Outcome = iota
	Failed
	Refused
	Wrong // The answer was partial or belonged to another job.
)

// Answer is what a dispatcher returned for a job.
type Answer struct {
	outcome Outcome
	service time.Duration
}

// NewAnswer returns the answer; service is the time that the slowest task spent
// at its target.
func NewAnswer(o Outcome, service time.Duration) Answer {
	return Answer{
		outcome: o,
		service: service,
	}
}

// Sample is one job with its answer.
type Sample struct {
	job      Job
	answer   Answer
	response time.Duration
}

// Dispatcher sends a job and waits for its answer.
type Dispatcher func(ctx context.Context, number int, j Job) Answer

const (
	// senders bounds the jobs in flight; a crest of ten times the capacity of
	// eleven targets stays below it.
	senders = 8192
)

type numbered struct {
	number int
	job    Job
	due    time.Time
}

// Run sends a trace through a dispatcher and returns a sample for each job. One
// goroutine keeps the schedule; senders carry one job at a time each.
func Run(ctx context.Context, jobs []Job, dispatch Dispatcher) ([]Sample, error) {
	due, err := ring.New[numbered]("load", len(jobs)+1)
	if err != nil {
		return nil, err
	}
	done, err := ring.New[Sample]("samples", len(jobs)+1)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	for range min(senders, len(jobs)) {
		running.Add(1)
		go func() {
			defer running.Done()
			send(ctx, due, done, dispatch)
		}()
	}
	schedule(ctx, jobs, due)
	samples := make([]Sample, 0, len(jobs))
	for range jobs {
		s, err := done.Pop(ctx)
		if err != nil {
			return samples, err
		}
		samples = append(samples, s)
	}
	stop()
	running.Wait()
	return samples, nil
}

func schedule(ctx context.Context, jobs []Job, due *ring.Ring[numbered]) {
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, j := range jobs {
		at := start.Add(j.at)
		timer.Reset(time.Until(at))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if err := due.Push(ctx, numbered{
			number: i,
			job:    j,
			due:    at,
		}); err != nil {
			return
		}
	}
}

func send(ctx context.Context, due *ring.Ring[numbered], done *ring.Ring[Sample], dispatch Dispatcher) {
	for {
		n, err := due.Pop(ctx)
		if err != nil {
			return
		}
		a := dispatch(ctx, n.number, n.job)
		if err := done.Push(ctx, Sample{
			job:      n.job,
			answer:   a,
			response: time.Since(n.due),
		}); err != nil {
			return
		}
	}
}
