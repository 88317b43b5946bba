package metric_test

import (
	"bytes"
	"encoding/json"
	"regexp"
	"testing"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/metric"
)

// TestPage guards against a page that differs from the table. The flag -update
// writes the page.
func TestPage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "metrics", []byte(metric.Markdown()))
}

// TestTable guards against duplicate names, names that are not in snake case, and
// rows without unit or meaning.
func TestTable(t *testing.T) {
	Convey("each metric is described once", t, func() {
		seen := map[metric.Name]bool{}
		for _, m := range metric.Metrics() {
			So(regexp.MustCompile(`^[a-z][a-z0-9_]*$`).MatchString(string(m.Name())), ShouldBeTrue)
			So(m.Unit(), ShouldNotBeBlank)
			So(m.Meaning(), ShouldNotBeBlank)
			So(seen[m.Name()], ShouldBeFalse)
			seen[m.Name()] = true
		}
	})
}

// TestSet guards against values of one process that show up in the metrics of
// another.
func TestSet(t *testing.T) {
	Convey("a set holds only the values of its process", t, func() {
		a, b := metric.NewSet(), metric.NewSet()
		a.Add(metric.TasksStarted, 2)
		a.Add("no_such_metric", 1)
		a.Gauge(metric.RequestsHeld, func() any { return 7 })
		So(a.Value(metric.TasksStarted), ShouldEqual, 2)
		So(b.Value(metric.TasksStarted), ShouldEqual, 0)
		var out bytes.Buffer
		So(a.Write(&out), ShouldBeNil)
		var got map[string]any
		So(json.Unmarshal(out.Bytes(), &got), ShouldBeNil)
		So(got, ShouldHaveLength, len(metric.Metrics()))
		So(got["tasks_started"], ShouldEqual, 2)
		So(got["requests_held"], ShouldEqual, 7)
	})
}
