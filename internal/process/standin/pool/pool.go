// Package pool is a stand-in for the platform's worker pool.
//
// A worker has cores, memory and accelerators and belongs to a rack. A task runs on
// a worker under a lease; when the lease expires, the pool stops the task and
// reports it as lost. Tasks can be checkpointed, throttled, resumed and stopped;
// their resource usage is reported with a delay. docs/worker_pool.md describes the
// interface. One goroutine owns all leases, and each HTTP request is a message to
// it.
package pool

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/standin/record"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	ringSize      = 4096
	sweepInterval = 10 * time.Millisecond
	maxWait       = 10 * time.Second
)

// Worker describes a worker of the pool: its name, its location and its resources.
type Worker struct {
	name      string
	zone      string
	rack      string
	resources configuration.Resources
}

// NewWorker returns a worker.
func NewWorker(name, zone, rack string, resources configuration.Resources) Worker {
	return Worker{
		name:      name,
		zone:      zone,
		rack:      rack,
		resources: resources,
	}
}

// pending is a request that waits until done reports that it has been answered.
type pending struct {
	done func(s *state, now time.Time) bool
}

// Pool is an in-memory worker pool with an HTTP interface.
type Pool struct {
	ring    *ring.Ring[func(*state)]
	record  *record.Record
	now     func() time.Time
	workers []Worker
}

// New returns a pool of workers. It answers only while Run is running.
func New(workers []Worker, rec *record.Record, now func() time.Time) (*Pool, error) {
	r, err := ring.New[func(*state)]("pool", ringSize)
	if err != nil {
		return nil, err
	}
	return &Pool{
		ring:    r,
		record:  rec,
		now:     now,
		workers: workers,
	}, nil
}

// Run owns the leases until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	s := &state{
		workers: map[string]Worker{},
		used:    map[string]configuration.Resources{},
		leases:  map[string]*lease{},
		reports: map[string][]report{},
		faults:  map[string]fault{},
	}
	for _, w := range p.workers {
		s.workers[w.name] = w
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case f := <-p.ring.Out():
			f(s)
		case <-sweep.C:
			p.sweep(s)
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Pool) do(ctx context.Context, f func(*state)) error {
	done := make(chan struct{})
	err := p.ring.Push(ctx, func(s *state) {
		f(s)
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "worker pool")
	}
}

// Register adds the HTTP routes of the pool to a server.
func (p *Pool) Register(e *echo.Echo) {
	e.GET("/v1/workers", p.listWorkers)
	e.POST("/v1/workers/:worker/leases", p.placeTask)
	e.GET("/v1/leases/*", p.getLease)
	e.PUT("/v1/leases/*", p.renewLease)
	e.PATCH("/v1/leases/*", p.controlTask)
	e.DELETE("/v1/leases/*", p.stopTask)
	e.GET("/v1/workers/:worker/usage", p.getUsage)
	e.POST("/standin/faults", p.fault)
	e.GET("/standin/counts", p.getCounts)
}

type workerDocument struct {
	Name         string `json:"name"`
	Zone         string `json:"availability_zone"`
	Rack         string `json:"rack"`
	MilliCores   int64  `json:"milli_cores"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int64  `json:"accelerators"`
}

func (p *Pool) listWorkers(c echo.Context) error {
	out := []workerDocument{}
	for _, w := range p.workers {
		out = append(out, workerDocument{
			Name:         w.name,
			Zone:         w.zone,
			Rack:         w.rack,
			MilliCores:   w.resources.MilliCores(),
			MemoryBytes:  w.resources.MemoryBytes(),
			Accelerators: w.resources.Accelerators(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return c.JSON(http.StatusOK, out)
}

type placeDocument struct {
	Lease        string `json:"lease"`
	TTLMS        int64  `json:"ttl_ms"`
	MilliCores   int64  `json:"milli_cores"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int64  `json:"accelerators"`
	Payload      []byte `json:"payload"`
	Team         string `json:"team"`
	Kind         string `json:"kind"`
}

func (p *Pool) placeTask(c echo.Context) error {
	var body placeDocument
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	r, err := configuration.NewResources(body.MilliCores, body.MemoryBytes, body.Accelerators)
	if err != nil || body.TTLMS <= 0 || body.Lease == "" {
		return c.String(http.StatusBadRequest, "lease, ttl_ms and resources are needed")
	}
	type answer struct {
		status int
		reason string
	}
	worker := c.Param("worker")
	answers := make(chan answer, 1)
	err = p.do(c.Request().Context(), func(s *state) {
		status, reason := p.start(s, worker, body, r)
		answers <- answer{
			status: status,
			reason: reason,
		}
	})
	if err != nil {
		return err
	}
	a := <-answers
	status := a.status
	if status == http.StatusCreated {
		if _, err := p.record.Start(c.Request().Context(), body.Lease); err != nil {
			return err
		}
	}
	return c.String(status, a.reason)
}

// waitParam returns the time that the request may wait, or 0 if its parameter is
// missing or out of range.
func waitParam(c echo.Context) time.Duration {
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil || wait < 0 || wait > maxWait {
		return 0
	}
	return wait
}

// longPoll waits until ready returns a reply. Once the wait has expired, ready is
// called with expired set and must return its reply.
func longPoll[T any](p *Pool, c echo.Context, ready func(s *state, expired bool) (T, bool)) (T, error) {
	var zero T
	reply := make(chan T, 1)
	deadline := p.now().Add(waitParam(c))
	err := p.do(c.Request().Context(), func(s *state) {
		s.pending = append(s.pending, pending{
			done: func(s *state, now time.Time) bool {
				v, ok := ready(s, !deadline.After(now))
				if ok {
					reply <- v
				}
				return ok
			},
		})
	})
	if err != nil {
		return zero, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-c.Request().Context().Done():
		return zero, c.Request().Context().Err()
	}
}

func (p *Pool) getLease(c echo.Context) error {
	id := c.Param("*")
	l, err := longPoll(p, c, func(s *state, expired bool) (lease, bool) {
		l, ok := s.leases[id]
		if !ok {
			return lease{}, true
		}
		return *l, expired || !l.active()
	})
	switch {
	case err != nil:
		return err
	case l.state == "":
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, map[string]any{
		"state":  l.state,
		"result": []byte(l.echo),
	})
}

type usageDocument struct {
	Next    uint64           `json:"next"`
	Reports []reportDocument `json:"reports"`
}

type reportDocument struct {
	Team         string `json:"team"`
	Kind         string `json:"kind"`
	MilliCores   int64  `json:"milli_cores"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int64  `json:"accelerators"`
}

func (p *Pool) getUsage(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "after: a number is needed")
	}
	worker := c.Param("worker")
	u, err := longPoll(p, c, func(s *state, expired bool) (usageDocument, bool) {
		u := p.due(s, worker, after)
		return u, expired || len(u.Reports) > 0
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, u)
}

// due returns the reports of a worker that follow the number after and are due.
func (p *Pool) due(s *state, worker string, after uint64) usageDocument {
	u := usageDocument{
		Next:    after,
		Reports: []reportDocument{},
	}
	for _, r := range s.reports[worker] {
		if r.number <= after || r.due.After(p.now()) {
			continue
		}
		u.Next = r.number
		u.Reports = append(u.Reports, reportDocument{
			Team:         r.team,
			Kind:         r.kind,
			MilliCores:   r.used.MilliCores(),
			MemoryBytes:  r.used.MemoryBytes(),
			Accelerators: r.used.Accelerators(),
		})
	}
	return u
}

func (p *Pool) renewLease(c echo.Context) error {
	return p.updateLease(c, func(s *state, l *lease) int {
		if !s.faults[l.worker].ignoreRenewals {
			l.expires = p.now().Add(l.ttl)
		}
		return http.StatusNoContent
	})
}

func (p *Pool) stopTask(c echo.Context) error {
	return p.updateLease(c, func(s *state, l *lease) int {
		p.finish(s, l, stopped)
		return http.StatusNoContent
	})
}

func (p *Pool) controlTask(c echo.Context) error {
	var body struct {
		Action string `json:"action"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return p.updateLease(c, func(s *state, l *lease) int { return p.applyAction(s, l, body.Action) })
}

// updateLease applies f to a lease that has not ended.
func (p *Pool) updateLease(c echo.Context, f func(*state, *lease) int) error {
	id := c.Param("*")
	status := make(chan int, 1)
	err := p.do(c.Request().Context(), func(s *state) {
		if l, ok := s.leases[id]; ok && l.active() {
			status <- f(s, l)
			return
		}
		status <- http.StatusNotFound
	})
	if err != nil {
		return err
	}
	return c.NoContent(<-status)
}

type faultDocument struct {
	Worker         string `json:"worker"`
	FailAll        bool   `json:"fail_all"`
	IgnoreRenewals bool   `json:"lapse"`
	RefuseLeases   bool   `json:"refuse"`
}

// fault replaces the faults of a worker, or of all workers if the name is empty.
func (p *Pool) fault(c echo.Context) error {
	var body faultDocument
	dec := json.NewDecoder(c.Request().Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	err := p.do(c.Request().Context(), func(s *state) {
		for name := range s.workers {
			if body.Worker == "" || body.Worker == name {
				s.faults[name] = fault{
					failAll:        body.FailAll,
					ignoreRenewals: body.IgnoreRenewals,
					refuseLeases:   body.RefuseLeases,
				}
			}
		}
	})
	if err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Pool) getCounts(c echo.Context) error {
	n, err := p.record.Counts(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]int64{
		"tasks_started":       n.Started(),
		"tasks_started_twice": n.Duplicated(),
	})
}
