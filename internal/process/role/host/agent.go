package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/backend"
	"greengagedoor.example/greengagedoor/internal/process/role/network"
	"greengagedoor.example/greengagedoor/internal/process/role/owner"
	"greengagedoor.example/greengagedoor/internal/process/web"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	backendCallers   = 256
	maxLedgerRecords = 150_000
	maxLedgerBytes   = 24 << 20
	retention        = 10 * time.Minute
	maxAnnounceBytes = 64 << 10
	// AgentDrainLimit is how long a leaving agent waits for its running tasks. Most
	// tasks take less than a second, a few take several seconds.
	AgentDrainLimit = 20 * time.Second
	// fenceLinger is how long a leaving agent keeps answering after it has released
	// its shards. The new owners fence the shards and query their start records
	// first; without an answer they treat the records as missing.
	fenceLinger = 1500 * time.Millisecond
)

// Agent is an agent process.
type Agent struct {
	common         Common
	table          *duty.Table
	agent          *role
	owner          *role
	network        *network.Network
	backend        *backend.Backend
	cluster        *cluster
	free           atomic.Uint32
	ready          atomic.Bool
	links          net.Listener
	api            net.Listener
	drained        chan struct{}
	loggedRequests loggedRequests
	cleanups       []func()
}

// NewAgent assembles an agent process and returns it with a cleanup function.
// Pool is the address of the worker pool and worker the worker on this host; both
// are empty if there is none. The owner's random choices depend on seed.
func NewAgent(c Common, pool string, worker agent.Worker, seed uint64) (*Agent, func(), error) {
	a := &Agent{
		common:         c,
		drained:        make(chan struct{}),
		loggedRequests: loggedRequests{},
	}
	if err := a.build(pool, worker, seed); err != nil {
		a.cleanup()
		return nil, nil, err
	}
	return a, a.cleanup, nil
}

func (a *Agent) cleanup() {
	for i := len(a.cleanups) - 1; i >= 0; i-- {
		a.cleanups[i]()
	}
}

func (a *Agent) build(pool string, worker agent.Worker, seed uint64) error {
	var err error
	var cleanup func()
	a.links, a.api, cleanup, err = a.common.listen()
	if err != nil {
		return err
	}
	a.cleanups = append(a.cleanups, cleanup)
	startedAt := a.common.now()
	issue := func(now time.Time) uint64 {
		return uint64(now.Sub(startedAt).Milliseconds()) + 1
	}
	if err := a.buildAdmission(startedAt, issue, worker); err != nil {
		return err
	}
	if err := a.buildOwner(seed); err != nil {
		return err
	}
	return a.connect(pool, worker.Name(), func() uint64 { return issue(a.common.now()) })
}

// buildAdmission creates the agent's state machine and its role.
func (a *Agent) buildAdmission(startedAt time.Time, issue func(time.Time) uint64, worker agent.Worker) error {
	l, err := ledger.New(startedAt, ledger.RecordRetention(retention, agent.MaxCallerSkew), maxLedgerRecords, maxLedgerBytes)
	if err != nil {
		return err
	}
	d, err := agent.New(a.common.process, l, issue)
	if err != nil {
		return err
	}
	if worker != (agent.Worker{}) {
		d.Handle(startedAt, worker)
	}
	a.agent, err = newRole("agent", a.common.now, message.Wake{}, func(now time.Time, e any) {
		a.applyAgent(now, d, e)
	})
	if err != nil {
		return err
	}
	a.agent.next = d.Next
	a.agent.snapshot = func() any { return d.Snapshot() }
	return nil
}

// buildOwner creates the owner's state machine and its role.
func (a *Agent) buildOwner(seed uint64) error {
	topology, err := owner.NewTopology(a.common.regions, a.common.shards)
	if err != nil {
		return err
	}
	d, err := owner.New(a.common.process, topology, rand.New(rand.NewPCG(seed, a.common.process.Incarnation())))
	if err != nil {
		return err
	}
	a.owner, err = newRole("owner", a.common.now, message.Wake{}, func(now time.Time, e any) {
		a.applyOwner(now, d, e)
	})
	if err != nil {
		return err
	}
	a.owner.next = func(now time.Time) time.Time {
		if n := d.Next(); !n.IsZero() {
			return n
		}
		return now.Add(wakeInterval)
	}
	a.owner.snapshot = func() any { return d.Snapshot(a.common.now()) }
	return nil
}

func (a *Agent) connect(pool, worker string, credit func() uint64) error {
	var err error
	var cleanup func()
	a.network, cleanup, err = network.New(a.common.process, a.common.linkAddress, network.Seams{
		Now:         a.common.now,
		TLSConfig:   a.common.linkClientConfig(),
		Credit:      credit,
		Deliver:     a.deliver,
		Undelivered: a.undelivered,
	}, a.common.log)
	if err != nil {
		return err
	}
	a.cleanups = append(a.cleanups, cleanup)
	a.backend, cleanup, err = backend.New(pool, worker, a.common.now, func(ctx context.Context, e any) error {
		return a.agent.ring.Push(ctx, e)
	}, a.common.log)
	if err != nil {
		return err
	}
	a.cleanups = append(a.cleanups, cleanup)
	a.cluster, err = newCluster(a.common, true, a.network.Post, a.publish, a.free.Load)
	if err != nil {
		return err
	}
	return a.duties()
}

func (a *Agent) duties() error {
	links, cleanup, err := a.common.serveLinks(a.links, func(g *grpc.Server) { a.network.Register(g) })
	if err != nil {
		return err
	}
	a.cleanups = append(a.cleanups, cleanup)
	e := a.common.newEcho(a.ready.Load)
	e.POST("/v1/announce", a.announce)
	if err := a.common.observe(e, func() *duty.Table { return a.table }, a.agent, a.owner, a.cluster.member, a.cluster.directory); err != nil {
		return err
	}
	api, cleanup, err := web.Serve(a.api, web.ConstantLimit(web.ShutdownLimit), "http", "Serves callers, operators and targets.", e)
	if err != nil {
		return err
	}
	a.cleanups = append(a.cleanups, cleanup)
	messages, err := duty.New("network", "Carries messages between processes.", gauge(a.network.Ring()), a.network.Run)
	if err != nil {
		return err
	}
	admission, err := a.agent.duty("Admits tasks to the back ends of this process.")
	if err != nil {
		return err
	}
	dispatch, err := a.owner.duty("Owns the submissions in the shards of this process.")
	if err != nil {
		return err
	}
	members, err := a.cluster.duties()
	if err != nil {
		return err
	}
	duties, err := a.backend.Duties("caller", backendCallers)
	if err != nil {
		return err
	}
	certificates, err := a.common.certificates()
	if err != nil {
		return err
	}
	all := append(certificates, links, messages, admission, dispatch, api)
	all = append(all, duties...)
	a.table, err = duty.NewTable(append(all, members...)...)
	return err
}

// HTTPAddress returns the address at which targets announce themselves.
func (a *Agent) HTTPAddress() string {
	return a.common.httpAddress
}

// Run runs all duties until ctx ends or one of them fails. When ctx ends, the
// agent drains: it accepts no new tasks, and its duties run until all running
// tasks have ended and are reported, or until AgentDrainLimit has passed. It then
// releases its shards and answers their new owners for fenceLinger. Finally the
// network waits briefly for the acknowledgements of the last reports.
func (a *Agent) Run(ctx context.Context) error {
	failed, stop := a.table.Start(context.WithoutCancel(ctx))
	defer stop()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), AgentDrainLimit)
	defer cancel()
	_ = a.agent.ring.Push(drainCtx, agent.Drain{})
	select {
	case err := <-failed:
		return err
	case <-a.drained:
	case <-drainCtx.Done():
		a.common.log.Warn("tasks were still running at the end of the drain limit")
	}
	// The shards are released last, so that their start records can be fenced here
	// until then.
	a.cluster.leave(context.WithoutCancel(ctx))
	linger := time.NewTimer(fenceLinger)
	defer linger.Stop()
	select {
	case err := <-failed:
		return err
	case <-linger.C:
	}
	return nil
}

// publish passes an event about the process to the roles that handle it.
func (a *Agent) publish(ctx context.Context, e any) {
	switch e.(type) {
	case *configuration.Configuration:
		a.ready.Store(true)
		a.common.countVersion(e)
		_ = a.agent.ring.Push(ctx, e)
		_ = a.owner.ring.Push(ctx, e)
	case membership.Lease, message.ProcessEnded:
		_ = a.agent.ring.Push(ctx, e)
		_ = a.owner.ring.Push(ctx, e)
	case membership.Granted, membership.Released, membership.WorkingSet:
		_ = a.owner.ring.Push(ctx, e)
	}
}

// deliver passes a received message to the role that handles it.
func (a *Agent) deliver(ctx context.Context, e any) {
	if r, ok := e.(message.Received); ok {
		if a.cluster.deliver(ctx, r) {
			return
		}
		switch r.Body().(type) {
		case message.Start, message.Interest, message.Revoke, message.Fence, agent.Barrier:
			_ = a.agent.ring.Push(ctx, e)
			return
		}
		_ = a.owner.ring.Push(ctx, e)
		return
	}
	_ = a.agent.ring.Push(ctx, e)
	_ = a.owner.ring.Push(ctx, e)
}

func (a *Agent) undelivered(ctx context.Context, u message.Undelivered) {
	switch u.Send().Body().(type) {
	case membership.Heartbeat, membership.HeartbeatAck, membership.Fetch, membership.FetchReply, membership.RevokeRequest, membership.ReleaseNotice, membership.Digest:
		// The sender repeats these messages until they are answered.
	case message.Finished, message.Rejected, message.Offer, message.Revoked, message.FenceReply, agent.Barrier:
		_ = a.agent.ring.Push(ctx, u)
	default:
		_ = a.owner.ring.Push(ctx, u)
	}
}

func (a *Agent) applyOwner(now time.Time, o *owner.Owner, event any) {
	a.loggedRequests.record(event)
	for _, s := range o.Handle(now, event) {
		a.common.observeOwner(a.loggedRequests, s)
		err := a.network.Post(s)
		a.common.countSend(err)
		if err != nil {
			// The effects of Handle are still in use, so the event goes through the ring.
			_ = a.owner.ring.TryPush(message.NewUndelivered(s))
		}
	}
	if r, ok := event.(membership.Released); ok {
		a.cluster.shardStopped(r)
	}
}

func (a *Agent) applyAgent(now time.Time, d *agent.Agent, event any) {
	events := []any{event}
	for len(events) > 0 {
		// Failed effects are handled at once. A full ring could drop them, and a slot
		// would stay occupied forever.
		var failed []any
		for _, effect := range d.Handle(now, events[0]) {
			a.common.observeAgent(effect)
			if e, ok := a.execute(effect); !ok {
				failed = append(failed, e)
			}
		}
		events = append(events[1:], failed...)
	}
}

func (a *Agent) storeFree(capacities []message.Capacity) {
	var n uint32
	for _, r := range capacities {
		n += r.Free()
	}
	a.free.Store(n)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "no caller is free: " + err.Error()
}

// execute executes an effect. If that fails, it returns false with the event that
// reports the failure.
func (a *Agent) execute(effect any) (any, bool) {
	switch e := effect.(type) {
	case message.Send:
		err := a.network.Post(e)
		a.common.countSend(err)
		return message.NewUndelivered(e), err == nil
	case agent.Call:
		err := a.backend.Post(e)
		return agent.NewNotCalled(e.Task(), errText(err)), err == nil
	case agent.Place:
		err := a.backend.Post(e)
		return agent.NewNotCalled(e.Task(), errText(err)), err == nil
	case agent.Control:
		return agent.NewControlled(e.Task(), e.Action(), false), a.backend.Post(e) == nil
	case *agent.CapacityHint:
		a.storeFree(e.Capacities())
		return agent.HintUndelivered{}, a.network.Post(network.NewHint(e.Capacities())) == nil
	case agent.Drained:
		close(a.drained)
	}
	return nil, true
}

func (a *Agent) announce(c echo.Context) error {
	n, err := announcement.Decode(http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnounceBytes))
	switch {
	case errors.Is(err, announcement.ErrInvalid):
		return invalidRequest(http.StatusBadRequest, "", "%v", err)
	case err != nil:
		return invalidRequest(http.StatusBadRequest, "body", "%v", errors.Cause(err))
	}
	if err := a.agent.ring.TryPush(n); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}
