// Package simulation_test plays entries, agents and targets on a virtual clock.
//
// The real decisions exchange frames over simulated connections that delay, hold
// back and lose messages, while processes are killed, frozen and started again
// and targets crash, hang or carry orders out late. A small oracle sees only what
// targets run and what callers are told.
package simulation_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/station"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

const (
	lease   = 600 * time.Millisecond
	silence = 500 * time.Millisecond
	beat    = 200 * time.Millisecond
	tick    = 20 * time.Millisecond
	resend  = 1300 * time.Millisecond
)

type timer struct {
	at  time.Duration
	seq int
	do  func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// simJob is what a caller wants.
type simJob struct {
	id       string
	tasks    int
	length   time.Duration
	answered bool
	told     []dispatch.State
	sends    int
}

type world struct {
	t       *testing.T
	now     time.Duration
	seq     int
	queue   timers
	random  *rand.Rand
	entries []*simEntry
	agents  []*simAgent
	jobs    map[string]*simJob
	oracle  *oracle
	session uint64
	request uint64
	version *route.Version
	asked   map[uint64]func(dispatch.Answer)
	// limit is how long callers wait.
	limit time.Duration
}

func newWorld(t *testing.T, seed uint64, entries, agents int, limit time.Duration) *world {
	w := &world{
		limit:  limit,
		t:      t,
		now:    time.Minute,
		random: rand.New(rand.NewPCG(seed, 1)),
		jobs:   map[string]*simJob{},
		asked:  map[uint64]func(dispatch.Answer){},
	}
	w.oracle = &oracle{
		w:       w,
		running: map[string]*simTarget{},
		runs:    map[string]int{},
	}
	r, err := route.NewRoute("kind", "", "/", "service")
	if err != nil {
		t.Fatal(err)
	}
	w.version, err = route.NewVersion(1, []route.Route{r.Ranked(0, 4).Timed(limit, 1.6, 60*time.Millisecond)}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range agents {
		w.agents = append(w.agents, newSimAgent(w, fmt.Sprintf("agent_%d", i)))
	}
	for i := range entries {
		e := &simEntry{
			w:    w,
			name: fmt.Sprintf("entry_%d", i),
		}
		e.start()
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, timer{
		at:  w.now + max(d, 0),
		seq: w.seq,
		do:  do,
	})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		x := heap.Pop(&w.queue).(timer)
		w.now = x.at
		x.do()
	}
	w.now = until
}

// chance is true once in n times.
func (w *world) chance(n int) bool {
	return w.random.IntN(n) == 0
}

func (w *world) jitter(ms int) time.Duration {
	return time.Duration(w.random.IntN(ms*1000)) * time.Microsecond
}

func (w *world) need(string) task.Resources {
	r, err := task.NewResources(3000, 64, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

func (w *world) length(job string) time.Duration {
	return w.jobs[job].length
}

// submit lets a caller hand in a job at an entry, and again at another one after
// a break, as long as it waits.
func (w *world) submit(j *simJob, e *simEntry) {
	j.sends++
	w.request++
	n := w.request
	w.asked[n] = func(a dispatch.Answer) {
		j.told = append(j.told, a.State())
		switch a.State() {
		case dispatch.StateExpired:
			w.again(j)
		default:
			j.answered = true
		}
	}
	step, err := task.NewStep(j.tasks, w.need(j.id), j.length)
	if err != nil {
		w.t.Fatal(err)
	}
	e.take(dispatch.Submitted(dispatch.NewSubmit("", "", "/"+j.id, w.limit).WithWork("spec", []task.Step{step}).Numbered(n)))
	w.after(w.limit, func() {
		if _, open := w.asked[n]; !open {
			return
		}
		delete(w.asked, n)
		e.take(dispatch.CallerLeft(n))
		w.again(j)
	})
}

// broken is the end of all requests of an entry that was killed.
func (w *world) broken(e *simEntry) {
	for n, owner := range e.requests {
		if _, open := w.asked[n]; open {
			delete(w.asked, n)
			w.again(owner)
		}
	}
	e.requests = map[uint64]*simJob{}
}

func (w *world) again(j *simJob) {
	if j.sends >= 3 {
		return
	}
	w.after(resend, func() { w.submit(j, w.entries[w.random.IntN(len(w.entries))]) })
}

// oracle checks what targets run.
type oracle struct {
	w       *world
	running map[string]*simTarget
	runs    map[string]int
	faults  []string
}

func (o *oracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf("%v: ", o.w.now)+fmt.Sprintf(format, args...))
}

// began checks that no other run of the task goes on.
func (o *oracle) began(t *simTarget, id task.Run) {
	for _, a := range o.w.agents {
		for other := range a.target.running {
			if a.target.up && other.Task() == id.Task() {
				o.fault("task %s starts on %s as run %d while run %d is on %s", id.Task(), t.name, id.Number(), other.Number(), a.target.name)
			}
		}
	}
	if o.w.jobs[id.Job()] == nil {
		o.fault("task %s that nobody asked for", id.Task())
		return
	}
	o.runs[id.Job()]++
}

// end checks what callers were told.
func (o *oracle) end() {
	for id, j := range o.w.jobs {
		refusals := 0
		for _, s := range j.told {
			if s == dispatch.StateRefused {
				refusals++
			}
		}
		if refusals > 0 && refusals == j.sends && o.runs[id] > 0 {
			o.fault("job %s was refused and %d tasks started", id, o.runs[id])
		}
	}
}

// process is what entries and agents have in common: a frozen one takes its
// events when it goes on.
type process struct {
	frozen time.Duration
	held   []func()
}

func (p *process) act(w *world, do func()) {
	if w.now < p.frozen {
		p.held = append(p.held, do)
		return
	}
	do()
}

func (p *process) freeze(w *world, d time.Duration) {
	p.frozen = w.now + d
	w.after(d, func() {
		held := p.held
		p.held = nil
		for _, do := range held {
			do()
		}
	})
}

type simEntry struct {
	process
	w        *world
	name     string
	boot     uint64
	d        *dispatch.Dispatch
	links    map[uint64]*simLink
	requests map[uint64]*simJob
}

func (e *simEntry) start() {
	e.boot++
	e.d = dispatch.New(frame.NewHello(e.name, e.boot, "zone", e.name, frame.RoleEntry),
		dispatch.NewTiming(silence, station.NewTiming(lease, silence, beat).Gone(), beat))
	e.links = map[uint64]*simLink{}
	e.requests = map[uint64]*simJob{}
	e.take(dispatch.VersionKnown(e.w.version, frame.NewConfig(1, []byte("{}"))))
	e.tick(e.boot)
}

func (e *simEntry) tick(boot uint64) {
	if e.boot != boot {
		return
	}
	e.take(dispatch.Tick())
	e.w.after(tick, func() { e.tick(boot) })
}

func (e *simEntry) kill() {
	e.boot++
	for _, l := range e.links {
		l.close(true)
	}
	e.w.broken(e)
	e.d = nil
	e.held = nil
	e.frozen = 0
	e.w.after(300*time.Millisecond+e.w.jitter(500), e.start)
}

func (e *simEntry) take(ev dispatch.Event) {
	boot := e.boot
	e.act(e.w, func() {
		if e.d == nil || e.boot != boot {
			return
		}
		out := e.d.Handle(e.w.now, ev)
		for _, a := range out.Answers() {
			if reply, ok := e.w.asked[a.Request()]; ok {
				delete(e.w.asked, a.Request())
				reply(a)
			}
		}
		for _, f := range out.Frames() {
			if l, ok := e.links[f.Session()]; ok {
				l.toAgent(f.Frame())
			}
		}
		for _, n := range out.Closes() {
			if l, ok := e.links[n]; ok {
				l.close(true)
			}
		}
	})
}

type simAgent struct {
	process
	w      *world
	name   string
	boot   uint64
	s      *station.Station
	target *simTarget
	links  map[uint64]*simLink
	fence  int64
	// cut holds back what goes to and from an entry.
	cut map[string]time.Duration
}

func newSimAgent(w *world, name string) *simAgent {
	a := &simAgent{
		w:      w,
		name:   name,
		target: newSimTarget(w, name, 32),
		cut:    map[string]time.Duration{},
	}
	a.start()
	a.watchTarget()
	return a
}

func (a *simAgent) start() {
	a.boot++
	a.fence++
	a.s = station.New(station.NewTiming(lease, silence, beat), a.fence)
	a.links = map[uint64]*simLink{}
	if a.target.up {
		a.take(station.TargetReported(a.target.report()))
	}
	a.tick(a.boot)
	a.dial(a.boot)
}

func (a *simAgent) tick(boot uint64) {
	if a.boot != boot {
		return
	}
	a.take(station.Tick())
	a.w.after(tick, func() { a.tick(boot) })
}

// watchTarget lets the target report and lose its leases on time.
func (a *simAgent) watchTarget() {
	a.target.lapse()
	if a.target.up && a.w.chance(100) {
		a.take(station.TargetReported(a.target.report()))
	}
	a.w.after(10*time.Millisecond, a.watchTarget)
}

// dial opens connections to the entries that have none.
func (a *simAgent) dial(boot uint64) {
	if a.boot != boot {
		return
	}
	for _, e := range a.w.entries {
		if a.s != nil && e.d != nil && a.w.now >= a.frozen && a.w.now >= e.frozen && a.w.now >= a.cut[e.name] && !a.linked(e) {
			newSimLink(a.w, a, e)
		}
	}
	a.w.after(100*time.Millisecond, func() { a.dial(boot) })
}

func (a *simAgent) linked(e *simEntry) bool {
	for _, l := range a.links {
		if l.e == e {
			return true
		}
	}
	return false
}

func (a *simAgent) kill() {
	a.boot++
	for _, l := range a.links {
		l.close(true)
	}
	a.s = nil
	a.held = nil
	a.frozen = 0
	a.w.after(200*time.Millisecond+a.w.jitter(800), a.start)
}

func (a *simAgent) take(ev station.Event) {
	boot := a.boot
	a.act(a.w, func() {
		if a.s == nil || a.boot != boot {
			return
		}
		out := a.s.Handle(a.w.now, ev)
		for _, o := range out.Orders() {
			a.w.after(500*time.Microsecond, func() { a.target.order(o, a.reply(boot)) })
		}
		for _, h := range out.Holds() {
			a.w.after(500*time.Microsecond, func() { a.target.hold(h, a.reply(boot)) })
		}
		for _, f := range out.Frames() {
			if l, ok := a.links[f.Session()]; ok {
				l.toEntry(f.Frame())
			}
		}
		for _, n := range out.Closes() {
			if l, ok := a.links[n]; ok {
				l.close(false)
			}
		}
	})
}

// reply hands an answer to the process that asked, if it still lives.
func (a *simAgent) reply(boot uint64) func(station.Event) {
	return func(ev station.Event) {
		if a.boot == boot {
			a.take(ev)
		}
	}
}

// simLink is a connection; what is held back by a cut arrives after it, unless
// the connection was closed.
type simLink struct {
	w      *world
	number uint64
	a      *simAgent
	e      *simEntry
	lastA  time.Duration
	lastE  time.Duration
	openA  bool
	openE  bool
}

func newSimLink(w *world, a *simAgent, e *simEntry) {
	w.session++
	l := &simLink{
		w:      w,
		number: w.session,
		a:      a,
		e:      e,
		openA:  true,
		openE:  true,
	}
	a.links[l.number] = l
	e.links[l.number] = l
	e.take(dispatch.SessionOpened(l.number, frame.NewHello(a.name, a.boot, "zone", "", frame.RoleAgent)))
	a.take(station.SessionOpened(l.number, frame.NewHello(e.name, e.boot, "zone", e.name, frame.RoleEntry)))
}

// arrival is when something that is sent now arrives, in order.
func (l *simLink) arrival(last *time.Duration) time.Duration {
	at := l.w.now + time.Millisecond + l.w.jitter(2)
	at = max(at, l.a.cut[l.e.name], *last)
	*last = at
	return at - l.w.now
}

func (l *simLink) toAgent(f frame.Frame) {
	f = transcode(l.w.t, f)
	l.w.after(l.arrival(&l.lastA), func() {
		if l.openA {
			l.a.take(station.FrameReceived(l.number, f))
		}
	})
}

func (l *simLink) toEntry(f frame.Frame) {
	f = transcode(l.w.t, f)
	l.w.after(l.arrival(&l.lastE), func() {
		if l.openE {
			l.e.take(dispatch.FrameReceived(l.number, f))
		}
	})
}

// close ends one end of the connection; the other learns of it unless the two are
// cut off from each other.
func (l *simLink) close(byEntry bool) {
	tell := l.w.now >= l.a.cut[l.e.name]
	if byEntry {
		l.openE = false
		delete(l.e.links, l.number)
		l.e.take(dispatch.SessionClosed(l.number))
	} else {
		l.openA = false
		delete(l.a.links, l.number)
		l.a.take(station.SessionClosed(l.number))
	}
	if !tell {
		return
	}
	l.w.after(2*time.Millisecond, func() {
		if l.openA {
			l.openA = false
			delete(l.a.links, l.number)
			l.a.take(station.SessionClosed(l.number))
		}
		if l.openE {
			l.openE = false
			delete(l.e.links, l.number)
			l.e.take(dispatch.SessionClosed(l.number))
		}
	})
}

// transcode sends a frame through its codec.
func transcode(t *testing.T, f frame.Frame) frame.Frame {
	x, err := frame.Decode(frame.Encode(f))
	if err != nil {
		t.Fatal(err)
	}
	return x
}
