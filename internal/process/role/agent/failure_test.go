package agent_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// TestEject guards against a target that fails every task at once and thereby attracts
// most work, and against the ejection of a target that works.
func TestEject(t *testing.T) {
	quick := outcome.Failure("no", time.Millisecond)
	tests := map[string]struct {
		result  outcome.Result
		after   time.Duration
		count   int
		ejected bool
	}{
		"5 quick failures": {
			result:  quick,
			count:   5,
			ejected: true,
		},
		"4 quick failures": {
			result: quick,
			count:  4,
		},
		"slow failures": {
			result: quick,
			after:  60 * time.Millisecond,
			count:  20,
		},
		"connections refused": {
			result:  outcome.Revocation("refused"),
			count:   5,
			ejected: true,
		},
		"connections cut": {
			result:  outcome.Lost("cut"),
			count:   5,
			ejected: true,
		},
		"no answer for a while": {
			result: outcome.Lost("timeout"),
			after:  time.Second,
			count:  20,
		},
		"quick successes": {
			result: outcome.Success(nil, time.Millisecond),
			count:  20,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the target is ejected or not", t, func() {
				b := newBench(t)
				b.announce("t", 8, false)
				for range tt.count {
					task, cause := b.run(one, normal)
					So(cause, ShouldEqual, "")
					b.now = b.now.Add(tt.after)
					b.announce("t", 8, false)
					b.end(task, tt.result)
				}
				_, cause := b.run(one, normal)
				So(cause == "busy", ShouldEqual, tt.ejected)
			})
		})
	}
	Convey("it is readmitted with one probe task, after a longer ejection each time", t, func() {
		b := newBench(t)
		b.announce("t", 8, false)
		for range 5 {
			task, _ := b.run(one, normal)
			b.end(task, quick)
		}
		for _, pause := range []int{1, 2, 4, 8, 16, 32, 60, 60} {
			for range pause {
				_, cause := b.run(one, normal)
				So(cause, ShouldEqual, "busy")
				b.announce("t", 8, false)
				b.advance(time.Second)
			}
			probe, cause := b.run(one, normal)
			So(cause, ShouldEqual, "")
			_, cause = b.run(one, normal)
			So(cause, ShouldEqual, "busy")
			b.end(probe, quick)
		}
		b.announce("t", 8, false)
		for range 60 {
			b.announce("t", 8, false)
			b.advance(time.Second)
		}
		probe, _ := b.run(one, normal)
		b.end(probe, success())
		So(b.fill(one, normal), ShouldEqual, 7)
	})
}

// TestTargets guards against new work for a target that has left, against losing the
// result of a task that still runs there, and against a slow target that gets as much
// work as a fast one.
func TestTargets(t *testing.T) {
	Convey("a target that is leaving or has expired finishes its tasks", t, func() {
		for _, leave := range []func(*bench){
			func(b *bench) { b.announce("t", 8, true) },
			func(b *bench) { b.advance(2 * time.Second) },
		} {
			b := newBench(t)
			b.announce("t", 8, false)
			task, _ := b.run(one, normal)
			leave(b)
			So(b.capacities["print"].Free(), ShouldEqual, 0)
			So(b.agent.Snapshot().Targets(), ShouldHaveLength, 1)
			So(sent[message.Finished](b.end(task, success()), one), ShouldHaveLength, 1)
			So(b.agent.Snapshot().Targets(), ShouldBeEmpty)
			So(b.capacities, ShouldBeEmpty)
		}
	})
	Convey("the faster target gets more of the work", t, func() {
		b := newBench(t)
		b.announce("a", 8, false)
		b.announce("b", 8, false)
		used := map[string]int{}
		for range 200 {
			b.next++
			call := effects[agent.Call](b.start(one, taskOf(b.next), 1, normal))[0]
			used[call.Target()]++
			took := map[string]time.Duration{"a": 400 * time.Millisecond, "b": 50 * time.Millisecond}[call.Target()]
			b.end(call.Task(), outcome.Success(nil, took))
		}
		So(used["b"], ShouldBeGreaterThan, 150)
		speeds := b.agent.Snapshot().Targets()
		So(speeds[0].Speed(), ShouldBeLessThan, 1)
		So(speeds[1].Speed(), ShouldBeGreaterThan, 1.9)
	})
}

// TestRevoke guards against tasks that start after their revocation.
func TestRevoke(t *testing.T) {
	Convey("one reply has the states of the tasks", t, func() {
		b := newBench(t)
		b.announce("t", 8, false)
		b.start(one, taskOf(1), 1, normal)
		b.start(one, taskOf(2), 1, normal)
		b.end(taskOf(1), success())
		got := sent[message.Revoked](b.receive(one, message.NewRevoke([]message.Grant{message.NewGrant(1, 1)}, submissions(1))), one)
		So(got, ShouldHaveLength, 1)
		So(got[0].Submissions(), ShouldResemble, submissions(1))
		So(got[0].Tasks(), ShouldResemble, []message.TaskState{
			message.NewTaskState(taskOf(1), outcome.Succeeded), message.NewTaskState(taskOf(2), outcome.Running),
		})
		So(answer(b.start(one, taskOf(3), 1, normal)), ShouldEqual, "withdrawn")
	})
	Convey("a previous owner cannot revoke", t, func() {
		b := newBench(t)
		b.announce("t", 8, false)
		b.receive(two, message.NewFence([]message.Grant{message.NewGrant(1, 2)}))
		got := sent[message.Revoked](b.receive(one, message.NewRevoke([]message.Grant{message.NewGrant(1, 1)}, submissions(1))), one)
		So(got[0].Submissions(), ShouldBeEmpty)
		So(answer(b.start(two, taskOf(1), 2, normal)), ShouldEqual, "")
	})
}

// TestFence guards against a new owner that takes the records for complete
// although a part of the reply was lost.
func TestFence(t *testing.T) {
	fence := message.NewFence([]message.Grant{message.NewGrant(1, 2)})
	fill := func(n int) *bench {
		b := newBench(t)
		b.announce("t", 64, false)
		for i := range n {
			b.start(one, taskOf(i), 1, normal)
			b.end(taskOf(i), success())
		}
		return b
	}
	tests := map[string]struct {
		records int
		parts   int
	}{
		"none": {
			parts: 1,
		},
		"few": {
			records: 10,
			parts:   1,
		},
		"many": {
			records: 2000,
			parts:   4,
		},
		"no rest": {
			records: 1024,
			parts:   2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("every record is sent once, and only the last message is complete", t, func() {
				got := sent[message.FenceReply](fill(tt.records).receive(two, fence), two)
				So(got, ShouldHaveLength, tt.parts)
				n := 0
				for i, m := range got {
					n += len(m.Records())
					So(m.Complete(), ShouldEqual, i == len(got)-1)
					So(m.Grants(), ShouldHaveLength, 1)
					So(m.Since(), ShouldEqual, began)
				}
				So(n, ShouldEqual, tt.records)
			})
		})
	}
	Convey("the last message is not sent if an earlier one was lost", t, func() {
		b := fill(2000)
		list := append([]any(nil), b.agent.Handle(b.now, message.NewReceived(two, 0, nil, fence))...)
		b.handle(message.NewUndelivered(message.NewSend(two, sent[message.FenceReply](list, two)[1])))
		got := b.receive(self, sent[agent.Barrier](list, self)[0])
		So(sent[message.FenceReply](got, two), ShouldBeEmpty)
	})
}

// TestUndelivered guards against lost reports, and against late reports that contradict
// the records that a new owner got when it fenced the shard.
func TestUndelivered(t *testing.T) {
	fence := message.NewFence([]message.Grant{message.NewGrant(1, 2)})
	tests := map[string]struct {
		after func(*bench)
		want  int
	}{
		"tried again": {
			want: 1,
		},
		"the owner has ended": {
			after: func(b *bench) { b.handle(message.NewProcessEnded(one)) },
		},
		"fenced by another": {
			after: func(b *bench) { b.receive(two, fence) },
		},
		"fenced by the owner": {
			after: func(b *bench) { b.receive(one, fence) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, body := range []any{
				message.NewFinished(taskOf(1), success()),
				message.NewRejected(taskOf(1), message.Busy),
			} {
				Convey(fmt.Sprintf("%T is sent again only if it is still valid", body), t, func() {
					b := newBench(t)
					if _, ok := body.(message.Finished); ok {
						b.announce("t", 8, false)
						b.start(one, taskOf(1), 1, normal)
						b.end(taskOf(1), success())
					} else {
						b.start(one, taskOf(1), 1, normal)
					}
					b.handle(message.NewUndelivered(message.NewSend(one, body)))
					if tt.after != nil {
						tt.after(b)
					}
					So(effects[message.Send](b.advance(100*time.Millisecond)), ShouldBeEmpty)
					So(effects[message.Send](b.advance(200*time.Millisecond)), ShouldHaveLength, tt.want)
					So(effects[message.Send](b.advance(time.Second)), ShouldBeEmpty)
				})
			}
		})
	}
}

// TestEvictedReport guards against an undelivered result that is not sent again because
// the ledger has evicted it.
func TestEvictedReport(t *testing.T) {
	Convey("the result is sent again", t, func() {
		b := newBench(t)
		b.announce("t", 8, false)
		big := outcome.Success(make([]byte, 1<<20), 1)
		for i := range 2 {
			b.start(one, taskOf(i), 1, normal)
			b.end(taskOf(i), big)
		}
		So(b.agent.Snapshot().Evicted(), ShouldEqual, 1)
		b.handle(message.NewUndelivered(message.NewSend(one, message.NewFinished(taskOf(0), big))))
		got := sent[message.Finished](b.advance(time.Second), one)
		So(got, ShouldHaveLength, 1)
		So(got[0].Result().State(), ShouldEqual, outcome.Succeeded)
	})
}

// TestDrain guards against an agent that reports itself drained while tasks run, or
// never does.
func TestDrain(t *testing.T) {
	Convey("it publishes no capacity and waits for running tasks and reports", t, func() {
		b := newBench(t)
		b.announce("t", 8, false)
		task, _ := b.run(one, normal)
		b.interest(two, demandOf(configuration.Normal, false, 5, 0))
		So(effects[agent.Drained](b.handle(agent.Drain{})), ShouldBeEmpty)
		So(b.capacities, ShouldBeEmpty)
		So(b.agent.Snapshot().Offers(), ShouldEqual, 0)
		got := b.end(task, success())
		So(sent[message.Finished](got, one), ShouldHaveLength, 1)
		So(effects[agent.Drained](got), ShouldHaveLength, 1)
		So(effects[agent.Drained](b.advance(time.Second)), ShouldBeEmpty)
	})
}
