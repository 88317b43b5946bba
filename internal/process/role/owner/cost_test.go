package owner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/owner"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// bench is an owner with a working set, without the bookkeeping of a harness.
type bench struct {
	now      time.Time
	owner    *owner.Owner
	agents   []identity.Process
	members  []membership.Member
	capacity []message.Capacity
	starts   []message.Send
	sent     int
}

func newBench(agents int, free uint32) *bench {
	h := newHarness(0, 0)
	topology, _ := owner.NewTopology(1, shards)
	o, err := owner.New(process("owner"), topology, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		panic(err)
	}
	b := &bench{
		now:      h.now,
		owner:    o,
		capacity: []message.Capacity{message.NewCapacity("service", free, 1, free, 1)},
	}
	o.Handle(b.now, h.cfg)
	for i := range agents {
		p := process(fmt.Sprintf("agent-%d", i))
		b.agents = append(b.agents, p)
		b.members = append(b.members, membership.NewMember(p, "", fmt.Sprintf("zone-%d", i%7), time.Time{}))
	}
	o.Handle(b.now, membership.NewWorkingSet(b.members))
	for s := range identity.Shard(shards) {
		o.Handle(b.now, membership.NewGranted(s, 1, nil))
	}
	b.refresh()
	return b
}

// refresh renews the lease and the credit and capacity of every agent.
func (b *bench) refresh() {
	b.owner.Handle(b.now, membership.NewLease(b.now.Add(1500*time.Millisecond)))
	for _, p := range b.agents {
		b.collectStarts(b.owner.Handle(b.now, message.NewReceived(p, 1, b.capacity, nil)))
	}
}

// collectStarts keeps the starts among the messages.
func (b *bench) collectStarts(sends []message.Send) {
	for _, s := range sends {
		if _, ok := s.Body().(message.Start); ok {
			b.starts = append(b.starts, s)
			b.sent++
		}
	}
}

// finish passes events to the owner and collects the starts that it sends.
func (b *bench) finish(events []any) {
	for _, e := range events {
		b.collectStarts(b.owner.Handle(b.now, e))
	}
}

// results moves the clock past the lag of capacity reports and returns a result for
// each collected start, with credit and capacity.
func (b *bench) results() []any {
	b.now = b.now.Add(5 * time.Millisecond)
	b.owner.Handle(b.now, membership.NewLease(b.now.Add(1500*time.Millisecond)))
	events := make([]any, 0, len(b.starts))
	for _, s := range b.starts {
		m := s.Body().(message.Start)
		events = append(events, message.NewReceived(s.To(), 1, b.capacity,
			message.NewFinished(m.Task(), outcome.Success(nil, 100*time.Millisecond))))
	}
	clear(b.starts)
	b.starts = b.starts[:0]
	return events
}

// BenchmarkStart measures one start of a wide job with its result and the capacity
// report that comes with it, at the sizes of the design page. The bound is 5 µs and
// 2 allocations for each start.
func BenchmarkStart(b *testing.B) {
	for _, agents := range []int{10, 32, 100, 500, 2000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			x := newBench(agents, 8)
			b.ReportAllocs()
			n := uint64(0)
			b.ResetTimer()
			for x.sent < b.N {
				b.StopTimer()
				n++
				x.now = x.now.Add(50 * time.Millisecond)
				x.refresh()
				order, _ := job.NewOrder(key(x.now, n), "plain", time.Time{}, make([][]byte, 1100))
				submit := message.NewReceived(process("entry"), 0, nil, message.NewSubmit(n, order))
				b.StartTimer()
				x.collectStarts(x.owner.Handle(x.now, submit))
				for len(x.starts) > 0 {
					b.StopTimer()
					events := x.results()
					b.StartTimer()
					x.finish(events)
				}
			}
		})
	}
}

// BenchmarkJob measures a job of one task from submission to answer.
func BenchmarkJob(b *testing.B) {
	for _, agents := range []int{10, 32, 2000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			x := newBench(agents, 8)
			b.ReportAllocs()
			b.ResetTimer()
			for done := 0; done < b.N; {
				b.StopTimer()
				x.now = x.now.Add(20 * time.Millisecond)
				x.refresh()
				events := make([]any, 0, 64)
				for range 64 {
					done++
					order, _ := job.NewOrder(key(x.now, uint64(done)), "plain", time.Time{}, make([][]byte, 1))
					events = append(events, message.NewReceived(process("entry"), 0, nil, message.NewSubmit(1, order)))
				}
				b.StartTimer()
				x.finish(events)
				b.StopTimer()
				events = x.results()
				b.StartTimer()
				x.finish(events)
			}
		})
	}
}

// BenchmarkAgentLost measures the loss of an agent with one open task while many
// submissions are kept. The cost must not grow with their number.
func BenchmarkAgentLost(b *testing.B) {
	for _, live := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("live=%d", live), func(b *testing.B) {
			x := newBench(32, 8)
			n := uint64(0)
			one := func() {
				n++
				x.now = x.now.Add(5 * time.Millisecond)
				x.refresh()
				order, _ := job.NewOrder(key(x.now, n), "plain", time.Time{}, make([][]byte, 1))
				x.collectStarts(x.owner.Handle(x.now, message.NewReceived(process("entry"), 0, nil, message.NewSubmit(n, order))))
			}
			for range live {
				one()
				x.finish(x.results())
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				b.StopTimer()
				one()
				lost := x.starts[0].To()
				x.starts = x.starts[:0]
				b.StartTimer()
				x.owner.Handle(x.now, message.NewProcessEnded(lost))
				b.StopTimer()
				x.owner.Handle(x.now, membership.NewWorkingSet(x.members))
				b.StartTimer()
			}
		})
	}
}
