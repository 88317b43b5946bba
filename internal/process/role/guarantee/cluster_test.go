package guarantee

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
	shardCount    = 4
	leaseDuration = 1500 * time.Millisecond
	// memberTimeout exceeds leaseDuration, so that the lease of an owner has expired
	// before its shards move.
	memberTimeout     = 2 * time.Second
	heartbeatInterval = 400 * time.Millisecond
	tickInterval      = 20 * time.Millisecond
)

// node is one process: an agent with its owner, or an entry.
type node struct {
	id              identity.Process
	owner           *owner.Owner
	agent           *agent.Agent
	entry           *entry.Entry
	killed          bool
	paused          bool
	delayStarts     bool      // Delays starts, but no other messages.
	pauseBeforeSend bool      // Pauses after the next events, before it sends their messages.
	partitioned     bool      // Its heartbeats do not reach the directory, so it gets no leases.
	lastHeartbeat   time.Time // When the directory received the last heartbeat.
	heartbeatSent   time.Time
	inbox           []any
	outbox          []packet
	credit          func(time.Time) uint64 // Newest credit of an agent; a start with an old credit is rejected.
	capacity        []message.Capacity
}

// packet is a message in flight. Like a frame of a link, it also carries the credit
// and the capacity of the sender.
type packet struct {
	from, to int
	due      time.Time
	credit   uint64
	capacity []message.Capacity
	body     any
}

// completion is the end of a task that runs at a target.
type completion struct {
	node  *node
	due   time.Time
	event agent.Ended
}

// attempt is one request of a caller to run a job.
type attempt struct {
	submission identity.Submission
	width      int // Number of tasks.
	order      job.Order
}

// cluster simulates the processes, the network, the directory and the targets on
// a virtual clock. The nodes are first the agents, then the entries, then the
// killed incarnations of agents.
type cluster struct {
	now             time.Time
	rnd             *rand.Rand
	oracle          *oracle
	nodes           []*node
	index           map[identity.Process]int
	agentCount      int
	inFlight        []packet
	linkDown        map[[2]int]bool
	completions     []completion
	epochs          [shardCount]identity.Epoch
	owners          [shardCount]int
	lastRequest     uint64
	pending         map[uint64]attempt
	submitted       []attempt
	lastKey         uint64
	completeAnswers int
	// runningAnswers counts the answers that say only that the job is running.
	runningAnswers int
}

func newCluster(agentCount, entryCount int, seed uint64) *cluster {
	c := &cluster{
		now:        time.UnixMilli(1_800_000_000_000),
		rnd:        rand.New(rand.NewPCG(seed, 7)),
		oracle:     newOracle(),
		index:      map[identity.Process]int{},
		agentCount: agentCount,
		linkDown:   map[[2]int]bool{},
		pending:    map[uint64]attempt{},
	}
	for i := range agentCount {
		c.add(c.newAgent(i, 1))
	}
	for i := range entryCount {
		c.add(c.newEntry(i))
	}
	for s := range shardCount {
		c.grant(s, s%agentCount, nil)
	}
	c.tick()
	return c
}

// must returns v and panics on an error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// add appends a node and makes it reachable by its process.
func (c *cluster) add(n *node) {
	c.index[n.id] = len(c.nodes)
	c.nodes = append(c.nodes, n)
}

func (c *cluster) configuration() *configuration.Configuration {
	limits := must(configuration.NewLimits(1100, 10*time.Minute))
	team := must(configuration.NewTeam("team", 1, 0))
	kind := must(configuration.NewKind("team", "kind", "service", configuration.Critical, 10*time.Second, 50*time.Millisecond))
	return must(configuration.New(1, limits, []configuration.Team{team}, []configuration.Kind{kind}))
}

func (c *cluster) newAgent(i int, incarnation uint64) *node {
	id := must(identity.NewProcess(fmt.Sprintf("a%d", i), incarnation))
	start := c.now
	issueCredit := func(now time.Time) uint64 { return uint64(now.Sub(start).Milliseconds()) + 1 }
	l := must(ledger.New(c.now, 10*time.Minute+10*time.Second, 100_000, 64<<20))
	n := &node{
		id:            id,
		owner:         must(owner.New(id, must(owner.NewTopology(1, shardCount)), rand.New(rand.NewPCG(uint64(i), incarnation)))),
		agent:         must(agent.New(id, l, issueCredit)),
		credit:        issueCredit,
		lastHeartbeat: c.now,
	}
	n.inbox = append(n.inbox, c.configuration(), c.announcementOf(i))
	return n
}

func (c *cluster) announcementOf(i int) announcement.Announcement {
	return must(announcement.New(fmt.Sprintf("t%d", i), "http://127.0.0.1:1/task", []string{"service"}, 4, 8, false))
}

func (c *cluster) newEntry(i int) *node {
	n := &node{
		id:    must(identity.NewProcess(fmt.Sprintf("e%d", i), 1)),
		entry: must(entry.New(1, shardCount)),
	}
	n.inbox = append(n.inbox, c.configuration())
	return n
}

// tick advances the clock by one interval and processes everything that is due.
func (c *cluster) tick() {
	c.now = c.now.Add(tickInterval)
	c.runDirectory()
	for _, e := range c.takeDueCompletions() {
		e.node.inbox = append(e.node.inbox, e.event)
	}
	c.deliver()
	for i, n := range c.nodes {
		if n.killed || n.paused {
			continue
		}
		n.inbox = append(n.inbox, message.Wake{})
		if n.agent != nil {
			n.inbox = append(n.inbox, c.announcementOf(i))
			// An agent sends its credit and capacity to every owner, as with the
			// heartbeat frames of a link.
			for j := range c.nodes {
				if c.nodes[j].owner != nil {
					n.outbox = append(n.outbox, packet{
						from: i,
						to:   j,
					})
				}
			}
		}
		c.process(i, n)
	}
}

// process passes a node its events. Messages leave after the last event, so that
// a pause can fall between a decision and the sending of its messages.
func (c *cluster) process(i int, n *node) {
	events := n.inbox
	n.inbox = nil
	for _, e := range events {
		for _, r := range n.roles() {
			if routedTo(r.name, e) {
				c.apply(i, n, r.handle(c.now, e))
			}
		}
	}
	if n.pauseBeforeSend {
		n.pauseBeforeSend = false
		n.paused = true
		return
	}
	c.flush(i, n)
}

// flush moves the messages of a node to the network.
func (c *cluster) flush(i int, n *node) {
	var delayed []packet
	for _, p := range n.outbox {
		if _, ok := p.body.(message.Start); ok && n.delayStarts {
			delayed = append(delayed, p)
			continue
		}
		if n.credit != nil {
			p.credit = n.credit(c.now)
			p.capacity = n.capacity
		}
		p.due = c.now.Add(time.Duration(c.rnd.IntN(40)) * time.Millisecond)
		c.inFlight = append(c.inFlight, p)
	}
	n.outbox = delayed
}

// role is the state machine of a role in a process.
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
				var effects []any
				for _, s := range n.owner.Handle(now, e) {
					effects = append(effects, s)
				}
				return effects
			},
		},
	}
}

// routedTo reports whether a process routes an event to a role.
func routedTo(role string, e any) bool {
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

// apply carries out the effects that a role returned.
func (c *cluster) apply(i int, n *node, effects []any) {
	for _, e := range effects {
		switch e := e.(type) {
		case message.Send:
			j, ok := c.index[e.To()]
			if !ok {
				continue
			}
			n.outbox = append(n.outbox, packet{
				from: i,
				to:   j,
				body: e.Body(),
			})
		case agent.Call:
			c.call(n, e)
		case *agent.CapacityHint:
			n.capacity = e.Capacities()
		case entry.Respond:
			c.respond(e)
		}
	}
}

// call runs a task at a target. A few calls find no connection, a few lose the
// target and a few fail.
func (c *cluster) call(n *node, request agent.Call) {
	if c.rnd.IntN(20) == 0 {
		c.completions = append(c.completions, completion{
			node:  n,
			due:   c.now.Add(tickInterval),
			event: agent.NewEnded(request.Task(), outcome.Revocation("no connection to the target")),
		})
		return
	}
	c.oracle.call(request.Task().Submission().String(), request.Task().String())
	runTime := time.Duration(20+c.rnd.IntN(300)) * time.Millisecond
	result := outcome.Success([]byte(request.Task().String()), runTime)
	if c.rnd.IntN(60) == 0 {
		result = outcome.Lost("the target died")
	} else if c.rnd.IntN(60) == 0 {
		result = outcome.Failure("the target failed", runTime)
	}
	c.completions = append(c.completions, completion{
		node:  n,
		due:   c.now.Add(runTime),
		event: agent.NewEnded(request.Task(), result),
	})
}

// takeDueCompletions removes the completions that are due and returns those whose
// node has not been killed.
func (c *cluster) takeDueCompletions() []completion {
	var due, rest []completion
	for _, e := range c.completions {
		switch {
		case e.due.After(c.now):
			rest = append(rest, e)
		case !e.node.killed:
			due = append(due, e)
		}
	}
	c.completions = rest
	return due
}

// deliver passes due messages to their receivers, in order for each pair of nodes.
// A link that is down keeps its messages until it is up again, as a link resends
// its numbered frames.
func (c *cluster) deliver() {
	var rest []packet
	blocked := map[[2]int]bool{}
	for _, p := range c.inFlight {
		pair := [2]int{p.from, p.to}
		to := c.nodes[p.to]
		switch {
		case to.killed:
		case to.paused:
			rest = append(rest, p)
		case blocked[pair] || c.linkDown[pair] || p.due.After(c.now):
			blocked[pair] = true
			rest = append(rest, p)
		default:
			to.inbox = append(to.inbox, message.NewReceived(c.nodes[p.from].id, p.credit, p.capacity, p.body))
		}
	}
	c.inFlight = rest
}
