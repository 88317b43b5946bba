package queue_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/queue"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

var begin = time.Unix(1_800_000_000, 0)

const cost = 100 * time.Millisecond

// item returns an item of short work whose latest start is start after begin.
func item(value, team string, share float64, u configuration.Urgency, start time.Duration, harm int) *queue.Item[string] {
	return queue.NewItem(value, queue.NewSpec(team, share, queue.NewClass(u, false), begin, begin.Add(start), cost, harm, time.Minute))
}

// take dequeues up to n tasks and counts them by value.
func take(q *queue.Queue[string], n int) map[string]int {
	counts := map[string]int{}
	for range n {
		i, ok := q.Next(begin, queue.UpTo(configuration.Low))
		if !ok {
			break
		}
		counts[i.Value()]++
		q.Take(i)
	}
	return counts
}

// TestOrder guards against work that starts before work of higher precedence.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		fill func(q *queue.Queue[string])
		n    int
		want map[string]int
	}{
		"urgency goes before the time to spare": {
			fill: func(q *queue.Queue[string]) {
				q.Add(item("low", "a", 1, configuration.Low, 0, 0), 3)
				q.Add(item("high", "a", 1, configuration.High, time.Hour, 0), 3)
			},
			n:    3,
			want: map[string]int{"high": 3},
		},
		"the least time to spare goes first": {
			fill: func(q *queue.Queue[string]) {
				q.Add(item("later", "a", 1, configuration.Normal, time.Second, 0), 1)
				q.Add(item("sooner", "a", 1, configuration.Normal, 0, 0), 1)
			},
			n:    1,
			want: map[string]int{"sooner": 1},
		},
		"jobs of different width take turns": {
			fill: func(q *queue.Queue[string]) {
				q.Add(item("wide", "a", 1, configuration.Normal, 0, 0), 1100)
				q.Add(item("narrow", "a", 1, configuration.Normal, cost, 0), 2)
			},
			n:    5,
			want: map[string]int{"wide": 3, "narrow": 2},
		},
		"teams get their shares": {
			fill: func(q *queue.Queue[string]) {
				q.Add(item("large", "a", 0.75, configuration.Normal, 0, 0), 100)
				q.Add(item("small", "b", 0.25, configuration.Normal, 0, 0), 100)
			},
			n:    40,
			want: map[string]int{"large": 30, "small": 10},
		},
		"an idle team's share is lent": {
			fill: func(q *queue.Queue[string]) {
				q.Add(item("only", "a", 0.1, configuration.Normal, 0, 0), 100)
			},
			n:    40,
			want: map[string]int{"only": 40},
		},
		"a returning team gets its share and no more": {
			fill: func(q *queue.Queue[string]) {
				q.Add(item("borrower", "a", 0.5, configuration.Normal, 0, 0), 200)
				take(q, 100)
				q.Add(item("returned", "b", 0.5, configuration.Normal, 0, 0), 100)
			},
			n:    40,
			want: map[string]int{"borrower": 20, "returned": 20},
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			q := queue.New[string]()
			tt.fill(q)
			So(take(q, tt.n), ShouldResemble, tt.want)
		})
	}
}

// TestAhead guards against a narrow job that is refused because a wide one waits,
// against work that is still counted after its removal, and against the shedding
// of the wrong job.
func TestAhead(t *testing.T) {
	Convey("the work ahead counts what goes first", t, func() {
		q := queue.New[string]()
		wide := item("wide", "a", 1, configuration.Normal, 0, 0)
		q.Add(wide, 1000)
		q.Add(item("urgent", "b", 1, configuration.High, 0, 0), 10)
		normal := queue.NewClass(configuration.Normal, false)
		So(q.WorkAhead(normal, 1), ShouldAlmostEqual, 1.1)
		So(q.WorkAhead(normal, 1000), ShouldAlmostEqual, 101)
		So(q.TeamWorkAhead(normal, "b", 1), ShouldEqual, 0)
		So(q.WorkAhead(queue.NewClass(configuration.High, true), 10), ShouldAlmostEqual, 1)
		q.Remove(wide)
		take(q, 10)
		So(q.Tasks(), ShouldEqual, 0)
		So(q.WorkAhead(normal, 1000), ShouldEqual, 0)
	})
	Convey("the least harm is shed first, and nothing that has started", t, func() {
		q := queue.New[string]()
		begun := item("begun", "a", 1, configuration.Normal, -time.Hour, 0)
		q.Add(begun, 2)
		q.Add(item("much", "a", 1, configuration.Normal, 0, 9), 1)
		q.Add(item("little", "a", 1, configuration.Low, 0, 1), 1)
		take(q, 1)
		i, ok := q.ShedCandidate(queue.UpTo(configuration.Low))
		So(ok, ShouldBeTrue)
		So(i.Value(), ShouldEqual, "little")
		i, _ = q.ShedCandidate(queue.UpTo(configuration.Normal))
		So(i.Value(), ShouldEqual, "much")
	})
}
