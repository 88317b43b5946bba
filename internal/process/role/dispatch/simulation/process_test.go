package simulation_test

import (
	"maps"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// process is the common part of entries and agents. A frozen process handles its
// events when it continues.
type process struct {
	frozenUntil time.Duration
	delayed     []func()
}

func (p *process) schedule(c *cluster, do func()) {
	if c.now < p.frozenUntil {
		p.delayed = append(p.delayed, do)
		return
	}
	do()
}

func (p *process) freeze(c *cluster, d time.Duration) {
	p.frozenUntil = c.now + d
	c.after(d, func() {
		delayed := p.delayed
		p.delayed = nil
		for _, do := range delayed {
			do()
		}
	})
}

type simEntry struct {
	process
	c           *cluster
	name        string
	zone        string
	incarnation uint64
	d           *dispatch.Dispatch
	links       map[uint64]*simLink
	peerLinks   map[uint64]*simPeerLink
	requests    map[uint64]*simJob
	// passCost and eventCost are the time that a pass of the dispatcher and each of its
	// events take. Events wait meanwhile.
	passCost  time.Duration
	eventCost time.Duration
	busy      bool
	waiting   []dispatch.Event
	// decoderFree is when the decoder is free again.
	decoderFree time.Duration
	// sessionsLost counts the sessions that ended.
	sessionsLost int
}

func (e *simEntry) start() {
	e.incarnation++
	e.d = dispatch.New(frame.NewHello(e.name, e.incarnation, e.zone, e.name, frame.RoleEntry),
		dispatch.NewTiming(sessionTimeout, executor.NewTiming(lease, sessionTimeout, heartbeatInterval).RunsEndWithin(), heartbeatInterval)).WithRemoteFactor(e.c.remoteFactor)
	if e.c.neverWait {
		e.d.WithoutWaits()
	}
	e.links = map[uint64]*simLink{}
	e.peerLinks = map[uint64]*simPeerLink{}
	e.requests = map[uint64]*simJob{}
	if e.c.store == nil {
		e.handle(dispatch.VersionReceived(e.c.version, frame.NewConfig(1, []byte("{}"))))
	} else {
		e.followStore(e.incarnation)
		e.dialPeers(e.incarnation)
	}
	if e.c.evacuations != nil {
		e.followEvacuations(e.incarnation, 0)
		e.dialPeers(e.incarnation)
	}
	e.tick(e.incarnation)
}

func (e *simEntry) tick(incarnation uint64) {
	if e.incarnation != incarnation {
		return
	}
	e.handle(dispatch.Tick())
	e.c.after(tickInterval, func() { e.tick(incarnation) })
}

// kill ends the entry, which starts again soon.
func (e *simEntry) kill() {
	e.end()
	e.c.after(300*time.Millisecond+e.c.jitter(500), func() {
		if e.d == nil && !e.c.lost(e) {
			e.start()
		}
	})
}

// end ends the entry.
func (e *simEntry) end() {
	e.incarnation++
	for _, l := range sortedLinks(e.links) {
		l.close(true)
	}
	for _, l := range e.sortedPeerLinks() {
		l.close()
	}
	e.c.dropRequests(e)
	e.d = nil
	e.delayed = nil
	e.frozenUntil = 0
}

// sortedLinks returns links in the order in which they were opened, so that a seed
// repeats.
func sortedLinks(links map[uint64]*simLink) []*simLink {
	var list []*simLink
	for _, n := range slices.Sorted(maps.Keys(links)) {
		list = append(list, links[n])
	}
	return list
}

func (e *simEntry) handle(ev dispatch.Event) {
	incarnation := e.incarnation
	e.schedule(e.c, func() {
		if e.d == nil || e.incarnation != incarnation {
			return
		}
		if e.passCost == 0 {
			e.carryOut(e.d.Handle(e.c.now, ev))
			return
		}
		e.waiting = append(e.waiting, ev.QueuedAt(e.c.now))
		if !e.busy {
			e.handleWaiting(incarnation)
		}
	})
}

// handleWaiting handles all events that wait, and those that come meanwhile after it.
func (e *simEntry) handleWaiting(incarnation uint64) {
	if e.incarnation != incarnation || len(e.waiting) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	events := e.waiting
	e.waiting = nil
	out := e.d.Handle(e.c.now, events...)
	e.c.after(e.passCost+time.Duration(len(events))*e.eventCost, func() {
		if e.incarnation == incarnation {
			e.carryOut(out)
		}
		e.handleWaiting(incarnation)
	})
}

func (e *simEntry) carryOut(out dispatch.Output) {
	for _, n := range out.Notes() {
		if n.Name() == event.SessionLost {
			e.sessionsLost++
		}
		switch n.Name() {
		case event.TaskWaited:
			e.c.waits = append(e.c.waits, n)
		case event.JobEnded:
			e.c.ended = append(e.c.ended, n)
		}
	}
	for _, a := range out.Answers() {
		if reply, ok := e.c.pending[a.Request()]; ok {
			delete(e.c.pending, a.Request())
			reply(a)
		}
	}
	for _, f := range out.Frames() {
		if l, ok := e.links[f.Session()]; ok {
			l.toAgent(f.Frame())
		}
		if l, ok := e.peerLinks[f.Session()]; ok {
			l.send(e, f.Frame())
		}
	}
	for _, n := range out.SessionsToClose() {
		if l, ok := e.links[n]; ok {
			l.close(true)
		}
		if l, ok := e.peerLinks[n]; ok {
			l.close()
		}
	}
	for _, r := range out.Configs() {
		e.decode(r.Config())
	}
}

type simAgent struct {
	process
	c           *cluster
	name        string
	zone        string
	incarnation uint64
	s           *executor.StateMachine
	target      *simTarget
	links       map[uint64]*simLink
	// partitionedUntil is when the partition from an entry ends, by name of the entry.
	partitionedUntil map[string]time.Duration
	// wantedLinks is the number of entries that it is to be connected to.
	wantedLinks int
}

func newSimAgent(c *cluster, name, zone string) *simAgent {
	a := &simAgent{
		c:                c,
		name:             name,
		zone:             zone,
		target:           newSimTarget(c, name, 32),
		partitionedUntil: map[string]time.Duration{},
	}
	a.target.zone = zone
	a.start()
	a.expireLeases()
	a.forwardReports()
	return a
}

func (a *simAgent) start() {
	a.incarnation++
	// The first fence is the time of the start in ms, as in a real agent.
	a.s = executor.New(executor.NewTiming(lease, sessionTimeout, heartbeatInterval).WithLongestLease(longestLease), a.c.now.Milliseconds())
	a.links = map[uint64]*simLink{}
	a.wantedLinks = executor.MinLinks
	if a.target.up {
		a.handle(executor.TargetReported(a.target.report()))
	}
	a.tick(a.incarnation)
	a.dial(a.incarnation)
}

func (a *simAgent) tick(incarnation uint64) {
	if a.incarnation != incarnation {
		return
	}
	a.handle(executor.Tick())
	a.c.after(tickInterval, func() { a.tick(incarnation) })
}

// expireLeases lets the target end its expired leases every 10 ms.
func (a *simAgent) expireLeases() {
	a.target.expire()
	a.c.after(10*time.Millisecond, a.expireLeases)
}

// forwardReports passes the reports of the target to the agent.
func (a *simAgent) forwardReports() {
	if a.target.up {
		a.handle(executor.TargetReported(a.target.report()))
	}
	a.c.after(500*time.Millisecond+a.c.jitter(1000), a.forwardReports)
}

// dial opens connections to the chosen entries that have none.
func (a *simAgent) dial(incarnation uint64) {
	if a.incarnation != incarnation {
		return
	}
	chosen := a.choose()
	for _, e := range a.c.entries {
		if chosen(e) && a.reaches(e) && !a.connected(e) {
			newSimLink(a.c, a, e)
		}
	}
	a.c.after(100*time.Millisecond, func() { a.dial(incarnation) })
}

// reaches reports whether a connection between the two would open.
func (a *simAgent) reaches(e *simEntry) bool {
	return a.s != nil && e.d != nil && a.c.now >= a.frozenUntil && a.c.now >= e.frozenUntil && a.c.now >= a.partitionedUntil[e.name]
}

func (a *simAgent) connected(e *simEntry) bool {
	for _, l := range a.links {
		if l.e == e {
			return true
		}
	}
	return false
}

func (a *simAgent) kill() {
	a.incarnation++
	for _, l := range sortedLinks(a.links) {
		l.close(true)
	}
	a.s = nil
	a.delayed = nil
	a.frozenUntil = 0
	a.c.after(200*time.Millisecond+a.c.jitter(800), a.start)
}

func (a *simAgent) handle(ev executor.Event) {
	incarnation := a.incarnation
	a.schedule(a.c, func() {
		if a.s == nil || a.incarnation != incarnation {
			return
		}
		out := a.s.Handle(a.c.now, ev)
		for _, cmd := range out.Commands() {
			a.c.after(500*time.Microsecond, func() { a.target.command(cmd, a.reply(incarnation)) })
		}
		for _, r := range out.Renewals() {
			a.c.after(500*time.Microsecond, func() { a.target.renew(r, a.reply(incarnation)) })
		}
		for _, f := range out.Frames() {
			if l, ok := a.links[f.Session()]; ok {
				l.toEntry(f.Frame())
			}
		}
		if n := out.Links(); n > 0 {
			a.wantedLinks = n
		}
		for _, n := range out.SessionsToClose() {
			if l, ok := a.links[n]; ok {
				l.close(false)
			}
		}
	})
}

// reply passes an answer to the process that asked, unless it was killed since.
func (a *simAgent) reply(incarnation uint64) func(executor.Event) {
	return func(ev executor.Event) {
		if a.incarnation == incarnation {
			a.handle(ev)
		}
	}
}
