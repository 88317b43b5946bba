// Package pool is a stand-in for the platform's worker pool.
//
// Workers have cores, memory and accelerators and stand in racks. A task runs on
// a worker under a lease; when the lease is not renewed the pool stops the task
// and reports it as lost. One goroutine owns all leases, and each HTTP request is
// a message to it.
package pool

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/standin/record"
	"greengagedoor.example/greengagedoor/internal/process/standin/target"
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

type lease struct {
	worker  string
	taken   configuration.Resources
	state   string
	echo    string
	ends    time.Time
	expires time.Time
	ttl     time.Duration
	fail    bool
}

type waiting struct {
	id    string
	until time.Time
	reply chan lease
}

type state struct {
	workers map[string]Worker
	used    map[string]configuration.Resources
	leases  map[string]*lease
	waiting []waiting
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

func (p *Pool) sweep(s *state) {
	now := p.now()
	for _, l := range s.leases {
		if l.state != "running" {
			continue
		}
		switch {
		case !l.ends.After(now) && l.fail:
			finish(s, l, "failed")
		case !l.ends.After(now):
			finish(s, l, "succeeded")
		case !l.expires.After(now):
			finish(s, l, "lost")
		}
	}
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		l := s.leases[w.id]
		if l.state == "running" && w.until.After(now) {
			kept = append(kept, w)
			continue
		}
		w.reply <- *l
	}
	s.waiting = kept
}

func finish(s *state, l *lease, how string) {
	l.state = how
	s.used[l.worker] = s.used[l.worker].Sub(l.taken)
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
	e.DELETE("/v1/leases/*", p.stop)
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
	status := http.StatusCreated
	err = p.do(c.Request().Context(), func(s *state) {
		status = p.start(s, c.Param("worker"), body, r)
	})
	if err != nil {
		return err
	}
	if status == http.StatusCreated {
		if _, err := p.record.Start(c.Request().Context(), body.Lease); err != nil {
			return err
		}
	}
	return c.NoContent(status)
}

func (p *Pool) start(s *state, worker string, body placeDocument, r configuration.Resources) int {
	w, ok := s.workers[worker]
	if !ok {
		return http.StatusNotFound
	}
	if _, ok := s.leases[body.Lease]; ok {
		return http.StatusOK
	}
	if !r.Fits(w.resources.Sub(s.used[worker])) {
		return http.StatusConflict
	}
	now := p.now()
	work := target.ParseWork(body.Payload)
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.used[worker] = s.used[worker].Add(r)
	s.leases[body.Lease] = &lease{
		worker:  worker,
		taken:   r,
		state:   "running",
		echo:    work.Echo(),
		ends:    now.Add(work.RunTime()),
		expires: now.Add(ttl),
		ttl:     ttl,
		fail:    work.Fail(),
	}
	return http.StatusCreated
}

func (p *Pool) wait(c echo.Context) error {
	id := c.Param("*")
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil || wait < 0 || wait > maxWait {
		wait = 0
	}
	reply := make(chan lease, 1)
	found := false
	err = p.do(c.Request().Context(), func(s *state) {
		if _, found = s.leases[id]; found {
			s.waiting = append(s.waiting, waiting{
				id:    id,
				until: p.now().Add(wait),
				reply: reply,
			})
		}
	})
	if err != nil {
		return err
	}
	if !found {
		return c.NoContent(http.StatusNotFound)
	}
	select {
	case l := <-reply:
		return c.JSON(http.StatusOK, map[string]any{
			"state":  l.state,
			"result": []byte(l.echo),
		})
	case <-c.Request().Context().Done():
		return c.Request().Context().Err()
	}
}

func (p *Pool) renew(c echo.Context) error {
	return p.change(c, func(_ *state, l *lease) { l.expires = p.now().Add(l.ttl) })
}

func (p *Pool) stop(c echo.Context) error {
	return p.change(c, func(s *state, l *lease) { finish(s, l, "stopped") })
}

func (p *Pool) change(c echo.Context, f func(*state, *lease)) error {
	found := false
	err := p.do(c.Request().Context(), func(s *state) {
		l, ok := s.leases[c.Param("*")]
		found = ok && l.state == "running"
		if found {
			f(s, l)
		}
	})
	if err != nil {
		return err
	}
	if !found {
		return c.NoContent(http.StatusNotFound)
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
		"tasks_started_twice": n.Twice(),
	})
}
