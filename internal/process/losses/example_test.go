package losses_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/losses"
)

// readDay reads the logs of an entry and two agents.
func readDay() (*losses.Log, error) {
	f, err := os.Open("testdata/day.log")
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	l := losses.New()
	return l, l.Read(f)
}

// Of the long jobs, one was served, one was given up although it could have ended in time,
// one had a task that no target ends within 1,500 ms, and one was lost with its target.
func ExampleLog_Text() {
	l, err := readDay()
	fmt.Println(err)
	for _, s := range strings.Split(l.Text([]losses.Dimension{losses.Kind, losses.Zone}), "\n") {
		fmt.Println(strings.TrimRight(s, " "))
	}
	// Output:
	// <nil>
	// kind   zone    jobs  served  late  refused  after_ms  at_most_ms  given_up  with_target  left  open
	// long   zone_1  4     1       0     0        0         0           2         1            0     0
	// short  zone_1  2     0       0     1        420       420         0         0            0     1
	//
	// kind   of             jobs  served  too_long  probably  unknown  served_share  possible_share
	// long   all            4     1       1         1         1        0.250         0.750 to 0.750
	// long   largest_tenth  1     0       1         1         0        0.000         0.000 to 0.000
	// short  all            2     0       0         0         2        0.000         1.000 to 1.000
	// short  largest_tenth  1     0       0         0         1        0.000         1.000 to 1.000
}

// TestTable guards against jobs that are counted in the wrong row or with the wrong end.
func TestTable(t *testing.T) {
	tests := map[string]struct {
		by   string
		rows []string
	}{
		"second": {by: "second", rows: []string{"0: 4 jobs, 1 served", "10: 2 jobs, 0 served"}},
		"entry":  {by: "entry", rows: []string{"entry_1: 6 jobs, 1 served"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the rows are in order and count each job once", t, func() {
				l, err := readDay()
				So(err, ShouldBeNil)
				by, err := losses.ParseDimensions(tt.by)
				So(err, ShouldBeNil)
				var rows []string
				for _, r := range l.Table(by) {
					rows = append(rows, fmt.Sprintf("%s: %d jobs, %d served", r.Keys()[0], r.Jobs(), r.Count(losses.Served)))
				}
				So(rows, ShouldResemble, tt.rows)
			})
		})
	}
}

// TestDimensions guards against an unknown dimension that is ignored.
func TestDimensions(t *testing.T) {
	Convey("an unknown dimension is an error", t, func() {
		_, err := losses.ParseDimensions("kind,colour")
		So(err, ShouldNotBeNil)
	})
}
