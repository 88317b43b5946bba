package agent_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// full returns an agent whose target runs 4 long and 3 normal tasks in its 8 slots. The
// free slot is reserved for critical tasks.
func full(t *testing.T) (*bench, map[string]identity.Task) {
	b := newBench(t)
	b.announce("t", 8, false)
	tasks := map[string]identity.Task{}
	for _, kind := range []string{long, normal} {
		tasks[kind], _ = b.run(self, kind)
		b.fill(self, kind)
	}
	return b, tasks
}

// TestOffer guards against a free slot that is offered to the wrong owner or to none.
func TestOffer(t *testing.T) {
	tests := map[string]struct {
		one  message.Demand
		two  message.Demand
		free string
		want identity.Process
	}{
		"the more urgent demand": {
			one:  demandOf(configuration.Normal, false, 1, time.Second),
			two:  demandOf(configuration.High, false, 1, 0),
			free: normal,
			want: two,
		},
		"the older demand": {
			one:  demandOf(configuration.Normal, false, 1, time.Second),
			two:  demandOf(configuration.Normal, false, 1, 2*time.Second),
			free: normal,
			want: two,
		},
		"long demand without a free long slot": {
			one:  demandOf(configuration.High, true, 1, time.Second),
			two:  demandOf(configuration.Normal, false, 1, 0),
			free: normal,
			want: two,
		},
		"long demand with a free long slot": {
			one:  demandOf(configuration.High, true, 1, time.Second),
			two:  demandOf(configuration.Normal, false, 1, 0),
			free: long,
			want: one,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the slot is offered once, and to the next owner when the offer expires", t, func() {
				b, tasks := full(t)
				So(sent[message.Offer](b.interest(one, tt.one), one), ShouldBeEmpty)
				So(sent[message.Offer](b.interest(two, tt.two), two), ShouldBeEmpty)
				got := b.end(tasks[tt.free], success())
				So(effects[message.Send](got), ShouldHaveLength, 2)
				So(sent[message.Offer](got, tt.want), ShouldHaveLength, 1)
				So(b.agent.Next(b.now), ShouldEqual, b.now.Add(agent.OfferLifetime))
				So(effects[message.Send](b.advance(agent.OfferLifetime-1)), ShouldBeEmpty)
				other := map[identity.Process]identity.Process{one: two, two: one}[tt.want]
				got = b.advance(1)
				So(sent[message.Offer](got, tt.want), ShouldBeEmpty)
				if tt.one.Long() && tt.free == normal {
					So(sent[message.Offer](got, other), ShouldBeEmpty)
					return
				}
				So(sent[message.Offer](got, other), ShouldHaveLength, 1)
			})
		})
	}
}

// TestOfferedSlot guards against an offered slot that another owner gets, and against
// one that stays reserved after its offer has ended.
func TestOfferedSlot(t *testing.T) {
	demand := demandOf(configuration.Normal, false, 2, time.Second)
	tests := map[string]struct {
		act  func(*bench)
		want string // The cause with which a start of owner two is rejected, "" if it starts.
	}{
		"kept": {
			act:  func(*bench) {},
			want: "busy",
		},
		"used by its owner": {
			act:  func(b *bench) { b.run(one, normal) },
			want: "busy",
		},
		"lapsed": {
			act: func(b *bench) { b.advance(agent.OfferLifetime) },
		},
		"answered with no demand": {
			act: func(b *bench) { b.interest(one) },
		},
		"answered with demand": {
			act:  func(b *bench) { b.interest(one, demand) },
			want: "busy",
		},
		"the owner has ended": {
			act: func(b *bench) { b.handle(message.NewProcessEnded(one)) },
		},
		"the offer was not sent": {
			act: func(b *bench) { b.handle(undeliveredOffer()) },
		},
		"long task used the offer": {
			act:  func(b *bench) { b.run(one, long) },
			want: "busy",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a start of another owner is admitted or rejected", t, func() {
				b, tasks := full(t)
				b.interest(one, demand)
				b.end(tasks[normal], success())
				So(b.capacities["print"].Free(), ShouldEqual, 0)
				So(b.capacities["print"].Reserved(), ShouldEqual, 1)
				So(b.agent.Snapshot().Offers(), ShouldEqual, 1)
				tt.act(b)
				_, got := b.run(two, normal)
				So(got, ShouldEqual, tt.want)
			})
		})
	}
}

func undeliveredOffer() message.Undelivered {
	return message.NewUndelivered(message.NewSend(one, message.NewOffer("print", 1, false)))
}

// TestReserveOffer guards against a reserved slot that is offered to work that is not
// critical, and against an offer for critical tasks that admits other work.
func TestReserveOffer(t *testing.T) {
	Convey("only critical demand gets the reserved slot", t, func() {
		b, _ := full(t)
		So(sent[message.Offer](b.interest(one, demandOf(configuration.High, false, 5, 0)), one), ShouldBeEmpty)
		So(b.capacities["print"].Reserved(), ShouldEqual, 1)
		got := sent[message.Offer](b.interest(two, demandOf(configuration.Critical, false, 5, 0)), two)
		So(got, ShouldHaveLength, 1)
		So(got[0].CriticalOnly(), ShouldBeTrue)
		So(got[0].Slots(), ShouldEqual, 1)
		So(b.capacities["print"].Reserved(), ShouldEqual, 0)
		_, cause := b.run(two, normal)
		So(cause, ShouldEqual, "busy")
		_, cause = b.run(two, critical)
		So(cause, ShouldEqual, "")
	})
	Convey("several free slots are offered in one message", t, func() {
		b := newBench(t)
		b.interest(one, demandOf(configuration.Critical, false, 10, 0))
		got := sent[message.Offer](b.announce("t", 8, false), one)
		So(got, ShouldHaveLength, 2)
		So(got[0].Slots(), ShouldEqual, 7)
		So(got[1].CriticalOnly(), ShouldBeTrue)
	})
	Convey("without demand the hint has all free slots", t, func() {
		b := newBench(t)
		b.announce("t", 8, false)
		So(b.capacities["print"], ShouldResemble, message.NewCapacity("print", 7, 1, 4, 1))
		b.fill(one, long)
		So(b.capacities["print"], ShouldResemble, message.NewCapacity("print", 3, 1, 0, 1))
		b.interest(one, demandOf(configuration.Normal, true, 3, 0))
		So(b.capacities["print"].Free(), ShouldEqual, 3)
	})
}

// TestStarvation guards against an owner that gets no slot because of a steady flow of
// urgent demand or because another owner does not use its offers.
func TestStarvation(t *testing.T) {
	Convey("aged work of low urgency gets a share of the slots", t, func() {
		b, tasks := full(t)
		task, served := tasks[normal], 0
		for range 80 {
			b.interest(one, demandOf(configuration.High, false, 9, 0))
			b.interest(two, demandOf(configuration.Low, false, 9, time.Minute))
			got := b.end(task, success())
			owner := one
			if len(sent[message.Offer](got, two)) > 0 {
				owner = two
				served++
			}
			var cause string
			task, cause = b.run(owner, normal)
			So(cause, ShouldEqual, "")
		}
		So(served, ShouldEqual, 10)
	})
	Convey("an owner that uses no offers wastes little slot time", t, func() {
		b, tasks := full(t)
		b.interest(one, demandOf(configuration.Critical, false, 9, 0))
		b.interest(two, demandOf(configuration.Low, false, 9, 0))
		task, served := tasks[normal], 0
		for range 100 {
			got := append(b.advance(agent.OfferLifetime), b.end(task, success())...)
			if len(sent[message.Offer](got, two)) == 0 {
				continue
			}
			var cause string
			task, cause = b.run(two, normal)
			So(cause, ShouldEqual, "")
			served++
		}
		So(served, ShouldBeGreaterThan, 80)
	})
}
