package host

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/grpc"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/metric"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/entry"
	"greengagedoor.example/greengagedoor/internal/process/role/network"
	"greengagedoor.example/greengagedoor/internal/process/web"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// DrainLimit is how long a draining entry waits for the answers to its pending
// requests. Writing the answers may take another web.ShutdownLimit.
const DrainLimit = 5 * time.Second

// Entry is an entry process.
type Entry struct {
	common  Common
	table   *duty.Table
	entry   *role
	network *network.Network
	cluster *cluster
	ready   atomic.Bool
	current atomic.Pointer[configuration.Configuration]
	rollout atomic.Pointer[membership.Rollout]
	// leaving is closed when the entry begins to drain.
	leaving  chan struct{}
	drained  chan struct{}
	requests atomic.Uint64
	links    net.Listener
	api      net.Listener
	cleanups []func()
}

// callerEvent is an event of a caller's request with the ring on which its HTTP
// handler waits. A nil ring ends the wait.
type callerEvent struct {
	request uint64
	event   any
	reply   *ring.Ring[answer.Answer]
}

// NewEntry assembles an entry process and returns it with a cleanup function.
func NewEntry(c Common) (*Entry, func(), error) {
	e := &Entry{
		common:  c,
		leaving: make(chan struct{}),
		drained: make(chan struct{}),
	}
	if err := e.build(); err != nil {
		e.cleanup()
		return nil, nil, err
	}
	return e, e.cleanup, nil
}

func (e *Entry) cleanup() {
	for i := len(e.cleanups) - 1; i >= 0; i-- {
		e.cleanups[i]()
	}
}

func (e *Entry) build() error {
	var err error
	var cleanup func()
	e.links, e.api, cleanup, err = e.common.listen()
	if err != nil {
		return err
	}
	e.cleanups = append(e.cleanups, cleanup)
	machine, err := entry.New(e.common.regions, e.common.shards)
	if err != nil {
		return err
	}
	replies := map[uint64]*ring.Ring[answer.Answer]{}
	e.entry, err = newRole("entry", e.common.now, message.Wake{}, func(now time.Time, v any) {
		e.apply(now, machine, replies, v)
	})
	if err != nil {
		return err
	}
	e.entry.snapshot = func() any { return machine.Snapshot() }
	e.network, cleanup, err = network.New(e.common.process, e.common.linkAddress, network.Seams{
		Now:         e.common.now,
		TLSConfig:   e.common.linkClientConfig(),
		Deliver:     e.deliver,
		Undelivered: func(ctx context.Context, u message.Undelivered) { _ = e.entry.ring.Push(ctx, u) },
	}, e.common.log)
	if err != nil {
		return err
	}
	e.cleanups = append(e.cleanups, cleanup)
	e.cluster, err = newCluster(e.common, false, e.network.Post, e.publish, func() uint32 { return 0 })
	if err != nil {
		return err
	}
	return e.duties()
}

func (e *Entry) deliver(ctx context.Context, v any) {
	if r, ok := v.(message.Received); ok && e.cluster.deliver(ctx, r) {
		return
	}
	_ = e.entry.ring.Push(ctx, v)
}

func (e *Entry) duties() error {
	links, cleanup, err := e.common.serveLinks(e.links, func(g *grpc.Server) { e.network.Register(g) })
	if err != nil {
		return err
	}
	e.cleanups = append(e.cleanups, cleanup)
	router := e.common.newEcho(e.ready.Load)
	g := guard{
		open:    e.common.openAccess(),
		current: e.current.Load,
	}
	router.Use(g.debug)
	e.register(router, g)
	changes, err := e.admin(router, g)
	if err != nil {
		return err
	}
	if err := e.common.observe(router, func() *duty.Table { return e.table }, e.entry, e.cluster.member, e.cluster.directory); err != nil {
		return err
	}
	api, cleanup, err := web.ServeUntil(e.api, web.Limits{}, web.Ending{
		Leaving: e.leaving,
		Limit:   web.ConstantLimit(web.ShutdownLimit),
	}, "http", "Serves callers, operators and targets.", router)
	if err != nil {
		return err
	}
	e.cleanups = append(e.cleanups, cleanup)
	messages, err := duty.New("network", "Carries messages between processes.", gauge(e.network.Ring()), e.network.Run)
	if err != nil {
		return err
	}
	forwarder, err := e.entry.duty("Forwards the requests of callers and keeps them until their owners answer.")
	if err != nil {
		return err
	}
	members, err := e.cluster.duties()
	if err != nil {
		return err
	}
	certificates, err := e.common.certificates()
	if err != nil {
		return err
	}
	all := append(certificates, messages, links, forwarder, changes, api)
	e.table, err = duty.NewTable(append(all, members...)...)
	return err
}

// HTTPAddress returns the address of the HTTP interface for callers and operators.
func (e *Entry) HTTPAddress() string {
	return e.common.httpAddress
}

// Owners returns the number of processes that own a shard in the entry's routes.
func (e *Entry) Owners() int {
	return int(e.common.metrics.Value(metric.ShardOwners))
}

// Run runs all duties until ctx ends or one of them fails. When ctx ends, the entry
// drains before it stops the duties.
func (e *Entry) Run(ctx context.Context) error {
	failed, stop := e.table.Start(context.WithoutCancel(ctx))
	defer stop()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		close(e.leaving)
		e.drain(context.WithoutCancel(ctx))
		return nil
	}
}

// drain rejects new requests and waits until all pending requests are answered.
// Afterwards the duties stop, the HTTP server first.
func (e *Entry) drain(ctx context.Context) {
	// The extra second lets the duty answer the requests that are still pending at
	// DrainLimit.
	ctx, cancel := context.WithTimeout(ctx, DrainLimit+time.Second)
	defer cancel()
	err := e.entry.ring.Push(ctx, entry.NewDrain(e.common.now().Add(DrainLimit)))
	if err == nil {
		select {
		case <-e.drained:
		case <-ctx.Done():
		}
	}
}

func (e *Entry) publish(ctx context.Context, v any) {
	switch v := v.(type) {
	case *configuration.Configuration:
		e.current.Store(v)
	case membership.Rollout:
		e.rollout.Store(&v)
		return
	}
	switch v.(type) {
	case *configuration.Configuration, membership.Routes:
		e.common.countVersion(v)
		_ = e.entry.ring.Push(ctx, v)
	}
}

func (e *Entry) apply(now time.Time, d *entry.Entry, replies map[uint64]*ring.Ring[answer.Answer], event any) {
	if a, ok := event.(callerEvent); ok {
		event = a.event
		if a.reply != nil {
			replies[a.request] = a.reply
		} else {
			delete(replies, a.request)
		}
	}
	for _, effect := range d.Handle(now, event) {
		switch v := effect.(type) {
		case message.Send:
			err := e.network.Post(v)
			e.common.countSend(err)
			if err != nil {
				_ = e.entry.ring.TryPush(message.NewUndelivered(v))
			}
		case entry.Respond:
			if r, ok := replies[v.Request()]; ok {
				// The ring has capacity for the single answer of a request.
				_ = r.TryPush(v.Answer())
				delete(replies, v.Request())
			}
		}
	}
	if _, ok := event.(membership.Routes); ok {
		e.common.metrics.Store(metric.ShardOwners, int64(d.Owners()))
	}
	e.ready.Store(d.Ready())
	e.common.metrics.Store(metric.RequestsHeld, int64(d.Requests()))
	if d.Drained() {
		select {
		case <-e.drained:
		default:
			close(e.drained)
		}
	}
}

// roundTrip passes an event of a caller's request to the entry's duty and waits for
// the answer. If the caller disconnects first, it abandons the request.
func (e *Entry) roundTrip(c echo.Context, event func(request uint64) any) (answer.Answer, error) {
	e.common.metrics.Add(metric.RequestsReceived, 1)
	n := e.requests.Add(1)
	reply, err := ring.New[answer.Answer]("reply", 1)
	if err != nil {
		return answer.Answer{}, err
	}
	err = e.entry.ring.TryPush(callerEvent{
		request: n,
		event:   event(n),
		reply:   reply,
	})
	if err != nil {
		return answer.NotForwarded(answer.Overloaded, "the entry's ring is full", time.Second), nil
	}
	a, err := reply.Pop(c.Request().Context())
	if err != nil {
		_ = e.entry.ring.TryPush(callerEvent{
			request: n,
			event:   entry.NewAbandon(n),
		})
	}
	return a, err
}
