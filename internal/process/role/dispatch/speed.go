package dispatch

import (
	"math"
	"time"
)

// The parameters of the speed of single targets.
const (
	// minLabelWeight and minTargetWeight are the minimum weights of one run, so that
	// factors follow a change within some tens of runs.
	minLabelWeight  = 0.02
	minTargetWeight = 0.08
	// maxResidual limits the effect of one run on a factor.
	maxResidual = 0.7
	// priorRuns is the weight, in runs, of the speed of the hardware label in the factor
	// of a target that has run little. One run differs from its estimate by far more than
	// one target differs from another of its label.
	priorRuns = 6
	// targetDecayTime is the time constant with which the factor of one target decays.
	// A target that was slow for some time gets work again, which can show that it has
	// recovered.
	targetDecayTime = 10 * time.Second
	// decayInterval is the least time between two steps of that decay.
	decayInterval = 500 * time.Millisecond
)

// speed is the factor of one target. It keeps the last result, since factors are
// read far more often than they change.
type speed struct {
	label  *factor
	target *factor
	log    float64
	ratio  float64
}

// speed returns the speed of a target.
func (e *estimator) speed(label, target string) speed {
	return speed{
		label:  getOrCreate(e.labels, label),
		target: getOrCreate(e.targets, target),
		ratio:  1,
	}
}

// value returns the run time on the target relative to one of factor 1.
func (s *speed) value() float64 {
	if x := s.label.value + s.target.value; x != s.log {
		s.log = x
		s.ratio = math.Exp(x)
	}
	return s.ratio
}

// decay reduces the factors of single targets, so that only those of their labels
// remain.
func (e *estimator) decay(now time.Duration) {
	passed := now - e.decayedAt
	if passed < decayInterval {
		return
	}
	e.decayedAt = now
	keep := math.Exp(-passed.Seconds() / targetDecayTime.Seconds())
	for _, t := range e.targets {
		t.value *= keep
	}
}

// forget removes the factor of a target that no longer exists.
func (e *estimator) forget(target string) {
	delete(e.targets, target)
}

// factor is the logarithm of how much longer runs take with a hardware label or on a
// target. Of a job that ran with several labels or on several targets, each has a share.
type factor struct {
	value float64
	runs  float64
	jobs  float64
}

func (f *factor) add(residual, weight float64) {
	f.value += weight * math.Max(-maxResidual, math.Min(maxResidual, residual))
}

// runResidual is the residual of one run of a job; see estimator.observe.
type runResidual struct {
	speed speed
	value float64
}

// observeSpeeds adds the runs of an ended job to the factors of their labels and targets.
//
// A job's length is known to a factor of 1.5 or worse, and the tasks of one job differ far
// less. So its runs are compared with one another: with the job's error in the factors, a
// target or a label that got short jobs by chance would seem the fastest of many equal
// ones. What the runs have in common counts as one run, and for a target as one that is
// less exact by the ratio of the spreads. It does not count for a job that was given up,
// since the runs of it that ended are its shorter ones.
func observeSpeeds(runs []runResidual, spread float64, complete bool) {
	share := 1 / float64(len(runs))
	mean := 0.0
	for _, r := range runs {
		mean += r.value * share
	}
	for _, r := range runs {
		label, target := r.speed.label, r.speed.target
		label.runs++
		target.runs++
		targetWeight := math.Max(1/(target.runs+priorRuns), minTargetWeight)
		label.add(r.value-mean, math.Max(1/label.runs, minLabelWeight))
		target.add(r.value-mean, targetWeight)
		if !complete {
			continue
		}
		label.jobs += share
		label.add(mean, share*math.Max(1/math.Max(1, label.jobs), minLabelWeight))
		target.add(mean, share*targetWeight*math.Min(1, withinJobSpread/spread))
	}
}
