package load

import (
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// bucketWidth is the time interval that a point of the plot covers.
const bucketWidth = 250 * time.Millisecond

// Size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot plots goodput and the mean wait of short jobs over time, one line for each
// result, and saves them at goodputPath and waitPath. The file extension selects the
// format.
func Plot(goodputPath, waitPath string, results ...*Result) error {
	if err := drawPlot(goodputPath, "goodput over capacity", results, goodputPoints); err != nil {
		return err
	}
	return drawPlot(waitPath, "mean wait of short work, s", results, waitPoints)
}

func drawPlot(path, label string, results []*Result, points func(*Result) plotter.XYs) error {
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
	sums := make([]float64, bucketCount(r))
	for _, s := range r.samples {
		n := int((s.job.at + s.response) / bucketWidth)
		if s.answer.outcome != Complete || s.response > s.job.kind.commitment || n >= len(sums) {
			continue
		}
		for _, t := range s.job.tasks {
			sums[n] += t.Seconds() / bucketWidth.Seconds() / r.capacity
		}
	}
	return series(sums)
}

func waitPoints(r *Result) plotter.XYs {
	sums := make([]float64, bucketCount(r))
	counts := make([]float64, len(sums))
	for _, s := range r.samples {
		n := int(s.job.at / bucketWidth)
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

func bucketCount(r *Result) int {
	return int(r.shape.length/bucketWidth) + 1
}

func series(values []float64) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i].X = (time.Duration(i) * bucketWidth).Seconds()
		points[i].Y = v
	}
	return points
}
