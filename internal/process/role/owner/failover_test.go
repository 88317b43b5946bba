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

// sentOf counts the messages of one type sent so far.
func sentOf[T any](w *world) []message.Send {
	var found []message.Send
	for _, s := range w.sent {
		if _, ok := s.Body().(T); ok {
			found = append(found, s)
		}
	}
	return found
}

// TestFailover guards against a second start, a lost result and a false answer
// when another owner takes over.
func TestFailover(t *testing.T) {
	tests := map[string]struct {
		run func(w *world) answer.Answer
		// want is the final answer, starts the number of starts of the submission.
		state  answer.State
		reason answer.Reason
		starts int
	}{
		"owner replaced while a task runs": {
			run: func(w *world) answer.Answer {
				s := key(w.now, 1)
				w.submit(s, "plain", 1, time.Time{})
				w.own("second", 2, w.roster())
				n := w.submit(s, "plain", 1, time.Time{})
				w.finishAll(success)
				return w.answers[n]
			},
			state:  answer.Complete,
			starts: 1,
		},
		"task ended before the owner was replaced": {
			run: func(w *world) answer.Answer {
				s := key(w.now, 1)
				w.submit(s, "plain", 2, time.Time{})
				w.finishAll(success)
				w.own("second", 2, w.roster())
				return w.answers[w.submit(s, "plain", 2, time.Time{})]
			},
			state:  answer.Complete,
			starts: 2,
		},
		"task ends between the seal and the resubmission": {
			run: func(w *world) answer.Answer {
				s := key(w.now, 1)
				w.submit(s, "plain", 1, time.Time{})
				w.own("second", 2, w.roster())
				w.finishAll(success)
				return w.answers[w.submit(s, "plain", 1, time.Time{})]
			},
			state:  answer.Complete,
			starts: 1,
		},
		"rest of a begun job is started without a gap": {
			run: func(w *world) answer.Answer {
				s := key(w.now, 1)
				w.submit(s, "plain", 6, time.Time{})
				w.own("second", 2, w.roster())
				n := w.submit(s, "plain", 6, time.Time{})
				w.finishAll(success)
				w.finishAll(success)
				return w.answers[n]
			},
			state:  answer.Complete,
			starts: 6,
		},
		"rest of a begun job is not started under a gap": {
			run: func(w *world) answer.Answer {
				s := key(w.now, 1)
				w.submit(s, "plain", 6, time.Time{})
				w.agents[2].mute = true
				w.own("second", 2, w.roster())
				w.advance(701 * time.Millisecond)
				return w.answers[w.submit(s, "plain", 6, time.Time{})]
			},
			state:  answer.Failed,
			reason: answer.OutcomeUnknown,
			starts: 4,
		},
		"unknown key is not started while an agent does not answer": {
			run: func(w *world) answer.Answer {
				w.agents[0].mute = true
				w.own("second", 2, w.roster())
				w.advance(701 * time.Millisecond)
				return w.answers[w.submit(key(w.now, 1), "plain", 1, time.Time{})]
			},
			state:  answer.Failed,
			reason: answer.OutcomeUnknown,
		},
		"key of a clock ahead is covered by the gap of a lost agent": {
			run: func(w *world) answer.Answer {
				w.agents[0].mute = true
				granted := w.now
				w.own("second", 2, w.roster())
				w.kill(w.agents[0])
				s := key(granted.Add(maxSkew), 1)
				w.advance(time.Second)
				return w.answers[w.submit(s, "plain", 1, time.Time{})]
			},
			state:  answer.Failed,
			reason: answer.OutcomeUnknown,
		},
		"key sent after a lost agent's gap is new": {
			run: func(w *world) answer.Answer {
				w.agents[0].mute = true
				granted := w.now
				w.own("second", 2, w.roster())
				w.kill(w.agents[0])
				s := key(granted.Add(maxSkew+time.Millisecond), 1)
				w.advance(time.Second)
				n := w.submit(s, "plain", 1, time.Time{})
				w.finishAll(success)
				return w.answers[n]
			},
			state:  answer.Complete,
			starts: 1,
		},
		"key sent after the grant is new while an agent does not answer": {
			run: func(w *world) answer.Answer {
				w.agents[0].mute = true
				granted := w.now
				w.own("second", 2, w.roster())
				w.advance(701 * time.Millisecond)
				n := w.submit(key(granted.Add(maxSkew+time.Millisecond), 1), "plain", 1, time.Time{})
				w.finishAll(success)
				return w.answers[n]
			},
			state:  answer.Complete,
			starts: 1,
		},
		"departed member of the roster is a gap up to its loss": {
			run: func(w *world) answer.Answer {
				roster := w.roster()
				roster[0] = membership.NewMember(process("departed"), "", "zone", w.now)
				w.own("second", 2, roster)
				return w.answers[w.submit(key(w.now, 1), "plain", 1, time.Time{})]
			},
			state:  answer.Failed,
			reason: answer.OutcomeUnknown,
		},
		"late answer narrows the gap": {
			run: func(w *world) answer.Answer {
				w.hold = true
				w.own("second", 2, w.roster())
				w.advance(800 * time.Millisecond)
				w.hold = false
				w.settle()
				n := w.submit(key(w.now, 1), "plain", 1, time.Time{})
				w.finishAll(success)
				return w.answers[n]
			},
			state:  answer.Complete,
			starts: 1,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			w := newWorld(3, 2)
			if name == "rest of a begun job is not started under a gap" {
				// The third agent has nothing to run, so that its silence hides nothing.
				w.agents[2].slots = 0
			}
			w.own("first", 1, nil)
			got := tt.run(w)
			So(got.State().String(), ShouldEqual, tt.state.String())
			So(got.Reason().String(), ShouldEqual, tt.reason.String())
			started := 0
			for _, n := range w.starts {
				started += n
			}
			So(started, ShouldEqual, tt.starts)
			w.check(t)
		})
	}
}

const maxSkew = time.Second

// TestSealing guards against starts before the seal is done, and against a
// message for each shard instead of each agent.
func TestSealing(t *testing.T) {
	Convey("requests wait until every agent has answered", t, func() {
		w := newWorld(3, 2)
		w.hold = true
		w.own("owner", 1, w.roster())
		So(len(sentOf[message.Fence](w)), ShouldEqual, 3)
		for _, s := range sentOf[message.Fence](w) {
			So(len(s.Body().(message.Fence).Grants()), ShouldEqual, shards)
		}
		n := w.submit(key(w.now, 1), "plain", 1, time.Time{})
		So(w.owners[w.current].Snapshot(w.now).Held(), ShouldEqual, 1)
		So(w.owners[w.current].Next().IsZero(), ShouldBeFalse)
		So(w.starts, ShouldBeEmpty)
		w.hold = false
		w.settle()
		w.finishAll(success)
		So(w.answers[n].State(), ShouldEqual, answer.Complete)
	})
	Convey("released shards tell their waiters to ask the next owner", t, func() {
		w := newWorld(1, 1)
		w.own("owner", 1, nil)
		n := w.submit(key(w.now, 1), "plain", 2, time.Time{})
		for s := range identity.Shard(shards) {
			w.handle(membership.NewReleased(s))
		}
		So(w.answers[n].Reason(), ShouldEqual, answer.Unavailable)
		So(w.answers[n].NotRun(), ShouldBeFalse)
		So(w.owners[w.current].Snapshot(w.now).Live(), ShouldEqual, 0)
		So(w.owners[w.current].Snapshot(w.now).Open(), ShouldEqual, 0)
	})
	Convey("nothing starts or is refused as not run without a lease", t, func() {
		w := newWorld(1, 1)
		w.own("owner", 1, nil)
		w.now = w.now.Add(2 * time.Second)
		n := w.submit(key(w.now, 1), "plain", 1, time.Time{})
		So(w.answers[n].Reason(), ShouldEqual, answer.Unavailable)
		So(w.answers[n].NotRun(), ShouldBeFalse)
		So(w.starts, ShouldBeEmpty)
	})
}

// TestKeys guards against a start under a key of which the history is unknown.
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
			w := newWorld(1, 1)
			w.own("owner", 1, nil)
			got := w.answers[w.submit(key(w.now.Add(tt.at), 1), "plain", 1, time.Time{})]
			So(got.Reason(), ShouldEqual, tt.reason)
			So(got.NotRun(), ShouldBeFalse)
			So(w.starts, ShouldBeEmpty)
		})
	}
	Convey("the same key with other content is a conflict, and it ends with the retention", t, func() {
		w := newWorld(1, 2)
		w.own("owner", 1, nil)
		s := key(w.now, 1)
		w.submit(s, "plain", 1, time.Time{})
		got := w.answers[w.submit(s, "plain", 2, time.Time{})]
		So(got.Reason(), ShouldEqual, answer.KeyConflict)
		So(got.NotRun(), ShouldBeFalse)
		w.finishAll(success)
		w.advance(retention)
		So(w.owners[w.current].Snapshot(w.now).Live(), ShouldEqual, 1)
		w.advance(2 * maxSkew)
		So(w.owners[w.current].Snapshot(w.now).Live(), ShouldEqual, 0)
	})
}

// TestLate guards against a result that is counted twice or for another start.
func TestLate(t *testing.T) {
	Convey("late and doubled results change nothing", t, func() {
		retried := kindOf("retried", configuration.Normal, 10*time.Second, 100*time.Millisecond).WithMaxStarts(2)
		w := newWorld(2, 1, retried)
		w.own("owner", 1, nil)
		n := w.submit(key(w.now, 1), "retried", 1, time.Time{})
		first := w.agents[0]
		if len(first.running) == 0 {
			first = w.agents[1]
		}
		task := first.running[0]
		failure := outcome.Failure("failed", 100*time.Millisecond)
		w.finish(first, 0, failure)
		w.settle()
		So(w.starts[task], ShouldEqual, 2)
		for range 2 {
			first.post(w.current, message.NewFinished(task, failure))
		}
		w.settle()
		_, answered := w.answers[n]
		So(answered, ShouldBeFalse)
		w.finishAll(success)
		So(w.answers[n].State(), ShouldEqual, answer.Complete)
	})
	Convey("a lost agent ends its tasks as unknown, once", t, func() {
		w := newWorld(1, 2)
		w.own("owner", 1, nil)
		n := w.submit(key(w.now, 1), "plain", 2, time.Time{})
		w.kill(w.agents[0])
		So(w.answers[n].Reason(), ShouldEqual, answer.OutcomeUnknown)
		So(w.answers[n].Ran(), ShouldEqual, answer.RanUnknown)
		So(w.owners[w.current].Snapshot(w.now).Open(), ShouldEqual, 0)
	})
	Convey("an idle agent is woken before it gets a start", t, func() {
		w := newWorld(1, 1)
		w.own("owner", 1, nil)
		w.now = w.now.Add(time.Second)
		w.lease()
		w.sent = nil
		w.hold = true
		w.submit(key(w.now, 1), "plain", 1, time.Time{})
		So(len(sentOf[message.Start](w)), ShouldEqual, 0)
		So(len(sentOf[message.Interest](w)), ShouldEqual, 1)
		w.hold = false
		w.settle()
		So(len(sentOf[message.Start](w)), ShouldEqual, 1)
	})
}
