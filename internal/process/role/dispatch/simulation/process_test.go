package simulation_test

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/station"
)

// process is what entries and agents have in common: a frozen one takes its
// events when it goes on.
type process struct {
	frozen time.Duration
	held   []func()
}

func (p *process) act(w *world, do func()) {
	if w.now < p.frozen {
		p.held = append(p.held, do)
		return
	}
	do()
}

func (p *process) freeze(w *world, d time.Duration) {
	p.frozen = w.now + d
	w.after(d, func() {
		held := p.held
		p.held = nil
		for _, do := range held {
			do()
		}
	})
}

type simEntry struct {
	process
	w        *world
	name     string
	boot     uint64
	d        *dispatch.Dispatch
	links    map[uint64]*simLink
	requests map[uint64]*simJob
}

func (e *simEntry) start() {
	e.boot++
	e.d = dispatch.New(frame.NewHello(e.name, e.boot, "zone", e.name, frame.RoleEntry),
		dispatch.NewTiming(silence, station.NewTiming(lease, silence, beat).RunsEndWithin(), beat))
	e.links = map[uint64]*simLink{}
	e.requests = map[uint64]*simJob{}
	e.take(dispatch.VersionReceived(e.w.version, frame.NewConfig(1, []byte("{}"))))
	e.tick(e.boot)
}

func (e *simEntry) tick(boot uint64) {
	if e.boot != boot {
		return
	}
	e.take(dispatch.Tick())
	e.w.after(tick, func() { e.tick(boot) })
}

func (e *simEntry) kill() {
	e.boot++
	for _, l := range e.links {
		l.close(true)
	}
	e.w.broken(e)
	e.d = nil
	e.held = nil
	e.frozen = 0
	e.w.after(300*time.Millisecond+e.w.jitter(500), e.start)
}

func (e *simEntry) take(ev dispatch.Event) {
	boot := e.boot
	e.act(e.w, func() {
		if e.d == nil || e.boot != boot {
			return
		}
		out := e.d.Handle(e.w.now, ev)
		for _, a := range out.Answers() {
			if reply, ok := e.w.asked[a.Request()]; ok {
				delete(e.w.asked, a.Request())
				reply(a)
			}
		}
		for _, f := range out.Frames() {
			if l, ok := e.links[f.Session()]; ok {
				l.toAgent(f.Frame())
			}
		}
		for _, n := range out.Closes() {
			if l, ok := e.links[n]; ok {
				l.close(true)
			}
		}
	})
}

type simAgent struct {
	process
	w      *world
	name   string
	boot   uint64
	s      *station.StateMachine
	target *simTarget
	links  map[uint64]*simLink
	fence  int64
	// cut holds back what goes to and from an entry.
	cut map[string]time.Duration
}

func newSimAgent(w *world, name string) *simAgent {
	a := &simAgent{
		w:      w,
		name:   name,
		target: newSimTarget(w, name, 32),
		cut:    map[string]time.Duration{},
	}
	a.start()
	a.watchTarget()
	a.passReports()
	return a
}

func (a *simAgent) start() {
	a.boot++
	a.fence++
	a.s = station.New(station.NewTiming(lease, silence, beat), a.fence)
	a.links = map[uint64]*simLink{}
	if a.target.up {
		a.take(station.TargetReported(a.target.report()))
	}
	a.tick(a.boot)
	a.dial(a.boot)
}

func (a *simAgent) tick(boot uint64) {
	if a.boot != boot {
		return
	}
	a.take(station.Tick())
	a.w.after(tick, func() { a.tick(boot) })
}

// watchTarget lets the target lose its leases on time.
func (a *simAgent) watchTarget() {
	a.target.lapse()
	a.w.after(10*time.Millisecond, a.watchTarget)
}

// passReports hands the target's reports on to the agent.
func (a *simAgent) passReports() {
	if a.target.up {
		a.take(station.TargetReported(a.target.report()))
	}
	a.w.after(500*time.Millisecond+a.w.jitter(1000), a.passReports)
}

// dial opens connections to the entries that have none.
func (a *simAgent) dial(boot uint64) {
	if a.boot != boot {
		return
	}
	for _, e := range a.w.entries {
		if a.s != nil && e.d != nil && a.w.now >= a.frozen && a.w.now >= e.frozen && a.w.now >= a.cut[e.name] && !a.linked(e) {
			newSimLink(a.w, a, e)
		}
	}
	a.w.after(100*time.Millisecond, func() { a.dial(boot) })
}

func (a *simAgent) linked(e *simEntry) bool {
	for _, l := range a.links {
		if l.e == e {
			return true
		}
	}
	return false
}

func (a *simAgent) kill() {
	a.boot++
	for _, l := range a.links {
		l.close(true)
	}
	a.s = nil
	a.held = nil
	a.frozen = 0
	a.w.after(200*time.Millisecond+a.w.jitter(800), a.start)
}

func (a *simAgent) take(ev station.Event) {
	boot := a.boot
	a.act(a.w, func() {
		if a.s == nil || a.boot != boot {
			return
		}
		out := a.s.Handle(a.w.now, ev)
		for _, o := range out.Commands() {
			a.w.after(500*time.Microsecond, func() { a.target.order(o, a.reply(boot)) })
		}
		for _, h := range out.Renewals() {
			a.w.after(500*time.Microsecond, func() { a.target.hold(h, a.reply(boot)) })
		}
		for _, f := range out.Frames() {
			if l, ok := a.links[f.Session()]; ok {
				l.toEntry(f.Frame())
			}
		}
		for _, n := range out.SessionsToClose() {
			if l, ok := a.links[n]; ok {
				l.close(false)
			}
		}
	})
}

// reply hands an answer to the process that asked, if it still lives.
func (a *simAgent) reply(boot uint64) func(station.Event) {
	return func(ev station.Event) {
		if a.boot == boot {
			a.take(ev)
		}
	}
}
