package dispatch

import (
	"math"
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The parameters of order and refusal.
const (
	// lateFactor is how many times its commitment an answer may take and still be of
	// use to the caller.
	lateFactor = 3
	// hopelessChance is the chance of an answer in time below which a job is refused
	// on full targets: it takes room from others and its caller waits in vain. While
	// there is room it takes none from others, and idleChance is enough.
	hopelessChance = 0.25
	idleChance     = 0.03
	// holdShare is the part of its time for which a job waits without a start before
	// it is refused, so that its caller can turn elsewhere.
	holdShare = 0.45
	// rankShare is the share of its slack after which a job goes before others.
	rankShare = 0.3
	// demotion moves a job behind all that can still be served in time.
	demotion = int64(time.Hour / time.Microsecond)
	// acceleratorCores is the number of cores that an accelerator counts as.
	acceleratorCores = 8
	// withinSpread is how far the tasks of one job differ, in logarithms; they differ
	// less than jobs do.
	withinSpread = 0.2
	// widestShare brings the bound on the largest of a few normal samples down to
	// its mean.
	widestShare = 0.7
)

// meanFactor is how many times as long a run takes on the mean target as on one
// of factor 1. Commitments count work on the mean target.
func (d *Dispatch) meanFactor(service string) float64 {
	sum, n := 0.0, 0
	for _, a := range d.sessions {
		if a.target.Service() == service {
			sum += d.learned.factor(a.label(), a.name)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// bestFactor is the like on the fastest usable target.
func (d *Dispatch) bestFactor(service string) float64 {
	best := math.Inf(1)
	for _, a := range d.sessions {
		if a.usable() && a.target.Service() == service {
			best = math.Min(best, d.learned.factor(a.label(), a.name))
		}
	}
	if math.IsInf(best, 1) {
		return 1
	}
	return best
}

// widest is how much longer the longest of n tasks takes than the mean one.
func widest(n int) float64 {
	if n <= 1 {
		return 1
	}
	return math.Exp(withinSpread * widestShare * math.Sqrt(2*math.Log(float64(n))))
}

// chain is the length of a job's longest chain of work on a target of factor 1.
func (d *Dispatch) chain(j *job) time.Duration {
	longest := time.Duration(0)
	for i, s := range j.work.Steps() {
		before := time.Duration(0)
		for _, p := range s.Prerequisites() {
			before = max(before, j.steps[p].chain)
		}
		own := float64(d.learned.base(j.route.Name(), s.Estimate())) * widest(s.Count())
		j.steps[i].chain = before + time.Duration(own)
		longest = max(longest, j.steps[i].chain)
	}
	return longest
}

// judge sets when a job is due and its rank: its arrival and a share of its slack,
// with a step for each priority. Under load jobs then wait in proportion to their
// slack, so that long work, whose estimates err by more, is not left to its last
// moment behind short work that keeps coming.
func (d *Dispatch) judge(j *job) {
	chain := d.chain(j)
	service := j.route.Service()
	mean := time.Duration(float64(chain) * d.meanFactor(service))
	fast := time.Duration(float64(chain) * d.bestFactor(service))
	limit := j.deadline - j.accepted
	commitment := j.route.Commitment(mean)
	j.due = j.accepted + min(commitment, limit)
	j.useful = j.accepted + min(lateFactor*commitment, limit)
	j.fast = fast
	// The margin is for estimates that are too low.
	j.latest = j.due - time.Duration(float64(fast)*(1+d.learned.spread(j.route.Name())))
	j.size = d.fair.measure(j.route.Name(), d.work(j))
	j.group = groupOf(j.route.Name(), j.size)
	slack := time.Duration(rankShare * float64(j.latest-j.accepted))
	j.rank = (j.accepted + slack + time.Duration(j.route.Priority())*priorityStep - d.fair.lead(j.group)).Microseconds()
}

// work is what a job needs of the targets, in core seconds on a target of factor 1.
func (d *Dispatch) work(j *job) float64 {
	sum := 0.0
	for _, s := range j.work.Steps() {
		cores := float64(s.Resources().MilliCores())/1000 + acceleratorCores*float64(s.Resources().Accelerators())
		sum += cores * float64(s.Count()) * d.learned.base(j.route.Name(), s.Estimate()).Seconds()
	}
	return sum
}

// hopeless tells whether a job that starts now will most likely not be answered
// in time to be of use, even on the fastest target.
func (d *Dispatch) hopeless(now time.Duration, j *job) bool {
	return chance(j.useful-now, j.fast, d.learned.spread(j.route.Name())) < d.leastChance()
}

// leastChance is the chance of an answer in time from which work is worth its room.
func (d *Dispatch) leastChance() float64 {
	return idleChance + (hopelessChance-idleChance)*scarcity(d.load().least())
}

// review looks at the jobs that wait: one that can't meet its commitment any more
// goes behind the others, and one of which nothing has started is refused when it
// has waited long or has become hopeless. One that has a task out of time
// is given up.
func (d *Dispatch) review(now time.Duration) {
	for _, j := range append([]*job(nil), d.queue...) {
		if !j.ran && (d.hopeless(now, j) || now-j.accepted > time.Duration(holdShare*float64(j.deadline-j.accepted))) {
			d.finish(now, j, StateRefused, "no_room_in_time")
			continue
		}
		if d.outOfTime(now, j) {
			d.finish(now, j, StateExpired, "work_exceeds_time")
			continue
		}
		if !j.demoted && now > j.due-j.fast && !j.ran {
			j.demoted = true
			d.dequeue(j)
			j.rank += demotion
			d.enqueue(j)
		}
	}
}

// outOfTime tells whether a job has a waiting task, whose length a run has shown, that
// no target can end before the deadline.
func (d *Dispatch) outOfTime(now time.Duration, j *job) bool {
	for _, t := range j.ready {
		if t.base > 0 && now+time.Duration(float64(t.base)*d.bestFactor(j.route.Service())) > j.deadline {
			return true
		}
	}
	return false
}

// expect corrects an estimate by what the ended tasks of the job have shown.
func (j *job) expect(base time.Duration) time.Duration {
	if j.shown.count == 0 {
		return base
	}
	return time.Duration(float64(base) * math.Exp(j.shown.value))
}

// show takes the run time of a task for what it tells of the others.
func (d *Dispatch) show(a *agent, j *job, s task.Step, ran time.Duration) {
	if ran <= 0 {
		return
	}
	x := float64(d.learned.base(j.route.Name(), s.Estimate())) * d.learned.factor(a.label(), a.name)
	j.shown.add(math.Log(math.Max(ran.Seconds(), 1e-4)/math.Max(x/float64(time.Second), 1e-4)), 0)
}

// retryAfter is the time to come back for a refused caller. The header counts whole
// seconds, and a backlog of sub-second tasks is done within one.
func (d *Dispatch) retryAfter() time.Duration {
	return retryPause
}

// overdueJobs lists the jobs whose time is over.
func (d *Dispatch) overdueJobs(now time.Duration) []string {
	var ids []string
	for id, j := range d.jobs {
		if now >= j.deadline {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// noteAccepted logs what was known about a job when it was taken.
func (d *Dispatch) noteAccepted(now time.Duration, j *job) {
	d.note(event.JobAccepted, event.F("job", j.work.ID()), event.F("trace", j.trace), event.F("route", j.route.Name()),
		event.F("version", d.version.Number()), event.F("tasks", len(j.ready)), event.F("expected_ms", j.fast.Milliseconds()),
		event.F("due_ms", (j.due-now).Milliseconds()), event.F("limit_ms", (j.deadline-now).Milliseconds()), event.F("held", len(d.jobs)))
}
