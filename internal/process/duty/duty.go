// Package duty starts and stops the goroutines of a process from one table.
//
// Each duty is a goroutine that alone owns its state and reads one ring. The
// table lists every duty with its purpose, starts all of them, and stops them
// in reverse order, so that a consumer outlives its producers. The process dump
// prints the table.
package duty

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Duty is one goroutine with its purpose and the gauge of its ring.
type Duty struct {
	name    string
	purpose string
	run     func(context.Context) error
	gauge   func() (depth, size int, rejected int64)
}

// Gauge returns the state of a ring: waiting messages, capacity, and rejected
// pushes so far.
type Gauge func() (depth, size int, rejected int64)

// New returns a duty. The name, the purpose and run are required; gauge is nil
// for a duty without a ring. Run must return soon after its context ends.
func New(name, purpose string, gauge Gauge, run func(context.Context) error) (Duty, error) {
	if name == "" || purpose == "" || run == nil {
		return Duty{}, errors.Errorf("duty %q: name, purpose and run function are required", name)
	}
	return Duty{
		name:    name,
		purpose: purpose,
		run:     run,
		gauge:   gauge,
	}, nil
}

func (d Duty) Name() string {
	return d.name
}

// Purpose returns one sentence on what the duty does.
func (d Duty) Purpose() string {
	return d.purpose
}

// Gauge returns the state of the duty's ring, or zeros if it has none.
func (d Duty) Gauge() (depth, size int, rejected int64) {
	if d.gauge == nil {
		return 0, 0, 0
	}
	return d.gauge()
}

// Table lists all duties of a process.
type Table struct {
	duties []Duty
}

// NewTable returns a table of duties. It fails if two have the same name.
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

// Duties returns the duties in start order.
func (t *Table) Duties() []Duty {
	return append([]Duty(nil), t.duties...)
}

// Start runs every duty. The failed channel receives an error for each duty that
// fails before its context ends. The cleanup function stops the duties in
// reverse order and waits for each of them.
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
