package dispatch

import (
	"math"
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/admission"
	"greengagedoor.example/greengagedoor/internal/request/lognormal"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The parameters of order and refusal.
const (
	// usefulFactor is the multiple of its commitment after which an answer is of no use
	// to the caller.
	usefulFactor = 3
	// minProbabilityFull is the probability of an answer in time below which a job is
	// refused while the targets are full: it would take capacity from others, and its
	// caller would wait in vain. minProbabilityIdle is the same while there is free
	// capacity, where the job takes none from others.
	minProbabilityFull = 0.25
	minProbabilityIdle = 0.03
	// maxQueueShare is the share of its time limit after which a job that has not
	// started is refused, so that its caller can try elsewhere.
	maxQueueShare = 0.45
	// reviewInterval is the minimum time between two reviews of the queue. It is short
	// against the shortest commitment.
	reviewInterval = 5 * time.Millisecond
	// rankSlackShare is the share of its slack that is added to the rank of a job; see
	// prioritize.
	rankSlackShare = 0.3
	// demotionPenalty is added to a rank, in µs. It puts a job behind all jobs that can
	// still be served in time.
	demotionPenalty = int64(time.Hour / time.Microsecond)
	// acceleratorCores is the number of cores that one accelerator is treated as.
	acceleratorCores = 8
	// withinJobSpread is the standard deviation of the logarithms of run times within
	// one job; it is lower than between jobs.
	withinJobSpread = 0.2
	// maxSampleFactor scales the upper bound on the expected maximum of a few normal
	// samples down to its mean.
	maxSampleFactor = 0.7
)

// meanFactor returns the mean factor of the targets of a service. Commitments are
// based on the run time on the mean target.
func (d *Dispatch) meanFactor(service string) float64 {
	sum, n := 0.0, 0
	for _, a := range d.connected {
		if a.target.Service() == service {
			sum += a.speed.value()
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// fastestFactor returns the factor of the fastest usable target of a service.
func (d *Dispatch) fastestFactor(service string) float64 {
	best := math.Inf(1)
	for _, a := range d.connected {
		if a.usable() && a.target.Service() == service {
			best = math.Min(best, a.speed.value())
		}
	}
	if math.IsInf(best, 1) {
		return 1
	}
	return best
}

// fastestFactorFor returns the factor of the fastest usable target that suits a step, and on
// which it fits. It is that of the service if there is none.
func (d *Dispatch) fastestFactorFor(j *job, s task.Step) float64 {
	best := math.Inf(1)
	for _, a := range d.connected {
		if a.usable() && a.suits(j, s) && a.size.Covers(s.Resources()) {
			best = math.Min(best, a.speed.value()*d.remoteFactorOn(a, s))
		}
	}
	if math.IsInf(best, 1) {
		return d.fastestFactor(j.route.Service())
	}
	return best
}

// longestFactor returns the expected run time of the longest of n tasks relative to
// the mean.
func longestFactor(n int) float64 {
	if n <= 1 {
		return 1
	}
	return math.Exp(withinJobSpread * maxSampleFactor * math.Sqrt(2*math.Log(float64(n))))
}

// criticalPath returns the duration of the longest chain of steps of a job on a
// target of factor 1.
func (d *Dispatch) criticalPath(j *job) time.Duration {
	longest := time.Duration(0)
	for i, s := range j.work.Steps() {
		before := time.Duration(0)
		for _, p := range s.Prerequisites() {
			before = max(before, j.steps[p].criticalPath)
		}
		own := float64(j.model.base(s.Estimate())) * longestFactor(s.Count())
		j.steps[i].criticalPath = before + time.Duration(own)
		longest = max(longest, j.steps[i].criticalPath)
	}
	return longest
}

// prioritize sets the deadlines and the rank of a job. The rank is its arrival plus
// a share of its slack and an offset per priority. Under load, jobs then wait in
// proportion to their slack. Long jobs, whose estimates have larger errors, are not
// delayed to their latest start by short jobs that keep arriving.
func (d *Dispatch) prioritize(j *job) {
	chain := d.criticalPath(j)
	service := j.route.Service()
	mean := time.Duration(float64(chain) * d.meanFactor(service))
	fast := time.Duration(float64(chain) * d.fastestFactor(service))
	limit := j.deadline - j.arrived
	commitment := j.route.Commitment(mean)
	j.due = j.arrived + min(commitment, limit)
	j.usefulUntil = j.arrived + min(usefulFactor*commitment, limit)
	j.fastestTime = fast
	// The spread is a margin for estimates that are too low.
	j.latestStart = j.due - time.Duration(float64(fast)*(1+j.model.spread()))
	j.coreSeconds = d.jobWork(j)
	j.width, j.cores = widthOf(j.work)
	j.relativeSize = d.fairness.relativeSize(j.route.Name(), j.coreSeconds)
	j.fairnessGroup = groupOf(j.route.Name(), j.relativeSize)
	slack := time.Duration(rankSlackShare * float64(j.latestStart-j.arrived))
	j.rank = (j.arrived + slack + time.Duration(j.route.Priority())*priorityStep - d.fairness.lead(j.fairnessGroup)).Microseconds()
}

// jobWork returns the work of a job in core seconds on a target of factor 1.
func (d *Dispatch) jobWork(j *job) float64 {
	sum := 0.0
	for _, s := range j.work.Steps() {
		sum += coresOf(s.Resources()) * float64(s.Count()) * j.model.base(s.Estimate()).Seconds()
	}
	return sum
}

// widthOf returns the number of tasks of a job and the cores that they need together.
func widthOf(work task.Job) (width int, cores float64) {
	for _, s := range work.Steps() {
		width += s.Count()
		cores += coresOf(s.Resources()) * float64(s.Count())
	}
	return width, cores
}

func coresOf(r task.Resources) float64 {
	return float64(r.MilliCores())/1000 + acceleratorCores*float64(r.Accelerators())
}

// unlikelyInTime reports whether a job that starts now has too low a probability of
// a useful answer, even on the fastest target. The end of its last run waits for the
// entry as long as other events.
func (d *Dispatch) unlikelyInTime(now time.Duration, j *job) bool {
	return lognormal.Within(j.usefulUntil-now-d.overload.highest(), j.fastestTime, j.model.spread()) < d.minProbability()
}

// minProbability returns the probability of an answer in time from which a job is
// worth its capacity.
func (d *Dispatch) minProbability() float64 {
	d.measureLoad()
	return minProbabilityIdle + (minProbabilityFull-minProbabilityIdle)*scarcity(d.lowestLoad)
}

// reviewQueue refuses queued jobs that have not started and have waited too long or
// are unlikely to be answered in time. It abandons jobs with an overdue task, and
// moves jobs that can no longer meet their commitment behind the others.
func (d *Dispatch) reviewQueue(now time.Duration) {
	if now < d.nextReview || len(d.queue) == 0 {
		return
	}
	d.nextReview = now + reviewInterval
	d.refuseTooLate(now)
	d.scratch = append(d.scratch[:0], d.queue...)
	for _, j := range d.scratch {
		if !j.started && (d.unlikelyInTime(now, j) || now-j.arrived > time.Duration(maxQueueShare*float64(j.deadline-j.arrived))) {
			d.finish(now, j, StateRefused, string(admission.ReasonTooLate))
			continue
		}
		if d.hasOverdueTask(now, j) {
			d.finish(now, j, StateExpired, "work_exceeds_time")
			continue
		}
		if !j.demoted && now > j.due-j.fastestTime && !j.started {
			j.demoted = true
			d.dequeue(j)
			j.rank += demotionPenalty
			d.enqueue(j)
		}
	}
}

// hasOverdueTask reports whether a job has a ready task of measured length that no
// target can end before the deadline.
func (d *Dispatch) hasOverdueTask(now time.Duration, j *job) bool {
	for _, t := range j.ready {
		if t.measuredTime > 0 && now+time.Duration(float64(t.measuredTime)*d.fastestFactorFor(j, j.work.Steps()[t.step])) > j.deadline {
			return true
		}
	}
	return false
}

// adjustEstimate corrects an estimate by the measured run times of the job.
func (j *job) adjustEstimate(base time.Duration) time.Duration {
	if j.observedRatio.count == 0 {
		return base
	}
	return time.Duration(float64(base) * math.Exp(j.observedRatio.value))
}

// observeRun adds the run time of a task to the job's ratio of measured to expected
// times.
func (d *Dispatch) observeRun(a *agent, j *job, s task.Step, ran time.Duration) {
	if ran <= 0 {
		return
	}
	x := float64(j.model.base(s.Estimate())) * a.speed.value()
	j.observedRatio.add(math.Log(math.Max(ran.Seconds(), 1e-4)/math.Max(x/float64(time.Second), 1e-4)), 0)
}

// retryAfter returns the time after which a refused caller may retry. The header
// has whole seconds, and a backlog of sub-second tasks is done within one. While this
// entry leaves, another one can take the job at once.
func (d *Dispatch) retryAfter() time.Duration {
	if d.leaving {
		return 0
	}
	return defaultRetryAfter
}

// overdueJobs returns the sorted ids of the jobs past their deadline.
func (d *Dispatch) overdueJobs(now time.Duration) []string {
	if now < d.nextDeadline {
		return nil
	}
	var ids []string
	d.nextDeadline = math.MaxInt64
	for id, j := range d.jobs {
		if now >= j.deadline {
			ids = append(ids, id)
			continue
		}
		d.nextDeadline = min(d.nextDeadline, j.deadline)
	}
	sort.Strings(ids)
	return ids
}

// logAccepted logs the schedule of an accepted job.
func (d *Dispatch) logAccepted(now time.Duration, j *job, ahead admission.Backlog) {
	d.logEvent(event.JobAccepted, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("route", j.route.Name()),
		event.F("version", d.version.Number()), event.F("tasks", len(j.ready)), event.F("expected_ms", j.fastestTime.Milliseconds()),
		event.F("due_ms", (j.due-now).Milliseconds()), event.F("limit_ms", (j.deadline-now).Milliseconds()), event.F("held", len(d.jobs)),
		event.F("queued_ms", (now-j.arrived).Milliseconds()), event.F("size_class", j.fairnessGroup.sizeClass),
		event.F("work_core_ms", int64(j.coreSeconds*1000)),
		event.F("expected_end_ms", (j.expectedEnd-now).Milliseconds()), event.F("ahead_core_ms", int64(ahead.Work()*1000)))
}
