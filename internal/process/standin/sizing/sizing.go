// Package sizing measures how state and messages grow, for the capacity page.
//
// Each row builds a state at several sizes in one process, measures the live heap
// or the encoded bytes, and fits a line. The slope is what one more submission,
// record or team costs; the standard error says how far the points lie from the
// line. Nothing here talks to another process.
package sizing

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// Row is one measurement with its fit.
type Row struct {
	name      string
	unit      string
	intercept float64
	slope     float64
	stderr    float64
	sizes     []float64
	values    []float64
}

// Name says what was measured.
func (r Row) Name() string {
	return r.name
}

// Slope is the cost of one more item, in the row's unit.
func (r Row) Slope() float64 {
	return r.slope
}

// StandardError is the standard error of the slope.
func (r Row) StandardError() float64 {
	return r.stderr
}

// Intercept is the value that the line has at size 0.
func (r Row) Intercept() float64 {
	return r.intercept
}

// ValueAt is the value that the line has at a size.
func (r Row) ValueAt(size float64) float64 {
	return r.intercept + r.slope*size
}

// Measure calls value for each size and fits a line.
func Measure(name, unit string, sizes []int, value func(n int) (float64, error)) (Row, error) {
	if len(sizes) < 3 {
		return Row{}, errors.Errorf("%s: a fit with an error needs 3 sizes, there are %d", name, len(sizes))
	}
	r := Row{
		name: name,
		unit: unit,
	}
	for _, n := range sizes {
		v, err := value(n)
		if err != nil {
			return Row{}, errors.Wrapf(err, "%s at %d", name, n)
		}
		r.sizes = append(r.sizes, float64(n))
		r.values = append(r.values, v)
	}
	r.intercept, r.slope = stat.LinearRegression(r.sizes, r.values, nil, false)
	r.stderr = slopeError(r)
	return r, nil
}

// slopeError is the standard error of the slope of a least squares fit.
func slopeError(r Row) float64 {
	mean := stat.Mean(r.sizes, nil)
	var residual, spread float64
	for i, x := range r.sizes {
		d := r.values[i] - r.ValueAt(x)
		residual += d * d
		spread += (x - mean) * (x - mean)
	}
	return math.Sqrt(residual / float64(len(r.sizes)-2) / spread)
}

// heap returns the live heap that build's result holds.
func heap(build func() (any, error)) (float64, error) {
	before := live()
	v, err := build()
	if err != nil {
		return 0, err
	}
	after := live()
	runtime.KeepAlive(v)
	return float64(after) - float64(before), nil
}

func live() uint64 {
	// The second collection frees what the first one's finalizers released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "measured\tunit\tslope\terror\tat 0\tsizes\tvalues")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.2g\t%.4g\t%v\t", r.name, r.unit, r.slope, r.stderr, r.intercept, r.sizes)
		for _, v := range r.values {
			fmt.Fprintf(t, "%.4g ", v)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
