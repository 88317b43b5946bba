package dispatch

import "time"

// The parameters of fairness between kinds and sizes.
const (
	// servedStep is the weight of the newest job in the share that was served in
	// time; a crest of a few seconds has some tens of jobs of the rarest kind.
	servedStep = 0.03
	// servedRuns is the count from which the newest job has just that weight.
	servedRuns = 34
	// fairStep is how much earlier a job goes whose group is served not at all in
	// time while all others are.
	fairStep = 300 * time.Millisecond
	// largeWork and hugeWork divide the jobs of a kind by their work against the mean
	// of the kind. The largest are the hardest to place, and nobody else sees that a
	// kind is served well only because its large jobs are not.
	largeWork = 1.5
	hugeWork  = 2.5
	// fixedWorth is the part of a job's worth that does not depend on its work, and
	// maxWorth bounds the work that counts, both against the mean of the kind.
	fixedWorth = 0.3
	maxWorth   = 4
)

// group is the jobs of a kind and a size.
type group struct {
	route string
	size  int
}

// fairness follows how well each group is served.
type fairness struct {
	work   map[string]*average
	served map[group]*average
}

func newFairness() *fairness {
	return &fairness{
		work:   map[string]*average{},
		served: map[group]*average{},
	}
}

// measure returns the size of a job against the mean of its kind, in core
// seconds, and takes it into the mean.
func (f *fairness) measure(route string, work float64) float64 {
	m := lookUp(f.work, route)
	m.add(work, kindStep)
	if m.value <= 0 {
		return 1
	}
	return work / m.value
}

func groupOf(route string, size float64) group {
	g := group{
		route: route,
	}
	if size > largeWork {
		g.size++
	}
	if size > hugeWork {
		g.size++
	}
	return g
}

// worth is the worth of a job of a size against the mean of its kind.
func worth(size float64) float64 {
	return fixedWorth + (1-fixedWorth)*min(size, maxWorth)
}

// observe takes whether a job was answered in time.
func (f *fairness) observe(g group, inTime bool) {
	x := 0.0
	if inTime {
		x = 1
	}
	s := lookUp(f.served, g)
	if s.count == 0 {
		s.add(1, servedStep)
	}
	s.count = max(s.count, servedRuns)
	s.add(x, servedStep)
}

// lead is how much earlier a job of a group goes, for what its group is served
// worse than the mean of all groups.
func (f *fairness) lead(g group) time.Duration {
	own, ok := f.served[g]
	if !ok {
		return 0
	}
	sum := 0.0
	for _, s := range f.served {
		sum += s.value
	}
	mean := sum / float64(len(f.served))
	return time.Duration((mean - own.value) * float64(fairStep))
}
