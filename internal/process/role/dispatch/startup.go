package dispatch

import (
	"path"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

const (
	// startupWait is how long after its start an entry holds requests that it has no
	// configuration or no target for yet. The first read of the store takes some 10 ms,
	// and agents dial a new entry every 150 ms at most.
	startupWait = 400 * time.Millisecond
	// maxHeld bounds the held requests.
	maxHeld = 512
)

// startup keeps the requests that arrive before an entry has a configuration and a
// target for them.
type startup struct {
	held []Submission
	// begun is set by the first event. Requests are held until the time until.
	begun bool
	until time.Duration
}

func (s *startup) begin(now time.Duration) {
	if !s.begun {
		s.begun = true
		s.until = now + startupWait
	}
}

// hold keeps a request until the entry can decide on it. It reports false if the
// entry has to decide now.
func (d *Dispatch) hold(now time.Duration, s Submission) bool {
	if now >= d.startup.until || d.leaving || len(d.startup.held) >= maxHeld {
		return false
	}
	if s.arrived == 0 {
		s.arrived = now
	}
	d.startup.held = append(d.startup.held, s)
	return true
}

// submitHeld submits the held requests again. Those that still have to wait are held
// once more.
func (d *Dispatch) submitHeld(now time.Duration) {
	if len(d.startup.held) == 0 {
		return
	}
	held := d.startup.held
	d.startup.held = nil
	for _, s := range held {
		d.submit(now, s)
	}
}

// releaseHeld drops a held request whose caller has left.
func (d *Dispatch) releaseHeld(request uint64) {
	d.startup.held = slices.DeleteFunc(d.startup.held, func(s Submission) bool { return s.request == request })
}

// cancelHeld answers the held requests for a job that is cancelled. It reports whether
// there was one.
func (d *Dispatch) cancelHeld(now time.Duration, id string) bool {
	held := len(d.startup.held)
	d.startup.held = slices.DeleteFunc(d.startup.held, func(s Submission) bool {
		if d.heldID(s) != id {
			return false
		}
		d.logEvent(event.JobCancelled, event.F("job", id), event.F("trace", s.trace))
		d.answer(s.request, StateCancelled, "cancelled", 0)
		return true
	})
	if len(d.startup.held) == held {
		return false
	}
	d.keepOutcome(now, id, StateCancelled)
	return true
}

// heldID returns the job id of a held request. While there is no configuration, that
// is the last part of its path.
func (d *Dispatch) heldID(s Submission) string {
	if d.version == nil {
		return path.Base(s.path)
	}
	_, id, _ := d.findRoute(s.host, s.path)
	return id
}
