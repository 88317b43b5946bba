// Package pool is a stand-in for the platform's worker pool.
//
// Workers have cores, memory and accelerators and stand in racks. A task runs on
// a worker under a lease; when the lease is not renewed the pool stops the task
// and reports it as lost. Tasks can be checkpointed, throttled, resumed and
// stopped, and what they took is reported late. The interface is described in
// docs/worker_pool.md. One goroutine owns all leases, and each HTTP request is
// a message to it.
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

// Worker is one worker of the pool.
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

// waiting is a request that is held until done has replied to it.
type waiting struct {
	done func(s *state, now time.Time) bool
}

// Pool is the stand-in.
type Pool struct {
	ring    *ring.Ring[func(*state)]
	record  *record.Record
	now     func() time.Time
	workers []Worker
}

// New returns a pool of workers; Run must be running for it to answer.
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

// Register adds the pool's interface to a server.
func (p *Pool) Register(e *echo.Echo) {
	e.GET("/v1/workers", p.list)
	e.POST("/v1/workers/:worker/leases", p.place)
	e.GET("/v1/leases/*", p.wait)
	e.PUT("/v1/leases/*", p.renew)
	e.PATCH("/v1/leases/*", p.control)
	e.DELETE("/v1/leases/*", p.stop)
	e.GET("/v1/workers/:worker/usage", p.usage)
	e.POST("/standin/faults", p.fault)
	e.GET("/standin/counts", p.counts)
}

type workerDocument struct {
	Name         string `json:"name"`
	Zone         string `json:"availability_zone"`
	Rack         string `json:"rack"`
	MilliCores   int64  `json:"milli_cores"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int64  `json:"accelerators"`
}

func (p *Pool) list(c echo.Context) error {
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

func (p *Pool) place(c echo.Context) error {
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

func waitOf(c echo.Context) time.Duration {
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil || wait < 0 || wait > maxWait {
		return 0
	}
	return wait
}

// hold keeps a request until ready returns a reply or the wait is over.
func hold[T any](p *Pool, c echo.Context, ready func(s *state, over bool) (T, bool)) (T, error) {
	var zero T
	reply := make(chan T, 1)
	until := p.now().Add(waitOf(c))
	err := p.do(c.Request().Context(), func(s *state) {
		s.waiting = append(s.waiting, waiting{
			done: func(s *state, now time.Time) bool {
				v, ok := ready(s, !until.After(now))
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

func (p *Pool) wait(c echo.Context) error {
	id := c.Param("*")
	l, err := hold(p, c, func(s *state, over bool) (lease, bool) {
		l, ok := s.leases[id]
		if !ok {
			return lease{}, true
		}
		return *l, over || !l.live()
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

func (p *Pool) usage(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "after: a number is needed")
	}
	worker := c.Param("worker")
	u, err := hold(p, c, func(s *state, over bool) (usageDocument, bool) {
		u := p.due(s, worker, after)
		return u, over || len(u.Reports) > 0
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, u)
}

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

func (p *Pool) renew(c echo.Context) error {
	return p.change(c, func(s *state, l *lease) int {
		if !s.faults[l.worker].lapse {
			l.expires = p.now().Add(l.ttl)
		}
		return http.StatusNoContent
	})
}

func (p *Pool) stop(c echo.Context) error {
	return p.change(c, func(s *state, l *lease) int {
		p.finish(s, l, stopped)
		return http.StatusNoContent
	})
}

func (p *Pool) control(c echo.Context) error {
	var body struct {
		Action string `json:"action"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return p.change(c, func(s *state, l *lease) int { return p.act(s, l, body.Action) })
}

// change applies f to a lease that has not ended.
func (p *Pool) change(c echo.Context, f func(*state, *lease) int) error {
	id := c.Param("*")
	status := make(chan int, 1)
	err := p.do(c.Request().Context(), func(s *state) {
		if l, ok := s.leases[id]; ok && l.live() {
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
	Worker  string `json:"worker"`
	FailAll bool   `json:"fail_all"`
	Lapse   bool   `json:"lapse"`
	Refuse  bool   `json:"refuse"`
}

// fault replaces what is wrong with a worker; an empty name stands for all.
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
					failAll: body.FailAll,
					lapse:   body.Lapse,
					refuse:  body.Refuse,
				}
			}
		}
	})
	if err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Pool) counts(c echo.Context) error {
	n, err := p.record.Counts(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]int64{
		"tasks_started":       n.Started(),
		"tasks_started_twice": n.Duplicated(),
	})
}
