// Package sizing measures how the size of state and messages grows, for capacity
// planning.
//
// Each row is a measurement in one process: it builds a state or a message at several
// sizes, measures the live heap or the encoded bytes, and fits a line. The slope is
// the cost of one more submission, record or team; its standard error shows how well
// the line fits the points.
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

// Row is a measurement with its fitted line.
type Row struct {
	name      string
	unit      string
	intercept float64
	slope     float64
	stderr    float64
	sizes     []float64
	values    []float64
}

// Name returns what was measured.
func (r Row) Name() string {
	return r.name
}

// Slope returns the cost of one more item, in the unit of the row.
func (r Row) Slope() float64 {
	return r.slope
}

// StandardError returns the standard error of the slope, in the unit of the row.
func (r Row) StandardError() float64 {
	return r.stderr
}

// Intercept returns the value of the fitted line at size 0.
func (r Row) Intercept() float64 {
	return r.intercept
}

// ValueAt returns the value of the fitted line at a size.
func (r Row) ValueAt(size float64) float64 {
	return r.intercept + r.slope*size
}

// Measure calls value for each size and fits a line to the results. It needs at least
// three sizes, since two points leave no degree of freedom for the standard error.
func Measure(name, unit string, sizes []int, value func(n int) (float64, error)) (Row, error) {
	if len(sizes) < 3 {
		return Row{}, errors.Errorf("%s: got %d sizes, want at least 3 to estimate the error of the fit", name, len(sizes))
	}
	r := Row{
		name: name,
		unit: unit,
	}
	for _, n := range sizes {
		v, err := value(n)
		if err != nil {
			return Row{}, errors.Wrapf(err, "%s at size %d", name, n)
		}
		r.sizes = append(r.sizes, float64(n))
		r.values = append(r.values, v)
	}
	r.intercept, r.slope = stat.LinearRegression(r.sizes, r.values, nil, false)
	r.stderr = slopeError(r)
	return r, nil
}

// slopeError returns the standard error of the slope of a least-squares fit.
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

// heapGrowth returns by how many bytes the live heap grows through the result of
// build.
func heapGrowth(build func() (any, error)) (float64, error) {
	before := heapInUse()
	v, err := build()
	if err != nil {
		return 0, err
	}
	after := heapInUse()
	runtime.KeepAlive(v)
	return float64(after) - float64(before), nil
}

// heapInUse returns the heap in bytes after a full garbage collection.
func heapInUse() uint64 {
	// The second collection frees the objects that finalizers of the first released.
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
