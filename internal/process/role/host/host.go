// Package host assembles the roles of agent and entry processes.
//
// Each role is a state machine in a package of its own. This package gives every
// state machine a duty with a ring, and executes its effects as calls of the
// network, the back ends, the store or the HTTP server. It contains no decision
// logic.
package host

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/certificate"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/metric"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/network"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// StoreTimeout is the timeout of one store call.
const StoreTimeout = 2 * time.Second

const (
	roleRingSize = 8192
	wakeInterval = 50 * time.Millisecond
)

// Common holds the settings that every process has.
type Common struct {
	process          identity.Process
	region           int
	regions          int
	shards           int
	zone             string
	linkAddress      string
	httpAddress      string
	access           string
	apiCertificates  *certificate.Reloader
	linkCertificates *certificate.Reloader
	store            *store.Store
	log              *logrus.Entry
	now              func() time.Time
	cell             string
	cellSize         int
	settings         []string
	metrics          *metric.Set
	// transferTimeout limits the time to receive a request body, and the time to
	// send an answer.
	transferTimeout time.Duration
}

// WithCell returns a copy with the process's cell and the maximum number of agents
// per cell. With an empty cell, the process joins the first cell of its
// availability zone that has free capacity.
func (c Common) WithCell(cell string, size int) Common {
	c.cell = cell
	c.cellSize = size
	return c
}

// NewCommon returns the settings that every process has. Other processes connect
// to linkAddress; callers, operators and targets connect to httpAddress. It
// returns an error if region is outside 0 to regions-1, if there are fewer shards
// than regions, or if the availability zone, an address or the store is missing.
func NewCommon(p identity.Process, region, regions, shards int, zone, linkAddress, httpAddress string, s *store.Store, log *logrus.Entry) (Common, error) {
	if region < 0 || region >= regions || shards < regions {
		return Common{}, errors.Errorf("got region %d of %d regions with %d shards, want a region below the region count and at least one shard per region", region, regions, shards)
	}
	if zone == "" || linkAddress == "" || httpAddress == "" || s == nil {
		return Common{}, errors.New("availability zone, link address, HTTP address and store must be set")
	}
	return Common{
		process:         p,
		region:          region,
		regions:         regions,
		shards:          shards,
		zone:            zone,
		linkAddress:     linkAddress,
		httpAddress:     httpAddress,
		store:           s,
		log:             log,
		now:             time.Now,
		cellSize:        DefaultCellSize,
		metrics:         metric.NewSet(),
		transferTimeout: defaultTransferTimeout,
	}, nil
}

// WithSettings returns a copy with the setting lines for the dump. The lines must
// not contain secrets.
func (c Common) WithSettings(lines []string) Common {
	c.settings = append([]string(nil), lines...)
	return c
}

// WithClock returns a copy with another clock, for tests.
func (c Common) WithClock(now func() time.Time) Common {
	c.now = now
	return c
}

// Process returns the identity of the process.
func (c Common) Process() identity.Process {
	return c.process
}

// listen opens both listeners. It replaces port 0 in an address with the port that
// the operating system chose.
func (c *Common) listen() (links, api net.Listener, cleanup func(), err error) {
	links, c.linkAddress, err = web.Listen(c.linkAddress)
	if err != nil {
		return nil, nil, nil, err
	}
	api, c.httpAddress, err = web.Listen(c.httpAddress)
	if err != nil {
		_ = links.Close()
		return nil, nil, nil, err
	}
	api = c.secureAPI(api)
	return links, api, func() {
		_ = links.Close()
		_ = api.Close()
	}, nil
}

// role runs one state machine: it pops events, sends wake events at an interval
// and executes the effects.
type role struct {
	name   string
	ring   *ring.Ring[any]
	now    func() time.Time
	handle func(now time.Time, event any)
	wake   any
	// next returns the time of the next wake event; nil if wakeInterval suffices.
	next func(now time.Time) time.Time
	// snapshot returns a summary of the state for the dump; nil if there is none.
	snapshot func() any
}

func newRole(name string, now func() time.Time, wake any, handle func(time.Time, any)) (*role, error) {
	r, err := ring.New[any](name, roleRingSize)
	if err != nil {
		return nil, err
	}
	return &role{
		name:   name,
		ring:   r,
		now:    now,
		handle: handle,
		wake:   wake,
	}, nil
}

func (r *role) run(ctx context.Context) error {
	timer := time.NewTimer(wakeInterval)
	defer timer.Stop()
	lastWake := r.now()
	for {
		select {
		case m := <-r.ring.Out():
			if i, ok := m.(inspect); ok {
				_ = i.reply.TryPush(describeValue("", reflect.ValueOf(r.snapshot())))
				break
			}
			r.handle(r.now(), m)
		case <-timer.C:
			lastWake = r.now()
			r.handle(lastWake, r.wake)
		case <-ctx.Done():
			return nil
		}
		timer.Reset(r.wait(lastWake))
	}
}

// wait returns the time until the next wake event. It is measured from the last
// wake event, so that a continuous stream of events does not delay the next one.
func (r *role) wait(lastWake time.Time) time.Duration {
	now := r.now()
	at := lastWake.Add(wakeInterval)
	if r.next != nil {
		if n := r.next(now); n.Before(at) {
			at = n
		}
	}
	return max(at.Sub(now), 0)
}

func (r *role) duty(purpose string) (duty.Duty, error) {
	return duty.New(r.name, purpose, gauge(r.ring), r.run)
}

func gauge[T any](r *ring.Ring[T]) duty.Gauge {
	return func() (int, int, int64) {
		return r.Depth(), r.Size(), r.Rejected()
	}
}

// serveLinks returns a duty that serves links from other processes, and a function
// that stops the server and closes its listener.
func (c Common) serveLinks(l net.Listener, register func(*grpc.Server)) (duty.Duty, func(), error) {
	g := grpc.NewServer(append(c.linkServerOptions(), network.ServerOptions()...)...)
	register(g)
	d, err := duty.New("links", "Accepts streams from other processes.", nil, func(ctx context.Context) error {
		failed := make(chan error, 1)
		go func() { failed <- errors.Wrap(g.Serve(l), "serve links") }()
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			stream.StopServer(g)
			return nil
		}
	})
	return d, func() {
		stream.StopServer(g)
		// A gRPC server closes its listener only if Serve was called.
		_ = l.Close()
	}, err
}

// limitWrites sets a write deadline, which ends the connection of a caller that
// does not read its answer. The deadline is set before the first byte is written,
// since handlers wait for answers.
func (c Common) limitWrites(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		rc := http.NewResponseController(ctx.Response())
		ctx.Response().Before(func() {
			_ = rc.SetWriteDeadline(time.Now().Add(c.transferTimeout))
		})
		return next(ctx)
	}
}

// newEcho returns an HTTP router with the health endpoints of every process.
func (c Common) newEcho(ready func() bool) *echo.Echo {
	e := echo.New()
	e.HTTPErrorHandler = c.handleError
	e.Use(c.limitWrites)
	e.HideBanner = true
	e.HidePort = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}
