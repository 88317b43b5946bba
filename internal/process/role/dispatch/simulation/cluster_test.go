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
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

const (
	lease             = 600 * time.Millisecond
	sessionTimeout    = 500 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	tickInterval      = 20 * time.Millisecond
	// resubmitDelay is how long callers wait before they submit a job again. All runs of
	// a lost session have ended by then.
	resubmitDelay = 1300 * time.Millisecond
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
	id    string
	kind  string
	tasks int
	// length is the mean run time of a task on a target of factor 1, and taskSpread the
	// standard deviation of its logarithm over the tasks.
	length     time.Duration
	taskSpread float64
	seed       uint64
	// estimate is the declared run time, 0 for length. milliCores is the need of a task, 0
	// for the usual one.
	estimate   time.Duration
	milliCores int64
	// label is the one that the targets of the job's tasks must have, "" for any.
	label string
	// zone is that of the entry that the job was submitted to, where it is compared.
	zone string
	// rack has the data of the job's tasks; empty if they have none.
	rack        string
	answered    bool
	submittedAt time.Duration
	answeredAt  time.Duration
	answers     []dispatch.State
	submissions int
}

func (j *simJob) path() string {
	if j.kind == "" {
		return "/" + j.id
	}
	return "/" + j.kind + "/" + j.id
}

type cluster struct {
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
	// reliable is set if no run fails by its own fault.
	reliable bool
	// trace has a line for each run that began and each answer, in their order.
	trace []string
	// callerTimeout is how long callers wait.
	callerTimeout time.Duration
	// fleet bounds the connections of agents; nil for connections of each to all.
	fleet *simFleet
	// frames and frameBytes count what was sent.
	frames     int
	frameBytes int
	// network carries the frames; nil for links without a bound.
	network *simNetwork
	// capacityHiddenUntil is until when entries get no reports of free capacity.
	capacityHiddenUntil time.Duration
	// store has the configuration that entries read; nil if entries are given theirs.
	store *simStore
	// evacuations has the operators' requests to evacuate zones; nil for none.
	evacuations *simEvacuations
	// remoteFactor is the run time of tasks away from their data over that beside it, 0 for
	// the usual one. neverWait is set if entries do not wait for the rack with the data.
	remoteFactor float64
	neverWait    bool
	// waits are the logged waits of tasks, and ended the logged ends of jobs.
	waits []event.Note
	ended []event.Note
	// away counts the runs away from their data.
	away int
}

func newCluster(t *testing.T, seed uint64, entries, agents int, limit time.Duration) *cluster {
	c := emptyCluster(t, seed, limit)
	c.version = newVersion(t, 1, 4, limit, map[string]string{
		"kind": "/",
	})
	c.addProcesses(entries, agents)
	return c
}

// newVersion returns a configuration with a route for each kind, by its prefix. The kinds
// have priorities in the order of their names.
func newVersion(t *testing.T, number int64, attempts int, limit time.Duration, prefixes map[string]string) *route.Version {
	var routes []route.Route
	for i, name := range slices.Sorted(maps.Keys(prefixes)) {
		r, err := route.NewRoute(name, "", prefixes[name], "service")
		if err != nil {
			t.Fatal(err)
		}
		routes = append(routes, r.WithPriority(i, attempts).WithTiming(limit, 1.6, 60*time.Millisecond))
	}
	v, err := route.NewVersion(number, routes, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// emptyCluster returns a cluster without processes.
func emptyCluster(t *testing.T, seed uint64, limit time.Duration) *cluster {
	c := &cluster{
		callerTimeout: limit,
		t:             t,
		now:           time.Minute,
		random:        rand.New(rand.NewPCG(seed, 1)),
		jobs:          map[string]*simJob{},
		pending:       map[uint64]func(dispatch.Answer){},
	}
	c.oracle = &oracle{
		c:       c,
		running: map[string]*simTarget{},
		runs:    map[string]int{},
	}
	return c
}

// emptyConfigurationCluster returns a cluster whose entries read their configuration
// from a store without one, over links of which only those of the first two entries are
// large.
func emptyConfigurationCluster(t *testing.T, seed uint64, entries, agents int, limit time.Duration) *cluster {
	c := emptyCluster(t, seed, limit)
	c.network = newSimNetwork(c, map[string]int{})
	c.store = newSimStore(c)
	for i := 2; i < entries; i++ {
		c.network.rates[entryName(i)] = smallLink
	}
	c.addProcesses(entries, agents)
	return c
}

func entryName(i int) string {
	return fmt.Sprintf("entry_%d", i)
}

func (c *cluster) addProcesses(entries, agents int) {
	for i := range agents {
		c.agents = append(c.agents, newSimAgent(c, fmt.Sprintf("agent_%d", i), c.zoneOf(i)))
	}
	for i := range entries {
		e := &simEntry{
			c:    c,
			name: entryName(i),
			zone: c.zoneOf(i),
		}
		e.start()
		c.entries = append(c.entries, e)
	}
}

func (c *cluster) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, timer{
		at:  c.now + max(d, 0),
		seq: c.seq,
		do:  do,
	})
}

func (c *cluster) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		x := heap.Pop(&c.queue).(timer)
		c.now = x.at
		x.do()
	}
	c.now = until
}

func (c *cluster) record(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// oneIn is true with a probability of 1/n.
func (c *cluster) oneIn(n int) bool {
	return c.random.IntN(n) == 0
}

func (c *cluster) jitter(ms int) time.Duration {
	return time.Duration(c.random.IntN(ms*1000)) * time.Microsecond
}

func (c *cluster) need(job string) task.Resources {
	cores := int64(3000)
	if j := c.jobs[job]; j != nil && j.milliCores > 0 {
		cores = j.milliCores
	}
	r, err := task.NewResources(cores, 64, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	return r
}

// length returns the run time of a run on a target of factor 1.
func (c *cluster) length(id task.Run) time.Duration {
	j := c.jobs[id.Job()]
	if j.taskSpread == 0 {
		return j.length
	}
	random := rand.New(rand.NewPCG(j.seed, uint64(id.Index())))
	return time.Duration(float64(j.length) * spread(random, j.taskSpread))
}

// configure passes the version to all entries.
func (c *cluster) configure() {
	for _, e := range c.entries {
		e.handle(dispatch.VersionReceived(c.version, frame.NewConfig(c.version.Number(), []byte("{}"))))
	}
}

// submit sends a job to an entry. The caller submits it again after a timeout or an
// expired job.
func (c *cluster) submit(j *simJob, e *simEntry) {
	if j.submittedAt == 0 {
		j.submittedAt = c.now
	}
	j.submissions++
	c.request++
	n := c.request
	c.pending[n] = func(a dispatch.Answer) {
		j.answers = append(j.answers, a.State())
		j.answeredAt = c.now
		c.record("%s: %v", j.id, a.State())
		switch a.State() {
		case dispatch.StateExpired:
			c.resubmit(j)
		default:
			j.answered = true
		}
	}
	estimate := j.length
	if j.estimate > 0 {
		estimate = j.estimate
	}
	step, err := task.NewStep(j.tasks, c.need(j.id), estimate)
	if err != nil {
		c.t.Fatal(err)
	}
	e.handle(dispatch.Submitted(dispatch.NewSubmission("", "", j.path(), c.callerTimeout).WithWork("spec", []task.Step{step.WithLabel(j.label).WithRack(j.rack)}).WithRequest(n)))
	c.after(c.callerTimeout, func() {
		if _, open := c.pending[n]; !open {
			return
		}
		delete(c.pending, n)
		e.handle(dispatch.CallerLeft(n))
		c.resubmit(j)
	})
}

// dropRequests ends all requests of an entry that was killed.
func (c *cluster) dropRequests(e *simEntry) {
	for _, n := range slices.Sorted(maps.Keys(e.requests)) {
		owner := e.requests[n]
		if _, open := c.pending[n]; open {
			delete(c.pending, n)
			c.resubmit(owner)
		}
	}
	e.requests = map[uint64]*simJob{}
}

func (c *cluster) resubmit(j *simJob) {
	if j.submissions >= 3 {
		return
	}
	c.after(resubmitDelay, func() { c.submit(j, c.entries[c.random.IntN(len(c.entries))]) })
}
