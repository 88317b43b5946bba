package load

import (
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// bucket is the width of one point of the plot.
const bucket = 250 * time.Millisecond

// The size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes goodput and mean wait of short work over time for both results;
// the ending of the path chooses the format. The wait goes to a second file
// with "wait_" before its name.
func Plot(goodputPath, waitPath string, results ...*Result) error {
	if err := drawOne(goodputPath, "goodput over capacity", results, goodputPoints); err != nil {
		return err
	}
	return drawOne(waitPath, "mean wait of short work, s", results, waitPoints)
}

func drawOne(path, label string, results []*Result, points func(*Result) plotter.XYs) error {
	p := plot.New()
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = label
	var lines []any
	for _, r := range results {
		lines = append(lines, r.name, points(r))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}

func goodputPoints(r *Result) plotter.XYs {
	sums := make([]float64, buckets(r))
	for _, s := range r.samples {
		n := int((s.job.at + s.response) / bucket)
		if s.answer.outcome != Complete || s.response > s.job.kind.commitment || n >= len(sums) {
			continue
		}
		for _, t := range s.job.tasks {
			sums[n] += t.Seconds() / bucket.Seconds() / r.capacity
		}
	}
	return series(sums)
}

func waitPoints(r *Result) plotter.XYs {
	sums := make([]float64, buckets(r))
	counts := make([]float64, len(sums))
	for _, s := range r.samples {
		n := int(s.job.at / bucket)
		if s.answer.outcome != Complete || s.job.kind.long || n >= len(sums) {
			continue
		}
		sums[n] += (s.response - s.answer.service).Seconds()
		counts[n]++
	}
	for n := range sums {
		if counts[n] > 0 {
			sums[n] /= counts[n]
		}
	}
	return series(sums)
}

func buckets(r *Result) int {
	return int(r.shape.length/bucket) + 1
}

func series(values []float64) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i].X = (time.Duration(i) * bucket).Seconds()
		points[i].Y = v
	}
	return points
}
