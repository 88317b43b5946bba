package station_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/station"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

const (
	ms      = time.Millisecond
	session = 7
)

// bed is a station with a target of 32 cores and one entry.
type bed struct {
	t     *testing.T
	s     *station.Station
	now   time.Duration
	boot  station.Boot
	count int64
	size  task.Resources
	outs  []station.Output
	// answered is the number of outs whose calls for lists were answered.
	answered int
	// told is whether the target takes work, as the entry was last told.
	told bool
}

func newBed(t *testing.T) *bed {
	size, err := task.NewResources(32000, 65536, 0)
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{
		t:    t,
		s:    station.New(station.NewTiming(600*ms, 500*ms, 200*ms), 1000),
		now:  time.Minute,
		boot: station.NewBoot("i-1", 5),
		size: size,
	}
	b.report(false)
	// The first list is of what a former agent left; there is nothing.
	b.answerHolds(nil, nil)
	b.handle(station.SessionOpened(session, frame.NewHello("entry", 1, "zone", "", frame.RoleEntry)))
	return b
}

func (b *bed) handle(ev station.Event) station.Output {
	out := b.s.Handle(b.now, ev)
	b.outs = append(b.outs, out)
	for _, f := range out.Frames() {
		if target := f.Frame().Target; target != nil {
			b.told = target.Usable()
		}
	}
	return out
}

func (b *bed) report(draining bool) {
	b.count++
	b.handle(station.TargetReported(station.NewReport(b.boot, b.count, "service", "10.0.0.1:1", "zone").
		WithCapacity([]string{"a", "r1"}, b.size).WithState(draining, 0, 0, b.now)))
}

// take returns all outputs since the last call.
func (b *bed) take() (orders []station.Order, holds []station.Hold, ended []frame.Ended) {
	for _, o := range b.outs {
		orders = append(orders, o.Orders()...)
		holds = append(holds, o.Holds()...)
		for _, f := range o.Frames() {
			ended = append(ended, f.Frame().Ended...)
		}
	}
	b.outs = nil
	b.answered = 0
	return orders, holds, ended
}

func (b *bed) answerHolds(running []station.Listed, finished []station.Finished) {
	_, holds, _ := b.take()
	for _, h := range holds {
		b.handle(station.HoldReplied(h, station.VerdictDone, b.boot.Started(), b.now, running, finished))
	}
}

func (b *bed) start(indexes ...int) {
	runs := make([]int64, len(indexes))
	for i := range runs {
		runs[i] = 1
	}
	b.frame(frame.Frame{
		Echo:   b.now,
		Starts: []frame.Start{frame.NewStart(1, "job", 0, indexes, runs, "spec").WithResources(10000, 64, 0).WithTimes(b.now+500*ms, 1500*ms, 0)},
	})
}

func (b *bed) frame(f frame.Frame) {
	b.handle(station.FrameReceived(session, f))
}

func run(index int) task.Run {
	return task.NewRun("job", 0, index, 1)
}

func ends(list []frame.Ended) map[int]task.End {
	m := map[int]task.End{}
	for _, e := range list {
		m[e.ID().Index()] = task.End(e.End())
	}
	return m
}

func kinds(orders []station.Order, k station.OrderKind) []int {
	var list []int
	for _, o := range orders {
		if o.Kind() == k {
			list = append(list, o.Run().Index())
		}
	}
	return list
}

// TestStation guards the promises of an agent one by one: what it orders, stops
// and reports after each event.
func TestStation(t *testing.T) {
	tests := map[string]struct {
		play   func(*bed)
		starts []int
		stops  []int
		ends   map[int]task.End
	}{
		"fits": {
			play:   func(b *bed) { b.start(0, 1, 2) },
			starts: []int{0, 1, 2},
		},
		"full": {
			play:   func(b *bed) { b.start(0, 1, 2, 3) },
			starts: []int{0, 1, 2},
		},
		"room_after_an_end": {
			play: func(b *bed) {
				b.start(0, 1, 2, 3)
				b.now += 50 * ms
				_, holds, _ := b.take()
				for _, h := range holds {
					b.handle(station.HoldReplied(h, station.VerdictDone, 5, b.now, nil, []station.Finished{station.NewFinished(1, run(0), task.EndDone)}))
				}
			},
			starts: []int{3},
			ends:   map[int]task.End{0: task.EndDone},
		},
		"void_start": {
			play: func(b *bed) {
				b.frame(frame.Frame{
					Echo:   b.now,
					Starts: []frame.Start{frame.NewStart(1, "job", 0, []int{0}, []int64{1}, "").WithResources(1000, 1, 0).WithTimes(b.now-ms, 1500*ms, 0)},
				})
			},
			ends: map[int]task.End{0: task.EndRefused},
		},
		"draining": {
			play: func(b *bed) {
				b.report(true)
				b.start(0)
			},
			ends: map[int]task.End{0: task.EndRefused},
		},
		"leaving": {
			play: func(b *bed) {
				b.handle(station.Leave())
				b.start(0)
			},
			ends: map[int]task.End{0: task.EndRefused},
		},
		"deadline": {
			play: func(b *bed) {
				b.start(0)
				for range 80 {
					b.now += 20 * ms
					b.frame(frame.Frame{
						Echo: b.now,
					})
					b.keep(0)
				}
			},
			starts: []int{0},
			stops:  []int{0},
		},
		"silent_entry": {
			play: func(b *bed) {
				b.start(0)
				for range 30 {
					b.now += 20 * ms
					b.handle(station.Tick())
					b.keep(0)
				}
			},
			starts: []int{0},
			stops:  []int{0},
		},
		"entry_that_echoes_old_times": {
			play: func(b *bed) {
				b.start(0)
				echo := b.now
				for range 30 {
					b.now += 20 * ms
					b.frame(frame.Frame{
						Echo: echo,
					})
					b.keep(0)
				}
			},
			starts: []int{0},
			stops:  []int{0},
		},
		"asked_to_stop": {
			play: func(b *bed) {
				b.start(0, 1)
				b.frame(frame.Frame{
					Echo:  b.now,
					Stops: []frame.RunID{frame.NewRunID("job", 0, 1, 1)},
				})
			},
			starts: []int{0, 1},
			stops:  []int{1},
		},
		"cancelled": {
			play: func(b *bed) {
				b.start(0, 1)
				b.frame(frame.Frame{
					Echo:    b.now,
					Cancels: []string{"job"},
				})
			},
			starts: []int{0, 1},
			stops:  []int{0, 1},
		},
		"unanswered_start": {
			play: func(b *bed) {
				b.start(0)
				orders, _, _ := b.take()
				b.now += 90 * ms
				b.handle(station.OrderReplied(orders[0], station.VerdictUnknown, 0))
			},
			stops: []int{0},
		},
		"target_has_ended": {
			play: func(b *bed) {
				b.start(0)
				orders, _, _ := b.take()
				b.handle(station.OrderReplied(orders[0], station.VerdictGone, 0))
				b.start(1)
			},
			ends: map[int]task.End{0: task.EndLost, 1: task.EndRefused},
		},
		"target_starts_again": {
			play: func(b *bed) {
				b.start(0)
				b.boot = station.NewBoot("i-1", 6)
				b.report(false)
			},
			starts: []int{0},
			ends:   map[int]task.End{0: task.EndLost},
		},
		"late_report_of_a_former_boot": {
			play: func(b *bed) {
				old := b.boot
				b.boot = station.NewBoot("i-1", 6)
				b.report(false)
				b.answerHolds(nil, nil)
				b.start(0)
				b.boot = old
				b.report(true)
				b.start(1)
			},
			starts: []int{0, 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("orders and reports are those expected", t, func() {
				b := newBed(t)
				b.take()
				tt.play(b)
				orders, _, ended := b.take()
				So(kinds(orders, station.OrderStart), ShouldResemble, tt.starts)
				if tt.stops != nil || name == "fits" {
					So(unique(kinds(orders, station.OrderStop)), ShouldResemble, tt.stops)
				}
				if tt.ends != nil {
					So(ends(ended), ShouldResemble, tt.ends)
				}
			})
		})
	}
}

// keep answers the target's lists with a run that makes progress.
func (b *bed) keep(index int) {
	percent := int64((b.now - time.Minute) / (20 * ms))
	for _, o := range append([]station.Output(nil), b.outs[b.answered:]...) {
		for _, h := range o.Holds() {
			b.handle(station.HoldReplied(h, station.VerdictDone, 5, b.now, []station.Listed{station.NewListed(run(index), percent)}, nil))
		}
		b.answered++
	}
}

func unique(list []int) []int {
	var u []int
	seen := map[int]bool{}
	for _, x := range list {
		if !seen[x] {
			u = append(u, x)
		}
		seen[x] = true
	}
	return u
}

// TestUsable guards that entries are told each time when a target stops taking work
// and when it takes work again: one that is not told again leaves the target idle.
func TestUsable(t *testing.T) {
	tests := map[string]struct {
		play   func(*bed)
		usable bool
	}{
		"lists_unanswered": {
			play:   (*bed).loseHolds,
			usable: false,
		},
		"an_order_answered_after_lists_were_not": {
			play: func(b *bed) {
				orders, _, _ := b.take()
				b.loseHolds()
				b.handle(station.OrderReplied(orders[0], station.VerdictDone, b.now))
			},
			usable: true,
		},
		"orders_unanswered": {
			play: func(b *bed) {
				orders, _, _ := b.take()
				for _, o := range orders {
					b.handle(station.OrderReplied(o, station.VerdictUnknown, 0))
				}
			},
			usable: false,
		},
		"order_for_another_boot": {
			play: func(b *bed) {
				orders, _, _ := b.take()
				b.handle(station.OrderReplied(orders[0], station.VerdictBoot, b.now))
			},
			usable: false,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the entry knows whether the target takes work", t, func() {
				b := newBed(t)
				b.start(0, 1)
				tt.play(b)
				So(b.told, ShouldEqual, tt.usable)
			})
		})
	}
}

// loseHolds lets calls for lists go unanswered until the entry was told of it.
func (b *bed) loseHolds() {
	for range 20 {
		_, holds, _ := b.take()
		for _, h := range holds {
			b.handle(station.HoldReplied(h, station.VerdictUnknown, 0, 0, nil, nil))
		}
		if !b.told {
			return
		}
		b.now += 60 * ms
		b.handle(station.Tick())
	}
}
