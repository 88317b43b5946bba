// Package admission decides, when a job arrives, whether it is worth its wait.
//
// At a load peak, work arrives faster than the targets of an entry can run it. A queue
// that takes all of it does not let one more job be served: it only makes every job wait
// longer, until most of them are late and their callers learn of it when their time has
// passed. The work in the queue and the rate at which it starts are known when a job
// arrives, and so is roughly when its last task will end.
//
// A short queue is enough to keep the targets busy. So a job is refused on arrival if the
// wait for the work before it exceeds a small share of the time until its commitment, or
// if its answer would come too late to be useful. The job's own size does not count towards
// the wait, so large jobs are not refused sooner than small ones. Without a queue, no job
// is refused.
//
// The run time of one job is known badly, but the work ahead of it is a sum over many
// jobs, whose errors cancel out. An answer is taken to be too late only if it would be so
// after a shorter wait than the expected one, and a run as short as that of one job in
// four.
package admission

import (
	"math"
	"time"
)

// The parameters of admission.
const (
	// maxWaitShare is the share of the time of its commitment that a job may wait. It keeps
	// targets busy between the ends of two runs, and leaves the rest to the run, whose
	// length is known the least.
	maxWaitShare = 0.06
	// MinQueue is the number of jobs that may wait in any case, since a short wait can't be
	// told from a long one by so few.
	MinQueue = 4
	// shortRun is the number of standard deviations below its expected logarithm that a
	// quarter of the run times undercut.
	shortRun = 0.67
	// minWaitError is the least relative error of an expected wait. Targets free capacity
	// unevenly, and a few of them more or less are noticed only after some runs.
	minWaitError = 0.15
	// maxWait stands for a wait that does not end at the present rate.
	maxWait = time.Hour
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may
	// retry. Load peaks last seconds, so that a longer time would outlast most of them.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// Reason is why a job is refused.
type Reason string

const (
	// ReasonBacklog is the reason of a job that would wait too long behind other work.
	ReasonBacklog Reason = "backlog"
	// ReasonTooLate is the reason of a job whose answer would be of no use.
	ReasonTooLate Reason = "no_room_in_time"
)

// Backlog is queued work. Work is in core seconds on a target of factor 1.
type Backlog struct {
	jobs  int
	cores float64
	work  float64
}

// Add adds a job whose waiting tasks need cores in total and do an amount of work.
func (b *Backlog) Add(cores, work float64) {
	b.jobs++
	b.cores += cores
	b.work += work
}

func (b Backlog) Jobs() int {
	return b.jobs
}

// Work returns the work in core seconds on a target of factor 1.
func (b Backlog) Work() float64 {
	return b.work
}

// Capacity is what an entry can get of the targets.
type Capacity struct {
	free    float64
	rate    float64
	stalled time.Duration
}

// NewCapacity returns a capacity with a number of free cores, and the amount of work that
// the entry gets done in a second.
func NewCapacity(free, rate float64) Capacity {
	return Capacity{
		free: free,
		rate: rate,
	}
}

// Stalled returns the capacity if no queued job has started for some time. What has not
// moved for so long will probably not move sooner than after as long again, whatever the
// rate should be. It does not matter while cores are free.
func (c Capacity) Stalled(d time.Duration) Capacity {
	c.stalled = d
	return c
}

// wait returns the time in which a backlog has started. Free cores take their part of it
// at once.
func (c Capacity) wait(b Backlog) time.Duration {
	switch {
	case b.cores <= c.free:
		return 0
	case c.rate <= 0:
		return maxWait
	}
	s := b.work * (1 - c.free/b.cores) / c.rate
	wait := time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
	if c.free > 0 {
		return wait
	}
	return max(c.stalled, wait)
}

// retryAfter returns the time in which a backlog is worked off, in whole seconds. It does
// not depend on the job, so that equal callers are told the same.
func (c Capacity) retryAfter(b Backlog) time.Duration {
	s := math.Ceil(c.wait(b).Seconds())
	return min(max(time.Duration(s)*time.Second, minRetryAfter), maxRetryAfter)
}

// Job is a job to decide on.
type Job struct {
	cores       float64
	work        float64
	runTime     time.Duration
	spread      float64
	due         time.Duration
	usefulUntil time.Duration
}

// NewJob returns a job whose tasks need cores in total and do an amount of work. The run
// time is the expected one of its longest chain of tasks on a fast target, and spread the
// standard deviation of its logarithm.
func NewJob(cores, work float64, runTime time.Duration, spread float64) Job {
	return Job{
		cores:   cores,
		work:    work,
		runTime: runTime,
		spread:  spread,
	}
}

// WithTimes returns the job with the time of its commitment, and that from which an
// answer is of no use.
func (j Job) WithTimes(due, usefulUntil time.Duration) Job {
	j.due = due
	j.usefulUntil = usefulUntil
	return j
}

// Decision is the result for one job.
type Decision struct {
	reason      Reason
	expectedEnd time.Duration
	retryAfter  time.Duration
}

// Reason returns why the job is refused, "" if it is accepted.
func (d Decision) Reason() Reason {
	return d.reason
}

// ExpectedEnd returns when the last task of the job is expected to end.
func (d Decision) ExpectedEnd() time.Duration {
	return d.expectedEnd
}

// RetryAfter returns when the caller of a refused job may retry.
func (d Decision) RetryAfter() time.Duration {
	return d.retryAfter
}

// Accept accepts a job without regard to the queue.
func Accept(now time.Duration, j Job) Decision {
	return Decision{
		expectedEnd: now + j.runTime,
	}
}

// Decide decides on a job that arrives now, behind a backlog.
func Decide(now time.Duration, j Job, ahead Backlog, c Capacity) Decision {
	d := Keep(now, j, ahead, c)
	if wait := c.wait(ahead); ahead.jobs >= MinQueue && wait > 0 && wait > scale(j.due-now, maxWaitShare) {
		d.reason = ReasonBacklog
	}
	return d
}

// Keep decides on a job that was accepted and has not started. It is refused only if its
// answer would come too late, which happens when targets are lost.
func Keep(now time.Duration, j Job, ahead Backlog, c Capacity) Decision {
	all := ahead
	all.Add(j.cores, j.work)
	wait := c.wait(all)
	d := Decision{
		expectedEnd: now + wait + j.runTime,
		retryAfter:  c.retryAfter(ahead),
	}
	least := scale(wait, 1-waitError(j, all)) + scale(j.runTime, math.Exp(-shortRun*j.spread))
	if wait > 0 && now+least > j.usefulUntil {
		d.reason = ReasonTooLate
	}
	return d
}

// waitError returns the relative error of the wait for a backlog to start. Those of its
// jobs cancel out.
func waitError(j Job, b Backlog) float64 {
	return min(1, minWaitError+j.spread/math.Sqrt(float64(b.jobs)))
}

func scale(d time.Duration, x float64) time.Duration {
	return time.Duration(float64(d) * x)
}
