package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

const (
	// cancelRetention is how long an entry remembers that a job was cancelled. Requests of
	// callers arrive up to 12 s late.
	cancelRetention = 15 * time.Second
	// cancelPassInterval is the least time between two passes of the same cancellation to other
	// entries. Those that are not all connected to each other have passed it on by then.
	cancelPassInterval = 5 * time.Second
	// maxCancelled bounds the cancellations that an entry remembers; each has up to
	// task.MaxIDBytes. The oldest go first.
	maxCancelled = 16384
	// maxCancelsTold bounds those that an entry tells another one when they connect.
	maxCancelsTold = 2048
)

// cancellations remembers the jobs that were cancelled at any entry, as far as this one was
// told, so that it refuses a request for one that arrives late, and tells entries that connect.
type cancellations struct {
	// at has the time of the first report of each cancellation, and passed that of the last
	// pass to other entries. order lists the jobs by their first report.
	at     map[string]time.Duration
	passed map[string]time.Duration
	order  []string
}

func newCancellations() cancellations {
	return cancellations{
		at:     map[string]time.Duration{},
		passed: map[string]time.Duration{},
	}
}

// add remembers the cancellation of a job. It reports whether it is to be passed on.
func (c *cancellations) add(now time.Duration, job string) bool {
	c.forget(now)
	if _, ok := c.at[job]; !ok {
		c.at[job] = now
		c.order = append(c.order, job)
	}
	if at, ok := c.passed[job]; ok && now-at < cancelPassInterval {
		return false
	}
	c.passed[job] = now
	return true
}

// forget removes the oldest cancellations that exceed the limits.
func (c *cancellations) forget(now time.Duration) {
	for len(c.order) > 0 && (len(c.order) >= maxCancelled || now-c.at[c.order[0]] >= cancelRetention) {
		delete(c.at, c.order[0])
		delete(c.passed, c.order[0])
		c.order = c.order[1:]
	}
}

// has reports whether a job was cancelled within cancelRetention.
func (c *cancellations) has(now time.Duration, job string) bool {
	at, ok := c.at[job]
	return ok && now-at < cancelRetention
}

// newest returns the latest cancellations, up to maxCancelsTold.
func (c *cancellations) newest(now time.Duration) []string {
	c.forget(now)
	return append([]string(nil), c.order[max(0, len(c.order)-maxCancelsTold):]...)
}

// cancel ends a job on request. Messages that go from entry to entry, and to the agents of this
// one, cancel the job at another entry, and tell all of them not to begin it later.
func (d *Dispatch) cancel(now time.Duration, c Cancel) {
	if d.version == nil {
		d.answer(c.request, StateRefused, reasonNoConfiguration, defaultRetryAfter)
		return
	}
	_, id, ok := d.findRoute(c.host, c.path)
	if !ok {
		st, reason, retryAfter := d.unknownRoute(now)
		d.answer(c.request, st, reason, retryAfter)
		return
	}
	if !task.IsID(id) {
		d.answer(c.request, StateGone, "no_job", 0)
		return
	}
	pass := d.cancelled.add(now, id)
	if pass {
		d.passCancel(id, nil)
	}
	if d.cancelJob(now, id) {
		d.answer(c.request, StateCancelled, "cancelled", 0)
		return
	}
	if pass {
		for _, a := range d.connected {
			a.cancels = append(a.cancels, id)
		}
	}
	d.answer(c.request, StateGone, "no_job", 0)
}

// receiveCancels ends the jobs that an entry says are cancelled, and passes the cancellations
// on to the entries that may not know of them.
func (d *Dispatch) receiveCancels(now time.Duration, from *peer, jobs []string) {
	for _, job := range jobs {
		if !task.IsID(job) {
			continue
		}
		d.cancelJob(now, job)
		if d.cancelled.add(now, job) {
			d.passCancel(job, from)
		}
	}
}

// passCancel tells all connected entries but one of a cancellation.
func (d *Dispatch) passCancel(job string, except *peer) {
	for _, p := range d.peers {
		if p != except {
			p.cancels = append(p.cancels, job)
		}
	}
}

// cancelJob ends a job and reports whether this entry had it.
func (d *Dispatch) cancelJob(now time.Duration, id string) bool {
	j, ok := d.jobs[id]
	if !ok {
		return d.cancelHeld(now, id)
	}
	d.logEvent(event.JobCancelled, event.F("job", id), event.F("trace", j.trace))
	d.finish(now, j, StateCancelled, "cancelled")
	return true
}
