package owner_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

var success = outcome.Success([]byte("x"), 100*time.Millisecond)

// sentMessages returns the messages of one type sent so far.
func sentMessages[T any](h *harness) []message.Send {
	var found []message.Send
	for _, s := range h.sent {
		if _, ok := s.Body().(T); ok {
			found = append(found, s)
		}
	}
	return found
}

// TestFailover guards against a second start, a lost result and a false answer
// after a change of the owner.
func TestFailover(t *testing.T) {
	tests := map[string]struct {
		run func(h *harness) answer.Answer
		// state and reason are of the final answer, starts counts the starts of the
		// submission.
		state  answer.State
		reason answer.Reason
		starts int
	}{
		"owner replaced while a task runs": {
			run: func(h *harness) answer.Answer {
				s := key(h.now, 1)
				h.submit(s, "plain", 1, time.Time{})
				h.startOwner("second", 2, h.agentMembers())
				n := h.submit(s, "plain", 1, time.Time{})
				h.finishAll(success)
				return h.answers[n]
			},
			state:  answer.Complete,
			starts: 1,
		},
		"task ended before the owner was replaced": {
			run: func(h *harness) answer.Answer {
				s := key(h.now, 1)
				h.submit(s, "plain", 2, time.Time{})
				h.finishAll(success)
				h.startOwner("second", 2, h.agentMembers())
				return h.answers[h.submit(s, "plain", 2, time.Time{})]
			},
			state:  answer.Complete,
			starts: 2,
		},
		"task ends between the fence and the resubmission": {
			run: func(h *harness) answer.Answer {
				s := key(h.now, 1)
				h.submit(s, "plain", 1, time.Time{})
				h.startOwner("second", 2, h.agentMembers())
				h.finishAll(success)
				return h.answers[h.submit(s, "plain", 1, time.Time{})]
			},
			state:  answer.Complete,
			starts: 1,
		},
		"rest of a started job is started when no records are missing": {
			run: func(h *harness) answer.Answer {
				s := key(h.now, 1)
				h.submit(s, "plain", 6, time.Time{})
				h.startOwner("second", 2, h.agentMembers())
				n := h.submit(s, "plain", 6, time.Time{})
				h.finishAll(success)
				h.finishAll(success)
				return h.answers[n]
			},
			state:  answer.Complete,
			starts: 6,
		},
		"rest of a started job is not started when records may be missing": {
			run: func(h *harness) answer.Answer {
				s := key(h.now, 1)
				h.submit(s, "plain", 6, time.Time{})
				h.agents[2].unresponsive = true
				h.startOwner("second", 2, h.agentMembers())
				h.advance(701 * time.Millisecond)
				return h.answers[h.submit(s, "plain", 6, time.Time{})]
			},
			state:  answer.Failed,
			reason: answer.OutcomeUnknown,
			starts: 4,
		},
		"unknown key is not started while an agent does not answer": {
			run: func(h *harness) answer.Answer {
				h.agents[0].unresponsive = true
				h.startOwner("second", 2, h.agentMembers())
				h.advance(701 * time.Millisecond)
				return h.answers[h.submit(key(h.now, 1), "plain", 1, time.Time{})]
			},
			state:  answer.Failed,
			reason: answer.OutcomeUnknown,
		},
		"records of a lost agent may be missing for a key of a clock that is ahead": {
			run: func(h *harness) answer.Answer {
				h.agents[0].unresponsive = true
				granted := h.now
				h.startOwner("second", 2, h.agentMembers())
				h.kill(h.agents[0])
				s := key(granted.Add(maxSkew), 1)
				h.advance(time.Second)
				return h.answers[h.submit(s, "plain", 1, time.Time{})]
			},
			state:  answer.Failed,
			reason: answer.OutcomeUnknown,
		},
		"key sent after the missing records of a lost agent is new": {
			run: func(h *harness) answer.Answer {
				h.agents[0].unresponsive = true
				granted := h.now
				h.startOwner("second", 2, h.agentMembers())
				h.kill(h.agents[0])
				s := key(granted.Add(maxSkew+time.Millisecond), 1)
				h.advance(time.Second)
				n := h.submit(s, "plain", 1, time.Time{})
				h.finishAll(success)
				return h.answers[n]
			},
			state:  answer.Complete,
			starts: 1,
		},
		"key sent after the grant is new while an agent does not answer": {
			run: func(h *harness) answer.Answer {
				h.agents[0].unresponsive = true
				granted := h.now
				h.startOwner("second", 2, h.agentMembers())
				h.advance(701 * time.Millisecond)
				n := h.submit(key(granted.Add(maxSkew+time.Millisecond), 1), "plain", 1, time.Time{})
				h.finishAll(success)
				return h.answers[n]
			},
			state:  answer.Complete,
			starts: 1,
		},
		"records of a lost member of the agent list are missing up to its loss": {
			run: func(h *harness) answer.Answer {
				agentMembers := h.agentMembers()
				agentMembers[0] = membership.NewMember(process("departed"), "", "zone", h.now)
				h.startOwner("second", 2, agentMembers)
				return h.answers[h.submit(key(h.now, 1), "plain", 1, time.Time{})]
			},
			state:  answer.Failed,
			reason: answer.OutcomeUnknown,
		},
		"late answer reduces the missing records": {
			run: func(h *harness) answer.Answer {
				h.paused = true
				h.startOwner("second", 2, h.agentMembers())
				h.advance(800 * time.Millisecond)
				h.paused = false
				h.deliverAll()
				n := h.submit(key(h.now, 1), "plain", 1, time.Time{})
				h.finishAll(success)
				return h.answers[n]
			},
			state:  answer.Complete,
			starts: 1,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			h := newHarness(3, 2)
			if name == "rest of a started job is not started when records may be missing" {
				// The third agent never runs a task, so it has no records that could be missing.
				h.agents[2].slots = 0
			}
			h.startOwner("first", 1, nil)
			got := tt.run(h)
			So(got.State().String(), ShouldEqual, tt.state.String())
			So(got.Reason().String(), ShouldEqual, tt.reason.String())
			started := 0
			for _, n := range h.starts {
				started += n
			}
			So(started, ShouldEqual, tt.starts)
			h.checkStarts(t)
		})
	}
}

const maxSkew = time.Second

// TestFencing guards against starts before a shard is fenced, and against a fencing
// message for each shard instead of each agent.
func TestFencing(t *testing.T) {
	Convey("requests wait until every agent has answered", t, func() {
		h := newHarness(3, 2)
		h.paused = true
		h.startOwner("owner", 1, h.agentMembers())
		So(len(sentMessages[message.Fence](h)), ShouldEqual, 3)
		for _, s := range sentMessages[message.Fence](h) {
			So(len(s.Body().(message.Fence).Grants()), ShouldEqual, shards)
		}
		n := h.submit(key(h.now, 1), "plain", 1, time.Time{})
		So(h.owners[h.current].Snapshot(h.now).PendingRequests(), ShouldEqual, 1)
		So(h.owners[h.current].Next().IsZero(), ShouldBeFalse)
		So(h.starts, ShouldBeEmpty)
		h.paused = false
		h.deliverAll()
		h.finishAll(success)
		So(h.answers[n].State(), ShouldEqual, answer.Complete)
	})
	Convey("waiters of released shards are told to ask the next owner", t, func() {
		h := newHarness(1, 1)
		h.startOwner("owner", 1, nil)
		n := h.submit(key(h.now, 1), "plain", 2, time.Time{})
		for s := range identity.Shard(shards) {
			h.handle(membership.NewReleased(s))
		}
		So(h.answers[n].Reason(), ShouldEqual, answer.Unavailable)
		So(h.answers[n].NotRun(), ShouldBeFalse)
		So(h.owners[h.current].Snapshot(h.now).Submissions(), ShouldEqual, 0)
		So(h.owners[h.current].Snapshot(h.now).Open(), ShouldEqual, 0)
	})
	Convey("nothing starts or is refused as not run without a lease", t, func() {
		h := newHarness(1, 1)
		h.startOwner("owner", 1, nil)
		h.now = h.now.Add(2 * time.Second)
		n := h.submit(key(h.now, 1), "plain", 1, time.Time{})
		So(h.answers[n].Reason(), ShouldEqual, answer.Unavailable)
		So(h.answers[n].NotRun(), ShouldBeFalse)
		So(h.starts, ShouldBeEmpty)
	})
}

// TestKeys guards against a start under a key with an unknown history.
func TestKeys(t *testing.T) {
	tests := map[string]struct {
		at     time.Duration
		reason answer.Reason
	}{
		"older than the retention": {
			at:     -retention,
			reason: answer.KeyExpired,
		},
		"further ahead than the permitted skew": {
			at:     maxSkew + time.Millisecond,
			reason: answer.KeyInFuture,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			h := newHarness(1, 1)
			h.startOwner("owner", 1, nil)
			got := h.answers[h.submit(key(h.now.Add(tt.at), 1), "plain", 1, time.Time{})]
			So(got.Reason(), ShouldEqual, tt.reason)
			So(got.NotRun(), ShouldBeFalse)
			So(h.starts, ShouldBeEmpty)
		})
	}
	Convey("the same key with other content is a conflict, and it ends with the retention", t, func() {
		h := newHarness(1, 2)
		h.startOwner("owner", 1, nil)
		s := key(h.now, 1)
		h.submit(s, "plain", 1, time.Time{})
		got := h.answers[h.submit(s, "plain", 2, time.Time{})]
		So(got.Reason(), ShouldEqual, answer.KeyConflict)
		So(got.NotRun(), ShouldBeFalse)
		h.finishAll(success)
		h.advance(retention)
		So(h.owners[h.current].Snapshot(h.now).Submissions(), ShouldEqual, 1)
		h.advance(2 * maxSkew)
		So(h.owners[h.current].Snapshot(h.now).Submissions(), ShouldEqual, 0)
	})
}

// TestLate guards against a result that is counted twice or for the wrong start,
// and against a start that is sent with a stale credit.
func TestLate(t *testing.T) {
	Convey("late and duplicate results change nothing", t, func() {
		retried := kindOf("retried", configuration.Normal, 10*time.Second, 100*time.Millisecond).WithMaxStarts(2)
		h := newHarness(2, 1, retried)
		h.startOwner("owner", 1, nil)
		n := h.submit(key(h.now, 1), "retried", 1, time.Time{})
		first := h.agents[0]
		if len(first.running) == 0 {
			first = h.agents[1]
		}
		task := first.running[0]
		failure := outcome.Failure("failed", 100*time.Millisecond)
		h.finish(first, 0, failure)
		h.deliverAll()
		So(h.starts[task], ShouldEqual, 2)
		for range 2 {
			first.post(h.current, message.NewFinished(task, failure))
		}
		h.deliverAll()
		_, answered := h.answers[n]
		So(answered, ShouldBeFalse)
		h.finishAll(success)
		So(h.answers[n].State(), ShouldEqual, answer.Complete)
	})
	Convey("a lost agent ends its tasks as unknown, once", t, func() {
		h := newHarness(1, 2)
		h.startOwner("owner", 1, nil)
		n := h.submit(key(h.now, 1), "plain", 2, time.Time{})
		h.kill(h.agents[0])
		So(h.answers[n].Reason(), ShouldEqual, answer.OutcomeUnknown)
		So(h.answers[n].Ran(), ShouldEqual, answer.RanUnknown)
		So(h.owners[h.current].Snapshot(h.now).Open(), ShouldEqual, 0)
	})
	Convey("an idle agent is asked for a credit before it gets a start", t, func() {
		h := newHarness(1, 1)
		h.startOwner("owner", 1, nil)
		h.now = h.now.Add(time.Second)
		h.lease()
		h.sent = nil
		h.paused = true
		h.submit(key(h.now, 1), "plain", 1, time.Time{})
		So(len(sentMessages[message.Start](h)), ShouldEqual, 0)
		So(len(sentMessages[message.Interest](h)), ShouldEqual, 1)
		h.paused = false
		h.deliverAll()
		So(len(sentMessages[message.Start](h)), ShouldEqual, 1)
	})
}
