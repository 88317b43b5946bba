package owner_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

var half = outcome.Success(make([]byte, job.MaxResultBytes/2), time.Second)

// TestResultsTooLarge guards against an answer that exceeds a frame and so never
// reaches its caller, and against tasks that go on after the job failed by it.
func TestResultsTooLarge(t *testing.T) {
	Convey("results at the limit are answered", t, func() {
		w := newWorld(1, 2)
		w.own("owner", 1, nil)
		n := w.submit(key(w.now, 1), "plain", 2, time.Time{})
		w.finishAll(half)
		So(w.answers[n].State(), ShouldEqual, answer.Complete)
	})
	for name, tasks := range map[string]int{
		"the last task exceeds the limit": 3,
		"tasks run and wait":              9,
	} {
		Convey(name, t, func() {
			w := newWorld(1, 4)
			w.own("owner", 1, nil)
			s := key(w.now, 1)
			n := w.submit(s, "plain", tasks, time.Time{})
			for _, r := range []outcome.Result{half, half, success} {
				w.finish(w.agents[0], 0, r)
				w.settle()
			}
			So(w.answers[n].State(), ShouldEqual, answer.Failed)
			So(w.answers[n].Reason(), ShouldEqual, answer.ResultsTooLarge)
			So(w.answers[n].Ran(), ShouldEqual, answer.RanSomething)
			So(w.answers[n].Results(), ShouldBeEmpty)
			w.advance(5 * time.Millisecond)
			So(len(sentOf[message.Revoke](w)), ShouldEqual, min(tasks-3, 1))
			begun := w.startsOf(s)
			w.finishAll(success)
			So(w.startsOf(s), ShouldEqual, begun)
			So(w.answers[w.submit(s, "plain", tasks, time.Time{})].Reason(), ShouldEqual, answer.ResultsTooLarge)
		})
	}
	Convey("results found after a failover count", t, func() {
		w := newWorld(1, 3)
		w.own("owner", 1, nil)
		s := key(w.now, 1)
		w.submit(s, "plain", 3, time.Time{})
		w.finish(w.agents[0], 0, half)
		w.finish(w.agents[0], 0, half)
		w.finish(w.agents[0], 0, success)
		w.own("next", 2, w.roster())
		n := w.submit(s, "plain", 3, time.Time{})
		So(w.answers[n].Reason(), ShouldEqual, answer.ResultsTooLarge)
		So(w.answers[n].Ran(), ShouldEqual, answer.RanSomething)
	})
}
