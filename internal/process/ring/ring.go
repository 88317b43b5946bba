// Package ring provides the bounded queue between duties.
//
// A duty alone owns its state, so all input reaches it as messages. The queue is
// bounded. On a full ring TryPush fails, so that the edge of the system can refuse a
// request, and Push waits, which gives backpressure inside the system. The ring
// counts waiting and rejected messages, so that the process dump shows where work
// accumulates.
package ring

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrFull is returned by TryPush when the ring is full.
var ErrFull = errors.New("ring is full")

// Ring is a bounded first-in, first-out queue of messages of one type.
type Ring[T any] struct {
	name     string
	slots    chan T
	rejected atomic.Int64
	pushed   atomic.Int64
}

// New returns a ring for at most size messages. The name is required, and size
// must be at least 1.
func New[T any](name string, size int) (*Ring[T], error) {
	if name == "" {
		return nil, errors.New("ring: name is empty")
	}
	if size < 1 {
		return nil, errors.Errorf("ring %s: size is %d, want at least 1", name, size)
	}
	return &Ring[T]{
		name:  name,
		slots: make(chan T, size),
	}, nil
}

// Push adds m. If the ring is full, it waits for free capacity until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, m T) error {
	select {
	case r.slots <- m:
		r.pushed.Add(1)
		return nil
	default:
	}
	select {
	case r.slots <- m:
		r.pushed.Add(1)
		return nil
	case <-ctx.Done():
		r.rejected.Add(1)
		return errors.Wrapf(ctx.Err(), "ring %s", r.name)
	}
}

// TryPush adds m, or fails with ErrFull without waiting.
func (r *Ring[T]) TryPush(m T) error {
	select {
	case r.slots <- m:
		r.pushed.Add(1)
		return nil
	default:
		r.rejected.Add(1)
		return errors.Wrapf(ErrFull, "ring %s", r.name)
	}
}

// Pop removes and returns the oldest message. If the ring is empty, it waits
// until ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case m := <-r.slots:
		return m, nil
	case <-ctx.Done():
		var zero T
		return zero, errors.Wrapf(ctx.Err(), "ring %s", r.name)
	}
}

// Out returns the receiving end, for a duty that selects on several channels.
func (r *Ring[T]) Out() <-chan T {
	return r.slots
}

// Name returns the ring's name in metrics and dumps.
func (r *Ring[T]) Name() string {
	return r.name
}

// Depth returns the number of waiting messages.
func (r *Ring[T]) Depth() int {
	return len(r.slots)
}

// Size returns the capacity in messages.
func (r *Ring[T]) Size() int {
	return cap(r.slots)
}

// Rejected returns the number of pushes that failed so far.
func (r *Ring[T]) Rejected() int64 {
	return r.rejected.Load()
}

// Pushed returns the number of messages accepted so far.
func (r *Ring[T]) Pushed() int64 {
	return r.pushed.Load()
}
