package dispatch

import (
	"slices"
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// agent is what the entry knows about an agent and its target.
type agent struct {
	name    string
	boot    uint64
	zone    string
	session uint64
	target  frame.Target
	size    task.Resources
	free    task.Resources
	waiting int
	leaving bool

	// clock is the agent's clock in its last frame, which came at heard.
	clock time.Duration
	heard time.Duration
	sent  time.Duration

	number  uint64
	unseen  []unseenStart
	runs    map[frame.RunID]*attempt
	starts  []*frame.Start
	stops   []frame.RunID
	greeted bool
	config  int64
	cleared bool
	health  health
	// backoff is until when the agent gets no new work after a refusal.
	backoff time.Duration
	cancels []string
}

// unseenStart is a start that the agent's reported room does not include yet.
type unseenStart struct {
	number uint64
	need   task.Resources
}

func (a *agent) usable() bool {
	return a.session != 0 && !a.leaving && a.target.Usable()
}

// label names the kind of hardware, the first of a target's labels.
func (a *agent) label() string {
	if l := a.target.Labels(); len(l) > 0 {
		return l[0]
	}
	return ""
}

// rack names the rack, the second of a target's labels.
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

// open is the room that is left after the starts that the report does not include.
func (a *agent) open() task.Resources {
	free := a.free
	for _, u := range a.unseen {
		free = free.Sub(u.need)
	}
	return free
}

// due tells whether the agent has to be sent a frame.
func (a *agent) due(now time.Duration, t Timing) bool {
	if !a.greeted || len(a.starts)+len(a.stops)+len(a.cancels) > 0 {
		return true
	}
	beat := t.beat
	if len(a.runs) > 0 {
		beat /= 2
	}
	return now-a.sent >= beat
}

func (d *Dispatch) send(now time.Duration, a *agent) {
	f := frame.Frame{
		Echo:          a.clock,
		ConfigVersion: d.config.Number(),
		Leaving:       d.leaving,
		Stops:         a.stops,
		Cancels:       a.cancels,
	}
	for _, s := range a.starts {
		f.Starts = append(f.Starts, *s)
	}
	a.config = d.addConfig(&f, a.config)
	a.greeted = true
	a.starts = nil
	a.stops = nil
	a.cancels = nil
	a.sent = now
	d.out.frames = append(d.out.frames, OutgoingFrame{
		session: a.session,
		frame:   f,
	})
}

// open takes a new connection. One from an agent that is known replaces the
// former, whose runs are gone once the agent says so or their time is over.
func (d *Dispatch) open(now time.Duration, o opened) {
	if o.hello.Role() == frame.RoleEntry {
		d.entries[o.session] = &peer{
			session: o.session,
			name:    o.hello.Name(),
			heard:   now,
		}
		return
	}
	name := o.hello.Name()
	a, ok := d.agents[name]
	if ok && a.session != 0 {
		d.out.closes = append(d.out.closes, a.session)
		d.closeSession(now, a.session, "replaced")
	}
	if !ok {
		a = &agent{
			name: name,
			runs: map[frame.RunID]*attempt{},
		}
		d.agents[name] = a
	}
	a.boot = o.hello.Incarnation()
	a.zone = o.hello.Zone()
	a.session = o.session
	a.heard = now
	a.clock = 0
	a.greeted = false
	a.config = 0
	a.number = 0
	a.unseen = nil
	a.leaving = false
	a.cleared = false
	a.target = frame.Target{}
	d.sessions[o.session] = a
	at := sort.Search(len(d.connected), func(i int) bool { return d.connected[i].session > a.session })
	d.connected = slices.Insert(d.connected, at, a)
	d.note(event.SessionOpened, event.F("agent", name), event.F("session", o.session), event.F("boot", a.boot))
}

func (d *Dispatch) expireSessions(now time.Duration) {
	var silent []uint64
	for _, a := range d.connected {
		if now-a.heard > d.timing.silence {
			silent = append(silent, a.session)
		}
	}
	for _, n := range silent {
		d.out.closes = append(d.out.closes, n)
		d.closeSession(now, n, "silent")
	}
	for _, n := range d.peersWhere(func(p *peer) bool { return now-p.heard > d.timing.silence }) {
		d.out.closes = append(d.out.closes, n)
		delete(d.entries, n)
	}
}

// closeSession ends a connection. What runs behind it may go on for a time, after
// which its tasks are placed again.
func (d *Dispatch) closeSession(now time.Duration, number uint64, cause string) {
	delete(d.entries, number)
	a, ok := d.sessions[number]
	if !ok {
		return
	}
	delete(d.sessions, number)
	d.connected = slices.DeleteFunc(d.connected, func(x *agent) bool { return x == a })
	a.session = 0
	a.starts = nil
	a.stops = nil
	for _, x := range a.runs {
		if x.state != attemptLost {
			x.state = attemptLost
			x.goneAt = a.heard + d.timing.gone
			x.target = a.target.Incarnation()
		}
	}
	d.note(event.SessionLost, event.F("agent", a.name), event.F("session", number), event.F("cause", cause),
		event.F("silent_ms", (now-a.heard).Milliseconds()), event.F("runs", len(a.runs)))
}

// release places tasks again whose lost runs are certainly gone, and forgets
// agents that have been away for long.
func (d *Dispatch) release(now time.Duration) {
	for name, a := range d.agents {
		for _, x := range a.lost(func(x *attempt) bool { return now >= x.goneAt }) {
			d.endAttempt(now, a, x, task.EndLost, 0)
		}
		if a.session == 0 && len(a.runs) == 0 && now-a.heard > agentLife {
			d.learned.forget(name)
			delete(d.agents, name)
		}
	}
}

// agentLife is how long an agent without connection is remembered with what was
// learned about its target.
const agentLife = 30 * time.Second

func (d *Dispatch) receive(now time.Duration, in received) {
	if p, ok := d.entries[in.session]; ok {
		p.heard = now
		p.config = max(p.config, in.frame.ConfigVersion)
		d.learnConfig(in.frame)
		for _, job := range in.frame.Cancels {
			d.cancelJob(now, job)
		}
		return
	}
	a, ok := d.sessions[in.session]
	if !ok {
		return
	}
	f := in.frame
	a.heard = now
	a.clock = max(a.clock, f.Clock)
	a.leaving = f.Leaving
	a.config = max(a.config, f.ConfigVersion)
	d.learnConfig(f)
	if f.Target != nil {
		d.learnTarget(a, *f.Target)
	}
	if f.FreeCapacity != nil {
		a.learnRoom(*f.FreeCapacity)
	}
	for _, id := range f.Started {
		if x, ok := a.runs[id]; ok {
			x.began = now
		}
	}
	for _, p := range f.Progress {
		if x, ok := a.runs[p.ID()]; ok {
			d.progress(now, a, x, p)
		}
	}
	for _, e := range f.Ended {
		if x, ok := a.runs[e.ID()]; ok && x.state != attemptLost {
			d.endAttempt(now, a, x, task.End(e.End()), e.RunTime())
		}
	}
	if f.EarlierRunsEnded {
		d.clear(now, a)
	}
}

// learnConfig hands on a newer configuration of another process, which may reach
// the store when this one does not.
func (d *Dispatch) learnConfig(f frame.Frame) {
	if f.Config != nil && f.Config.Number() > d.config.Number() {
		d.out.configs = append(d.out.configs, *f.Config)
	}
}

func (d *Dispatch) learnTarget(a *agent, t frame.Target) {
	if t.Incarnation() != a.target.Incarnation() {
		a.health = health{}
		d.note(event.TargetSeen, event.F("agent", a.name), event.F("target", t.Incarnation()), event.F("service", t.Service()), event.F("usable", t.Usable()))
	}
	a.target = t
	a.size = resources(t.Capacity())
}

func (a *agent) learnRoom(r frame.FreeCapacity) {
	a.free = resources(r.Amounts())
	a.waiting = r.Queued()
	kept := a.unseen[:0]
	for _, u := range a.unseen {
		if u.number > r.LastStart() {
			kept = append(kept, u)
		}
	}
	a.unseen = kept
}

// clear ends the lost runs of former connections to an agent that says that none
// is left on its target. Another target may still have them.
func (d *Dispatch) clear(now time.Duration, a *agent) {
	for _, x := range a.lost(func(x *attempt) bool { return x.target == a.target.Incarnation() }) {
		d.endAttempt(now, a, x, task.EndLost, 0)
	}
}
