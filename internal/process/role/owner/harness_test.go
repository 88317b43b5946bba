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

// standin is a stand-in of an agent, which fences shards, runs tasks and reports
// their results.
type standin struct {
	process      identity.Process
	slots        int
	dead         bool
	unresponsive bool
	epochs       map[identity.Shard]identity.Epoch
	records      map[identity.Task]ledger.Record
	running      []identity.Task
	owner        map[identity.Task]identity.Process
	inbox        []message.Received
	outbox       []envelope
}

// envelope is a message in transit to an owner.
type envelope struct {
	to   identity.Process
	body any
}

// harness has a virtual clock, owners, stand-ins of agents, and the observed starts
// and answers, which the tests check.
type harness struct {
	now     time.Time
	cfg     *configuration.Configuration
	owners  map[identity.Process]*owner.Owner
	agents  []*standin
	current identity.Process
	starts  map[identity.Task]int
	answers map[uint64]answer.Answer
	request uint64
	sent    []message.Send
	paused  bool
	onStart func(a *standin, m message.Start)
}

func kindOf(name string, u configuration.Urgency, commitment, runTime time.Duration) configuration.Kind {
	k, err := configuration.NewKind("team", name, "service", u, commitment, runTime)
	if err != nil {
		panic(err)
	}
	return k
}

func newHarness(agents, slots int, kinds ...configuration.Kind) *harness {
	h := &harness{
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
	h.cfg, err = configuration.New(1, limits, teams, append(kinds, kindOf("plain", configuration.Normal, 10*time.Second, 100*time.Millisecond)))
	if err != nil {
		panic(err)
	}
	for i := range agents {
		h.agents = append(h.agents, &standin{
			process: process("agent-" + strconv.Itoa(i)),
			slots:   slots,
			epochs:  map[identity.Shard]identity.Epoch{},
			records: map[identity.Task]ledger.Record{},
			owner:   map[identity.Task]identity.Process{},
		})
	}
	return h
}

// startOwner makes a new owner of all shards the current one. The fenced members are
// the agents at which the shards are fenced first.
func (h *harness) startOwner(name string, epoch identity.Epoch, fenced []membership.Member) {
	topology, _ := owner.NewTopology(1, shards)
	p := process(name)
	o, err := owner.New(p, topology, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		panic(err)
	}
	h.owners[p] = o
	h.current = p
	h.handle(h.cfg)
	h.lease()
	var members []membership.Member
	for _, a := range h.agents {
		if !a.dead {
			members = append(members, membership.NewMember(a.process, "", "zone", time.Time{}))
		}
	}
	h.handle(membership.NewWorkingSet(members))
	for s := range identity.Shard(shards) {
		h.handle(membership.NewGranted(s, epoch, fenced))
	}
	h.deliverAll()
	h.advance(5 * time.Millisecond)
}

func (h *harness) agentMembers() []membership.Member {
	var members []membership.Member
	for _, a := range h.agents {
		members = append(members, membership.NewMember(a.process, "", "zone", time.Time{}))
	}
	return members
}

func (h *harness) lease() {
	h.handle(membership.NewLease(h.now.Add(1500 * time.Millisecond)))
}

// handle passes an event to the current owner and routes the messages that it sends.
func (h *harness) handle(event any) {
	h.route(h.current, h.owners[h.current].Handle(h.now, event))
}

func (h *harness) route(from identity.Process, sends []message.Send) {
	for _, s := range sends {
		h.sent = append(h.sent, s)
		if m, ok := s.Body().(message.Reply); ok {
			if m.Answer().Ended() {
				h.answers[m.Request()] = m.Answer()
			}
			continue
		}
		for _, a := range h.agents {
			if a.process == s.To() && !a.dead {
				a.inbox = append(a.inbox, message.NewReceived(from, 1, nil, s.Body()))
			}
		}
	}
}

// deliverToAgent lets an agent handle its next message. It returns false if there is
// none.
func (h *harness) deliverToAgent(a *standin) bool {
	if len(a.inbox) == 0 || a.dead {
		return false
	}
	r := a.inbox[0]
	a.inbox = a.inbox[1:]
	switch m := r.Body().(type) {
	case message.Start:
		h.start(a, r.From(), m)
	case message.Revoke:
		h.revoke(a, r.From(), m)
	case message.Fence:
		h.fence(a, r.From(), m)
	default:
		a.post(r.From(), nil)
	}
	return true
}

func (a *standin) post(to identity.Process, body any) {
	a.outbox = append(a.outbox, envelope{
		to:   to,
		body: body,
	})
}

func (h *harness) start(a *standin, from identity.Process, m message.Start) {
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
		h.starts[m.Task()]++
		if h.onStart != nil {
			h.onStart(a, m)
		}
	}
}

func (h *harness) revoke(a *standin, from identity.Process, m message.Revoke) {
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

func (h *harness) fence(a *standin, from identity.Process, m message.Fence) {
	if a.unresponsive {
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

// deliverToOwner passes the next message of an agent to its owner, with credit and
// capacity. It returns false if there is none.
func (h *harness) deliverToOwner(a *standin) bool {
	if len(a.outbox) == 0 || a.dead {
		return false
	}
	e := a.outbox[0]
	a.outbox = a.outbox[1:]
	o, ok := h.owners[e.to]
	if !ok {
		return true
	}
	free := uint32(a.slots - len(a.running))
	capacity := message.NewCapacity("service", free, 0, free, 1)
	h.route(e.to, o.Handle(h.now, message.NewReceived(a.process, 1, []message.Capacity{capacity}, e.body)))
	return true
}

// deliverAll delivers all messages in transit, and those that result from them.
func (h *harness) deliverAll() {
	for busy := true; busy && !h.paused; {
		busy = false
		for _, a := range h.agents {
			busy = h.deliverToAgent(a) || busy
			busy = h.deliverToOwner(a) || busy
		}
	}
}

// finish ends a running task of an agent.
func (h *harness) finish(a *standin, n int, r outcome.Result) {
	task := a.running[n]
	a.running = append(a.running[:n:n], a.running[n+1:]...)
	old := a.records[task]
	a.records[task] = ledger.NewRecord(task, old.Shard(), old.Epoch(), r)
	a.post(a.owner[task], message.NewFinished(task, r))
}

// advance moves the clock and renews the owner's lease. Every agent sends a
// heartbeat.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.lease()
	for _, a := range h.agents {
		if !a.dead {
			a.post(h.current, nil)
		}
	}
	if !h.paused {
		h.deliverAll()
	}
	h.handle(message.Wake{})
	h.deliverAll()
}

// kill ends an agent and notifies the owner.
func (h *harness) kill(a *standin) {
	a.dead = true
	h.handle(message.NewProcessEnded(a.process))
	h.deliverAll()
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

// submit sends a job and returns the number of the request.
func (h *harness) submit(s identity.Submission, kind string, tasks int, deadline time.Time) uint64 {
	order, err := job.NewOrder(s, kind, deadline, make([][]byte, tasks))
	if err != nil {
		panic(err)
	}
	h.request++
	h.handle(message.NewReceived(process("entry"), 0, nil, message.NewSubmit(h.request, order)))
	h.deliverAll()
	return h.request
}

func (h *harness) cancel(s identity.Submission) uint64 {
	h.request++
	h.handle(message.NewReceived(process("entry"), 0, nil, message.NewCancel(h.request, s)))
	h.deliverAll()
	return h.request
}

// startsOf returns the number of starts of a submission's tasks.
func (h *harness) startsOf(s identity.Submission) int {
	n := 0
	for t, c := range h.starts {
		if t.Submission() == s {
			n += c
		}
	}
	return n
}

func (h *harness) finishAll(r outcome.Result) {
	for _, a := range h.agents {
		for !a.dead && len(a.running) > 0 {
			h.finish(a, 0, r)
		}
	}
	h.deliverAll()
}

func (h *harness) checkStarts(t interface{ Fatalf(string, ...any) }) {
	for task, n := range h.starts {
		if n > 1 {
			t.Fatalf("task %s started %d times", task, n)
		}
	}
}
