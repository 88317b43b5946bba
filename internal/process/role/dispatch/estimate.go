package dispatch

import (
	"math"
	"time"
)

// The parameters of run time estimates.
const (
	// defaultEstimate is the run time of a task that declares none.
	defaultEstimate = 100 * time.Millisecond
	// minRouteWeight is the minimum weight of one run, so that estimates follow a change
	// within some tens of runs.
	minRouteWeight = 0.01
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
	labels    map[string]*factor
	targets   map[string]*factor
	decayedAt time.Duration
}

func newEstimator() *estimator {
	return &estimator{
		routes:  map[string]*routeModel{},
		labels:  map[string]*factor{},
		targets: map[string]*factor{},
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

// observe adds the run time of a successful run to the model of its route. It returns
// the residual, which is the logarithm of the measured over the expected run time; there is
// none for the first run of a route.
func (e *estimator) observe(route string, at speed, estimate, ran time.Duration) (float64, bool) {
	if ran <= 0 {
		return 0, false
	}
	m := getOrCreate(e.routes, route)
	x := logDeclared(estimate)
	own := math.Log(ran.Seconds()) - at.label.value - at.target.value
	residual := own - m.predict(x)
	known := m.measured.count > 0
	m.add(x, own)
	return residual, known
}

func fromLogSeconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}
