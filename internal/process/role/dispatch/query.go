package dispatch

import "time"

// query answers a caller that asks for the state of a job or of a queue.
func (d *Dispatch) query(now time.Duration, q Query) {
	if d.version == nil {
		d.answer(q.request, StateRefused, reasonNoConfiguration, defaultRetryAfter)
		return
	}
	r, id, ok := d.findRoute(q.host, q.path)
	if !ok {
		st, reason, retryAfter := d.unknownRoute(now)
		d.answer(q.request, st, reason, retryAfter)
		return
	}
	if d.refusing && id == "" {
		d.answer(q.request, StateRefused, reasonBehind, defaultRetryAfter)
		return
	}
	if id == "" {
		d.out.answers = append(d.out.answers, Answer{
			request: q.request,
			state:   StateCounted,
			pending: d.pending(r.Name()),
		})
		return
	}
	d.answer(q.request, d.jobState(id), "", 0)
}

// pending returns the number of jobs of a route of which no task has started.
func (d *Dispatch) pending(name string) int {
	n := 0
	for _, j := range d.jobs {
		if j.route.Name() == name && !j.started {
			n++
		}
	}
	return n
}

func (d *Dispatch) jobState(id string) State {
	j, ok := d.jobs[id]
	if ok && j.started {
		return StateRunning
	}
	if ok {
		return StateQueued
	}
	if p, ok := d.finished[id]; ok {
		return p.state
	}
	return StateGone
}
