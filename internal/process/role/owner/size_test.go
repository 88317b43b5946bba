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
// reaches its caller, and against tasks that continue after the job failed for it.
func TestResultsTooLarge(t *testing.T) {
	Convey("results at the limit are answered", t, func() {
		h := newHarness(1, 2)
		h.startOwner("owner", 1, nil)
		n := h.submit(key(h.now, 1), "plain", 2, time.Time{})
		h.finishAll(half)
		So(h.answers[n].State(), ShouldEqual, answer.Complete)
	})
	for name, tasks := range map[string]int{
		"the last task exceeds the limit": 3,
		"tasks run and wait":              9,
	} {
		Convey(name, t, func() {
			h := newHarness(1, 4)
			h.startOwner("owner", 1, nil)
			s := key(h.now, 1)
			n := h.submit(s, "plain", tasks, time.Time{})
			for _, r := range []outcome.Result{half, half, success} {
				h.finish(h.agents[0], 0, r)
				h.deliverAll()
			}
			So(h.answers[n].State(), ShouldEqual, answer.Failed)
			So(h.answers[n].Reason(), ShouldEqual, answer.ResultsTooLarge)
			So(h.answers[n].Ran(), ShouldEqual, answer.RanSomething)
			So(h.answers[n].Results(), ShouldBeEmpty)
			h.advance(5 * time.Millisecond)
			So(len(sentMessages[message.Revoke](h)), ShouldEqual, min(tasks-3, 1))
			begun := h.startsOf(s)
			h.finishAll(success)
			So(h.startsOf(s), ShouldEqual, begun)
			So(h.answers[h.submit(s, "plain", tasks, time.Time{})].Reason(), ShouldEqual, answer.ResultsTooLarge)
		})
	}
	Convey("results recovered after a failover are counted", t, func() {
		h := newHarness(1, 3)
		h.startOwner("owner", 1, nil)
		s := key(h.now, 1)
		h.submit(s, "plain", 3, time.Time{})
		h.finish(h.agents[0], 0, half)
		h.finish(h.agents[0], 0, half)
		h.finish(h.agents[0], 0, success)
		h.startOwner("next", 2, h.agentMembers())
		n := h.submit(s, "plain", 3, time.Time{})
		So(h.answers[n].Reason(), ShouldEqual, answer.ResultsTooLarge)
		So(h.answers[n].Ran(), ShouldEqual, answer.RanSomething)
	})
}
