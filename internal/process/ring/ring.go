// Package ring provides the bounded queue that joins two duties.
//
// A duty owns its state alone, so all that reaches it arrives as messages. The
// queue between two duties is bounded: at the edge of the system a full ring
// becomes a refusal, inside it becomes backpressure. The ring counts depth and
// rejections so that the process dump can show where work piles up.
package ring

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrFull reports that a push that does not wait found no room.
var ErrFull = errors.New("ring is full")

// Ring is a bounded first-in, first-out queue of messages of one type.
type Ring[T any] struct {
	name     string
	slots    chan T
	rejected atomic.Int64
	pushed   atomic.Int64
}

// New returns a ring that holds at most size messages.
func New[T any](name string, size int) (*Ring[T], error) {
	if name == "" {
		return nil, errors.New("ring needs a name")
	}
	if size < 1 {
		return nil, errors.Errorf("ring %s: size is %d, want at least 1", name, size)
	}
	return &Ring[T]{
		name:  name,
		slots: make(chan T, size),
	}, nil
}

// Push adds m and waits for room until ctx ends.
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

// TryPush adds m, or fails at once with ErrFull.
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

// Pop returns the oldest message and waits for one until ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case m := <-r.slots:
		return m, nil
	case <-ctx.Done():
		var zero T
		return zero, errors.Wrapf(ctx.Err(), "ring %s", r.name)
	}
}

// Out is the receiving end, for a duty that also waits on a timer.
func (r *Ring[T]) Out() <-chan T {
	return r.slots
}

// Name is the ring's name in metrics and dumps.
func (r *Ring[T]) Name() string {
	return r.name
}

// Depth is the number of waiting messages.
func (r *Ring[T]) Depth() int {
	return len(r.slots)
}

// Size is the largest number of waiting messages.
func (r *Ring[T]) Size() int {
	return cap(r.slots)
}

// Rejected counts the pushes that found no room.
func (r *Ring[T]) Rejected() int64 {
	return r.rejected.Load()
}

// Pushed counts the messages accepted so far.
func (r *Ring[T]) Pushed() int64 {
	return r.pushed.Load()
}
