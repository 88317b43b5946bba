package server

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// bootClock returns the time since the host's boot, including the time that the
// host was suspended. Go timers use a clock that stops during suspension; with it,
// a resumed process would treat old messages as recent. All duties may call it.
func bootClock() (func() time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return nil, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	var last atomic.Int64
	last.Store(ts.Nano())
	return func() time.Duration {
		var ts unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil {
			last.Store(ts.Nano())
		}
		return time.Duration(last.Load())
	}, nil
}
