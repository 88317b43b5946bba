package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

// ReasonOverloaded is the reason of a request that an entry cannot decide on in time.
const ReasonOverloaded = "overloaded"

// lagWindow is how long the highest lag counts.
const lagWindow = 200 * time.Millisecond

// overload tells an entry that is short of processor time from how long events wait
// for it.
type overload struct {
	limit time.Duration
	// lag is the highest lag of this window, and previous that of the one before.
	lag      time.Duration
	previous time.Duration
	began    time.Duration
	reported bool
}

// newOverload returns an overload that begins where sessions with runs are at risk:
// agents end a session, with all its runs, when the last echo is as old as the session
// timeout. An echoed time is up to a heartbeat interval old, the next echo follows
// within half of one, and both frames wait for the entry.
func newOverload(t Timing) overload {
	return overload{
		limit: (t.sessionTimeout - t.heartbeatInterval*3/2) / 2,
	}
}

// observe adds the lag of an event.
func (o *overload) observe(lag time.Duration) {
	o.lag = max(o.lag, lag)
}

// highest returns the highest lag of the last one to two windows.
func (o *overload) highest() time.Duration {
	return max(o.lag, o.previous)
}

func (o *overload) exceeded() bool {
	return o.highest() > o.limit
}

// updateLag observes how long events have waited, and logs the begin and the end of an
// overload.
func (d *Dispatch) updateLag(now time.Duration, events []Event) {
	o := &d.overload
	if now-o.began >= lagWindow {
		o.previous = o.lag
		o.lag = 0
		o.began = now
	}
	for _, ev := range events {
		if ev.queued > 0 {
			o.observe(now - ev.queued)
		}
	}
	if o.exceeded() == o.reported {
		return
	}
	o.reported = !o.reported
	name := event.OverloadEnded
	if o.reported {
		name = event.OverloadBegan
	}
	d.logEvent(name, event.F("lag_ms", o.highest().Milliseconds()), event.F("limit_ms", o.limit.Milliseconds()), event.F("held", len(d.jobs)))
}
