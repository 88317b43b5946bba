package duty

import (
	"context"
	"time"
)

// Pause waits for d. It reports whether the wait was complete; false means that
// ctx ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
