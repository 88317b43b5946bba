// Package simulation_test simulates entries, agents and targets on a virtual clock.
//
// The state machines of entries and agents exchange frames over simulated
// connections that delay and lose messages. Meanwhile processes are killed, frozen
// and restarted, and targets crash, hang or apply commands late. An oracle checks
// only what targets run and how callers are answered.
package simulation_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

const (
	lease          = 600 * time.Millisecond
	silenceTimeout = 500 * time.Millisecond
	heartbeat      = 200 * time.Millisecond
	tickInterval   = 20 * time.Millisecond
	resubmitDelay  = 1300 * time.Millisecond
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

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// simJob is a job as its caller sees it.
type simJob struct {
	id          string
	tasks       int
	length      time.Duration
	answered    bool
	answers     []dispatch.State
	submissions int
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
	pending map[uint64]func(dispatch.Answer)
	// callerTimeout is how long callers wait.
	callerTimeout time.Duration
}

func newWorld(t *testing.T, seed uint64, entries, agents int, limit time.Duration) *world {
	w := &world{
		callerTimeout: limit,
		t:             t,
		now:           time.Minute,
		random:        rand.New(rand.NewPCG(seed, 1)),
		jobs:          map[string]*simJob{},
		pending:       map[uint64]func(dispatch.Answer){},
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
	w.version, err = route.NewVersion(1, []route.Route{r.WithPriority(0, 4).WithTiming(limit, 1.6, 60*time.Millisecond)}, route.Limits{})
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

// oneIn is true with a probability of 1/n.
func (w *world) oneIn(n int) bool {
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

// submit sends a job to an entry. The caller submits it again after a timeout or an
// expired job.
func (w *world) submit(j *simJob, e *simEntry) {
	j.submissions++
	w.request++
	n := w.request
	w.pending[n] = func(a dispatch.Answer) {
		j.answers = append(j.answers, a.State())
		switch a.State() {
		case dispatch.StateExpired:
			w.resubmit(j)
		default:
			j.answered = true
		}
	}
	step, err := task.NewStep(j.tasks, w.need(j.id), j.length)
	if err != nil {
		w.t.Fatal(err)
	}
	e.handle(dispatch.Submitted(dispatch.NewSubmission("", "", "/"+j.id, w.callerTimeout).WithWork("spec", []task.Step{step}).WithRequest(n)))
	w.after(w.callerTimeout, func() {
		if _, open := w.pending[n]; !open {
			return
		}
		delete(w.pending, n)
		e.handle(dispatch.CallerLeft(n))
		w.resubmit(j)
	})
}

// dropRequests ends all requests of an entry that was killed.
func (w *world) dropRequests(e *simEntry) {
	for n, owner := range e.requests {
		if _, open := w.pending[n]; open {
			delete(w.pending, n)
			w.resubmit(owner)
		}
	}
	e.requests = map[uint64]*simJob{}
}

func (w *world) resubmit(j *simJob) {
	if j.submissions >= 3 {
		return
	}
	w.after(resubmitDelay, func() { w.submit(j, w.entries[w.random.IntN(len(w.entries))]) })
}

// oracle checks what targets run and how callers are answered.
type oracle struct {
	w       *world
	running map[string]*simTarget
	runs    map[string]int
	faults  []string
}

func (o *oracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf("%v: ", o.w.now)+fmt.Sprintf(format, args...))
}

// began checks that no other run of the task is in progress.
func (o *oracle) began(t *simTarget, id task.Run) {
	for _, a := range o.w.agents {
		for other := range a.target.running {
			if a.target.up && other.TaskName() == id.TaskName() {
				o.fault("task %s starts on %s as run %d while run %d is in progress on %s", id.TaskName(), t.name, id.Number(), other.Number(), a.target.name)
			}
		}
	}
	if o.w.jobs[id.Job()] == nil {
		o.fault("task %s started, but its job was not submitted", id.TaskName())
		return
	}
	o.runs[id.Job()]++
}

// end checks how callers were answered.
func (o *oracle) end() {
	for id, j := range o.w.jobs {
		refusals := 0
		for _, s := range j.answers {
			if s == dispatch.StateRefused {
				refusals++
			}
		}
		if refusals > 0 && refusals == j.submissions && o.runs[id] > 0 {
			o.fault("job %s was refused, but %d of its tasks started", id, o.runs[id])
		}
	}
}
