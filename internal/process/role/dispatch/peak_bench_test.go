package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// The load of peakLoad: more jobs than the targets can run.
const (
	peakAgents   = 64
	peakCores    = 4000
	peakJobEvery = 5 * ms
	peakFrames   = 25 * ms
)

// peakRun is a run on one of the targets of peakLoad.
type peakRun struct {
	id   frame.RunID
	ends time.Duration
	ran  time.Duration
	need int64
}

// peakLoad simulates the targets of an entry at a load peak. Targets end their runs
// on time, and report free capacity every peakFrames.
type peakLoad struct {
	d        *dispatch.Dispatch
	now      time.Duration
	nextJob  time.Duration
	jobs     int
	request  uint64
	agents   int
	free     []int64
	last     []uint64
	runs     [][]peakRun
	nextSent []time.Duration
}

func newPeakLoad(tb testing.TB, agents int) *peakLoad {
	l := &peakLoad{
		d:        dispatch.New(frame.NewHello("entry", 1, "zone", "", frame.RoleEntry), dispatch.NewTiming(500*ms, 1178*ms, 200*ms)),
		now:      time.Minute,
		nextJob:  time.Minute,
		agents:   agents,
		free:     make([]int64, agents),
		last:     make([]uint64, agents),
		runs:     make([][]peakRun, agents),
		nextSent: make([]time.Duration, agents),
	}
	r, err := route.NewRoute("kind", "", "/", "service")
	if err != nil {
		tb.Fatal(err)
	}
	v, err := route.NewVersion(1, []route.Route{r.WithPriority(0, 2).WithTiming(1500*ms, 1.6, 60*ms)}, route.Limits{})
	if err != nil {
		tb.Fatal(err)
	}
	l.handle(dispatch.VersionReceived(v, frame.NewConfig(1, []byte("{}"))))
	for n := range agents {
		l.free[n] = peakCores
		l.nextSent[n] = l.now + peakFrames*time.Duration(n)/time.Duration(agents)
		l.handle(dispatch.SessionOpened(uint64(n)+1, frame.NewHello(fmt.Sprintf("agent_%d", n), 1, "zone", "", frame.RoleAgent)))
		t := frame.NewTarget(fmt.Sprintf("target_%d", n), "service", "zone", []string{[]string{"a", "b", "c", "d"}[n%4]}, true).WithCapacity(peakCores, 32768, 0)
		f := frame.NewFreeCapacity(peakCores, 32768, 0, 0, 0)
		l.handle(dispatch.FrameReceived(uint64(n)+1, frame.Frame{
			Clock:        l.now,
			Target:       &t,
			FreeCapacity: &f,
		}))
	}
	return l
}

func (l *peakLoad) handle(events ...dispatch.Event) {
	out := l.d.Handle(l.now, events...)
	for _, f := range out.Frames() {
		n := int(f.Session() - 1)
		for _, s := range f.Frame().Starts {
			cores, _, _ := s.Resources()
			l.last[n] = s.Number()
			for i, index := range s.Indexes() {
				ran := time.Duration(60+l.jobs*37%400) * ms
				if n%4 > 0 {
					ran *= 2
				}
				l.free[n] -= cores
				l.runs[n] = append(l.runs[n], peakRun{
					id:   frame.NewRunID(s.Job(), s.Step(), index, s.Runs()[i]),
					ends: l.now + ran,
					ran:  ran,
					need: cores,
				})
			}
		}
	}
}

// advance moves the time by a millisecond and returns the events of it.
func (l *peakLoad) advance(tb testing.TB) []dispatch.Event {
	l.now += ms
	var events []dispatch.Event
	if l.now >= l.nextJob {
		l.nextJob += peakJobEvery
		l.jobs++
		need, err := task.NewResources(1300, 64, 0)
		if err != nil {
			tb.Fatal(err)
		}
		s, err := task.NewStep([]int{8, 2, 2, 4, 2, 2, 8, 2}[l.jobs%8], need, time.Duration(60+l.jobs*37%400)*ms)
		if err != nil {
			tb.Fatal(err)
		}
		l.request++
		events = append(events, dispatch.Submitted(dispatch.NewSubmission("trace", "", fmt.Sprintf("/job%d", l.jobs), 1500*ms).
			WithWork("spec", []task.Step{s}).WithRequest(l.request)))
	}
	for n := range l.agents {
		var ended []frame.Ended
		kept := l.runs[n][:0]
		for _, x := range l.runs[n] {
			if l.now < x.ends {
				kept = append(kept, x)
				continue
			}
			l.free[n] += x.need
			ended = append(ended, frame.NewEnded(x.id, int(task.EndDone), x.ran))
		}
		l.runs[n] = kept
		if len(ended) == 0 && l.now < l.nextSent[n] {
			continue
		}
		l.nextSent[n] = l.now + peakFrames
		c := frame.NewFreeCapacity(l.free[n], 32768, 0, 0, l.last[n])
		events = append(events, dispatch.FrameReceived(uint64(n)+1, frame.Frame{
			Clock:        l.now,
			FreeCapacity: &c,
			Ended:        ended,
		}))
	}
	return events
}

// BenchmarkPeak measures the processor time of an entry for a second at a load
// peak, by the number of agents and by how many events it handles at once.
func BenchmarkPeak(b *testing.B) {
	tests := map[string]struct {
		agents int
		batch  int
	}{
		"agents_11_one_event":   {agents: 11, batch: 1},
		"agents_64_one_event":   {agents: 64, batch: 1},
		"agents_64_many_events": {agents: 64, batch: 64},
	}
	for name, s := range tests {
		b.Run(name, func(b *testing.B) {
			l := newPeakLoad(b, s.agents)
			second := func() (events int) {
				for range 1000 {
					rest := l.advance(b)
					events += len(rest)
					for len(rest) > 0 {
						n := min(s.batch, len(rest))
						l.handle(rest[:n]...)
						rest = rest[n:]
					}
				}
				return events
			}
			second()
			b.ReportAllocs()
			events := 0
			for b.Loop() {
				events += second()
			}
			b.ReportMetric(float64(events)/float64(b.N), "events/op")
		})
	}
}
