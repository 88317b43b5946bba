// Package dispatch decides for one entry where tasks run and how callers are
// answered.
//
// An entry owns a job from its request to its answer. It keeps tasks in one queue,
// assigns each as late as possible to an agent with free capacity, retries it
// after a failed or lost run, and answers the caller once. A job lives in memory
// for as long as its request; the store is not involved.
//
// A task never runs twice at the same time. The entry starts another run only
// after the agent has reported the end of the previous run, or when that run has
// certainly ended: an agent that receives no frames from the entry stops its runs
// after a fixed timeout, and the lease on the target expires soon after (see
// package executor).
//
// Target capacity is scarce at load peaks. A job is ordered by its arrival, its
// priority and a share of its slack, which is the time until the latest start that
// meets its commitment. A job that cannot be served is refused early, while it is
// certain that nothing has run.
//
// Dispatch is a state machine. It takes events with the time of the entry's clock
// and returns the actions to perform. It has no goroutine, clock, socket or log.
package dispatch

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/transfer"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/admission"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// Timing holds the intervals and timeouts that entries and agents agree on.
type Timing struct {
	sessionTimeout    time.Duration
	runsEndWithin     time.Duration
	heartbeatInterval time.Duration
	configApply       time.Duration
}

// defaultRemoteFactor applies where no factor for tasks away from their data is set.
const defaultRemoteFactor = 1.5

// defaultConfigApply is the time in which a confirmed configuration must be in force
// everywhere, where none is set.
const defaultConfigApply = 2 * time.Second

// NewTiming returns a Timing from the silence after which the session of a peer
// ends, the time after an agent's last frame by which all runs of the session have
// ended, and the longest interval between two frames to a peer.
func NewTiming(sessionTimeout, runsEndWithin, heartbeatInterval time.Duration) Timing {
	return Timing{
		sessionTimeout:    sessionTimeout,
		runsEndWithin:     runsEndWithin,
		heartbeatInterval: heartbeatInterval,
		configApply:       defaultConfigApply,
	}
}

// WithConfigApply returns the Timing with the time in which a confirmed configuration
// must be in force everywhere.
func (t Timing) WithConfigApply(d time.Duration) Timing {
	t.configApply = d
	return t
}

// Dispatch is the state machine of an entry.
type Dispatch struct {
	timing  Timing
	hello   frame.Hello
	version *route.Version
	// configuration is the active version in packed form, and what other processes have.
	configuration transfer.Exchange
	// storeAnswers is set while the store answers this entry.
	storeAnswers bool
	// refusing is set while new jobs are refused since the version is too old.
	refusing bool
	agents   map[string]*agent
	sessions map[uint64]*agent
	// connected lists the agents of sessions, sorted by session number.
	connected []*agent
	// serviceAgents is the number of connected agents by the service of their target.
	serviceAgents map[string]int
	// workAgents is the number of connected agents outside evacuated availability zones, and
	// zoneAgents that of those in the entry's own zone.
	workAgents int
	zoneAgents int
	peers      map[uint64]*peer
	jobs       map[string]*job
	requests   map[uint64]*job
	queue      []*job
	// candidates and scratch are reused: the agents that can get work in this pass, and
	// a copy of the queue while it changes.
	candidates []*agent
	scratch    []*job
	// nextReview is when the queue is reviewed again, and nextDepartureReview when the runs
	// on leaving targets are.
	nextReview          time.Duration
	nextDepartureReview time.Duration
	// running has the current attempt of each task that may be running, by task name.
	running  map[string]*attempt
	finished map[string]finishedJob
	// finishedOrder lists the ids of finished in the order of their times.
	finishedOrder []string
	// nextDeadline is at or before the earliest deadline of the jobs.
	nextDeadline time.Duration
	// disconnected lists the agents that have no session or have lost runs, by name.
	disconnected []*agent
	estimates    *estimator
	fairness     *fairness
	overload     overload
	// decide decides whether a job is accepted, and keep whether it stays in the queue.
	decide Decide
	keep   Decide
	// lastPlaced is when a task of each service was last placed.
	lastPlaced map[string]time.Duration
	// remoteFactor is the run time of a task away from its data over that beside it.
	remoteFactor float64
	// neverWait is set if tasks do not wait for the rack with their data.
	neverWait bool
	// waitingFor counts the tasks that wait for a place on a rack in this pass.
	waitingFor map[string]int
	// freed has the room that runs of other entries free on each rack.
	freed map[string]*freedRoom
	// loads has the load by hardware label, and lowestLoad the lowest of them, 1 if
	// there is none. They were measured in this pass if loadMeasured is set.
	loads        map[string]*hardwareLoad
	lowestLoad   float64
	loadMeasured bool
	startup      startup
	cancelled    cancellations
	// evacuated is the newest known set of evacuated zones, and evacuatedZones what is told
	// of each of them.
	evacuated      evacuation.Set
	evacuatedZones map[string]*evacuatedZone
	leaving        bool
	// lastAnswer is when a leaving entry has answered all callers.
	lastAnswer time.Duration
	out        Output
}

// peer is a connection to another entry.
type peer struct {
	session  uint64
	name     string
	zone     string
	lastSeen time.Duration
	lastSent time.Duration
	// knownConfig is the number of the configuration that the peer has.
	knownConfig int64
	// knownEvacuations is the newest set of evacuated zones that the peer is known to have.
	knownEvacuations evacuation.Set
	// introduced is set once the first frame of the session has been sent.
	introduced bool
	cancels    []string
}

// finishedJob is the outcome of a job that has been answered.
type finishedJob struct {
	state      State
	finishedAt time.Duration
}

// answerRetention is how long the outcome of a finished job is kept for a request
// that is submitted again.
const answerRetention = 10 * time.Second

// New returns the state machine of an entry that introduces itself with hello.
func New(hello frame.Hello, timing Timing) *Dispatch {
	return &Dispatch{
		timing:         timing,
		hello:          hello,
		agents:         map[string]*agent{},
		sessions:       map[uint64]*agent{},
		serviceAgents:  map[string]int{},
		peers:          map[uint64]*peer{},
		jobs:           map[string]*job{},
		requests:       map[uint64]*job{},
		running:        map[string]*attempt{},
		finished:       map[string]finishedJob{},
		loads:          map[string]*hardwareLoad{},
		evacuatedZones: map[string]*evacuatedZone{},
		lastPlaced:     map[string]time.Duration{},
		estimates:      newEstimator(),
		fairness:       newFairness(),
		overload:       newOverload(timing),
		cancelled:      newCancellations(),
		decide:         admission.Decide,
		keep:           admission.Keep,
		remoteFactor:   defaultRemoteFactor,
		waitingFor:     map[string]int{},
		freed:          map[string]*freedRoom{},
	}
}

// WithRemoteFactor sets the factor by which a task takes longer on another rack than the
// one with its data. Zero keeps the default. It returns the state machine.
func (d *Dispatch) WithRemoteFactor(f float64) *Dispatch {
	if f > 0 {
		d.remoteFactor = f
	}
	return d
}

// WithoutWaits makes tasks start at once where there is room, whatever rack has their
// data. It returns the state machine.
func (d *Dispatch) WithoutWaits() *Dispatch {
	d.neverWait = true
	return d
}

// Handle processes events in their order and returns the actions to perform. It
// decides once for all of them, so that an entry that is short of processor time
// spends less of it on each event.
func (d *Dispatch) Handle(now time.Duration, events ...Event) Output {
	d.out = Output{}
	d.loadMeasured = false
	d.startup.begin(now)
	d.expireSessions(now)
	d.estimates.decay(now)
	d.updateWarmUps(now)
	d.updateLag(now, events)
	for _, ev := range events {
		d.updateRefusing(now)
		d.apply(now, ev)
	}
	d.updateRefusing(now)
	d.submitHeld(now)
	d.expireJobs(now)
	d.refuseUnfinishable(now)
	d.expireLostRuns(now)
	d.reviewDepartures(now)
	d.place(now)
	d.reviewQueue(now)
	d.sendFrames(now)
	return d.out
}

func (d *Dispatch) apply(now time.Duration, ev Event) {
	switch {
	case ev.submission != nil:
		d.submit(now, *ev.submission)
	case ev.callerLeft != 0:
		d.callerLeft(now, ev.callerLeft)
	case ev.cancel != nil:
		d.cancel(now, *ev.cancel)
	case ev.opened != nil:
		d.openSession(now, *ev.opened)
	case ev.received != nil:
		d.receive(now, *ev.received)
	case ev.closed != 0:
		d.closeSession(now, ev.closed, "closed")
	case ev.query != nil:
		d.query(now, *ev.query)
	case ev.version != nil:
		d.updateVersion(now, ev)
	case ev.storeRead != nil:
		d.configuration.Refuted(ev.storeRead.newest, ev.storeRead.began)
	case ev.storeAnswers != nil:
		d.storeAnswers = *ev.storeAnswers
	case ev.unusable != 0:
		d.configuration.Unusable(ev.unusable)
	case ev.evacuated != nil:
		d.updateEvacuated(now, *ev.evacuated, StoreSource)
	case ev.shutdown != nil:
		d.shutDown(now, *ev.shutdown)
	}
}

// Ready reports whether the entry can serve new callers.
func (d *Dispatch) Ready() bool {
	return d.version != nil && !d.leaving && d.usableAgents() > 0 && !d.refusing
}

// Idle reports whether the entry holds no job.
func (d *Dispatch) Idle() bool {
	return len(d.jobs)+len(d.startup.held) == 0
}

// Version returns the active configuration, nil if there is none.
func (d *Dispatch) Version() *route.Version {
	return d.version
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

func (d *Dispatch) logEvent(name event.Name, fields ...event.Field) {
	d.out.notes = append(d.out.notes, event.New(name, fields...))
}

// sendFrames sends every peer the frame that is due.
func (d *Dispatch) sendFrames(now time.Duration) {
	for _, a := range d.connected {
		if a.frameDue(now, d.timing, d.evacuated) {
			d.sendAgent(now, a)
		}
	}
	for _, n := range d.peersWhere(func(p *peer) bool {
		return !p.introduced || len(p.cancels) > 0 || d.evacuated.News(p.knownEvacuations) || now-p.lastSent >= d.timing.heartbeatInterval
	}) {
		d.sendPeer(now, d.peers[n])
	}
	d.sendConfiguration(now)
}

// peersWhere returns the sorted session numbers of the entries for which ok holds.
func (d *Dispatch) peersWhere(ok func(*peer) bool) []uint64 {
	var numbers []uint64
	for n, p := range d.peers {
		if ok(p) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (d *Dispatch) sendPeer(now time.Duration, p *peer) {
	f := d.configuration.Announce(now, frame.Frame{
		Clock:   now,
		Leaving: d.leaving,
		Cancels: p.cancels,
	})
	if d.evacuated.News(p.knownEvacuations) {
		f.Evacuated = d.evacuated
		p.knownEvacuations = d.evacuated
	}
	p.introduced = true
	p.cancels = nil
	p.lastSent = now
	d.out.frames = append(d.out.frames, OutgoingFrame{
		session: p.session,
		frame:   f,
	})
}

// resourcesOrZero returns the resources, or none if a value is invalid. A negative
// value means that queued starts need more than is free.
func resourcesOrZero(cores, memory, accels int64) task.Resources {
	r, err := task.NewResources(cores, memory, accels)
	if err != nil {
		return task.Resources{}
	}
	return r
}
