package agent_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// withWorker returns an agent with a worker. Each batch or urgent task is declared to
// need 4 cores and 1 GB.
func withWorker(t *testing.T, cores int64) *bench {
	b := newBench(t)
	b.announce("t", 8, false)
	b.handle(agent.NewWorker("w", "r1", must(configuration.NewResources(cores*1000, 64<<30, 0))))
	return b
}

// TestPlace guards against tasks that exceed the resources of the worker, and against a
// temporary rejection of a task that can never run.
func TestPlace(t *testing.T) {
	tests := map[string]struct {
		cores int64
		runs  int
		want  string
	}{
		"capacity for all but the reserved slot": {
			cores: 32,
			runs:  7,
			want:  "busy",
		},
		"capacity for two": {
			cores: 11,
			runs:  2,
			want:  "busy",
		},
		"never fits": {
			cores: 3,
			want:  "never_fits",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the worker gets the tasks that fit", t, func() {
				b := withWorker(t, tt.cores)
				b.announce("t", 8, true)
				So(b.capacities, ShouldContainKey, "print")
				b.announce("t", 8, false)
				for range tt.runs {
					_, cause := b.run(one, batch)
					So(cause, ShouldEqual, "")
				}
				_, cause := b.run(one, batch)
				So(cause, ShouldEqual, tt.want)
				_, cause = b.run(one, normal)
				So(cause, ShouldEqual, "")
			})
		})
	}
}

// TestUsage guards against the effects of wrong declarations: too large ones waste
// capacity, too small ones overload the worker.
func TestUsage(t *testing.T) {
	tests := map[string]struct {
		cores   int64
		reports int
		runs    int
	}{
		"too few reports": {
			cores:   1,
			reports: 4,
			runs:    3,
		},
		"smaller": {
			cores:   1,
			reports: 5,
			runs:    11,
		},
		"larger": {
			cores:   6,
			reports: 5,
			runs:    2,
		},
		"beyond worker": {
			cores:   99,
			reports: 5,
			runs:    1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the worker gets the tasks that fit by the reports", t, func() {
				b := withWorker(t, 12)
				task, _ := b.run(one, batch)
				b.end(task, success())
				for range tt.reports {
					b.handle(agent.NewUsageReport("team", batch, must(configuration.NewResources(tt.cores*1000, 1<<30, 0))))
				}
				place := effects[agent.Place](b.start(one, taskOf(1), 1, batch))[0]
				So(place.Resources().MilliCores(), ShouldBeLessThanOrEqualTo, 12_000)
				n := 1
				for ; n < 20; n++ {
					if _, cause := b.run(one, batch); cause != "" {
						break
					}
				}
				So(n, ShouldEqual, tt.runs)
			})
		})
	}
}

// TestPreempt guards against urgent work that is queued behind work with less
// harm, and against preempted work that is not resumed or was preempted without
// need.
func TestPreempt(t *testing.T) {
	Convey("tasks are throttled first and stopped next, as many as needed", t, func() {
		b := withWorker(t, 8)
		var tasks []identity.Task
		for range 2 {
			task, cause := b.run(one, batch)
			So(cause, ShouldEqual, "")
			tasks = append(tasks, task)
		}
		list := b.start(two, taskOf(1), 1, urgent)
		So(answer(list), ShouldEqual, "busy")
		got := effects[agent.Control](list)
		So(got, ShouldHaveLength, 2)
		So(got[0].Action(), ShouldEqual, agent.Throttle)
		So(effects[agent.Control](b.start(two, taskOf(1), 1, urgent)), ShouldBeEmpty)
		Convey("and the freed resources are offered to the queued owner", func() {
			b.interest(two, demandOf(configuration.Critical, false, 1, 0))
			for _, c := range got {
				list = b.handle(agent.NewControlled(c.Task(), c.Action(), true))
			}
			So(sent[message.Offer](list, two), ShouldHaveLength, 1)
			So(answer(b.start(two, taskOf(1), 1, urgent)), ShouldEqual, "")
			b.interest(two)
			So(effects[agent.Control](b.advance(time.Second)), ShouldBeEmpty)
			Convey("and throttled tasks resume afterwards", func() {
				b.end(taskOf(1), success())
				list := effects[agent.Control](b.advance(time.Second))
				So(list, ShouldHaveLength, 2)
				So(list[0].Action(), ShouldEqual, agent.Resume)
				b.end(tasks[0], success())
				b.handle(agent.NewControlled(tasks[1], agent.Resume, true))
				b.end(tasks[1], success())
				So(b.fill(one, batch), ShouldEqual, 2)
			})
		})
		Convey("and a throttled task is stopped if that freed too little", func() {
			for _, c := range got {
				b.handle(agent.NewControlled(c.Task(), c.Action(), true))
			}
			b.start(two, taskOf(1), 1, urgent)
			list := effects[agent.Control](b.start(two, taskOf(2), 1, urgent))
			So(list, ShouldHaveLength, 2)
			So(list[0].Action(), ShouldEqual, agent.Stop)
		})
	})
	Convey("a revoked task on the worker is stopped once", t, func() {
		b := withWorker(t, 8)
		b.start(one, taskOf(1), 1, batch)
		revoke := message.NewRevoke([]message.Grant{message.NewGrant(1, 1)}, submissions(1))
		So(effects[agent.Control](b.receive(one, revoke)), ShouldHaveLength, 1)
		So(effects[agent.Control](b.receive(one, revoke)), ShouldBeEmpty)
		So(sent[message.Finished](b.end(taskOf(1), outcome.Failure("stopped", 1)), one), ShouldHaveLength, 1)
	})
	Convey("a worker that fails every task is ejected", t, func() {
		b := withWorker(t, 32)
		for range 5 {
			task, _ := b.run(one, batch)
			b.end(task, outcome.Failure("no", time.Millisecond))
		}
		_, cause := b.run(one, batch)
		So(cause, ShouldEqual, "busy")
		b.advance(time.Second)
		_, cause = b.run(one, batch)
		So(cause, ShouldEqual, "")
		_, cause = b.run(one, batch)
		So(cause, ShouldEqual, "busy")
	})
}
