package losses

import (
	"strings"
	"time"
)

// Outcome is how a job ended for its caller.
type Outcome int

const (
	// Open is a job without an end in the logs, as after the loss of its entry.
	Open Outcome = iota
	Served
	// Late is a job that was answered after its commitment.
	Late
	Refused
	// GivenUp is a job that failed or did not end in time.
	GivenUp
	// LostWithTarget is a job that did not end and had a run that was lost with its target.
	LostWithTarget
	Left
)

// progressLag is by how much a reported run time may exceed the time at which the
// percentage was measured.
const progressLag = 5 * time.Millisecond

type job struct {
	id        string
	entry     string
	route     string
	at        time.Time
	limit     time.Duration
	tasks     int
	sizeClass int
	// declaredWork is the work by its declared run times, in core milliseconds.
	declaredWork float64
	outcome      Outcome
	left         bool
	// endedAt is when the entry that counts ended the job.
	endedAt time.Time
	took    time.Duration
	runs    map[string]*run
}

// outcomeWithRuns returns the outcome, with runs lost with their targets taken into account.
func (j *job) outcomeWithRuns() Outcome {
	if j.outcome != GivenUp {
		return j.outcome
	}
	for _, r := range j.runs {
		if r.lost {
			return LostWithTarget
		}
	}
	return GivenUp
}

// run is one run of a task. least and likely are the lower bound and the best estimate of
// its whole run time, 0 if unknown.
type run struct {
	target   string
	expected time.Duration
	done     bool
	lost     bool
	least    time.Duration
	likely   time.Duration
}

func (r *run) end(how string, ran time.Duration) {
	switch how {
	case "done":
		r.done = true
		r.least = ran
		r.likely = ran
	case "lost":
		r.lost = true
	default:
		r.least = max(r.least, ran)
	}
}

// project extrapolates a run time from the percentage done, which is rounded down.
func (r *run) project(ran time.Duration, percent int64) {
	r.least = max(r.least, max(0, ran-progressLag)*100/time.Duration(percent+1))
	r.likely = ran * 200 / time.Duration(2*percent+1)
}

// lengths returns the run times of the longest task on a target of a factor: the lower bound
// and the best estimate. known is false if no run tells anything of a job without an end.
func (j *job) lengths(factors map[string]float64, fastest float64) (least, likely time.Duration, known bool) {
	for _, r := range j.runs {
		scale := fastest / factorOf(factors, r.target)
		least = max(least, time.Duration(float64(r.least)*scale))
		likely = max(likely, time.Duration(float64(max(r.likely, r.least))*scale))
	}
	return least, likely, least > 0
}

// work returns the work of a job: that by its declared run times, corrected by the measured
// ones.
func (j *job) work() float64 {
	sum, n := 0.0, 0
	for name, r := range j.runs {
		if r.likely > 0 && r.expected > 0 && strings.HasSuffix(name, "#1") {
			sum += float64(r.likely) / float64(r.expected)
			n++
		}
	}
	if n == 0 {
		return j.declaredWork
	}
	return j.declaredWork * sum / float64(n)
}
