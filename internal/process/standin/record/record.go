// Package record counts the starts of tasks where they take effect.
//
// The stand-ins for targets and workers record every start here before they run
// the task. The counts show whether a task started more than once, so they share
// no state with the dispatcher under test.
package record

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/ring"
)

const ringSize = 4096

// Counts contains the number of starts so far.
type Counts struct {
	started    int64
	duplicated int64
}

// NewCounts returns counts with the given numbers, such as sums over records.
func NewCounts(started, duplicated int64) Counts {
	return Counts{
		started:    started,
		duplicated: duplicated,
	}
}

// Started returns the number of starts, repeated ones included.
func (c Counts) Started() int64 {
	return c.started
}

// Duplicated returns the number of tasks that started more than once.
func (c Counts) Duplicated() int64 {
	return c.duplicated
}

// Record counts the starts of each task.
type Record struct {
	ring *ring.Ring[func(*state)]
}

type state struct {
	starts map[string]int
	counts Counts
}

// New returns an empty record. It answers only while Run is running.
func New() (*Record, error) {
	r, err := ring.New[func(*state)]("record", ringSize)
	if err != nil {
		return nil, err
	}
	return &Record{
		ring: r,
	}, nil
}

// Run owns the counts until ctx is canceled.
func (r *Record) Run(ctx context.Context) error {
	s := &state{
		starts: map[string]int{},
	}
	for {
		f, err := r.ring.Pop(ctx)
		if err != nil {
			return nil
		}
		f(s)
	}
}

func (r *Record) do(ctx context.Context, f func(*state)) error {
	done := make(chan struct{})
	err := r.ring.Push(ctx, func(s *state) {
		f(s)
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "record of starts")
	}
}

// Start records a start of a task and returns the number of its starts so far.
func (r *Record) Start(ctx context.Context, task string) (int, error) {
	n := 0
	err := r.do(ctx, func(s *state) {
		s.starts[task]++
		n = s.starts[task]
		s.counts.started++
		if n == 2 {
			s.counts.duplicated++
		}
	})
	return n, err
}

// Counts returns the number of starts so far.
func (r *Record) Counts(ctx context.Context) (Counts, error) {
	var c Counts
	err := r.do(ctx, func(s *state) { c = s.counts })
	return c, err
}

// Tasks returns the number of starts by task.
func (r *Record) Tasks(ctx context.Context) (map[string]int, error) {
	tasks := map[string]int{}
	err := r.do(ctx, func(s *state) {
		for t, n := range s.starts {
			tasks[t] = n
		}
	})
	return tasks, err
}

// Names returns the started tasks in lexical order.
func (r *Record) Names(ctx context.Context) ([]string, error) {
	tasks, err := r.Tasks(ctx)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(tasks))
	for t := range tasks {
		names = append(names, t)
	}
	sort.Strings(names)
	return names, nil
}
