package server

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/process/web"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// The numbers of duties that call the target.
const (
	// startDuties and stopDuties send commands concurrently, so that an unanswered one does
	// not delay the others. Starts do not delay stops: their own duties send them.
	startDuties = 4
	stopDuties  = 8
	// renewDuties renew the lease and fetch the lists of runs: two wait for the
	// next end while another polls.
	renewDuties = 3
)

// TargetCalls are the calls to the target on this host.
type TargetCalls struct {
	// Send sends a command and returns the event with its answer.
	Send func(ctx context.Context, c executor.Command) executor.Event
	// Renew extends the lease and returns the event with the target's lists.
	Renew func(ctx context.Context, r executor.Renewal) executor.Event
}

// Agent is the process that controls the target on its host.
type Agent struct {
	base      *base
	executor  *executor.StateMachine
	ring      *ring.Ring[any]
	starts    *ring.Ring[executor.Command]
	stops     *ring.Ring[executor.Command]
	renewals  *ring.Ring[executor.Renewal]
	links     *links
	streams   map[uint64]*stream.Stream
	connected atomic.Int64
	drained   atomic.Bool
	// evacuated is the set of evacuated zones by which connections are chosen.
	evacuated evacuation.Set
}

// NewAgent returns an agent and its cleanup function. Serve adds the listener for
// the target's reports before Run.
func NewAgent(s Settings, deps Dependencies, calls TargetCalls) (*Agent, func(), error) {
	b, err := newBase(s, deps, frame.RoleAgent, "")
	if err != nil {
		return nil, nil, err
	}
	a := &Agent{
		base: b,
		// The start time is the first fencing token, since a later process starts at
		// a later time of day. If the clock was set back, the target rejects the token
		// and the state machine raises it.
		executor: executor.New(s.executorTiming(), time.Now().UnixMilli()),
		streams:  map[uint64]*stream.Stream{},
	}
	if err := a.assemble(calls); err != nil {
		b.cleanup()
		return nil, nil, err
	}
	return a, b.cleanup, nil
}

func (a *Agent) assemble(calls TargetCalls) error {
	b := a.base
	var err error
	if a.ring, err = ring.New[any]("station", ringSize); err != nil {
		return err
	}
	if a.starts, err = ring.New[executor.Command]("orders", ringSize); err != nil {
		return err
	}
	if a.stops, err = ring.New[executor.Command]("stops", ringSize); err != nil {
		return err
	}
	if a.renewals, err = ring.New[executor.Renewal]("holds", ringSize); err != nil {
		return err
	}
	if err := b.add("station", "Runs the agent's state machine, which decides what the target runs.", ringGauge(a.ring), a.run); err != nil {
		return err
	}
	if err := b.addEvacuationSection(a.ring); err != nil {
		return err
	}
	for _, name := range numbered("orders", startDuties) {
		if err := b.add(name, "Sends starts to the target.", ringGauge(a.starts), func(ctx context.Context) error {
			return runCalls(ctx, a.starts, a.ring, calls.Send)
		}); err != nil {
			return err
		}
	}
	for _, name := range numbered("stops", stopDuties) {
		if err := b.add(name, "Sends stops to the target.", ringGauge(a.stops), func(ctx context.Context) error {
			return runCalls(ctx, a.stops, a.ring, calls.Send)
		}); err != nil {
			return err
		}
	}
	for _, name := range numbered("holds", renewDuties) {
		if err := b.add(name, "Renews the target's lease and reads which runs have ended.", ringGauge(a.renewals), func(ctx context.Context) error {
			return runCalls(ctx, a.renewals, a.ring, calls.Renew)
		}); err != nil {
			return err
		}
	}
	if a.links, err = newLinks(b, handlers(a.ring, b), a.ring); err != nil {
		return err
	}
	if err := b.watchSettings(b.deps.Reload, a.links); err != nil {
		return err
	}
	if err := b.add("entries", "Reads the entries' addresses from the store while no entry is connected.", nil, func(ctx context.Context) error {
		return watchEntries(ctx, b, func() bool { return a.connected.Load() == 0 }, a.links.addPeers)
	}); err != nil {
		return err
	}
	return b.serveMetrics()
}

func (a *Agent) commandRing(c executor.Command) *ring.Ring[executor.Command] {
	if c.Kind() == executor.CommandStop {
		return a.stops
	}
	return a.starts
}

func ringGauge[T any](r *ring.Ring[T]) func() (int, int, int64) {
	return func() (int, int, int64) { return r.Depth(), r.Size(), r.Rejected() }
}

func numbered(name string, n int) []string {
	var names []string
	for i := range n {
		names = append(names, name+"_"+strconv.Itoa(i+1))
	}
	return names
}

// runCalls takes calls from in, makes them one at a time and pushes the resulting
// events to out.
func runCalls[T any](ctx context.Context, in *ring.Ring[T], out *ring.Ring[any], call func(context.Context, T) executor.Event) error {
	for {
		m, err := in.Pop(ctx)
		if err != nil {
			return nil
		}
		if err := out.Push(ctx, call(ctx, m)); err != nil {
			return nil
		}
	}
}

// Serve adds a duty that serves the target's reports at an address.
func (a *Agent) Serve(address, name, purpose string, h http.Handler) error {
	return a.base.serveHTTP(address, web.Limits{
		Account: a.base.account(name, a.base.settings.resources.Main()),
		Request: smallHeads,
	}, name, purpose, h)
}

// Run serves until ctx ends and no task runs, or the grace period is over.
func (a *Agent) Run(ctx context.Context) error {
	return a.base.run(ctx, a.drained.Load, 0)
}

// Push queues an event of the target. It reports false if the ring is full.
func (a *Agent) Push(ev executor.Event) bool {
	return a.ring.TryPush(ev) == nil
}

// Log writes and counts an event.
func (a *Agent) Log(n event.Note) {
	a.base.log(n)
}

func (a *Agent) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leaving := a.base.leaving
	for {
		select {
		case <-leaving:
			leaving = nil
			a.handle(executor.ShutdownRequested(a.base.left(drainMargin + runStopTime)))
		case m := <-a.ring.Out():
			a.receive(m)
		case <-ticker.C:
			a.handle(executor.Tick())
			a.base.watchUnsent(a.streams)
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Agent) receive(m any) {
	switch m := m.(type) {
	case executor.Event:
		a.handle(m)
	case streamOpened:
		a.streams[m.stream.Number()] = m.stream
		a.connected.Store(int64(len(a.streams)))
		a.links.addPeers([]frame.Peer{frame.NewPeer(m.hello.Name(), m.hello.Address()).InZone(m.hello.Zone())})
		a.handle(executor.SessionOpened(m.stream.Number(), m.hello))
	case frameReceived:
		a.handle(executor.FrameReceived(m.stream.Number(), m.frame))
	case streamClosed:
		delete(a.streams, m.stream.Number())
		a.connected.Store(int64(len(a.streams)))
		a.handle(executor.SessionClosed(m.stream.Number()))
	case linesAsked:
		m.reply <- a.executor.DescribeEvacuations(a.base.clock())
	case connectionReleased:
		a.handle(executor.SessionReleased(m.stream))
	}
}

// handle passes an event to the state machine and carries out its output.
func (a *Agent) handle(ev executor.Event) {
	out := a.executor.Handle(a.base.clock(), ev)
	for _, n := range out.Notes() {
		a.base.log(n)
	}
	for _, c := range out.Commands() {
		if a.commandRing(c).TryPush(c) != nil {
			a.handle(executor.CommandReplied(c, executor.ResultNotSent, 0))
		}
	}
	for _, r := range out.Renewals() {
		if a.renewals.TryPush(r) != nil {
			a.handle(executor.RenewalReplied(r, executor.ResultNotSent, 0, 0, nil, nil))
		}
	}
	for _, f := range out.Frames() {
		if s, ok := a.streams[f.Session()]; ok {
			// A stream whose queue is full closes itself. The state machine learns of it
			// by the stream's closed event.
			_ = s.Send(f.Frame())
		}
	}
	for _, n := range out.SessionsToClose() {
		if s, ok := a.streams[n]; ok {
			s.Close()
		}
	}
	a.links.addPeers(out.Peers())
	if n := out.Links(); n > 0 {
		a.links.resize(n)
	}
	a.passEvacuated(a.executor.Evacuated())
	a.drained.Store(a.executor.Drained())
}

// passEvacuated passes a changed set of evacuated zones to the duty that chooses connections.
func (a *Agent) passEvacuated(s evacuation.Set) {
	a.base.observer.evacuatedZones.Set(int64(len(s.Zones())))
	if !s.SameZones(a.evacuated) && a.links.evacuate(s) {
		a.evacuated = s
	}
}
