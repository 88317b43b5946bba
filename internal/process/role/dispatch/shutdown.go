package dispatch

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/request/lognormal"
)

// ReasonLeaving is the reason of a request that the end of the entry leaves no time for.
const ReasonLeaving = "leaving"

// minShareLeaving is the share of a job's chance of a useful answer that the end of
// the entry must leave it; otherwise its caller does better at another entry.
const minShareLeaving = 0.9

// shutDown bounds the deadlines of all jobs by the time in which the entry still
// answers.
func (d *Dispatch) shutDown(now, answerWithin time.Duration) {
	d.leaving = true
	d.lastAnswer = now + answerWithin
	for _, j := range d.sortedJobs() {
		d.cutTimes(j)
	}
	d.nextDeadline = min(d.nextDeadline, d.lastAnswer)
}

func (d *Dispatch) sortedJobs() []*job {
	list := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].work.ID() < list[k].work.ID() })
	return list
}

// cutTimes bounds the times of a job of a leaving entry.
func (d *Dispatch) cutTimes(j *job) {
	j.cut = j.deadline > d.lastAnswer
	j.uncutUntil = j.usefulUntil
	j.deadline = min(j.deadline, d.lastAnswer)
	j.usefulUntil = min(j.usefulUntil, d.lastAnswer)
	j.due = min(j.due, d.lastAnswer)
}

// endsTooSoon reports whether the entry ends too soon for a job that has not
// started.
func (d *Dispatch) endsTooSoon(now time.Duration, j *job) bool {
	if !j.cut || j.started {
		return false
	}
	spread := j.model.spread()
	return now >= d.lastAnswer ||
		lognormal.Within(j.usefulUntil-now, j.fastestTime, spread) < minShareLeaving*lognormal.Within(j.uncutUntil-now, j.fastestTime, spread)
}

// refuseUnfinishable refuses the queued jobs for which the leaving entry ends too
// soon.
func (d *Dispatch) refuseUnfinishable(now time.Duration) {
	if !d.leaving {
		return
	}
	for _, j := range append([]*job(nil), d.queue...) {
		if d.endsTooSoon(now, j) {
			d.finish(now, j, StateRefused, ReasonLeaving)
		}
	}
}

// expiryReason returns why a job at its deadline ends.
func (j *job) expiryReason() string {
	if j.cut {
		return ReasonLeaving
	}
	return "deadline"
}
