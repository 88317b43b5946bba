// Package duty runs the goroutines of a process from one table.
//
// Each duty is one goroutine that alone owns its state and reads one ring. The
// table names every duty with its purpose, starts all of them, and stops them
// in reverse order, so that a consumer outlives its producers. The process dump
// prints the table.
package duty

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Duty is one goroutine with its purpose and the state of its ring.
type Duty struct {
	name    string
	purpose string
	run     func(context.Context) error
	depth   func() (depth, size int, rejected int64)
}

// Gauge is what a ring tells about itself.
type Gauge func() (depth, size int, rejected int64)

// New describes a duty; run must return soon after its context ends.
func New(name, purpose string, gauge Gauge, run func(context.Context) error) (Duty, error) {
	if name == "" || purpose == "" || run == nil {
		return Duty{}, errors.Errorf("duty %q needs a name, a purpose and a function", name)
	}
	return Duty{
		name:    name,
		purpose: purpose,
		run:     run,
		depth:   gauge,
	}, nil
}

// Name is the duty's name in the dump.
func (d Duty) Name() string {
	return d.name
}

// Purpose says in one sentence what the duty does.
func (d Duty) Purpose() string {
	return d.purpose
}

// Gauge returns the state of the duty's ring, zeros if it reads none.
func (d Duty) Gauge() (depth, size int, rejected int64) {
	if d.depth == nil {
		return 0, 0, 0
	}
	return d.depth()
}

// Table is the list of all duties of a process.
type Table struct {
	duties []Duty
}

// NewTable returns a table of the given duties; their names must differ.
func NewTable(duties ...Duty) (*Table, error) {
	seen := map[string]bool{}
	for _, d := range duties {
		if seen[d.name] {
			return nil, errors.Errorf("duty %s is registered twice", d.name)
		}
		seen[d.name] = true
	}
	return &Table{
		duties: duties,
	}, nil
}

// Duties lists the duties in the order of their start.
func (t *Table) Duties() []Duty {
	return append([]Duty(nil), t.duties...)
}

// Start runs every duty. The clean-up function ends them, the last started
// first, and waits for each; failed receives the first error of a duty that
// ended by itself.
func (t *Table) Start(ctx context.Context) (failed <-chan error, cleanup func()) {
	errs := make(chan error, len(t.duties))
	var stops []func()
	for _, d := range t.duties {
		stops = append(stops, start(ctx, d, errs))
	}
	var once sync.Once
	return errs, func() {
		once.Do(func() {
			for i := len(stops) - 1; i >= 0; i-- {
				stops[i]()
			}
		})
	}
}

func start(ctx context.Context, d Duty, errs chan<- error) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := d.run(ctx)
		if err != nil && ctx.Err() == nil {
			errs <- errors.Wrapf(err, "duty %s", d.name)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
