package losses

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Text returns the table and the bounds for people, with aligned columns.
func (l *Log) Text(by []Dimension) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, d := range by {
		fmt.Fprintf(w, "%s\t", d)
	}
	fmt.Fprintln(w, "jobs\tserved\tlate\trefused\tafter_ms\tat_most_ms\tgiven_up\twith_target\tleft\topen")
	for _, r := range l.Table(by) {
		median, longest := r.RefusedAfter()
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", strings.Join(r.keys, "\t"), r.jobs, r.counts[Served], r.counts[Late],
			r.counts[Refused], median.Milliseconds(), longest.Milliseconds(), r.counts[GivenUp], r.counts[LostWithTarget], r.counts[Left], r.counts[Open])
	}
	_ = w.Flush()
	fmt.Fprintln(&b)
	fmt.Fprintln(w, "kind\tof\tjobs\tserved\ttoo_long\tprobably\tunknown\tserved_share\tpossible_share")
	for _, x := range l.Bounds() {
		of := "all"
		if x.largest {
			of = "largest_tenth"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f to %.3f\n", x.kind, of, x.jobs, x.served, x.certain, x.probable, x.unknown,
			share(x.served, x.jobs), share(x.jobs-x.probable, x.jobs), share(x.jobs-x.certain, x.jobs))
	}
	_ = w.Flush()
	return b.String()
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// rowDocument and boundDocument are the JSON forms of Row and Bound. Times are in ms.
type rowDocument struct {
	Keys         map[string]string `json:"keys"`
	Jobs         int               `json:"jobs"`
	Served       int               `json:"served"`
	Late         int               `json:"late"`
	Refused      int               `json:"refused"`
	RefusedMS    int64             `json:"refused_ms"`
	MaxRefusedMS int64             `json:"max_refused_ms"`
	GivenUp      int               `json:"given_up"`
	WithTarget   int               `json:"with_target"`
	Left         int               `json:"left"`
	Open         int               `json:"open"`
}

type boundDocument struct {
	Kind     string `json:"kind"`
	Largest  bool   `json:"largest_tenth"`
	Jobs     int    `json:"jobs"`
	Served   int    `json:"served"`
	TooLong  int    `json:"too_long"`
	Probably int    `json:"probably_too_long"`
	Unknown  int    `json:"unknown"`
}

// JSON returns the table and the bounds for programs.
func (l *Log) JSON(by []Dimension) ([]byte, error) {
	var document struct {
		Rows   []rowDocument   `json:"rows"`
		Bounds []boundDocument `json:"bounds"`
	}
	for _, r := range l.Table(by) {
		keys := map[string]string{}
		for i, d := range by {
			keys[string(d)] = r.keys[i]
		}
		median, longest := r.RefusedAfter()
		document.Rows = append(document.Rows, rowDocument{
			Keys:         keys,
			Jobs:         r.jobs,
			Served:       r.counts[Served],
			Late:         r.counts[Late],
			Refused:      r.counts[Refused],
			RefusedMS:    median.Milliseconds(),
			MaxRefusedMS: longest.Milliseconds(),
			GivenUp:      r.counts[GivenUp],
			WithTarget:   r.counts[LostWithTarget],
			Left:         r.counts[Left],
			Open:         r.counts[Open],
		})
	}
	for _, x := range l.Bounds() {
		document.Bounds = append(document.Bounds, boundDocument{
			Kind:     x.kind,
			Largest:  x.largest,
			Jobs:     x.jobs,
			Served:   x.served,
			TooLong:  x.certain,
			Probably: x.probable,
			Unknown:  x.unknown,
		})
	}
	data, err := json.Marshal(document)
	return data, errors.Wrap(err, "encode")
}
