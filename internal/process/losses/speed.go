package losses

import (
	"math"
	"time"
)

const (
	// minRuns is the number of runs from which the speed of a target counts.
	minRuns = 50
	// taskSpread is the standard deviation of the logarithms of run times within one job.
	// The fastest target is the one that is surely fast, by errorMargin standard errors of
	// its factor: of many equal ones, the one with the least factor only seems so.
	taskSpread  = 0.2
	errorMargin = 2
	// rounds is the number of rounds in which the lengths of jobs and the speeds of targets
	// are separated.
	rounds = 6
	// minLength keeps the rounding of run times to ms out of the speeds.
	minLength = 20 * time.Millisecond
)

// sample is the logarithm of the run time of a run of a job on a target.
type sample struct {
	job    *job
	target string
	log    float64
}

// speeds returns the factors by which the run times on targets differ, and the least. Only
// runs of one job are compared with one another.
func (l *Log) speeds() (map[string]float64, float64) {
	var samples []sample
	count := map[string]int{}
	for _, j := range l.jobs {
		for _, r := range j.runs {
			if r.done && r.likely >= minLength {
				samples = append(samples, sample{
					job:    j,
					target: r.target,
					log:    math.Log(r.likely.Seconds()),
				})
				count[r.target]++
			}
		}
	}
	logs := map[string]float64{}
	for range rounds {
		length := means(samples, func(s sample) *job { return s.job }, func(s sample) float64 { return s.log - logs[s.target] })
		logs = means(samples, func(s sample) string { return s.target }, func(s sample) float64 { return s.log - length[s.job] })
	}
	factors := map[string]float64{}
	fastest := math.Inf(1)
	for t, x := range logs {
		if count[t] >= minRuns {
			factors[t] = math.Exp(x)
			fastest = math.Min(fastest, math.Exp(x+errorMargin*taskSpread/math.Sqrt(float64(count[t]))))
		}
	}
	if math.IsInf(fastest, 1) {
		fastest = 1
	}
	return factors, fastest
}

func means[K comparable](samples []sample, key func(sample) K, value func(sample) float64) map[K]float64 {
	sums := map[K]float64{}
	counts := map[K]float64{}
	for _, s := range samples {
		sums[key(s)] += value(s)
		counts[key(s)]++
	}
	for k := range sums {
		sums[k] /= counts[k]
	}
	return sums
}

func factorOf(factors map[string]float64, target string) float64 {
	if f, ok := factors[target]; ok {
		return f
	}
	return 1
}
