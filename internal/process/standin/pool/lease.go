package pool

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/standin/target"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// States of a lease.
const (
	running   = "running"
	throttled = "throttled"
	suspended = "suspended"
	succeeded = "succeeded"
	failed    = "failed"
	stopped   = "stopped"
	lost      = "lost"
)

const (
	// usageDelay is the time between the end of a task and its usage report.
	usageDelay = 500 * time.Millisecond
	// maxReports bounds the reports stored for one worker.
	maxReports = 1000
)

// lease is a task on a worker. reserved is what it occupies now, actualUse is what
// its usage report will say, and remaining is its run time left at full speed.
type lease struct {
	worker    string
	team      string
	kind      string
	requested configuration.Resources
	reserved  configuration.Resources
	actualUse configuration.Resources
	state     string
	echo      string
	remaining time.Duration
	updatedAt time.Time
	expires   time.Time
	ttl       time.Duration
	fail      bool
}

// active reports whether the lease has not ended.
func (l *lease) active() bool {
	return l.state == running || l.state == throttled || l.state == suspended
}

// advance accounts for the progress of the task until now.
func (l *lease) advance(now time.Time) {
	switch l.state {
	case running:
		l.remaining -= now.Sub(l.updatedAt)
	case throttled:
		l.remaining -= now.Sub(l.updatedAt) / 2
	}
	l.updatedAt = now
}

// report is the usage of a task. It can be read from due on.
type report struct {
	number uint64
	due    time.Time
	team   string
	kind   string
	used   configuration.Resources
}

// fault is the set of faults injected into a worker.
type fault struct {
	failAll        bool
	ignoreRenewals bool
	refuseLeases   bool
}

type state struct {
	workers map[string]Worker
	used    map[string]configuration.Resources
	leases  map[string]*lease
	pending []pending
	reports map[string][]report
	number  uint64
	faults  map[string]fault
}

// start places a task and returns the HTTP status and, on a refusal, its reason.
// It is idempotent: a lease that exists already gives status 200.
func (p *Pool) start(s *state, worker string, body placeDocument, r configuration.Resources) (int, string) {
	w, ok := s.workers[worker]
	if !ok {
		return http.StatusNotFound, "no such worker"
	}
	if _, ok := s.leases[body.Lease]; ok {
		return http.StatusOK, ""
	}
	switch {
	case s.faults[worker].refuseLeases:
		return http.StatusServiceUnavailable, "the worker takes no leases"
	case !r.Fits(w.resources):
		return http.StatusUnprocessableEntity, "the worker has " + w.resources.String() + ", the lease asks for " + r.String()
	case !r.Fits(w.resources.Sub(s.used[worker])):
		return http.StatusConflict, "the worker has no room now"
	}
	now := p.now()
	work := target.ParseWork(body.Payload)
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.used[worker] = s.used[worker].Add(r)
	l := &lease{
		worker:    worker,
		team:      body.Team,
		kind:      body.Kind,
		requested: r,
		reserved:  r,
		actualUse: parseActualUse(body.Payload, r),
		state:     running,
		echo:      work.Echo(),
		remaining: work.RunTime(),
		updatedAt: now,
		expires:   now.Add(ttl),
		ttl:       ttl,
		fail:      work.Fail(),
	}
	if s.faults[worker].failAll {
		l.fail = true
		l.remaining = 0
	}
	s.leases[body.Lease] = l
	return http.StatusCreated, ""
}

// parseActualUse returns the resources that a task uses, which may differ from those
// of its lease.
func parseActualUse(payload []byte, r configuration.Resources) configuration.Resources {
	var u struct {
		MilliCores  *int64 `json:"use_milli_cores"`
		MemoryBytes *int64 `json:"use_memory_bytes"`
	}
	if err := json.Unmarshal(payload, &u); err != nil {
		return r
	}
	cores, memory := r.MilliCores(), r.MemoryBytes()
	if u.MilliCores != nil {
		cores = *u.MilliCores
	}
	if u.MemoryBytes != nil {
		memory = *u.MemoryBytes
	}
	actualUse, err := configuration.NewResources(cores, memory, r.Accelerators())
	if err != nil {
		return r
	}
	return actualUse
}

// finish ends a lease, frees its resources and reports its usage.
func (p *Pool) finish(s *state, l *lease, endState string) {
	l.state = endState
	s.used[l.worker] = s.used[l.worker].Sub(l.reserved)
	s.number++
	list := append(s.reports[l.worker], report{
		number: s.number,
		due:    p.now().Add(usageDelay),
		team:   l.team,
		kind:   l.kind,
		used:   l.actualUse,
	})
	if len(list) > maxReports {
		list = list[len(list)-maxReports:]
	}
	s.reports[l.worker] = list
}

// applyAction checkpoints, throttles or resumes a task and returns the HTTP status.
func (p *Pool) applyAction(s *state, l *lease, action string) int {
	l.advance(p.now())
	want := l.reserved
	next := l.state
	switch {
	case action == "checkpoint":
		next, want = suspended, configuration.Resources{}
	case action == "throttle" && l.state == running:
		next, want = throttled, throttledResources(l.requested)
	case action == "resume":
		next, want = running, l.requested
	case action != "throttle":
		return http.StatusBadRequest
	}
	used := s.used[l.worker].Sub(l.reserved)
	if !want.Fits(s.workers[l.worker].resources.Sub(used)) {
		return http.StatusConflict
	}
	s.used[l.worker] = used.Add(want)
	l.reserved = want
	l.state = next
	return http.StatusNoContent
}

// throttledResources returns what a throttled task keeps: its memory, its
// accelerators, and half of its cores, rounded up.
func throttledResources(r configuration.Resources) configuration.Resources {
	cores := r.MilliCores() - int64(math.Floor(float64(r.MilliCores())/2))
	h, err := configuration.NewResources(cores, r.MemoryBytes(), r.Accelerators())
	if err != nil {
		return r
	}
	return h
}

func (p *Pool) sweep(s *state) {
	now := p.now()
	for _, l := range s.leases {
		if !l.active() {
			continue
		}
		l.advance(now)
		switch {
		case l.remaining <= 0 && l.state != suspended && l.fail:
			p.finish(s, l, failed)
		case l.remaining <= 0 && l.state != suspended:
			p.finish(s, l, succeeded)
		case !l.expires.After(now):
			p.finish(s, l, lost)
		}
	}
	unanswered := s.pending[:0]
	for _, q := range s.pending {
		if !q.done(s, now) {
			unanswered = append(unanswered, q)
		}
	}
	s.pending = unanswered
}
