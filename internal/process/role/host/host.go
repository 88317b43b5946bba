// Package host assembles the roles of a process.
//
// Each role is a decision in a package of its own. Here every decision gets a
// duty with a ring, and its effects become calls of the network, the back ends
// or the HTTP server. No decision is taken here.
package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/store"
)

// StoreTimeout bounds one call of the store.
const StoreTimeout = 2 * time.Second

// The sizes and times that all processes share.
const (
	roleRingSize   = 8192
	wakeInterval   = 50 * time.Millisecond
	shutdownLimit  = 10 * time.Second
	maxStreamBytes = 16 << 20
)

// Common are the settings that every process has.
type Common struct {
	process     identity.Process
	region      int
	regions     int
	shards      int
	zone        string
	linkAddress string
	httpAddress string
	store       *store.Store
	log         *logrus.Entry
	now         func() time.Time
	cell        string
	cellSize    int
}

// WithCell sets the process's cell and the number of agents in a cell. With an
// empty cell the process takes the first of its availability zone with room.
func (c Common) WithCell(cell string, size int) Common {
	c.cell = cell
	c.cellSize = size
	return c
}

// NewCommon joins the settings that every process has. The link address is where
// other processes reach this one; the HTTP address is for callers, operators and
// targets.
func NewCommon(p identity.Process, region, regions, shards int, zone, linkAddress, httpAddress string, s *store.Store, log *logrus.Entry) (Common, error) {
	if region < 0 || region >= regions || shards < regions {
		return Common{}, errors.Errorf("region %d of %d with %d shards", region, regions, shards)
	}
	if zone == "" || linkAddress == "" || httpAddress == "" || s == nil {
		return Common{}, errors.New("availability zone, addresses and store are needed")
	}
	return Common{
		process:     p,
		region:      region,
		regions:     regions,
		shards:      shards,
		zone:        zone,
		linkAddress: linkAddress,
		httpAddress: httpAddress,
		store:       s,
		log:         log,
		now:         time.Now,
		cellSize:    DefaultCellSize,
	}, nil
}

// Process is the process's identity.
func (c Common) Process() identity.Process {
	return c.process
}

// role runs one decision: it pops events, wakes the decision at an interval, and
// applies the effects.
type role struct {
	name   string
	ring   *ring.Ring[any]
	now    func() time.Time
	handle func(now time.Time, event any)
	wake   any
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
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-r.ring.Out():
			r.handle(r.now(), m)
		case <-ticker.C:
			r.handle(r.now(), r.wake)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *role) duty(purpose string) (duty.Duty, error) {
	return duty.New(r.name, purpose, gauge(r.ring), r.run)
}

func gauge[T any](r *ring.Ring[T]) duty.Gauge {
	return func() (int, int, int64) {
		return r.Depth(), r.Size(), r.Rejected()
	}
}

// serveHTTP returns a duty that serves e, and its clean-up function.
func serveHTTP(address string, e *echo.Echo) (duty.Duty, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return duty.Duty{}, nil, errors.Wrap(err, "listen for HTTP")
	}
	server := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: shutdownLimit,
	}
	d, err := duty.New("http", "Serves callers, operators and targets.", nil, func(ctx context.Context) error {
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			<-ctx.Done()
			limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
			defer cancel()
			_ = server.Shutdown(limit)
		}()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve HTTP")
		}
		<-stopped
		return nil
	})
	return d, func() { _ = server.Close() }, err
}

// serveLinks returns a duty that serves the links of other processes.
func serveLinks(address string, register func(*grpc.Server)) (duty.Duty, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return duty.Duty{}, nil, errors.Wrap(err, "listen for links")
	}
	g := grpc.NewServer(grpc.MaxRecvMsgSize(maxStreamBytes), grpc.MaxSendMsgSize(maxStreamBytes))
	register(g)
	d, err := duty.New("links", "Accepts the streams of other processes.", nil, func(ctx context.Context) error {
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			<-ctx.Done()
			g.Stop()
		}()
		err := g.Serve(l)
		<-stopped
		return errors.Wrap(err, "serve links")
	})
	return d, g.Stop, err
}

// newEcho returns an HTTP router with the pages that every process has.
func newEcho(ready func() bool) *echo.Echo {
	e := echo.New()
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
