package dispatch

import (
	"math"
	"time"
)

// The parameters of run time estimates.
const (
	// defaultEstimate is the run time of a task that declares none.
	defaultEstimate = 100 * time.Millisecond
	// minRouteWeight, minLabelWeight and minTargetWeight are the minimum weights of one
	// run, so that estimates follow a change within some tens of runs.
	minRouteWeight  = 0.01
	minLabelWeight  = 0.02
	minTargetWeight = 0.08
	// targetDecayTime is the time constant with which the factor of one target decays.
	// A target that was slow for some time gets work again, which can show that it has
	// recovered.
	targetDecayTime = 10 * time.Second
	// decayInterval is the least time between two steps of that decay.
	decayInterval = 500 * time.Millisecond
	// maxResidual limits the effect of one run on the factors of its label and target.
	maxResidual = 0.7
	// initialSlope is the slope of measured over declared run times until minRuns runs
	// have been seen.
	initialSlope = 0.6
	minRuns      = 40
	// initialSpread is the standard deviation of the logarithms of run times until
	// minRuns runs have been seen.
	initialSpread = 0.5
	// minSpread keeps estimates from being treated as exact.
	minSpread = 0.15
)

// movingAverage is the mean of its first samples, and an exponential moving average
// once the newest sample has the minimum weight.
type movingAverage struct {
	value float64
	count int
}

func (a *movingAverage) add(x, minWeight float64) {
	a.count++
	a.value += (x - a.value) * math.Max(1/float64(a.count), minWeight)
}

// routeModel is a linear regression of measured on declared run times of a route.
// Declared times are inaccurate, so an estimate lies between the declared time and
// the mean of the route; the slope of past runs decides where. All values are
// logarithms of seconds.
type routeModel struct {
	declared   movingAverage
	measured   movingAverage
	variance   movingAverage
	covariance movingAverage
	residual   movingAverage
}

func (m *routeModel) slope() float64 {
	if m.measured.count < minRuns || m.variance.value < 1e-6 {
		return initialSlope
	}
	return math.Max(0, math.Min(1, m.covariance.value/m.variance.value))
}

func (m *routeModel) predict(declared float64) float64 {
	if m.measured.count == 0 {
		return declared
	}
	return m.measured.value + m.slope()*(declared-m.declared.value)
}

// base returns the expected run time of a task on a target of factor 1.
func (m *routeModel) base(estimate time.Duration) time.Duration {
	return fromLogSeconds(m.predict(logDeclared(estimate)))
}

// spread returns the standard deviation of the logarithms of run times from their
// estimates.
func (m *routeModel) spread() float64 {
	if m.residual.count < minRuns {
		return initialSpread
	}
	return math.Max(minSpread, math.Sqrt(m.residual.value))
}

func (m *routeModel) add(declared, ran float64) {
	if m.measured.count > 0 {
		r := ran - m.predict(declared)
		m.residual.add(r*r, minRouteWeight)
	}
	m.declared.add(declared, minRouteWeight)
	m.measured.add(ran, minRouteWeight)
	d := declared - m.declared.value
	m.variance.add(d*d, minRouteWeight)
	m.covariance.add(d*(ran-m.measured.value), minRouteWeight)
}

// estimator estimates run times from ended runs. It has a model for each route, a
// factor for each hardware label, and a factor for each target relative to its
// label.
type estimator struct {
	routes    map[string]*routeModel
	labels    map[string]*movingAverage
	targets   map[string]*movingAverage
	decayedAt time.Duration
}

func newEstimator() *estimator {
	return &estimator{
		routes:  map[string]*routeModel{},
		labels:  map[string]*movingAverage{},
		targets: map[string]*movingAverage{},
	}
}

func getOrCreate[K comparable, T any](m map[K]*T, key K) *T {
	a, ok := m[key]
	if !ok {
		a = new(T)
		m[key] = a
	}
	return a
}

func logDeclared(estimate time.Duration) float64 {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	return math.Log(estimate.Seconds())
}

// route returns the model of a route.
func (e *estimator) route(name string) *routeModel {
	return getOrCreate(e.routes, name)
}

// speed is the factor of one target. It keeps the last result, since factors are
// read far more often than they change.
type speed struct {
	label  *movingAverage
	target *movingAverage
	log    float64
	factor float64
}

// speed returns the speed of a target.
func (e *estimator) speed(label, target string) speed {
	return speed{
		label:  getOrCreate(e.labels, label),
		target: getOrCreate(e.targets, target),
		factor: 1,
	}
}

// value returns the run time on the target relative to one of factor 1.
func (s *speed) value() float64 {
	if x := s.label.value + s.target.value; x != s.log {
		s.log = x
		s.factor = math.Exp(x)
	}
	return s.factor
}

// observe adds the run time of a successful run.
func (e *estimator) observe(route, label, target string, estimate, ran time.Duration) {
	if ran <= 0 {
		return
	}
	m := getOrCreate(e.routes, route)
	b := getOrCreate(e.labels, label)
	t := getOrCreate(e.targets, target)
	x := logDeclared(estimate)
	y := math.Log(ran.Seconds())
	own := y - b.value - t.value
	if m.measured.count > 0 {
		residual := math.Max(-maxResidual, math.Min(maxResidual, own-m.predict(x)))
		b.add(b.value+residual, minLabelWeight)
		t.add(t.value+residual, minTargetWeight)
	}
	m.add(x, own)
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

func fromLogSeconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}

// probabilityWithin returns the probability that work with an expected time ends
// within limit, for a log-normal distribution with the given spread.
func probabilityWithin(limit, expected time.Duration, spread float64) float64 {
	if limit <= 0 {
		return 0
	}
	z := math.Log(limit.Seconds()/math.Max(expected.Seconds(), 1e-6)) / spread
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}
