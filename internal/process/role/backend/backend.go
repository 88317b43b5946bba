// Package backend carries the tasks of an agent to its targets and its worker.
//
// A fixed set of callers, each a goroutine that holds at most one connection,
// reads the agent's calls from one bounded ring and pushes the ends into the
// agent's ring. A caller keeps no state between calls; what may start is decided
// by the agent before. One more duty tells the worker pool to make tasks give
// way, and another reads the pool's reports of usage.
package backend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
)

// The sizes and times of the callers.
const (
	ringSize       = 1024
	maxResultBytes = 1 << 20
	dialTimeout    = time.Second
	// connections is what one target accepts from all dispatchers together.
	connections = 64
)

// Backend is the set of callers.
type Backend struct {
	pool     string
	worker   string
	client   *http.Client
	ring     *ring.Ring[any]
	controls *ring.Ring[agent.Control]
	events   func(context.Context, any) error
	now      func() time.Time
	log      *logrus.Entry
}

// New returns the callers and their clean-up function. Pool is the address of
// the worker pool and worker the worker of this node, both empty if it has none;
// events receives agent.Ended, agent.Controlled and agent.Used.
func New(pool, worker string, now func() time.Time, events func(context.Context, any) error, log *logrus.Entry) (*Backend, func(), error) {
	r, err := ring.New[any]("backend", ringSize)
	if err != nil {
		return nil, nil, err
	}
	controls, err := ring.New[agent.Control]("worker_control", ringSize)
	if err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		MaxIdleConns:        0,
		IdleConnTimeout:     time.Minute,
	}
	return &Backend{
		pool:   pool,
		worker: worker,
		client: &http.Client{
			Transport: transport,
			// A redirect would start the task at a second place.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		ring:     r,
		controls: controls,
		events:   events,
		now:      now,
		log:      log,
	}, transport.CloseIdleConnections, nil
}

// Post hands over an agent.Call, an agent.Place or an agent.Control without
// waiting.
func (b *Backend) Post(m any) error {
	if c, ok := m.(agent.Control); ok {
		return b.controls.TryPush(c)
	}
	return b.ring.TryPush(m)
}

// Duties returns the callers, and the duties of the worker if there is one, for
// the process's table.
func (b *Backend) Duties(name string, n int) ([]duty.Duty, error) {
	var duties []duty.Duty
	add := func(name, purpose string, gauge duty.Gauge, run func(context.Context) error) error {
		d, err := duty.New(name, purpose, gauge, run)
		duties = append(duties, d)
		return err
	}
	for i := range n {
		if err := add(name+"_"+strconv.Itoa(i), "Carries one task at a time to a target or worker.", gauge(b.ring), b.run); err != nil {
			return nil, err
		}
	}
	if b.worker == "" {
		return duties, nil
	}
	if err := add("worker_control", "Makes tasks on the worker give way, resume or stop.", gauge(b.controls), b.runControls); err != nil {
		return nil, err
	}
	if err := add("worker_usage", "Reads the worker pool's reports of usage.", nil, b.runUsage); err != nil {
		return nil, err
	}
	return duties, nil
}

func gauge[T any](r *ring.Ring[T]) duty.Gauge {
	return func() (depth, size int, rejected int64) {
		return r.Depth(), r.Size(), r.Rejected()
	}
}

func (b *Backend) run(ctx context.Context) error {
	for {
		m, err := b.ring.Pop(ctx)
		if err != nil {
			return nil
		}
		var end agent.Ended
		switch m := m.(type) {
		case agent.Call:
			end = agent.NewEnded(m.Task(), b.call(ctx, m))
		case agent.Place:
			end = agent.NewEnded(m.Task(), b.place(ctx, m))
		default:
			continue
		}
		if err := b.events(ctx, end); err != nil {
			return nil
		}
	}
}
