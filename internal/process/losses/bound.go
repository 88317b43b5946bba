package losses

import (
	"cmp"
	"slices"
)

// A kind's largest jobs are one in largestDivisor, by work.
const largestDivisor = 10

// Bound is how many jobs of a kind, or of its largest tenth, no target could have ended in
// time, not even alone.
type Bound struct {
	kind     string
	largest  bool
	jobs     int
	served   int
	certain  int
	probable int
	unknown  int
}

func (b Bound) Kind() string { return b.kind }

// Largest is set for the largest tenth of the kind by measured work.
func (b Bound) Largest() bool { return b.largest }

func (b Bound) Jobs() int { return b.jobs }

// Served is the number of jobs that were answered with success, in time or late.
func (b Bound) Served() int { return b.served }

// Certain returns the number of jobs with a task whose run time, by its lower bound, exceeds
// their time.
func (b Bound) Certain() int { return b.certain }

// Probable returns the number of jobs whose run time exceeds their time by the best estimate.
// It includes Certain.
func (b Bound) Probable() int { return b.probable }

// Unknown is the number of jobs that did not end and of whose run time nothing is known.
func (b Bound) Unknown() int { return b.unknown }

// Bounds returns two bounds for each kind, in the order of their names.
func (l *Log) Bounds() []Bound {
	l.assign()
	factors, fastest := l.speeds()
	kinds := map[string][]*job{}
	for _, j := range l.jobs {
		kinds[j.route] = append(kinds[j.route], j)
	}
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	var list []Bound
	for _, name := range names {
		jobs := kinds[name]
		slices.SortFunc(jobs, func(a, b *job) int { return cmp.Or(cmp.Compare(b.work(), a.work()), cmp.Compare(a.id, b.id)) })
		list = append(list, bound(name, false, jobs, factors, fastest), bound(name, true, jobs[:(len(jobs)+largestDivisor-1)/largestDivisor], factors, fastest))
	}
	return list
}

func bound(kind string, largest bool, jobs []*job, factors map[string]float64, fastest float64) Bound {
	b := Bound{
		kind:    kind,
		largest: largest,
		jobs:    len(jobs),
	}
	for _, j := range jobs {
		if j.outcome == Served || j.outcome == Late {
			b.served++
			continue
		}
		least, likely, known := j.lengths(factors, fastest)
		switch {
		case !known:
			b.unknown++
		case least > j.limit:
			b.certain++
			b.probable++
		case likely > j.limit:
			b.probable++
		}
	}
	return b
}
