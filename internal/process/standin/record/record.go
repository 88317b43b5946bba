// Package record counts the starts of tasks at the place where they take effect.
//
// The stand-ins for targets and workers note every start here before they run
// it. The counts are the evidence for the promise that no task starts twice, so
// they share nothing with the dispatcher.
package record

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/ring"
)

const ringSize = 4096

// Counts are the starts so far.
type Counts struct {
	started int64
	twice   int64
}

// NewCounts returns counts, for adding up several records.
func NewCounts(started, twice int64) Counts {
	return Counts{
		started: started,
		twice:   twice,
	}
}

// Started is the number of starts.
func (c Counts) Started() int64 {
	return c.started
}

// Duplicated is the number of tasks that started more than once.
func (c Counts) Duplicated() int64 {
	return c.twice
}

// Record is the list of starts.
type Record struct {
	ring *ring.Ring[func(*state)]
}

type state struct {
	starts map[string]int
	counts Counts
}

// New returns an empty record; Run must be running for it to answer.
func New() (*Record, error) {
	r, err := ring.New[func(*state)]("record", ringSize)
	if err != nil {
		return nil, err
	}
	return &Record{
		ring: r,
	}, nil
}

// Run owns the record until ctx ends.
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

// Start notes a start and returns how often the task has started by now.
func (r *Record) Start(ctx context.Context, task string) (int, error) {
	n := 0
	err := r.do(ctx, func(s *state) {
		s.starts[task]++
		n = s.starts[task]
		s.counts.started++
		if n == 2 {
			s.counts.twice++
		}
	})
	return n, err
}

// Counts returns the starts so far.
func (r *Record) Counts(ctx context.Context) (Counts, error) {
	var c Counts
	err := r.do(ctx, func(s *state) { c = s.counts })
	return c, err
}

// Tasks lists the started tasks with the number of their starts as "task count".
func (r *Record) Tasks(ctx context.Context) (map[string]int, error) {
	tasks := map[string]int{}
	err := r.do(ctx, func(s *state) {
		for t, n := range s.starts {
			tasks[t] = n
		}
	})
	return tasks, err
}

// Names lists the started tasks in order.
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
