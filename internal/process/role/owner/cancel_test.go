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

// TestCancel guards against a refusal that states "not run" before the agents have
// confirmed it, or after a task ran.
func TestCancel(t *testing.T) {
	tests := map[string]struct {
		slots  int
		before func(h *harness, s identity.Submission)
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
		"the start is in transit and the agent has no free slot": {
			slots: 1,
			before: func(h *harness, _ identity.Submission) {
				h.agents[0].slots = 0
			},
			state: answer.Refused,
			ran:   answer.RanNothing,
		},
		"the agent is lost before it confirms": {
			slots: 1,
			before: func(h *harness, s identity.Submission) {
				h.request++
				h.handle(message.NewReceived(process("entry"), 0, nil, message.NewCancel(h.request, s)))
				h.kill(h.agents[0])
				h.request--
			},
			state: answer.Failed,
			ran:   answer.RanUnknown,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			h := newHarness(1, tt.slots)
			h.startOwner("owner", 1, nil)
			s := key(h.now, 1)
			h.paused = true
			n := h.submit(s, "plain", 2, time.Time{})
			if tt.before != nil {
				tt.before(h, s)
			}
			c := h.cancel(s)
			if tt.slots > 0 && name != "the agent is lost before it confirms" {
				_, early := h.answers[c]
				So(early, ShouldBeFalse)
			}
			h.paused = false
			h.deliverAll()
			for _, r := range []uint64{n, c} {
				So(h.answers[r].State().String(), ShouldEqual, tt.state.String())
				So(h.answers[r].Ran().String(), ShouldEqual, tt.ran.String())
				So(h.answers[r].Reason(), ShouldEqual, answer.Cancelled)
			}
			So(h.answers[h.submit(s, "plain", 2, time.Time{})].Reason(), ShouldEqual, answer.Cancelled)
		})
	}
}

// TestRevocations guards against a message for each task in a burst of
// cancellations, and against tasks that continue after their job failed.
func TestRevocations(t *testing.T) {
	Convey("a burst of cancellations sends one message to each agent and interval", t, func() {
		h := newHarness(3, 20)
		h.startOwner("owner", 1, nil)
		var keys []identity.Submission
		for i := range 15 {
			keys = append(keys, key(h.now, uint64(i)))
			h.submit(keys[i], "plain", 4, time.Time{})
		}
		So(len(h.starts), ShouldEqual, 60)
		for _, s := range keys {
			h.cancel(s)
		}
		h.advance(5 * time.Millisecond)
		revokes := sentMessages[message.Revoke](h)
		So(len(revokes), ShouldBeLessThanOrEqualTo, 6)
		named := 0
		for _, r := range revokes {
			named += len(r.Body().(message.Revoke).Submissions())
			So(len(r.Body().(message.Revoke).Grants()), ShouldEqual, len(r.Body().(message.Revoke).Submissions()))
		}
		So(named, ShouldBeGreaterThanOrEqualTo, len(keys))
		for i := range keys {
			So(h.answers[uint64(16+i)].Reason(), ShouldEqual, answer.Cancelled)
		}
	})
	Convey("a failed task revokes the other tasks at once", t, func() {
		h := newHarness(1, 2)
		h.startOwner("owner", 1, nil)
		n := h.submit(key(h.now, 1), "plain", 9, time.Time{})
		h.finish(h.agents[0], 0, outcome.Failure("failed", time.Second))
		h.deliverAll()
		So(h.answers[n].Reason(), ShouldEqual, answer.TaskFailed)
		So(h.answers[n].Ran(), ShouldEqual, answer.RanSomething)
		So(len(sentMessages[message.Revoke](h)), ShouldEqual, 1)
		h.finishAll(success)
		So(len(h.starts), ShouldEqual, 2)
	})
	Convey("a job of which nothing started is refused at its deadline", t, func() {
		h := newHarness(1, 0)
		h.startOwner("owner", 1, nil)
		n := h.submit(key(h.now, 1), "plain", 1, h.now.Add(300*time.Millisecond))
		h.advance(300 * time.Millisecond)
		So(h.answers[n].Reason(), ShouldEqual, answer.DeadlinePassed)
		So(h.answers[n].NotRun(), ShouldBeTrue)
	})
	Convey("a submission that a previous owner revoked does not start", t, func() {
		h := newHarness(1, 1)
		h.startOwner("owner", 1, nil)
		h.paused = true
		s := key(h.now, 1)
		n := h.submit(s, "plain", 1, time.Time{})
		h.agents[0].inbox = nil
		start := sentMessages[message.Start](h)[0].Body().(message.Start)
		h.agents[0].post(h.current, message.NewRejected(start.Task(), message.Withdrawn))
		h.paused = false
		h.deliverAll()
		So(h.answers[n].Reason(), ShouldEqual, answer.Cancelled)
		So(h.starts, ShouldBeEmpty)
	})
	Convey("without a confirmation the answer is unknown after the timeout", t, func() {
		h := newHarness(1, 1)
		h.startOwner("owner", 1, nil)
		s := key(h.now, 1)
		h.submit(s, "plain", 1, time.Time{})
		h.paused = true
		c := h.cancel(s)
		h.advance(3 * time.Second)
		So(h.answers[c].Reason(), ShouldEqual, answer.Cancelled)
		So(h.answers[c].Ran(), ShouldEqual, answer.RanUnknown)
	})
}
