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
	"reflect"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"greengagedoor.example/greengagedoor/internal/process/certificate"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/metric"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/network"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// StoreTimeout bounds one call of the store.
const StoreTimeout = 2 * time.Second

// The sizes and times that all processes share.
const (
	roleRingSize = 8192
	wakeInterval = 50 * time.Millisecond
)

// Common are the settings that every process has.
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
	// transferLimit is how long a body may take to arrive, and an answer to leave.
	transferTimeout time.Duration
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

// WithSettings adds the settings for the dump; secrets must be left out.
func (c Common) WithSettings(lines []string) Common {
	c.settings = append([]string(nil), lines...)
	return c
}

// WithClock replaces the clock, for tests.
func (c Common) WithClock(now func() time.Time) Common {
	c.now = now
	return c
}

// Process is the process's identity.
func (c Common) Process() identity.Process {
	return c.process
}

// listen opens both listeners; port 0 becomes the port that the system chose.
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

// role runs one decision: it pops events, wakes the decision at an interval, and
// applies the effects.
type role struct {
	name   string
	ring   *ring.Ring[any]
	now    func() time.Time
	handle func(now time.Time, event any)
	wake   any
	// next is when the decision wants to be woken; nil for every wakeInterval.
	next func(now time.Time) time.Time
	// snapshot is the decision's state in numbers; nil if it has none to show.
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

// wait is the time until the next wake, which no stream of events puts off.
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

// serveLinks returns a duty that serves the links of other processes.
func (c Common) serveLinks(l net.Listener, register func(*grpc.Server)) (duty.Duty, func(), error) {
	g := grpc.NewServer(append(c.linkOptions(), network.ServerOptions()...)...)
	register(g)
	d, err := duty.New("links", "Accepts the streams of other processes.", nil, func(ctx context.Context) error {
		ended := make(chan struct{})
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			select {
			case <-ctx.Done():
				g.Stop()
			case <-ended:
			}
		}()
		err := g.Serve(l)
		close(ended)
		<-stopped
		return errors.Wrap(err, "serve links")
	})
	return d, func() {
		g.Stop()
		// A server that was never started does not know its listener.
		_ = l.Close()
	}, err
}

// limitWrites ends the connection of a caller that does not read its answer. The
// time counts from the first byte, since handlers wait for answers.
func (c Common) limitWrites(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		rc := http.NewResponseController(ctx.Response())
		ctx.Response().Before(func() {
			_ = rc.SetWriteDeadline(time.Now().Add(c.transferTimeout))
		})
		return next(ctx)
	}
}

// newEcho returns an HTTP router with the pages that every process has.
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
