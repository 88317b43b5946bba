// Package dispatch decides for one entry where tasks run and what callers are
// told.
//
// An entry owns a job from its request to its answer. It keeps the tasks in one
// queue, places each on an agent with room at the last moment, places it again
// where a run failed or was lost, and answers the caller once. A job lives as
// long as its request: the store has no part in it.
//
// A task never runs twice at once. The entry starts it elsewhere only when the
// agent has reported the end of the former run, or when that run has certainly
// ended: an agent that is not heard of stops an entry's runs after a stated
// silence, and the lease on its target ends soon after (see package station).
//
// Room on targets is scarce at the crest. Jobs are ordered by the latest moment
// at which they can start and still meet their commitment, and what can't be
// served is refused at once while it is still certain that nothing ran.
//
// The decision is one value that is told of events with the time of the entry's
// clock and returns what is to be done. It has no goroutine, clock, socket or log.
package dispatch

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// Timing has the times that entries and agents agree on.
type Timing struct {
	silence time.Duration
	gone    time.Duration
	beat    time.Duration
}

// NewTiming returns the times: after how long a silent peer counts as lost, how
// long after its last sign of life all of its runs have ended, and the longest
// time between two frames to a peer.
func NewTiming(silence, gone, beat time.Duration) Timing {
	return Timing{
		silence: silence,
		gone:    gone,
		beat:    beat,
	}
}

// Dispatch is the decision of an entry.
type Dispatch struct {
	timing   Timing
	hello    frame.Hello
	version  *route.Version
	config   frame.Config
	agents   map[string]*agent
	sessions map[uint64]*agent
	// connected lists the agents of sessions, by the number of the session.
	connected []*agent
	entries   map[uint64]*peer
	jobs      map[string]*job
	requests  map[uint64]*job
	queue     []*job
	busy      map[string]*attempt
	ended     map[string]past
	learned   *learner
	fair      *fairness
	// loads is the load when the event came; nil before it was measured.
	loads   load
	leaving bool
	out     Output
}

// peer is a connection to another entry.
type peer struct {
	session uint64
	name    string
	heard   time.Duration
	sent    time.Duration
	config  int64
	greeted bool
	cancels []string
}

// past is the answer of a job that has ended.
type past struct {
	state State
	at    time.Duration
}

// pastLife is how long the answer of an ended job is kept for a request that
// arrives again.
const pastLife = 10 * time.Second

// New returns the decision of an entry that introduces itself with hello.
func New(hello frame.Hello, timing Timing) *Dispatch {
	return &Dispatch{
		timing:   timing,
		hello:    hello,
		agents:   map[string]*agent{},
		sessions: map[uint64]*agent{},
		entries:  map[uint64]*peer{},
		jobs:     map[string]*job{},
		requests: map[uint64]*job{},
		busy:     map[string]*attempt{},
		ended:    map[string]past{},
		learned:  newLearner(),
		fair:     newFairness(),
	}
}

// Handle takes one event and returns what is to be done.
func (d *Dispatch) Handle(now time.Duration, ev Event) Output {
	d.out = Output{}
	d.loads = nil
	d.expireSessions(now)
	d.learned.fade(now)
	d.take(now, ev)
	d.expireJobs(now)
	d.release(now)
	d.place(now)
	d.review(now)
	d.flush(now)
	return d.out
}

func (d *Dispatch) take(now time.Duration, ev Event) {
	switch {
	case ev.submit != nil:
		d.submit(now, *ev.submit)
	case ev.left != 0:
		d.callerLeft(now, ev.left)
	case ev.cancel != nil:
		d.cancel(now, *ev.cancel)
	case ev.opened != nil:
		d.open(now, *ev.opened)
	case ev.received != nil:
		d.receive(now, *ev.received)
	case ev.closed != 0:
		d.closeSession(now, ev.closed, "closed")
	case ev.query != nil:
		d.query(*ev.query)
	case ev.version != nil:
		d.learnVersion(ev.version, ev.config)
	case ev.leave:
		d.leaving = true
	}
}

// Ready tells whether the entry can serve new callers.
func (d *Dispatch) Ready() bool {
	return d.version != nil && !d.leaving && d.usableAgents() > 0
}

// Idle tells whether no job is held.
func (d *Dispatch) Idle() bool {
	return len(d.jobs) == 0
}

// Version is the configuration in force, nil for none.
func (d *Dispatch) Version() *route.Version {
	return d.version
}

func (d *Dispatch) learnVersion(v *route.Version, c frame.Config) {
	if d.version != nil && v.Number() <= d.version.Number() {
		return
	}
	d.version = v
	d.config = c
	d.note(event.ConfigChanged, event.F("version", v.Number()), event.F("routes", len(v.Routes())))
}

func (d *Dispatch) usableAgents() int {
	n := 0
	for _, a := range d.agents {
		if a.usable() {
			n++
		}
	}
	return n
}

func (d *Dispatch) note(name event.Name, fields ...event.Field) {
	d.out.notes = append(d.out.notes, event.New(name, fields...))
}

// flush sends each peer what it has to know.
func (d *Dispatch) flush(now time.Duration) {
	for _, a := range d.connected {
		if a.due(now, d.timing) {
			d.send(now, a)
		}
	}
	for _, n := range d.peersWhere(func(p *peer) bool {
		return !p.greeted || len(p.cancels) > 0 || now-p.sent >= d.timing.beat || d.config.Number() > p.config
	}) {
		d.sendPeer(now, d.entries[n])
	}
}

// peersWhere lists the connections to entries for which ok holds, in order.
func (d *Dispatch) peersWhere(ok func(*peer) bool) []uint64 {
	var numbers []uint64
	for n, p := range d.entries {
		if ok(p) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (d *Dispatch) sendPeer(now time.Duration, p *peer) {
	f := frame.Frame{
		Clock:         now,
		ConfigVersion: d.config.Number(),
		Leaving:       d.leaving,
		Cancels:       p.cancels,
	}
	p.config = d.addConfig(&f, p.config)
	p.greeted = true
	p.cancels = nil
	p.sent = now
	d.out.frames = append(d.out.frames, OutgoingFrame{
		session: p.session,
		frame:   f,
	})
}

// addConfig puts the configuration into a frame for a process that knows an
// older one, and returns what it knows then.
func (d *Dispatch) addConfig(f *frame.Frame, known int64) int64 {
	if d.config.Number() <= known {
		return known
	}
	c := d.config
	f.Config = &c
	return c.Number()
}

func resources(cores, memory, accels int64) task.Resources {
	r, err := task.NewResources(cores, memory, accels)
	if err != nil {
		// Waiting starts take more than there is; nothing is free then.
		return task.Resources{}
	}
	return r
}
