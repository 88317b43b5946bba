package promise

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/entry"
	"greengagedoor.example/greengagedoor/internal/process/role/owner"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	shards      = 4
	memberLease = 1500 * time.Millisecond
	fenceTime   = 2 * time.Second
	beatEvery   = 400 * time.Millisecond
	step        = 20 * time.Millisecond
)

// node is one process: an agent with its owner, or an entry.
type node struct {
	id      identity.Process
	owner   *owner.Owner
	agent   *agent.Agent
	entry   *entry.Entry
	dead    bool
	paused  bool
	holding bool      // Its starts stay on the way, other messages pass.
	pausing bool      // Pauses between the next decisions and the sending of their messages.
	cut     bool      // Cut off from the directory.
	beat    time.Time // Last heartbeat that the directory received.
	sent    time.Time
	in      []any
	out     []parcel
	credit  func(time.Time) uint64
	room    []message.Capacity
}

// parcel is a message on its way.
type parcel struct {
	from, to int
	due      time.Time
	credit   uint64
	room     []message.Capacity
	body     any
}

// ending is a task that runs at a target.
type ending struct {
	node  *node
	due   time.Time
	event agent.Ended
}

type attempt struct {
	submission identity.Submission
	width      int
	order      job.Order
}

type world struct {
	now      time.Time
	rnd      *rand.Rand
	oracle   *oracle
	nodes    []*node
	index    map[identity.Process]int
	agents   int
	transit  []parcel
	linkCut  map[[2]int]bool
	endings  []ending
	epochs   [shards]identity.Epoch
	owners   [shards]int
	requests uint64
	open     map[uint64]attempt
	orders   []attempt
	seq      uint64
	complete int
	// unfinished counts the callers that were told only that their job runs.
	unfinished int
}

func newWorld(agents, entries int, seed uint64) *world {
	w := &world{
		now:     time.UnixMilli(1_800_000_000_000),
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		oracle:  newOracle(),
		index:   map[identity.Process]int{},
		agents:  agents,
		linkCut: map[[2]int]bool{},
		open:    map[uint64]attempt{},
	}
	for i := range agents {
		w.add(w.newAgent(i, 1))
	}
	for i := range entries {
		w.add(w.newEntry(i))
	}
	for s := range shards {
		w.grant(s, s%agents, nil)
	}
	w.tick()
	return w
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (w *world) add(n *node) {
	w.index[n.id] = len(w.nodes)
	w.nodes = append(w.nodes, n)
}

func (w *world) configuration() *configuration.Configuration {
	limits := must(configuration.NewLimits(1100, 10*time.Minute))
	team := must(configuration.NewTeam("team", 1, 0))
	kind := must(configuration.NewKind("team", "kind", "service", configuration.Critical, 10*time.Second, 50*time.Millisecond))
	return must(configuration.New(1, limits, []configuration.Team{team}, []configuration.Kind{kind}))
}

func (w *world) newAgent(i int, incarnation uint64) *node {
	id := must(identity.NewProcess(fmt.Sprintf("a%d", i), incarnation))
	began := w.now
	issue := func(now time.Time) uint64 { return uint64(now.Sub(began).Milliseconds()) + 1 }
	l := must(ledger.New(w.now, 10*time.Minute+10*time.Second, 100_000, 64<<20))
	n := &node{
		id:     id,
		owner:  must(owner.New(id, must(owner.NewTopology(1, shards)), rand.New(rand.NewPCG(uint64(i), incarnation)))),
		agent:  must(agent.New(id, l, issue)),
		credit: issue,
		beat:   w.now,
	}
	n.in = append(n.in, w.configuration(), w.announced(i))
	return n
}

func (w *world) announced(i int) announcement.Announcement {
	return must(announcement.New(fmt.Sprintf("t%d", i), "http://127.0.0.1:1/task", []string{"service"}, 4, 8, false))
}

func (w *world) newEntry(i int) *node {
	n := &node{
		id:    must(identity.NewProcess(fmt.Sprintf("e%d", i), 1)),
		entry: must(entry.New(1, shards)),
	}
	n.in = append(n.in, w.configuration())
	return n
}

// tick moves the clock by one step and lets everything happen that is due.
func (w *world) tick() {
	w.now = w.now.Add(step)
	w.directory()
	for _, e := range w.takeEndings() {
		e.node.in = append(e.node.in, e.event)
	}
	w.deliver()
	for i, n := range w.nodes {
		if n.dead || n.paused {
			continue
		}
		n.in = append(n.in, message.Wake{})
		if n.agent != nil {
			n.in = append(n.in, w.announced(i))
			// A heartbeat frame to everybody carries credit and room.
			for j := range w.nodes {
				if w.nodes[j].owner != nil {
					n.out = append(n.out, parcel{
						from: i,
						to:   j,
					})
				}
			}
		}
		w.process(i, n)
	}
}

// process hands a node its events. Messages leave at the end, so that a pause
// between a decision and its sending can happen.
func (w *world) process(i int, n *node) {
	events := n.in
	n.in = nil
	for _, e := range events {
		for _, r := range n.roles() {
			if concerns(r.name, e) {
				w.apply(i, n, r.handle(w.now, e))
			}
		}
	}
	if n.pausing {
		n.pausing = false
		n.paused = true
		return
	}
	w.flush(i, n)
}

// flush puts what a node has sent onto the network.
func (w *world) flush(i int, n *node) {
	var held []parcel
	for _, p := range n.out {
		if _, ok := p.body.(message.Start); ok && n.holding {
			held = append(held, p)
			continue
		}
		if n.credit != nil {
			p.credit = n.credit(w.now)
			p.room = n.room
		}
		p.due = w.now.Add(time.Duration(w.rnd.IntN(40)) * time.Millisecond)
		w.transit = append(w.transit, p)
	}
	n.out = held
}

// role is a decision of a process.
type role struct {
	name   string
	handle func(time.Time, any) []any
}

func (n *node) roles() []role {
	if n.entry != nil {
		return []role{{
			name:   "entry",
			handle: n.entry.Handle,
		}}
	}
	return []role{
		{
			name:   "agent",
			handle: n.agent.Handle,
		},
		{
			name: "owner",
			handle: func(now time.Time, e any) []any {
				var out []any
				for _, s := range n.owner.Handle(now, e) {
					out = append(out, s)
				}
				return out
			},
		},
	}
}

// concerns tells whether an event goes to a role, as the process would route it.
func concerns(role string, e any) bool {
	r, ok := e.(message.Received)
	if !ok {
		switch e.(type) {
		case agent.Ended, announcement.Announcement:
			return role == "agent"
		case membership.Granted, membership.Released, membership.WorkingSet:
			return role == "owner"
		case entry.Submit, entry.Query, entry.Cancel, membership.Routes:
			return role == "entry"
		}
		return true
	}
	switch r.Body().(type) {
	case message.Start, message.Interest, message.Revoke, message.Fence:
		return role == "agent"
	}
	return role != "agent"
}

func (w *world) apply(i int, n *node, effects []any) {
	for _, e := range effects {
		switch e := e.(type) {
		case message.Send:
			j, ok := w.index[e.To()]
			if !ok {
				continue
			}
			n.out = append(n.out, parcel{
				from: i,
				to:   j,
				body: e.Body(),
			})
		case agent.Call:
			w.call(n, e)
		case *agent.CapacityHint:
			n.room = e.Capacities()
		case entry.Respond:
			w.respond(e)
		}
	}
}

func (w *world) call(n *node, c agent.Call) {
	if w.rnd.IntN(20) == 0 {
		w.endings = append(w.endings, ending{
			node:  n,
			due:   w.now.Add(step),
			event: agent.NewEnded(c.Task(), outcome.Revocation("no connection to the target")),
		})
		return
	}
	w.oracle.call(c.Task().Submission().String(), c.Task().String())
	run := time.Duration(20+w.rnd.IntN(300)) * time.Millisecond
	result := outcome.Success([]byte(c.Task().String()), run)
	if w.rnd.IntN(60) == 0 {
		result = outcome.Lost("the target died")
	} else if w.rnd.IntN(60) == 0 {
		result = outcome.Failure("the target failed", run)
	}
	w.endings = append(w.endings, ending{
		node:  n,
		due:   w.now.Add(run),
		event: agent.NewEnded(c.Task(), result),
	})
}

func (w *world) takeEndings() []ending {
	var due, rest []ending
	for _, e := range w.endings {
		switch {
		case e.due.After(w.now):
			rest = append(rest, e)
		case !e.node.dead:
			due = append(due, e)
		}
	}
	w.endings = rest
	return due
}

// deliver hands over what is due, in order for each pair. A cut link keeps its
// messages until it heals, as the numbered frames of a link do.
func (w *world) deliver() {
	var rest []parcel
	blocked := map[[2]int]bool{}
	for _, p := range w.transit {
		pair := [2]int{p.from, p.to}
		to := w.nodes[p.to]
		switch {
		case to.dead:
		case to.paused:
			rest = append(rest, p)
		case blocked[pair] || w.linkCut[pair] || p.due.After(w.now):
			blocked[pair] = true
			rest = append(rest, p)
		default:
			to.in = append(to.in, message.NewReceived(w.nodes[p.from].id, p.credit, p.room, p.body))
		}
	}
	w.transit = rest
}
