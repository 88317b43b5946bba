package host

import (
	"context"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/duty"
)

// TestDescribeValue guards against dump lines with wrong field names or values.
func TestDescribeValue(t *testing.T) {
	type part struct {
		partName string
		ejected  time.Time
	}
	tests := map[string]struct {
		value any
		want  []string
	}{
		"numbers": {
			value: struct {
				oldestWait time.Duration
				byUrgency  [2]int
			}{
				oldestWait: time.Second,
				byUrgency:  [2]int{1, 2},
			},
			want: []string{"oldest_wait = 1s", "by_urgency = [1 2]"},
		},
		"nested": {
			value: struct{ counts struct{ started int } }{},
			want:  []string{"counts.started = 0"},
		},
		"list": {
			value: struct{ targets []part }{
				targets: []part{
					{
						partName: "t1",
					},
					{
						partName: "t2",
						ejected:  time.Unix(1, 0),
					},
				},
			},
			want: []string{"targets = part_name=t1 ejected=none", "targets = part_name=t2 ejected=set"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("each field has its line", t, func() {
				So(describeValue("", reflect.ValueOf(tt.value)), ShouldResemble, tt.want)
			})
		})
	}
}

// TestDutyLines guards against a duty table with one line for each of many identical
// duties.
func TestDutyLines(t *testing.T) {
	Convey("numbered duties share a line", t, func() {
		var duties []duty.Duty
		for _, name := range []string{"caller_000", "network", "caller_001"} {
			d, err := duty.New(name, "Works.", func() (int, int, int64) { return 1, 2, 3 }, func(context.Context) error { return nil })
			So(err, ShouldBeNil)
			duties = append(duties, d)
		}
		table, err := duty.NewTable(duties...)
		So(err, ShouldBeNil)
		So(dutyLines(table), ShouldResemble, []string{
			"caller count=2 depth=1 size=2 rejected=3 Works.",
			"network depth=1 size=2 rejected=3 Works.",
		})
	})
}
