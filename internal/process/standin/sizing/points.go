package sizing

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ReadPoints reads points and fits a line to each series of points of one name. Each
// line of the input contains name|unit|size|value. The rows are in the order in which
// their names first occur.
func ReadPoints(r io.Reader) ([]Row, error) {
	var names []string
	units := map[string]string{}
	sizes := map[string][]int{}
	values := map[string]map[int]float64{}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		fields := strings.Split(lines.Text(), "|")
		if len(fields) != 4 {
			return nil, errors.Errorf("line %d has %d fields, want name|unit|size|value", n, len(fields))
		}
		size, err := strconv.Atoi(fields[2])
		if err != nil {
			return nil, errors.Wrapf(err, "line %d: size", n)
		}
		value, err := strconv.ParseFloat(fields[3], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d: value", n)
		}
		name := fields[0]
		if values[name] == nil {
			names = append(names, name)
			values[name] = map[int]float64{}
		}
		units[name] = fields[1]
		sizes[name] = append(sizes[name], size)
		values[name][size] = value
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read points")
	}
	var rows []Row
	for _, name := range names {
		row, err := Measure(name, units[name], sizes[name], func(n int) (float64, error) { return values[name][n], nil })
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}
