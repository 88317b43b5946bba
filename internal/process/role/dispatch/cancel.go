package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

const (
	// cancelRetention is how long an entry remembers a cancellation that it has passed on.
	// The others have passed it on by then.
	cancelRetention = 5 * time.Second
	// maxPassedOn bounds the cancellations that an entry remembers.
	maxPassedOn = 16384
)

// passedOn remembers the cancellations that an entry has passed on, so that each goes
// around once among entries that are not all connected to each other.
type passedOn struct {
	at    map[string]time.Duration
	order []string
}

func newPassedOn() passedOn {
	return passedOn{
		at: map[string]time.Duration{},
	}
}

// add remembers the cancellation of a job. It reports false if it is remembered already.
func (p *passedOn) add(now time.Duration, job string) bool {
	for len(p.order) > 0 && (len(p.order) >= maxPassedOn || now-p.at[p.order[0]] >= cancelRetention) {
		delete(p.at, p.order[0])
		p.order = p.order[1:]
	}
	if _, ok := p.at[job]; ok {
		return false
	}
	p.at[job] = now
	p.order = append(p.order, job)
	return true
}

// cancel ends a job on request. The job of another entry is cancelled by messages that
// go from entry to entry, and to the agents of this one.
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
	if d.cancelJob(now, id) {
		d.answer(c.request, StateCancelled, "cancelled", 0)
		return
	}
	d.passedOn.add(now, id)
	for _, p := range d.peers {
		p.cancels = append(p.cancels, id)
	}
	for _, a := range d.connected {
		a.cancels = append(a.cancels, id)
	}
	d.answer(c.request, StateGone, "no_job", 0)
}

// receiveCancels ends the jobs that an entry says are cancelled, and passes on the
// others to the entries that may not know of it.
func (d *Dispatch) receiveCancels(now time.Duration, from *peer, jobs []string) {
	for _, job := range jobs {
		if d.cancelJob(now, job) || !d.passedOn.add(now, job) {
			continue
		}
		for _, p := range d.peers {
			if p != from {
				p.cancels = append(p.cancels, job)
			}
		}
	}
}

// cancelJob ends a job and reports whether this entry had it.
func (d *Dispatch) cancelJob(now time.Duration, id string) bool {
	j, ok := d.jobs[id]
	if !ok {
		return id != "" && d.cancelHeld(now, id)
	}
	d.logEvent(event.JobCancelled, event.F("job", id), event.F("trace", j.trace))
	d.finish(now, j, StateCancelled, "cancelled")
	return true
}
