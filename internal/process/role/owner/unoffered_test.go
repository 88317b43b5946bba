package owner_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// TestUnoffered guards against a job that waits until its deadline, or until its
// key expires, because the only targets of its service are drained or leaving.
func TestUnoffered(t *testing.T) {
	drained := func(slots int) *world {
		w := newWorld(2, slots)
		w.own("owner", 1, nil)
		for _, a := range w.agents {
			a.drained = true
		}
		w.advance(100 * time.Millisecond)
		return w
	}
	refused := func(w *world, n uint64) {
		So(w.answers[n].Reason(), ShouldEqual, answer.Overloaded)
		So(w.answers[n].NotRun(), ShouldBeTrue)
		So(w.answers[n].RetryAfter(), ShouldBeBetweenOrEqual, 2*time.Second, 4*time.Second)
	}
	Convey("jobs wait for 2 s and are refused then, new ones at once", t, func() {
		w := drained(2)
		n := w.submit(key(w.now, 1), "plain", 3, time.Time{})
		w.advance(1900 * time.Millisecond)
		So(w.answers, ShouldBeEmpty)
		w.advance(100 * time.Millisecond)
		refused(w, n)
		refused(w, w.submit(key(w.now, 2), "plain", 1, time.Time{}))
		So(w.starts, ShouldBeEmpty)
	})
	Convey("the same key starts once a target is back", t, func() {
		w := drained(2)
		s := key(w.now, 1)
		n := w.submit(s, "plain", 2, time.Time{})
		w.advance(time.Second)
		w.advance(time.Second)
		refused(w, n)
		w.agents[1].drained = false
		w.advance(100 * time.Millisecond)
		n = w.submit(s, "plain", 2, time.Time{})
		w.finishAll(success)
		So(w.answers[n].State(), ShouldEqual, answer.Complete)
		w.check(t)
	})
	Convey("a target that returns within 2 s refuses nothing", t, func() {
		w := drained(2)
		n := w.submit(key(w.now, 1), "plain", 2, time.Time{})
		w.advance(1500 * time.Millisecond)
		w.agents[0].drained = false
		w.advance(100 * time.Millisecond)
		w.agents[0].drained = true
		w.advance(time.Second)
		w.finishAll(success)
		So(w.answers[n].State(), ShouldEqual, answer.Complete)
	})
	Convey("a job of which a task started is not refused", t, func() {
		w := newWorld(1, 1)
		w.own("owner", 1, nil)
		n := w.submit(key(w.now, 1), "plain", 2, time.Time{})
		w.agents[0].drained = true
		w.advance(100 * time.Millisecond)
		w.advance(3 * time.Second)
		So(w.answers, ShouldBeEmpty)
		w.agents[0].drained = false
		w.finishAll(success)
		w.finishAll(success)
		So(w.answers[n].State(), ShouldEqual, answer.Complete)
	})
	Convey("without a lease nothing is refused", t, func() {
		w := drained(2)
		n := w.submit(key(w.now, 1), "plain", 2, time.Time{})
		w.now = w.now.Add(2500 * time.Millisecond)
		w.handle(message.Wake{})
		So(w.answers, ShouldBeEmpty)
		w.advance(time.Second)
		w.advance(time.Second)
		refused(w, n)
	})
}
