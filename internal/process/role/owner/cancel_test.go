package owner_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// TestCancel guards against a refusal that claims "not run" before the agents
// have confirmed it, or after a task ran.
func TestCancel(t *testing.T) {
	tests := map[string]struct {
		slots  int
		before func(w *world, s identity.Submission)
		state  answer.State
		ran    answer.Ran
	}{
		"nothing was sent": {
			state: answer.Refused,
			ran:   answer.RanNothing,
		},
		"a task runs": {
			slots: 1,
			state: answer.Failed,
			ran:   answer.RanSomething,
		},
		"the start is under way and the agent has no room": {
			slots: 1,
			before: func(w *world, _ identity.Submission) {
				w.agents[0].slots = 0
			},
			state: answer.Refused,
			ran:   answer.RanNothing,
		},
		"the agent is lost before it confirms": {
			slots: 1,
			before: func(w *world, s identity.Submission) {
				w.request++
				w.handle(message.NewReceived(process("entry"), 0, nil, message.NewCancel(w.request, s)))
				w.kill(w.agents[0])
				w.request--
			},
			state: answer.Failed,
			ran:   answer.RanUnknown,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			w := newWorld(1, tt.slots)
			w.own("owner", 1, nil)
			s := key(w.now, 1)
			w.hold = true
			n := w.submit(s, "plain", 2, time.Time{})
			if tt.before != nil {
				tt.before(w, s)
			}
			c := w.cancel(s)
			if tt.slots > 0 && name != "the agent is lost before it confirms" {
				_, early := w.answers[c]
				So(early, ShouldBeFalse)
			}
			w.hold = false
			w.settle()
			for _, r := range []uint64{n, c} {
				So(w.answers[r].State().String(), ShouldEqual, tt.state.String())
				So(w.answers[r].Ran().String(), ShouldEqual, tt.ran.String())
				So(w.answers[r].Reason(), ShouldEqual, answer.Cancelled)
			}
			So(w.answers[w.submit(s, "plain", 2, time.Time{})].Reason(), ShouldEqual, answer.Cancelled)
		})
	}
}

// TestRevocations guards against a message for each task of a wave, and against
// tasks that go on after their job failed.
func TestRevocations(t *testing.T) {
	Convey("a wave of cancellations sends one message to each agent and gap", t, func() {
		w := newWorld(3, 20)
		w.own("owner", 1, nil)
		var keys []identity.Submission
		for i := range 15 {
			keys = append(keys, key(w.now, uint64(i)))
			w.submit(keys[i], "plain", 4, time.Time{})
		}
		So(len(w.starts), ShouldEqual, 60)
		for _, s := range keys {
			w.cancel(s)
		}
		w.advance(5 * time.Millisecond)
		revokes := sentOf[message.Revoke](w)
		So(len(revokes), ShouldBeLessThanOrEqualTo, 6)
		named := 0
		for _, r := range revokes {
			named += len(r.Body().(message.Revoke).Submissions())
			So(len(r.Body().(message.Revoke).Grants()), ShouldEqual, len(r.Body().(message.Revoke).Submissions()))
		}
		So(named, ShouldBeGreaterThanOrEqualTo, len(keys))
		for i := range keys {
			So(w.answers[uint64(16+i)].Reason(), ShouldEqual, answer.Cancelled)
		}
	})
	Convey("a failed task revokes the rest at once", t, func() {
		w := newWorld(1, 2)
		w.own("owner", 1, nil)
		n := w.submit(key(w.now, 1), "plain", 9, time.Time{})
		w.finish(w.agents[0], 0, outcome.Failure("failed", time.Second))
		w.settle()
		So(w.answers[n].Reason(), ShouldEqual, answer.TaskFailed)
		So(w.answers[n].Ran(), ShouldEqual, answer.RanSomething)
		So(len(sentOf[message.Revoke](w)), ShouldEqual, 1)
		w.finishAll(success)
		So(len(w.starts), ShouldEqual, 2)
	})
	Convey("a job of which nothing started is refused at its deadline", t, func() {
		w := newWorld(1, 0)
		w.own("owner", 1, nil)
		n := w.submit(key(w.now, 1), "plain", 1, w.now.Add(300*time.Millisecond))
		w.advance(300 * time.Millisecond)
		So(w.answers[n].Reason(), ShouldEqual, answer.DeadlinePassed)
		So(w.answers[n].NotRun(), ShouldBeTrue)
	})
	Convey("a submission that a former owner revoked does not start", t, func() {
		w := newWorld(1, 1)
		w.own("owner", 1, nil)
		w.hold = true
		s := key(w.now, 1)
		n := w.submit(s, "plain", 1, time.Time{})
		w.agents[0].inbox = nil
		start := sentOf[message.Start](w)[0].Body().(message.Start)
		w.agents[0].post(w.current, message.NewRejected(start.Task(), message.Withdrawn))
		w.hold = false
		w.settle()
		So(w.answers[n].Reason(), ShouldEqual, answer.Cancelled)
		So(w.starts, ShouldBeEmpty)
	})
	Convey("without a confirmation the answer is unknown after a limit", t, func() {
		w := newWorld(1, 1)
		w.own("owner", 1, nil)
		s := key(w.now, 1)
		w.submit(s, "plain", 1, time.Time{})
		w.hold = true
		c := w.cancel(s)
		w.advance(3 * time.Second)
		So(w.answers[c].Reason(), ShouldEqual, answer.Cancelled)
		So(w.answers[c].Ran(), ShouldEqual, answer.RanUnknown)
	})
}
