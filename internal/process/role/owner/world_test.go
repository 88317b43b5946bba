package owner_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/owner"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	retention = time.Minute
	shards    = 4
)

func process(name string) identity.Process {
	p, err := identity.NewProcess(name, 1)
	if err != nil {
		panic(err)
	}
	return p
}

// standin is an agent that knows only starts: it fences, runs and reports.
type standin struct {
	process identity.Process
	slots   int
	dead    bool
	mute    bool
	epochs  map[identity.Shard]identity.Epoch
	records map[identity.Task]ledger.Record
	running []identity.Task
	owner   map[identity.Task]identity.Process
	inbox   []message.Received
	outbox  []letter
}

// letter is a message under way to an owner.
type letter struct {
	to   identity.Process
	body any
}

// world has a virtual clock, owners, agents, and an oracle that knows only starts
// and answers.
type world struct {
	now     time.Time
	cfg     *configuration.Configuration
	owners  map[identity.Process]*owner.Owner
	agents  []*standin
	current identity.Process
	starts  map[identity.Task]int
	answers map[uint64]answer.Answer
	request uint64
	sent    []message.Send
	hold    bool
	onStart func(a *standin, m message.Start)
}

func kindOf(name string, u configuration.Urgency, commitment, runTime time.Duration) configuration.Kind {
	k, err := configuration.NewKind("team", name, "service", u, commitment, runTime)
	if err != nil {
		panic(err)
	}
	return k
}

func newWorld(agents, slots int, kinds ...configuration.Kind) *world {
	w := &world{
		now:     time.Unix(1_800_000_000, 0),
		owners:  map[identity.Process]*owner.Owner{},
		starts:  map[identity.Task]int{},
		answers: map[uint64]answer.Answer{},
	}
	limits, err := configuration.NewLimits(2000, retention)
	if err != nil {
		panic(err)
	}
	var teams []configuration.Team
	for _, name := range []string{"team", "other"} {
		team, err := configuration.NewTeam(name, 0.5, 0)
		if err != nil {
			panic(err)
		}
		teams = append(teams, team)
	}
	w.cfg, err = configuration.New(1, limits, teams, append(kinds, kindOf("plain", configuration.Normal, 10*time.Second, 100*time.Millisecond)))
	if err != nil {
		panic(err)
	}
	for i := range agents {
		w.agents = append(w.agents, &standin{
			process: process("agent-" + strconv.Itoa(i)),
			slots:   slots,
			epochs:  map[identity.Shard]identity.Epoch{},
			records: map[identity.Task]ledger.Record{},
			owner:   map[identity.Task]identity.Process{},
		})
	}
	return w
}

// own makes a new owner of all shards; roster tells whether they are sealed.
func (w *world) own(name string, epoch identity.Epoch, roster []membership.Member) {
	topology, _ := owner.NewTopology(1, shards)
	p := process(name)
	o, err := owner.New(p, topology, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		panic(err)
	}
	w.owners[p] = o
	w.current = p
	w.handle(w.cfg)
	w.lease()
	var members []membership.Member
	for _, a := range w.agents {
		if !a.dead {
			members = append(members, membership.NewMember(a.process, "", "zone", time.Time{}))
		}
	}
	w.handle(membership.NewWorkingSet(members))
	for s := range identity.Shard(shards) {
		w.handle(membership.NewGranted(s, epoch, roster))
	}
	w.settle()
	w.advance(5 * time.Millisecond)
}

func (w *world) roster() []membership.Member {
	var members []membership.Member
	for _, a := range w.agents {
		members = append(members, membership.NewMember(a.process, "", "zone", time.Time{}))
	}
	return members
}

func (w *world) lease() {
	w.handle(membership.NewLease(w.now.Add(1500 * time.Millisecond)))
}

// handle gives an event to the present owner and posts what it sends.
func (w *world) handle(event any) {
	w.apply(w.current, w.owners[w.current].Handle(w.now, event))
}

func (w *world) apply(from identity.Process, sends []message.Send) {
	for _, s := range sends {
		w.sent = append(w.sent, s)
		if m, ok := s.Body().(message.Reply); ok {
			if m.Answer().Ended() {
				w.answers[m.Request()] = m.Answer()
			}
			continue
		}
		for _, a := range w.agents {
			if a.process == s.To() && !a.dead {
				a.inbox = append(a.inbox, message.NewReceived(from, 1, nil, s.Body()))
			}
		}
	}
}

// deliver lets an agent take its next message.
func (w *world) deliver(a *standin) bool {
	if len(a.inbox) == 0 || a.dead {
		return false
	}
	r := a.inbox[0]
	a.inbox = a.inbox[1:]
	switch m := r.Body().(type) {
	case message.Start:
		w.start(a, r.From(), m)
	case message.Revoke:
		w.revoke(a, r.From(), m)
	case message.Fence:
		w.seal(a, r.From(), m)
	default:
		a.post(r.From(), nil)
	}
	return true
}

func (a *standin) post(to identity.Process, body any) {
	a.outbox = append(a.outbox, letter{
		to:   to,
		body: body,
	})
}

func (w *world) start(a *standin, from identity.Process, m message.Start) {
	_, known := a.records[m.Task()]
	switch {
	case m.Grant().Epoch() < a.epochs[m.Grant().Shard()]:
		a.post(from, message.NewRejected(m.Task(), message.StaleEpoch))
	case known && (a.records[m.Task()].Result().State() != outcome.Failed || m.Kind() != "retried"):
		a.post(from, message.NewRejected(m.Task(), message.AlreadyStarted))
	case len(a.running) >= a.slots:
		a.post(from, message.NewRejected(m.Task(), message.Busy))
	default:
		a.epochs[m.Grant().Shard()] = m.Grant().Epoch()
		a.records[m.Task()] = ledger.NewRecord(m.Task(), m.Grant().Shard(), m.Grant().Epoch(), outcome.Result{})
		a.running = append(a.running, m.Task())
		a.owner[m.Task()] = from
		w.starts[m.Task()]++
		if w.onStart != nil {
			w.onStart(a, m)
		}
	}
}

func (w *world) revoke(a *standin, from identity.Process, m message.Revoke) {
	var states []message.TaskState
	for _, r := range a.sorted() {
		for _, s := range m.Submissions() {
			if r.Task().Submission() == s {
				states = append(states, message.NewTaskState(r.Task(), r.Result().State()))
			}
		}
	}
	a.post(from, message.NewRevoked(m.Submissions(), states))
}

func (w *world) seal(a *standin, from identity.Process, m message.Fence) {
	if a.mute {
		return
	}
	var records []ledger.Record
	var grants []message.Grant
	for _, g := range m.Grants() {
		if g.Epoch() < a.epochs[g.Shard()] {
			continue
		}
		a.epochs[g.Shard()] = g.Epoch()
		grants = append(grants, g)
		for _, r := range a.sorted() {
			if r.Shard() == g.Shard() {
				records = append(records, r)
				a.owner[r.Task()] = from
			}
		}
	}
	a.post(from, message.NewFenceReply(grants, records, true, time.Time{}))
}

func (a *standin) sorted() []ledger.Record {
	return slices.SortedFunc(maps.Values(a.records), func(x, y ledger.Record) int {
		return strings.Compare(x.Task().String(), y.Task().String())
	})
}

// report lets an owner take an agent's next message, with credit and room.
func (w *world) report(a *standin) bool {
	if len(a.outbox) == 0 || a.dead {
		return false
	}
	l := a.outbox[0]
	a.outbox = a.outbox[1:]
	o, ok := w.owners[l.to]
	if !ok {
		return true
	}
	free := uint32(a.slots - len(a.running))
	room := message.NewCapacity("service", free, 0, free, 1)
	w.apply(l.to, o.Handle(w.now, message.NewReceived(a.process, 1, []message.Capacity{room}, l.body)))
	return true
}

// settle delivers all messages that are under way.
func (w *world) settle() {
	for busy := true; busy && !w.hold; {
		busy = false
		for _, a := range w.agents {
			busy = w.deliver(a) || busy
			busy = w.report(a) || busy
		}
	}
}

// finish ends a running task of an agent.
func (w *world) finish(a *standin, n int, r outcome.Result) {
	task := a.running[n]
	a.running = append(a.running[:n:n], a.running[n+1:]...)
	old := a.records[task]
	a.records[task] = ledger.NewRecord(task, old.Shard(), old.Epoch(), r)
	a.post(a.owner[task], message.NewFinished(task, r))
}

// advance moves the clock; agents send a heartbeat and the owner keeps its lease.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.lease()
	for _, a := range w.agents {
		if !a.dead {
			a.post(w.current, nil)
		}
	}
	if !w.hold {
		w.settle()
	}
	w.handle(message.Wake{})
	w.settle()
}

// kill ends an agent and tells the owner.
func (w *world) kill(a *standin) {
	a.dead = true
	w.handle(message.NewProcessEnded(a.process))
	w.settle()
}

// key returns a key first sent at a time.
func key(at time.Time, n uint64) identity.Submission {
	return keyOf("team", at, n)
}

func keyOf(team string, at time.Time, n uint64) identity.Submission {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = 0x70
	id[8] = 0x80
	for i := range 7 {
		id[9+i] = byte(n >> (8 * i))
	}
	s, err := identity.SubmissionOf(team, id)
	if err != nil {
		panic(err)
	}
	return s
}

// submit sends a job and returns the request's number.
func (w *world) submit(s identity.Submission, kind string, tasks int, deadline time.Time) uint64 {
	order, err := job.NewOrder(s, kind, deadline, make([][]byte, tasks))
	if err != nil {
		panic(err)
	}
	w.request++
	w.handle(message.NewReceived(process("entry"), 0, nil, message.NewSubmit(w.request, order)))
	w.settle()
	return w.request
}

func (w *world) cancel(s identity.Submission) uint64 {
	w.request++
	w.handle(message.NewReceived(process("entry"), 0, nil, message.NewCancel(w.request, s)))
	w.settle()
	return w.request
}

// startsOf is the number of starts of a submission's tasks.
func (w *world) startsOf(s identity.Submission) int {
	n := 0
	for t, c := range w.starts {
		if t.Submission() == s {
			n += c
		}
	}
	return n
}

func (w *world) finishAll(r outcome.Result) {
	for _, a := range w.agents {
		for !a.dead && len(a.running) > 0 {
			w.finish(a, 0, r)
		}
	}
	w.settle()
}

func (w *world) check(t interface{ Fatalf(string, ...any) }) {
	for task, n := range w.starts {
		if n > 1 {
			t.Fatalf("task %s started %d times", task, n)
		}
	}
}
