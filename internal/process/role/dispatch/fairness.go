package dispatch

import "time"

// The parameters of fairness between routes and size classes.
const (
	// servedWeight is the weight of the newest job in the share served in time. A load
	// peak of a few seconds has some tens of jobs of the rarest route.
	servedWeight = 0.03
	// servedMinCount is the count from which the newest job has exactly that weight. A
	// new group starts with it and as fully served, so that its first jobs weigh no
	// more than later ones.
	servedMinCount = 34
	// maxLead is how much earlier a job of a group ranks that is never served in time
	// while all others are.
	maxLead = 300 * time.Millisecond
	// largeSize and hugeSize divide the jobs of a route into size classes by their
	// work relative to the mean of the route. The largest jobs are the hardest to
	// place. Without size classes, a route would appear well served although its large
	// jobs are not.
	largeSize = 1.5
	hugeSize  = 2.5
	// fixedValue is the part of a job's value that does not depend on its work, and
	// maxValuedSize limits the work that adds value. Both are relative to the mean of
	// the route.
	fixedValue    = 0.3
	maxValuedSize = 4
)

// group identifies the jobs of a route and a size class.
type group struct {
	route     string
	sizeClass int
}

// fairness tracks how well each group is served.
type fairness struct {
	meanWork     map[string]*movingAverage
	servedInTime map[group]*movingAverage
	// shares are the values of servedInTime in the order of their creation.
	shares []*movingAverage
}

func newFairness() *fairness {
	return &fairness{
		meanWork:     map[string]*movingAverage{},
		servedInTime: map[group]*movingAverage{},
	}
}

// relativeSize adds the work of a job, in core seconds, to the mean of its route.
// It returns the work relative to that mean.
func (f *fairness) relativeSize(route string, work float64) float64 {
	m := getOrCreate(f.meanWork, route)
	m.add(work, minRouteWeight)
	if m.value <= 0 {
		return 1
	}
	return work / m.value
}

func groupOf(route string, size float64) group {
	g := group{
		route: route,
	}
	if size > largeSize {
		g.sizeClass++
	}
	if size > hugeSize {
		g.sizeClass++
	}
	return g
}

// jobValue returns the value of a job relative to the mean of its route.
func jobValue(size float64) float64 {
	return fixedValue + (1-fixedValue)*min(size, maxValuedSize)
}

// observe records whether a job was answered in time.
func (f *fairness) observe(g group, inTime bool) {
	x := 0.0
	if inTime {
		x = 1
	}
	s := getOrCreate(f.servedInTime, g)
	if s.count == 0 {
		f.shares = append(f.shares, s)
		s.add(1, servedWeight)
	}
	s.count = max(s.count, servedMinCount)
	s.add(x, servedWeight)
}

// lead returns how much earlier a job of a group ranks. It grows with the shortfall
// of the group's share served in time against the mean of all groups.
func (f *fairness) lead(g group) time.Duration {
	own, ok := f.servedInTime[g]
	if !ok {
		return 0
	}
	sum := 0.0
	for _, s := range f.shares {
		sum += s.value
	}
	mean := sum / float64(len(f.shares))
	return time.Duration((mean - own.value) * float64(maxLead))
}
