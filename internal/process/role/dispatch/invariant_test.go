package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// scenario draws events for an entry and keeps what an outside observer knows.
type scenario struct {
	t       *rapid.T
	d       *Dispatch
	now     time.Duration
	clock   time.Duration
	request uint64
	session uint64
	open    map[uint64]string
	// active has the started runs of each session that were not reported as ended.
	active    map[uint64][]frame.RunID
	lastStart map[uint64]uint64
	jobOf     map[uint64]string
	answers   map[uint64]State
	started   map[string]bool
}

func newScenario(t *rapid.T) *scenario {
	return &scenario{
		t: t,
		d: New(frame.NewHello("entry", 1, "zone", "", frame.RoleEntry),
			NewTiming(500*time.Millisecond, 1178*time.Millisecond, 200*time.Millisecond)),
		now:       time.Minute,
		open:      map[uint64]string{},
		active:    map[uint64][]frame.RunID{},
		lastStart: map[uint64]uint64{},
		jobOf:     map[uint64]string{},
		answers:   map[uint64]State{},
		started:   map[string]bool{},
	}
}

func (x *scenario) drawSession() (uint64, bool) {
	if len(x.open) == 0 {
		return 0, false
	}
	var list []uint64
	for n := uint64(1); n <= x.session; n++ {
		if x.open[n] != "" {
			list = append(list, n)
		}
	}
	return rapid.SampledFrom(list).Draw(x.t, "session"), true
}

func (x *scenario) submission() Event {
	x.request++
	id := fmt.Sprintf("job%d", x.request-uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(x.t, "again")))
	x.jobOf[x.request] = id
	var steps []task.Step
	for i := range rapid.IntRange(1, 2).Draw(x.t, "steps") {
		need, err := task.NewResources(int64(rapid.IntRange(500, 9000).Draw(x.t, "cores")), 64, 0)
		if err != nil {
			x.t.Fatal(err)
		}
		s, err := task.NewStep(rapid.IntRange(1, 5).Draw(x.t, "count"), need, time.Duration(rapid.IntRange(0, 400).Draw(x.t, "estimate"))*time.Millisecond)
		if err != nil {
			x.t.Fatal(err)
		}
		if i > 0 {
			s = s.WithPrerequisites([]int{0})
		}
		steps = append(steps, s)
	}
	limit := time.Duration(rapid.IntRange(0, 1500).Draw(x.t, "limit")) * time.Millisecond
	s := NewSubmission("trace", "", "/"+id, limit).WithWork("spec", steps).WithRequest(x.request)
	if rapid.Bool().Draw(x.t, "arrived") {
		s = s.ArrivedAt(x.now - time.Duration(rapid.IntRange(0, 300).Draw(x.t, "age"))*time.Millisecond)
	}
	return Submitted(s)
}

func (x *scenario) frame(n uint64) Event {
	x.clock += time.Millisecond
	f := frame.Frame{
		Clock: x.clock,
	}
	var kept []frame.RunID
	for _, id := range x.active[n] {
		switch rapid.SampledFrom([]string{"kept", "kept", "progress", "done", "failed", "stopped"}).Draw(x.t, "run") {
		case "kept":
			kept = append(kept, id)
		case "progress":
			kept = append(kept, id)
			f.Progress = append(f.Progress, frame.NewProgress(id, rapid.IntRange(0, 100).Draw(x.t, "percent"), time.Duration(rapid.IntRange(1, 900).Draw(x.t, "ran"))*time.Millisecond))
		case "done":
			f.Ended = append(f.Ended, frame.NewEnded(id, int(task.EndDone), time.Duration(rapid.IntRange(0, 900).Draw(x.t, "ran"))*time.Millisecond))
		case "failed":
			f.Ended = append(f.Ended, frame.NewEnded(id, int(task.EndFailed), 10*time.Millisecond))
		case "stopped":
			f.Ended = append(f.Ended, frame.NewEnded(id, int(task.EndStopped), 10*time.Millisecond))
		}
	}
	x.active[n] = kept
	if rapid.IntRange(0, 9).Draw(x.t, "target") < 3 || x.lastStart[n] == 0 {
		target := frame.NewTarget("i-"+x.open[n], "service", "zone", []string{rapid.SampledFrom([]string{"fast", "slow"}).Draw(x.t, "label")},
			rapid.IntRange(0, 9).Draw(x.t, "usable") > 0).WithCapacity(16000, 65536, 0)
		f.Target = &target
	}
	free := frame.NewFreeCapacity(int64(rapid.IntRange(0, 16000).Draw(x.t, "free")), 65536, 0, 0, x.lastStart[n])
	f.FreeCapacity = &free
	f.EarlierRunsEnded = rapid.Bool().Draw(x.t, "earlier_ended")
	f.Leaving = rapid.IntRange(0, 19).Draw(x.t, "leaving") == 0
	return FrameReceived(n, f)
}

func (x *scenario) event() Event {
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "frame", "frame", "frame", "frame", "open", "close", "left", "cancel", "version", "query", "tick"}).Draw(x.t, "event") {
	case "submit":
		return x.submission()
	case "frame":
		if n, ok := x.drawSession(); ok {
			return x.frame(n)
		}
	case "open":
		return x.openSession()
	case "close":
		if n, ok := x.drawSession(); ok && rapid.IntRange(0, 2).Draw(x.t, "really") == 0 {
			delete(x.open, n)
			return SessionClosed(n)
		}
	case "left":
		return x.callerLeft()
	case "cancel":
		x.request++
		x.jobOf[x.request] = ""
		return CancelRequested(x.request, "", fmt.Sprintf("/job%d", rapid.IntRange(1, int(x.request)).Draw(x.t, "job")))
	case "version":
		return x.version()
	case "query":
		x.request++
		x.jobOf[x.request] = ""
		return QueryRequested(x.request, "", "/job1")
	}
	return Tick()
}

func (x *scenario) openSession() Event {
	x.session++
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(x.t, "agent")
	for n, other := range x.open {
		if other == name {
			delete(x.open, n)
		}
	}
	x.open[x.session] = name
	return SessionOpened(x.session, frame.NewHello(name, 1, "zone", "", frame.RoleAgent))
}

func (x *scenario) callerLeft() Event {
	if x.request == 0 {
		return Tick()
	}
	n := uint64(rapid.IntRange(1, int(x.request)).Draw(x.t, "request"))
	if _, answered := x.answers[n]; answered {
		return Tick()
	}
	x.answers[n] = StateExpired
	return CallerLeft(n)
}

func (x *scenario) version() Event {
	r, err := route.NewRoute("kind", "", "/", "service")
	if err != nil {
		x.t.Fatal(err)
	}
	v, err := route.NewVersion(int64(rapid.IntRange(1, 3).Draw(x.t, "version")),
		[]route.Route{r.WithPriority(0, 3).WithTiming(1500*time.Millisecond, 1.6, 60*time.Millisecond)}, route.Limits{})
	if err != nil {
		x.t.Fatal(err)
	}
	return VersionReceived(v, frame.NewConfig(v.Number(), []byte("{}")))
}

// pass handles events in one pass and records what comes out.
func (x *scenario) pass(events ...Event) {
	left := map[uint64]bool{}
	for n := range x.answers {
		left[n] = true
	}
	out := x.d.Handle(x.now, events...)
	for _, a := range out.Answers() {
		if _, ok := x.answers[a.Request()]; ok && !left[a.Request()] {
			x.t.Fatalf("request %d was answered twice", a.Request())
		}
		if _, ok := x.answers[a.Request()]; !ok {
			x.answers[a.Request()] = a.State()
		}
		if id := x.jobOf[a.Request()]; a.State() == StateRefused && id != "" && x.started[id] && !x.answeredOtherwise(id, a.Request()) {
			x.t.Fatalf("request %d for %s was refused after a start", a.Request(), id)
		}
	}
	for _, f := range out.Frames() {
		for _, s := range f.Frame().Starts {
			x.started[s.Job()] = true
			x.lastStart[f.Session()] = s.Number()
			for i, index := range s.Indexes() {
				id := frame.NewRunID(s.Job(), s.Step(), index, s.Runs()[i])
				x.active[f.Session()] = append(x.active[f.Session()], id)
			}
		}
	}
	for _, n := range out.SessionsToClose() {
		delete(x.open, n)
	}
	x.checkIndexes()
}

// answeredOtherwise reports whether another request of the job was answered, after
// which a new one begins the job again.
func (x *scenario) answeredOtherwise(id string, request uint64) bool {
	for n, other := range x.jobOf {
		if _, answered := x.answers[n]; other == id && n != request && answered {
			return true
		}
	}
	return false
}

func (x *scenario) checkIndexes() {
	x.checkAgents()
	x.checkSpeeds()
	x.checkRuns()
	queued := x.checkQueue()
	waiting := map[uint64]bool{}
	for id, j := range x.d.jobs {
		if j.ended || x.now >= j.deadline || j.deadline < x.d.nextDeadline || (len(j.ready) > 0) != queued[j] {
			x.t.Fatalf("job %s: deadline %v, next %v, ready %d, queued %t", id, j.deadline, x.d.nextDeadline, len(j.ready), queued[j])
		}
		for _, r := range j.callers {
			waiting[r] = true
		}
	}
	for _, s := range x.d.startup.held {
		waiting[s.request] = true
	}
	for n := range x.jobOf {
		if _, answered := x.answers[n]; answered == waiting[n] {
			x.t.Fatalf("request %d: answered %t, waiting %t", n, answered, waiting[n])
		}
	}
}

func (x *scenario) checkQueue() map[*job]bool {
	queued := map[*job]bool{}
	for i, j := range x.d.queue {
		if queued[j] || j.ended || len(j.ready) == 0 || i > 0 && x.d.queue[i-1].rank > j.rank {
			x.t.Fatalf("job %s is out of place in the queue", j.work.ID())
		}
		queued[j] = true
	}
	return queued
}

func (x *scenario) checkRuns() {
	runs := 0
	for _, a := range x.d.agents {
		runs += len(a.runs)
		for id, r := range a.runs {
			if r.id != id || r.agent != a || r.task.attempt != r || x.d.running[r.task.name] != r {
				x.t.Fatalf("run %s of %s is not indexed", id.String(), a.name)
			}
		}
	}
	if runs != len(x.d.running) {
		x.t.Fatalf("%d runs, %d indexed", runs, len(x.d.running))
	}
	for id, j := range x.d.jobs {
		for _, t := range j.tasks {
			if t.attempt != nil && x.d.running[t.name] != t.attempt {
				x.t.Fatalf("job %s keeps an ended run", id)
			}
		}
	}
}

func (x *scenario) checkAgents() {
	d := x.d
	disconnected := map[*agent]bool{}
	for i, a := range d.disconnected {
		disconnected[a] = true
		if i > 0 && d.disconnected[i-1].name >= a.name {
			x.t.Fatalf("disconnected agents are out of order at %s", a.name)
		}
	}
	connected := 0
	for _, a := range d.agents {
		if a.session != 0 {
			connected++
		}
		if (a.session == 0 || a.hasLostRuns()) && !disconnected[a] {
			x.t.Fatalf("agent %s is not listed as disconnected", a.name)
		}
	}
	if connected != len(d.connected) || connected != len(d.sessions) {
		x.t.Fatalf("%d connected agents, %d listed, %d sessions", connected, len(d.connected), len(d.sessions))
	}
	for i, a := range d.connected {
		if d.sessions[a.session] != a || i > 0 && d.connected[i-1].session >= a.session {
			x.t.Fatalf("connected agents are out of order at %s", a.name)
		}
	}
}

func (x *scenario) checkSpeeds() {
	for _, a := range x.d.agents {
		left := a.free
		for _, u := range a.unreported {
			left = left.Sub(u.need)
		}
		if left != a.left {
			x.t.Fatalf("capacity left of %s is %v, want %v", a.name, a.left, left)
		}
		if a.target.Incarnation() == "" {
			continue
		}
		if want := math.Exp(x.d.estimates.labels[a.label()].value + x.d.estimates.targets[a.name].value); a.speed.value() != want {
			x.t.Fatalf("factor of %s is %v, want %v", a.name, a.speed.value(), want)
		}
	}
}

// TestIndexesMatch guards against an index or cached value that is out of date after a pass, and a request without exactly one answer.
func TestIndexesMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newScenario(t)
		for range rapid.IntRange(1, 60).Draw(t, "passes") {
			x.now += time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 20, 50, 100, 100, 200, 700, 31_000}).Draw(t, "passed")) * time.Millisecond
			var events []Event
			for range rapid.IntRange(0, 6).Draw(t, "events") {
				events = append(events, x.event())
			}
			if rapid.IntRange(0, 99).Draw(t, "shutdown") == 0 {
				events = append(events, ShutdownRequested(time.Second))
			}
			x.pass(events...)
		}
		for range 200 {
			x.now += 20 * time.Millisecond
			x.pass(Tick())
		}
		if len(x.answers) != int(x.request) {
			t.Fatalf("%d of %d requests were answered", len(x.answers), x.request)
		}
	})
}
