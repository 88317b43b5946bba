// Package backend executes the tasks of an agent on its targets and its worker.
//
// A fixed set of executors, each a goroutine that uses at most one connection,
// reads the agent's calls from one bounded ring and pushes the results into the
// agent's ring. An executor keeps no state between calls; the agent has already
// decided what may start. A further duty asks the worker pool to throttle,
// checkpoint, resume or stop tasks, and another reads the pool's usage reports.
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

// The limits of the executors.
const (
	// ringCapacity is the number of queued effects in each ring.
	ringCapacity = 1024
	// maxResultBytes bounds the result of one task.
	maxResultBytes = 1 << 20
	dialTimeout    = time.Second
	// maxConnsPerTarget is the number of connections that one target accepts from all
	// dispatchers together.
	maxConnsPerTarget = 64
)

// Backend is the set of executors and the duties of the worker.
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

// New returns the back end and its clean-up function. pool is the URL of the worker
// pool and worker the name of the worker of this node; both are empty if the node has
// none. events receives agent.Ended, agent.Controlled and agent.UsageReport.
func New(pool, worker string, now func() time.Time, events func(context.Context, any) error, log *logrus.Entry) (*Backend, func(), error) {
	r, err := ring.New[any]("backend", ringCapacity)
	if err != nil {
		return nil, nil, err
	}
	controls, err := ring.New[agent.Control]("worker_control", ringCapacity)
	if err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext,
		MaxConnsPerHost:     maxConnsPerTarget,
		MaxIdleConnsPerHost: maxConnsPerTarget,
		MaxIdleConns:        0,
		IdleConnTimeout:     time.Minute,
	}
	return &Backend{
		pool:   pool,
		worker: worker,
		client: &http.Client{
			Transport: transport,
			// Following a redirect would start the task a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		ring:     r,
		controls: controls,
		events:   events,
		now:      now,
		log:      log,
	}, transport.CloseIdleConnections, nil
}

// Post queues an agent.Call, an agent.Place or an agent.Control without waiting. It
// fails with ring.ErrFull if there is no free capacity.
func (b *Backend) Post(m any) error {
	if c, ok := m.(agent.Control); ok {
		return b.controls.TryPush(c)
	}
	return b.ring.TryPush(m)
}

// Duties returns n executors named name_0, name_1 and so on, and the duties of the
// worker if there is one, for the process's duty table.
func (b *Backend) Duties(name string, n int) ([]duty.Duty, error) {
	var duties []duty.Duty
	add := func(name, purpose string, gauge duty.Gauge, run func(context.Context) error) error {
		d, err := duty.New(name, purpose, gauge, run)
		duties = append(duties, d)
		return err
	}
	for i := range n {
		if err := add(name+"_"+strconv.Itoa(i), "Executes one task at a time on a target or worker.", gauge(b.ring), b.run); err != nil {
			return nil, err
		}
	}
	if b.worker == "" {
		return duties, nil
	}
	if err := add("worker_control", "Throttles, checkpoints, resumes or stops tasks on the worker.", gauge(b.controls), b.runControls); err != nil {
		return nil, err
	}
	if err := add("worker_usage", "Reads the worker pool's usage reports.", nil, b.runUsage); err != nil {
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
		var ended agent.Ended
		switch m := m.(type) {
		case agent.Call:
			ended = agent.NewEnded(m.Task(), b.call(ctx, m))
		case agent.Place:
			ended = agent.NewEnded(m.Task(), b.place(ctx, m))
		default:
			continue
		}
		if err := b.events(ctx, ended); err != nil {
			return nil
		}
	}
}
