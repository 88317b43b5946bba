package load

import (
	"context"
	"sync"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// Outcome is the outcome of a job.
type Outcome uint8

// Outcomes of a job. The baseline gives a job the highest outcome of its tasks.
const (
	Complete Outcome = iota
	Failed
	Refused
	Wrong // The answer was incomplete, malformed or that of another job.
)

// Answer is the answer of a dispatcher to a job.
type Answer struct {
	outcome Outcome
	service time.Duration
}

// NewAnswer returns an answer. service is the time that the slowest task spent at its
// target.
func NewAnswer(o Outcome, service time.Duration) Answer {
	return Answer{
		outcome: o,
		service: service,
	}
}

// Sample is a job with its answer and its response time.
type Sample struct {
	job      Job
	answer   Answer
	response time.Duration
}

// Dispatcher sends a job and waits for its answer. number is the index of the job in
// the trace.
type Dispatcher func(ctx context.Context, number int, j Job) Answer

const (
	// maxInFlight bounds the jobs in flight. A load peak of ten times the capacity of
	// eleven targets stays below it.
	maxInFlight = 8192
)

// scheduledJob is a job with its index in the trace and the time to send it.
type scheduledJob struct {
	number int
	job    Job
	due    time.Time
}

// Run sends the jobs of a trace through a dispatcher and returns a sample for each.
// One goroutine keeps the schedule; each of the others sends one job at a time.
func Run(ctx context.Context, jobs []Job, dispatch Dispatcher) ([]Sample, error) {
	due, err := ring.New[scheduledJob]("load", len(jobs)+1)
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
	for range min(maxInFlight, len(jobs)) {
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

func schedule(ctx context.Context, jobs []Job, due *ring.Ring[scheduledJob]) {
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
		if err := due.Push(ctx, scheduledJob{
			number: i,
			job:    j,
			due:    at,
		}); err != nil {
			return
		}
	}
}

func send(ctx context.Context, due *ring.Ring[scheduledJob], done *ring.Ring[Sample], dispatch Dispatcher) {
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
