package losses

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Dimension is what the rows of a table differ in.
type Dimension string

const (
	Second Dimension = "second"
	Kind   Dimension = "kind"
	Zone   Dimension = "zone"
	Entry  Dimension = "entry"
	Size   Dimension = "size"
)

// ParseDimensions parses the names of dimensions, separated by commas.
func ParseDimensions(text string) ([]Dimension, error) {
	var list []Dimension
	for _, name := range strings.Split(text, ",") {
		d := Dimension(name)
		if !slices.Contains([]Dimension{Second, Kind, Zone, Entry, Size}, d) {
			return nil, fmt.Errorf("unknown dimension %q, want second, kind, zone, entry or size", name)
		}
		list = append(list, d)
	}
	return list, nil
}

// Row counts the jobs of one combination of dimensions.
type Row struct {
	keys     []string
	second   int
	jobs     int
	counts   [Left + 1]int
	refusals []time.Duration
}

// Keys returns the values of the dimensions.
func (r Row) Keys() []string { return r.keys }

func (r Row) Jobs() int { return r.jobs }

func (r Row) Count(o Outcome) int { return r.counts[o] }

// RefusedAfter returns the median and the maximum of the times from the arrival of jobs to
// their refusal.
func (r Row) RefusedAfter() (median, longest time.Duration) {
	if len(r.refusals) == 0 {
		return 0, 0
	}
	return r.refusals[len(r.refusals)/2], r.refusals[len(r.refusals)-1]
}

// Table returns a row for each combination of dimensions, in order. Seconds count from the
// first job.
func (l *Log) Table(by []Dimension) []Row {
	l.assign()
	var first time.Time
	for _, j := range l.jobs {
		if first.IsZero() || j.at.Before(first) {
			first = j.at
		}
	}
	rows := map[string]*Row{}
	for _, j := range l.jobs {
		second := int(j.at.Sub(first) / time.Second)
		var keys []string
		for _, d := range by {
			keys = append(keys, l.key(j, d, second))
		}
		name := strings.Join(keys, "\x00")
		r, ok := rows[name]
		if !ok {
			r = &Row{
				keys:   keys,
				second: second,
			}
			rows[name] = r
		}
		r.jobs++
		r.counts[j.outcomeWithRuns()]++
		if j.outcome == Refused {
			r.refusals = append(r.refusals, j.took)
		}
	}
	return sorted(rows, by)
}

func sorted(rows map[string]*Row, by []Dimension) []Row {
	var list []Row
	for _, r := range rows {
		slices.Sort(r.refusals)
		list = append(list, *r)
	}
	bySecond := slices.Contains(by, Second)
	slices.SortFunc(list, func(a, b Row) int {
		if c := cmp.Compare(a.second, b.second); bySecond && c != 0 {
			return c
		}
		return slices.Compare(a.keys, b.keys)
	})
	return list
}

func (l *Log) key(j *job, d Dimension, second int) string {
	switch d {
	case Second:
		return strconv.Itoa(second)
	case Kind:
		return j.route
	case Zone:
		return l.zones[j.entry]
	case Entry:
		return j.entry
	default:
		return strconv.Itoa(j.sizeClass)
	}
}
