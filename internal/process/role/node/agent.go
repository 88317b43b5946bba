package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/station"
)

// The numbers of goroutines that call the target.
const (
	// orderDuties give orders side by side, so that one without answer does not
	// hold up the others.
	orderDuties = 4
	// holdDuties ask for lists: two wait for ends while another looks.
	holdDuties = 3
)

// TargetCalls are the calls to the target on this host.
type TargetCalls struct {
	// Order gives an order and returns the event with its answer.
	Order func(ctx context.Context, o station.Command) station.Event
	// Renew extends the lease and returns the event with the target's lists.
	Renew func(ctx context.Context, h station.Renewal) station.Event
}

// Agent is the process beside a target.
type Agent struct {
	base    *base
	station *station.StateMachine
	ring    *ring.Ring[any]
	orders  *ring.Ring[station.Command]
	holds   *ring.Ring[station.Renewal]
	links   *links
	streams map[uint64]*stream.Stream
	count   atomic.Int64
	idle    atomic.Bool
}

// NewAgent assembles an agent.
func NewAgent(s Settings, seams Dependencies, calls TargetCalls) (*Agent, func(), error) {
	b, err := newBase(s, seams, frame.RoleAgent, "")
	if err != nil {
		return nil, nil, err
	}
	a := &Agent{
		base: b,
		// A later process has a later time of day; where the clock went back, the
		// target says so and the station raises the fence.
		station: station.New(s.stationTiming(), time.Now().UnixMilli()),
		streams: map[uint64]*stream.Stream{},
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
	if a.orders, err = ring.New[station.Command]("orders", ringSize); err != nil {
		return err
	}
	if a.holds, err = ring.New[station.Renewal]("holds", ringSize); err != nil {
		return err
	}
	if err := b.add("station", "Decides what the target runs.", gauge(a.ring), a.run); err != nil {
		return err
	}
	for _, name := range numbered("orders", orderDuties) {
		if err := b.add(name, "Gives orders to the target.", gauge(a.orders), func(ctx context.Context) error {
			return serve(ctx, a.orders, a.ring, calls.Order)
		}); err != nil {
			return err
		}
	}
	for _, name := range numbered("holds", holdDuties) {
		if err := b.add(name, "Extends the lease and follows the ends on the target.", gauge(a.holds), func(ctx context.Context) error {
			return serve(ctx, a.holds, a.ring, calls.Renew)
		}); err != nil {
			return err
		}
	}
	if a.links, err = newLinks(b, handlers(a.ring), func(string) bool { return true }); err != nil {
		return err
	}
	if err := b.follow(b.seams.Reload, a.links); err != nil {
		return err
	}
	return b.add("entries", "Reads where entries are while none is connected.", nil, func(ctx context.Context) error {
		return watchEntries(ctx, b.seams.Store, func() bool { return a.count.Load() == 0 }, b.note, a.links.know)
	})
}

func gauge[T any](r *ring.Ring[T]) func() (int, int, int64) {
	return func() (int, int, int64) { return r.Depth(), r.Size(), r.Rejected() }
}

func numbered(name string, n int) []string {
	var names []string
	for i := range n {
		names = append(names, name+"_"+string(rune('1'+i)))
	}
	return names
}

// serve makes the calls of a ring one after the other and pushes their events.
func serve[T any](ctx context.Context, in *ring.Ring[T], out *ring.Ring[any], call func(context.Context, T) station.Event) error {
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

// Serve adds the listener for the target's reports.
func (a *Agent) Serve(address, name, purpose string, h http.Handler) error {
	return a.base.serveHTTP(address, name, purpose, h)
}

// Run serves until ctx ends and nothing runs any more.
func (a *Agent) Run(ctx context.Context) error {
	return a.base.run(ctx, func() { _ = a.ring.Push(context.Background(), station.Leave()) }, a.idle.Load, 0)
}

// Push hands over what the target said; false if there is no room.
func (a *Agent) Push(ev station.Event) bool {
	return a.ring.TryPush(ev) == nil
}

// Log logs an event.
func (a *Agent) Log(n event.Note) {
	a.base.log(n)
}

func (a *Agent) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-a.ring.Out():
			a.take(m)
		case <-ticker.C:
			a.handle(station.Tick())
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Agent) take(m any) {
	switch m := m.(type) {
	case station.Event:
		a.handle(m)
	case opened:
		a.streams[m.stream.Number()] = m.stream
		a.count.Store(int64(len(a.streams)))
		a.links.know([]frame.Peer{frame.NewPeer(m.hello.Name(), m.hello.Address())})
		a.handle(station.SessionOpened(m.stream.Number(), m.hello))
	case arrived:
		a.handle(station.FrameReceived(m.stream.Number(), m.frame))
	case closed:
		delete(a.streams, m.stream.Number())
		a.count.Store(int64(len(a.streams)))
		a.handle(station.SessionClosed(m.stream.Number()))
	}
}

// handle lets the decision take an event and carries out what it returns.
func (a *Agent) handle(ev station.Event) {
	out := a.station.Handle(a.base.clock(), ev)
	for _, n := range out.Notes() {
		a.base.log(n)
	}
	for _, o := range out.Commands() {
		if a.orders.TryPush(o) != nil {
			a.handle(station.CommandReplied(o, station.ResultNotSent, 0))
		}
	}
	for _, h := range out.Renewals() {
		if a.holds.TryPush(h) != nil {
			a.handle(station.RenewalReplied(h, station.ResultNotSent, 0, 0, nil, nil))
		}
	}
	for _, f := range out.Frames() {
		if s, ok := a.streams[f.Session()]; ok {
			// A stream without room closes, which the decision is told.
			_ = s.Send(f.Frame())
		}
	}
	for _, n := range out.SessionsToClose() {
		if s, ok := a.streams[n]; ok {
			s.Close()
		}
	}
	a.links.know(out.Peers())
	a.idle.Store(a.station.Idle())
}
