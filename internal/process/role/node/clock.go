package node

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// bootClock returns the host's clock that counts while the host is suspended.
// The clock that Go timers use stands still then, and a process that wakes up
// would take old messages for fresh ones.
func bootClock() (func() time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return nil, errors.Wrap(err, "clock that counts while the host is suspended")
	}
	last := time.Duration(ts.Nano())
	return func() time.Duration {
		var ts unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil {
			last = time.Duration(ts.Nano())
		}
		return last
	}, nil
}
