package agent_test

import (
	"fmt"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// renewEvery is the number of starts between two announcements in the benchmarks, far
// more than with a real agent.
const renewEvery = 1000

// loadedBench is a bench with many targets and owners.
type loadedBench struct {
	*bench
	targets int
	owners  []identity.Process
}

func newLoadedBench(b *testing.B, targets, owners int) *loadedBench {
	w := &loadedBench{
		bench:   newBench(b),
		targets: targets,
	}
	for i := range owners {
		w.owners = append(w.owners, process(fmt.Sprintf("owner%d", i)))
	}
	w.renew()
	return w
}

// renew lets records expire, and repeats the announcements of the targets and the
// demand of the owners.
func (w *loadedBench) renew() {
	w.now = w.now.Add(time.Minute)
	for i := range w.targets {
		w.announce(fmt.Sprintf("t%04d", i), 8, false)
	}
	w.agent.Handle(w.now, message.Wake{})
	w.agent.Handle(w.now, membership.NewLease(w.now.Add(time.Hour)))
	for i, p := range w.owners {
		w.interest(p, demandOf(configuration.Normal, false, 1_000_000, time.Duration(i)),
			demandOf(configuration.Low, true, 1000, 0))
	}
}

func (w *loadedBench) event(owner identity.Process) (identity.Task, message.Received) {
	w.next++
	task := taskOf(w.next % 6_000_000)
	return task, message.NewReceived(owner, 0, nil, message.NewStart(task, message.NewGrant(identity.Shard(w.next%16), 1), w.credit(w.now), normal, nil, time.Time{}))
}

// BenchmarkStart measures the handling of one start while slots are free.
func BenchmarkStart(b *testing.B) {
	for _, targets := range []int{10, 100, 2000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			w := newLoadedBench(b, targets, 0)
			events := make([]any, min(renewEvery, 4*targets))
			ends := make([]any, len(events))
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n += len(events) {
				b.StopTimer()
				w.renew()
				for i := range events {
					task, event := w.event(one)
					events[i] = event
					ends[i] = agent.NewEnded(task, success())
				}
				b.StartTimer()
				for _, e := range events {
					w.agent.Handle(w.now, e)
				}
				b.StopTimer()
				for _, e := range ends {
					w.agent.Handle(w.now, e)
				}
				b.StartTimer()
			}
			if s := w.agent.Snapshot(); s.Started() < b.N {
				b.Fatalf("%d of %d starts were admitted", s.Started(), b.N)
			}
		})
	}
}

// BenchmarkOffer measures the end of a task that frees an offered slot, together with
// the start that uses the offer, while 32 owners have unmet demand.
func BenchmarkOffer(b *testing.B) {
	for _, targets := range []int{10, 100, 2000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			w := newLoadedBench(b, targets, 0)
			last, _ := w.run(self, normal)
			w.fill(self, normal)
			w.owners = newLoadedBench(b, 1, 32).owners
			before := w.agent.Snapshot().Started()
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				if n%renewEvery == 0 {
					b.StopTimer()
					w.renew()
					b.StartTimer()
				}
				effects := w.agent.Handle(w.now, agent.NewEnded(last, success()))
				task, event := w.event(offeredTo(effects))
				w.agent.Handle(w.now, event)
				last = task
			}
			if s := w.agent.Snapshot(); s.Started()-before != b.N {
				b.Fatalf("%d of %d starts were admitted", s.Started()-before, b.N)
			}
		})
	}
}

func offeredTo(effects []any) identity.Process {
	for _, e := range effects {
		if s, ok := e.(message.Send); ok {
			if _, ok := s.Body().(message.Offer); ok {
				return s.To()
			}
		}
	}
	return identity.Process{}
}
