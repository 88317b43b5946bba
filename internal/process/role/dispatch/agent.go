package dispatch

import (
	"slices"
	"sort"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// The limits of agents.
const (
	// maxReports is the number of reports of free capacity that all agents together
	// send in a second.
	maxReports = 800
	// agentRetention is how long a disconnected agent is kept, together with the
	// estimates of its target.
	agentRetention = 30 * time.Second
)

// agent is the known state of an agent and its target.
type agent struct {
	name        string
	incarnation uint64
	zone        string
	session     uint64
	target      frame.Target
	// warmUntil is when the target's warm-up ends, and warmUp what was left of it when this
	// pass began.
	warmUntil    time.Duration
	warmUp       time.Duration
	size         task.Resources
	free         task.Resources
	queuedStarts int
	leaving      bool
	// leavesAt is the earliest time at which the target ends what it runs, 0 if it has not
	// announced that it leaves.
	leavesAt time.Duration
	// evacuated is set while the agent is in an evacuated availability zone, and
	// knownEvacuations is the newest set of those zones that it is known to have.
	evacuated        bool
	knownEvacuations evacuation.Set

	// clock is the agent's clock in its last frame, which was received at lastSeen.
	clock    time.Duration
	lastSeen time.Duration
	lastSent time.Duration
	// heard is set if a frame has been received since the last one was sent.
	heard bool

	// lastStart is the number of the newest start of the session.
	lastStart  uint64
	unreported []unreportedStart
	runs       map[frame.RunID]*attempt
	starts     []*frame.Start
	stops      []frame.RunID
	// introduced is set once the first frame of the session has been sent.
	introduced bool
	// knownConfig is the number of the configuration that the agent has a copy of.
	knownConfig int64
	// keepsConfig is set if the agent is asked to keep a copy of the configuration.
	keepsConfig bool
	cleared     bool
	health      health
	// speed and load are those of the target and of its hardware label.
	speed speed
	load  *hardwareLoad
	// left is the free capacity after the starts that the report does not include.
	left task.Resources
	// backoffUntil is when the agent may get new work after a refusal.
	backoffUntil time.Duration
	cancels      []string
}

// unreportedStart is a start that the agent's reported free capacity does not
// include yet.
type unreportedStart struct {
	number uint64
	need   task.Resources
}

func (a *agent) usable() bool {
	return a.session != 0 && !a.leaving && !a.evacuated && a.target.Usable()
}

// label returns the hardware label, which is the first label of the target.
func (a *agent) label() string {
	if l := a.target.Labels(); len(l) > 0 {
		return l[0]
	}
	return ""
}

// rack returns the rack, which is the second label of the target.
func (a *agent) rack() string {
	if l := a.target.Labels(); len(l) > 1 {
		return l[1]
	}
	return ""
}

func (a *agent) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range a.target.Labels() {
		if l == label {
			return true
		}
	}
	return false
}

func (a *agent) updateLeft() {
	a.left = a.free
	for _, u := range a.unreported {
		a.left = a.left.Sub(u.need)
	}
}

// frameDue reports whether a frame to the agent is due. Without content, a frame is only
// an answer: it echoes the time of a frame of the agent, which keeps the session. One that
// echoes the same time again would tell the agent nothing.
func (a *agent) frameDue(now time.Duration, t Timing, evacuated evacuation.Set) bool {
	if !a.introduced || len(a.starts)+len(a.stops)+len(a.cancels) > 0 || evacuated.News(a.knownEvacuations) {
		return true
	}
	interval := t.heartbeatInterval * 3 / 4
	if len(a.runs) > 0 {
		interval = t.heartbeatInterval / 2
	}
	return a.heard && now-a.lastSent >= interval
}

// reportInterval returns the interval at which an agent may report free capacity,
// so that the reports of a large site do not take the processor time of its smallest
// entries. Reports that come faster than the entry handles them are of no use to it.
// Agents of other availability zones report less often where most are of the own zone,
// since they get what these have no room for.
func (d *Dispatch) reportInterval(a *agent) time.Duration {
	interval := time.Duration(d.workAgents) * time.Second / maxReports
	if a.zone != d.hello.Zone() && 2*d.zoneAgents > d.workAgents {
		interval *= 2
	}
	return max(interval, d.overload.highest())
}

func (d *Dispatch) sendAgent(now time.Duration, a *agent) {
	f := d.configuration.Announce(now, frame.Frame{
		Echo:           a.clock,
		ReportInterval: d.reportInterval(a),
		Leaving:        d.leaving,
		Stops:          a.stops,
		Cancels:        a.cancels,
		KeepConfig:     a.keepsConfig,
		ServiceAgents:  d.serviceAgents[a.target.Service()],
	})
	for _, s := range a.starts {
		f.Starts = append(f.Starts, *s)
	}
	if d.evacuated.News(a.knownEvacuations) {
		f.Evacuated = d.evacuated
		a.knownEvacuations = d.evacuated
	}
	a.introduced = true
	a.starts = nil
	a.stops = nil
	a.cancels = nil
	a.lastSent = now
	a.heard = false
	d.out.frames = append(d.out.frames, OutgoingFrame{
		session: a.session,
		frame:   f,
	})
}

// openSession registers a new connection. It replaces a previous one of the same
// agent, whose runs end when the agent reports so or when their time has passed.
func (d *Dispatch) openSession(now time.Duration, o opened) {
	if o.hello.Role() == frame.RoleEntry {
		d.peers[o.session] = &peer{
			session:  o.session,
			name:     o.hello.Name(),
			zone:     o.hello.Zone(),
			lastSeen: now,
			// The entry may have been away when these were passed on.
			cancels: d.cancelled.newest(now),
		}
		return
	}
	name := o.hello.Name()
	a, ok := d.agents[name]
	if ok && a.session != 0 {
		d.out.sessionsToClose = append(d.out.sessionsToClose, a.session)
		d.closeSession(now, a.session, "replaced")
	}
	if !ok {
		a = &agent{
			name:  name,
			runs:  map[frame.RunID]*attempt{},
			speed: d.estimates.speed("", name),
			load:  d.loadOf(""),
		}
		d.agents[name] = a
	}
	a.incarnation = o.hello.Incarnation()
	a.zone = o.hello.Zone()
	a.session = o.session
	a.lastSeen = now
	a.clock = 0
	a.introduced = false
	a.knownConfig = 0
	a.lastStart = 0
	a.unreported = nil
	a.updateLeft()
	a.leaving = false
	a.cleared = false
	a.target = frame.Target{}
	a.leavesAt = 0
	a.knownEvacuations = evacuation.Set{}
	d.reviewEvacuated(a)
	d.sessions[o.session] = a
	at := sort.Search(len(d.connected), func(i int) bool { return d.connected[i].session > a.session })
	d.connected = slices.Insert(d.connected, at, a)
	d.chooseKeepers()
	d.countAgents()
	d.logEvent(event.SessionOpened, event.F("agent", name), event.F("session", o.session), event.F("boot", a.incarnation))
}

func (d *Dispatch) expireSessions(now time.Duration) {
	var silent []uint64
	for _, a := range d.connected {
		if now-a.lastSeen > d.timing.sessionTimeout {
			silent = append(silent, a.session)
		}
	}
	for _, n := range silent {
		d.out.sessionsToClose = append(d.out.sessionsToClose, n)
		d.closeSession(now, n, "silent")
	}
	for _, n := range d.peersWhere(func(p *peer) bool { return now-p.lastSeen > d.timing.sessionTimeout }) {
		d.out.sessionsToClose = append(d.out.sessionsToClose, n)
		d.configuration.Closed(n)
		delete(d.peers, n)
	}
}

// closeSession ends a connection. Its runs may continue for a limited time, after
// which their tasks are placed again.
func (d *Dispatch) closeSession(now time.Duration, number uint64, cause string) {
	delete(d.peers, number)
	d.configuration.Closed(number)
	a, ok := d.sessions[number]
	if !ok {
		return
	}
	delete(d.sessions, number)
	d.connected = slices.DeleteFunc(d.connected, func(x *agent) bool { return x == a })
	a.session = 0
	d.chooseKeepers()
	d.countAgents()
	d.addDisconnected(a)
	a.starts = nil
	a.stops = nil
	for _, x := range a.runs {
		if x.state != attemptLost {
			x.state = attemptLost
			x.endedBy = a.lastSeen + d.timing.runsEndWithin
			x.targetIncarnation = a.target.Incarnation()
		}
	}
	d.logEvent(event.SessionLost, event.F("agent", a.name), event.F("session", number), event.F("cause", cause),
		event.F("silent_ms", (now-a.lastSeen).Milliseconds()), event.F("runs", len(a.runs)))
}

// countAgents counts the connected agents by the service of their target, those outside
// evacuated availability zones, and those of the own zone among them.
func (d *Dispatch) countAgents() {
	clear(d.serviceAgents)
	d.workAgents = 0
	d.zoneAgents = 0
	for _, a := range d.connected {
		if !a.evacuated {
			d.workAgents++
		}
		if a.zone == d.hello.Zone() && !a.evacuated {
			d.zoneAgents++
		}
		if service := a.target.Service(); service != "" {
			d.serviceAgents[service]++
		}
	}
}

// hasLostRuns reports whether a run of an earlier session may not have ended.
func (a *agent) hasLostRuns() bool {
	for _, x := range a.runs {
		if x.state == attemptLost {
			return true
		}
	}
	return false
}

// addDisconnected adds an agent to the list of those that expireLostRuns examines.
func (d *Dispatch) addDisconnected(a *agent) {
	at, listed := slices.BinarySearchFunc(d.disconnected, a, func(x, y *agent) int { return strings.Compare(x.name, y.name) })
	if !listed {
		d.disconnected = slices.Insert(d.disconnected, at, a)
	}
}

// expireLostRuns retries the tasks of lost runs that have certainly ended, and
// removes agents that have been disconnected for agentRetention.
func (d *Dispatch) expireLostRuns(now time.Duration) {
	d.disconnected = slices.DeleteFunc(d.disconnected, func(a *agent) bool {
		for _, x := range a.lostAttempts(func(x *attempt) bool { return now >= x.endedBy }) {
			d.endAttempt(now, a, x, task.EndLost, 0)
		}
		if a.session != 0 {
			return !a.hasLostRuns()
		}
		if len(a.runs) == 0 && now-a.lastSeen > agentRetention {
			d.estimates.forget(a.name)
			delete(d.agents, a.name)
			return true
		}
		return false
	})
}

func (d *Dispatch) receive(now time.Duration, message received) {
	if p, ok := d.peers[message.session]; ok {
		p.lastSeen = now
		p.knownConfig = max(p.knownConfig, message.frame.ConfigVersion)
		p.knownEvacuations = d.receiveEvacuations(now, p.knownEvacuations, message.frame.Evacuated, p.name)
		d.receiveConfiguration(now, message, p.name)
		d.receiveCancels(now, p, message.frame.Cancels)
		return
	}
	a, ok := d.sessions[message.session]
	if !ok {
		return
	}
	f := message.frame
	a.lastSeen = now
	a.heard = true
	a.clock = max(a.clock, f.Clock)
	a.leaving = f.Leaving
	a.knownConfig = max(a.knownConfig, f.ConfigVersion)
	a.knownEvacuations = d.receiveEvacuations(now, a.knownEvacuations, f.Evacuated, a.name)
	d.receiveConfiguration(now, message, a.name)
	if f.Target != nil {
		d.updateTarget(now, a, *f.Target)
	}
	if f.FreeCapacity != nil {
		d.updateCapacity(now, a, *f.FreeCapacity)
	}
	for _, id := range f.Started {
		if x, ok := a.runs[id]; ok {
			x.began = now
		}
	}
	for _, p := range f.Progress {
		if x, ok := a.runs[p.ID()]; ok {
			d.updateProgress(now, a, x, p)
		}
	}
	for _, e := range f.Ended {
		if x, ok := a.runs[e.ID()]; ok && x.state != attemptLost {
			d.endAttempt(now, a, x, task.End(e.End()), e.RunTime())
		}
	}
	if f.EarlierRunsEnded {
		d.clearLostRuns(now, a)
	}
}

// clearLostRuns ends the lost runs of previous connections to an agent that reports
// none on its current target. Runs on a previous target may still continue.
func (d *Dispatch) clearLostRuns(now time.Duration, a *agent) {
	for _, x := range a.lostAttempts(func(x *attempt) bool { return x.targetIncarnation == a.target.Incarnation() }) {
		d.endAttempt(now, a, x, task.EndLost, 0)
	}
}
