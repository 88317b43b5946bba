package sizing

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ReadPoints fits a line to each series of points. A line of input has the name,
// the unit, the size and the value, separated by bars.
func ReadPoints(r io.Reader) ([]Row, error) {
	var order []string
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
			order = append(order, name)
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
	for _, name := range order {
		row, err := Measure(name, units[name], sizes[name], func(n int) (float64, error) { return values[name][n], nil })
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}
