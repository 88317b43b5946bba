package pool

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/standin/target"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The states of a lease.
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
	// usageDelay is how late usage is reported.
	usageDelay = 500 * time.Millisecond
	// maxReports bounds the reports kept for one worker.
	maxReports = 1000
)

// lease is one task on a worker. Left is the run time that remains at full speed.
type lease struct {
	worker  string
	team    string
	kind    string
	whole   configuration.Resources
	taken   configuration.Resources
	uses    configuration.Resources
	state   string
	echo    string
	left    time.Duration
	at      time.Time
	expires time.Time
	ttl     time.Duration
	fail    bool
}

func (l *lease) live() bool {
	return l.state == running || l.state == throttled || l.state == suspended
}

// advance lets the task run until now.
func (l *lease) advance(now time.Time) {
	switch l.state {
	case running:
		l.left -= now.Sub(l.at)
	case throttled:
		l.left -= now.Sub(l.at) / 2
	}
	l.at = now
}

// report is the usage of one task; it can be read from due on.
type report struct {
	number uint64
	due    time.Time
	team   string
	kind   string
	used   configuration.Resources
}

// fault is what is wrong with a worker.
type fault struct {
	failAll bool
	lapse   bool
	refuse  bool
}

type state struct {
	workers map[string]Worker
	used    map[string]configuration.Resources
	leases  map[string]*lease
	waiting []waiting
	reports map[string][]report
	number  uint64
	faults  map[string]fault
}

// start places a task; the text says why it was refused.
func (p *Pool) start(s *state, worker string, body placeDocument, r configuration.Resources) (int, string) {
	w, ok := s.workers[worker]
	if !ok {
		return http.StatusNotFound, "no such worker"
	}
	if _, ok := s.leases[body.Lease]; ok {
		return http.StatusOK, ""
	}
	switch {
	case s.faults[worker].refuse:
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
		worker:  worker,
		team:    body.Team,
		kind:    body.Kind,
		whole:   r,
		taken:   r,
		uses:    parseUse(body.Payload, r),
		state:   running,
		echo:    work.Echo(),
		left:    work.RunTime(),
		at:      now,
		expires: now.Add(ttl),
		ttl:     ttl,
		fail:    work.Fail(),
	}
	if s.faults[worker].failAll {
		l.fail = true
		l.left = 0
	}
	s.leases[body.Lease] = l
	return http.StatusCreated, ""
}

// parseUse reads what a task really takes, which need not be what its lease says.
func parseUse(payload []byte, r configuration.Resources) configuration.Resources {
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
	uses, err := configuration.NewResources(cores, memory, r.Accelerators())
	if err != nil {
		return r
	}
	return uses
}

// finish ends a lease, gives its resources back and reports its usage.
func (p *Pool) finish(s *state, l *lease, how string) {
	l.state = how
	s.used[l.worker] = s.used[l.worker].Sub(l.taken)
	s.number++
	list := append(s.reports[l.worker], report{
		number: s.number,
		due:    p.now().Add(usageDelay),
		team:   l.team,
		kind:   l.kind,
		used:   l.uses,
	})
	if len(list) > maxReports {
		list = list[len(list)-maxReports:]
	}
	s.reports[l.worker] = list
}

// act makes a task give way or go on, and returns the status of the reply.
func (p *Pool) act(s *state, l *lease, action string) int {
	l.advance(p.now())
	want := l.taken
	next := l.state
	switch {
	case action == "checkpoint":
		next, want = suspended, configuration.Resources{}
	case action == "throttle" && l.state == running:
		next, want = throttled, half(l.whole)
	case action == "resume":
		next, want = running, l.whole
	case action != "throttle":
		return http.StatusBadRequest
	}
	used := s.used[l.worker].Sub(l.taken)
	if !want.Fits(s.workers[l.worker].resources.Sub(used)) {
		return http.StatusConflict
	}
	s.used[l.worker] = used.Add(want)
	l.taken = want
	l.state = next
	return http.StatusNoContent
}

// half is what a throttled task keeps: its memory, its accelerators, and half of
// its cores, rounded up.
func half(r configuration.Resources) configuration.Resources {
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
		if !l.live() {
			continue
		}
		l.advance(now)
		switch {
		case l.left <= 0 && l.state != suspended && l.fail:
			p.finish(s, l, failed)
		case l.left <= 0 && l.state != suspended:
			p.finish(s, l, succeeded)
		case !l.expires.After(now):
			p.finish(s, l, lost)
		}
	}
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if !w.done(s, now) {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
}
