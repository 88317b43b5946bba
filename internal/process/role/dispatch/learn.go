package dispatch

import (
	"math"
	"time"
)

// The parameters of learned run times.
const (
	// firstEstimate stands for the run time of a kind that declares none.
	firstEstimate = 100 * time.Millisecond
	// minKindStep and minTargetStep bound how much one run changes an estimate, so
	// that it follows a change within some tens of runs.
	minKindStep   = 0.02
	minLabelStep  = 0.03
	minTargetStep = 0.08
	// maxResidual bounds the weight of a straggler: 3% of the tasks run several
	// times as long as the others of their kind.
	maxResidual = 0.7
)

// average is a mean in logarithms that follows its samples.
type average struct {
	value float64
	count int
}

func (a *average) add(residual, minStep float64) {
	a.count++
	a.value += residual * math.Max(1/float64(a.count+1), minStep)
}

// learner estimates run times from ended runs: a factor for each kind of
// request against what it declares, one for each hardware label, and one for
// each target against its label.
type learner struct {
	kinds   map[string]*average
	labels  map[string]*average
	targets map[string]*average
}

func newLearner() *learner {
	return &learner{
		kinds:   map[string]*average{},
		labels:  map[string]*average{},
		targets: map[string]*average{},
	}
}

func lookUp(m map[string]*average, key string) *average {
	a, ok := m[key]
	if !ok {
		a = &average{}
		m[key] = a
	}
	return a
}

func declared(estimate time.Duration) float64 {
	if estimate <= 0 {
		estimate = firstEstimate
	}
	return math.Log(estimate.Seconds())
}

// base is the run time of a task of a kind on an average target.
func (l *learner) base(kind string, estimate time.Duration) time.Duration {
	return seconds(declared(estimate) + lookUp(l.kinds, kind).value)
}

// factor is how many times as long runs take on a target as on an average one.
func (l *learner) factor(label, target string) float64 {
	return math.Exp(lookUp(l.labels, label).value + lookUp(l.targets, target).value)
}

// observe takes the run time of a run that ended well.
func (l *learner) observe(kind, label, target string, estimate, ran time.Duration) {
	if ran <= 0 {
		return
	}
	k := lookUp(l.kinds, kind)
	b := lookUp(l.labels, label)
	t := lookUp(l.targets, target)
	residual := math.Log(ran.Seconds()) - declared(estimate) - k.value - b.value - t.value
	residual = math.Max(-maxResidual, math.Min(maxResidual, residual))
	k.add(residual, minKindStep)
	b.add(residual, minLabelStep)
	t.add(residual, minTargetStep)
}

// forget drops what was learned about a target that is gone.
func (l *learner) forget(target string) {
	delete(l.targets, target)
}

func seconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}
