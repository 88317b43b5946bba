package placement

import "time"

// The parameters of waits for a faster target.
const (
	// usualWait is the wait assumed for the fastest target while other targets have free
	// capacity. Runs on a target end every few ms under load.
	usualWait = 120 * time.Millisecond
	// clearlySlower is the ratio of run times from which a target counts as slower. It
	// exceeds the error of two estimated factors.
	clearlySlower = 1.3
	// scarce is the scarcity from which another task waits for each place that is taken.
	scarce = 0.5
)

// Charge returns the wait with which the fastest target is compared with one that is free
// now. A task starts on the free one unless it is clearly more likely to be in time on the
// fastest after that wait.
//
// Where places are scarce, a run that is probably late on a slow target keeps one that
// would be in time there from it, and its answer is worth little. Such a task waits
// whether or not the fastest target is free in time, so no wait is charged.
func Charge(here, fastest time.Duration, scarcity float64) time.Duration {
	if scarcity >= scarce && float64(here) > clearlySlower*float64(fastest) {
		return 0
	}
	return usualWait
}
