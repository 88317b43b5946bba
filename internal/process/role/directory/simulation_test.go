package directory_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/directory"
	"greengagedoor.example/greengagedoor/internal/process/role/member"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

const (
	wakeInterval = 50 * time.Millisecond
	creditTime   = 500 * time.Millisecond
)

type scheduledEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || (a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// node is a simulated agent: its member, its directory and a model of its owner.
type node struct {
	id            identity.Process
	zone          string
	agent         bool
	member        *member.Member
	directory     *directory.Directory
	dead          bool
	left          bool
	paused        time.Time
	noStore       bool
	owned         map[identity.Shard]identity.Epoch
	lease         time.Time
	config        uint64
	routes        uint64
	lostAt        map[identity.Process]time.Time
	watch         int
	watched       uint64
	latestVersion uint64
}

// simulation runs agents, their links and the store under a virtual clock. Every wake of
// a node checks the invariants.
type simulation struct {
	t           failer
	rnd         *rand.Rand
	now         time.Time
	eventQueue  eventQueue
	seq         int
	nodes       []*node
	byID        map[identity.Process]*node
	store       *simStore
	partitioned func(a, b *node) bool
	canStart    map[identity.Shard]map[identity.Process]time.Time
	granted     map[membership.ShardEpoch]identity.Process
	grants      []time.Time
	onSend      func(from, to *node, body any)
	layout      membership.Layout
}

// failer fails a test, which is a *testing.T or a *rapid.T.
type failer struct {
	fatal func(format string, args ...any)
}

func newSimulation(t *testing.T, seed uint64, shards int) *simulation {
	return newSimulationFor(failer{fatal: t.Fatalf}, seed, shards)
}

func newSimulationFor(f failer, seed uint64, shards int) *simulation {
	layout, err := membership.NewLayout(1, shards)
	if err != nil {
		f.fatal("%v", err)
	}
	s := &simulation{
		t:        f,
		rnd:      rand.New(rand.NewPCG(seed, seed)),
		now:      time.UnixMilli(1_800_000_000_000),
		byID:     map[identity.Process]*node{},
		canStart: map[identity.Shard]map[identity.Process]time.Time{},
		granted:  map[membership.ShardEpoch]identity.Process{},
		layout:   layout,
	}
	s.store = newSimStore(s)
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.eventQueue, scheduledEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *simulation) jitter(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rnd.Int64N(int64(most-least)))
}

// run advances the virtual time and executes the events that are due.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.eventQueue) > 0 && !s.eventQueue[0].at.After(end) {
		e := heap.Pop(&s.eventQueue).(scheduledEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// until runs until ok returns true, and returns the virtual time that it took.
func (s *simulation) until(limit time.Duration, what string, ok func() bool) time.Duration {
	began := s.now
	for !ok() {
		if s.now.Sub(began) >= limit {
			s.t.fatal("%s: condition not met within %v", what, limit)
			return limit
		}
		s.run(10 * time.Millisecond)
	}
	return s.now.Sub(began)
}

func (s *simulation) add(name, zone, cell string, incarnation uint64) *node {
	id, err := identity.NewProcess(name, incarnation)
	if err != nil {
		s.t.fatal("%v", err)
	}
	self := membership.NewMember(id, "address-of-"+name, zone, time.Time{})
	ms, err := member.NewSettings(self, 0, true, cell, 36)
	if err != nil {
		s.t.fatal("%v", err)
	}
	ds, err := directory.NewSettings(self, 0, s.layout, 10*time.Minute, 32)
	if err != nil {
		s.t.fatal("%v", err)
	}
	n := &node{
		id: id, zone: zone, agent: true, member: member.New(ms), directory: directory.New(ds),
		owned: map[identity.Shard]identity.Epoch{}, lostAt: map[identity.Process]time.Time{},
	}
	s.nodes = append(s.nodes, n)
	s.byID[id] = n
	s.after(s.jitter(0, wakeInterval), func() { s.wake(n) })
	return n
}

func (s *simulation) wake(n *node) {
	if n.dead || n.left {
		return
	}
	s.toMember(n, message.Wake{})
	s.toDirectory(n, message.Wake{})
	s.check(n)
	s.after(wakeInterval, func() { s.wake(n) })
}

// runnable reports whether a node can process an event now. If the node is paused, do is
// executed at the end of the pause.
func (s *simulation) runnable(n *node, do func()) bool {
	if n.dead {
		return false
	}
	if n.paused.After(s.now) {
		s.after(n.paused.Sub(s.now), do)
		return false
	}
	return true
}

func (s *simulation) toMember(n *node, event any) {
	if !s.runnable(n, func() { s.toMember(n, event) }) {
		return
	}
	for _, e := range append([]any(nil), n.member.Handle(s.now, event)...) {
		s.memberEffect(n, e)
	}
}

func (s *simulation) memberEffect(n *node, effect any) {
	switch e := effect.(type) {
	case message.Send:
		s.transmit(n, e)
	case member.Lookup:
		s.store.read(n, func(f membership.Fleet, ok bool) { s.toMember(n, member.NewLookupResult(f, ok)) })
	case member.AcquireCell:
		s.toDirectory(n, directory.NewAcquireCell(e.Cell()))
	case member.ConfigurationUpdate:
		if e.Version() <= n.config {
			s.t.fatal("%s: configuration version %d is followed by version %d", n.id, n.config, e.Version())
		}
		n.config = e.Version()
	case member.Expelled:
		n.dead = true
	case member.Left:
		n.left = true
		s.toDirectory(n, directory.Resign{})
	case membership.Lease:
		n.lease = e.Until()
	case membership.Granted:
		s.grant(n, e)
	case membership.Released:
		s.after(s.jitter(0, 100*time.Millisecond), func() {
			delete(n.owned, e.Shard())
			s.toMember(n, member.NewShardStopped(e.Shard()))
		})
	case message.ProcessEnded:
		n.lostAt[e.Process()] = s.now
	}
}

// grant checks that an epoch of a shard has only one owner, and that the member list
// contains every agent that may have started tasks of the shard.
func (s *simulation) grant(n *node, g membership.Granted) {
	c := membership.NewShardEpoch(g.Shard(), g.Epoch())
	if p, ok := s.granted[c]; ok && p != n.id {
		s.t.fatal("shard %d epoch %d granted to %s and %s", g.Shard(), g.Epoch(), p, n.id)
	}
	s.granted[c] = n.id
	s.grants = append(s.grants, s.now)
	n.owned[g.Shard()] = g.Epoch()
	if g.Epoch() == 1 {
		return
	}
	listed := map[identity.Process]bool{}
	for _, m := range g.Agents() {
		listed[m.Process()] = true
	}
	for p := range s.store.leasedAt[c] {
		if !listed[p] {
			s.t.fatal("shard %d epoch %d: the member list lacks %s, which had a lease when the shard moved", g.Shard(), g.Epoch(), p)
		}
	}
}

func (s *simulation) toDirectory(n *node, event any) {
	if !s.runnable(n, func() { s.toDirectory(n, event) }) {
		return
	}
	for _, e := range append([]any(nil), n.directory.Handle(s.now, event)...) {
		s.directoryEffect(n, e)
	}
}

func (s *simulation) directoryEffect(n *node, effect any) {
	handleResult := func(o directory.Outcome, session string) { s.toDirectory(n, directory.NewLeaseResult(o, session)) }
	switch e := effect.(type) {
	case message.Send:
		s.transmit(n, e)
	case directory.WriteFleet:
		s.store.write(n, e, func(f membership.Fleet, ok bool) { s.toDirectory(n, directory.NewWriteResult(e.Number(), f, ok)) })
	case directory.Watch:
		n.watch++
		if e.Enabled() {
			s.watch(n, n.watch)
		}
	case directory.ReadConfiguration:
		s.store.call(n, false, func() bool { return true }, func(o directory.Outcome) {
			if o == directory.Done {
				s.toDirectory(n, directory.NewConfiguration(s.store.latestVersion, []byte{1}))
			}
		})
	case directory.OpenSession, directory.AcquireLease, directory.RenewSession, directory.ReleaseLease, directory.CloseSession:
		s.store.lease(n, e, handleResult)
	}
}

// watch simulates a node's watches of the store. It polls for a newer state every 20 to
// 100 ms.
func (s *simulation) watch(n *node, number int) {
	if n.dead || n.watch != number {
		return
	}
	if !n.noStore && !s.store.down && n.paused.Before(s.now) {
		if s.store.latestVersion > n.latestVersion {
			n.latestVersion = s.store.latestVersion
			s.toDirectory(n, directory.NewLatestVersion(n.latestVersion))
		}
		if f := s.store.list(); f.Index() > n.watched {
			n.watched = f.Index()
			s.store.reads++
			s.after(s.store.delay(), func() { s.toDirectory(n, directory.NewFleetUpdate(f)) })
		}
	}
	s.after(s.jitter(20*time.Millisecond, 100*time.Millisecond), func() { s.watch(n, number) })
}

func (s *simulation) transmit(from *node, m message.Send) {
	to := s.byID[m.To()]
	if to == nil {
		return
	}
	if s.onSend != nil {
		s.onSend(from, to, m.Body())
	}
	if s.partitioned != nil && s.partitioned(from, to) {
		return
	}
	s.after(s.jitter(time.Millisecond, 5*time.Millisecond), func() { s.receive(from, to, m.Body()) })
}

func (s *simulation) receive(from, to *node, body any) {
	r := message.NewReceived(from.id, 0, nil, body)
	switch body.(type) {
	case membership.HeartbeatAck, membership.RevokeRequest:
		s.toMember(to, r)
	case membership.FetchReply:
		s.toMember(to, r)
		s.toDirectory(to, r)
	default:
		s.toDirectory(to, r)
	}
}

// addFleet adds the given number of cells, each with the given number of agents and in
// its own availability zone.
func (s *simulation) addFleet(cells, agents int) {
	for c := range cells {
		zone := fmt.Sprintf("z%d", c)
		for a := range agents {
			s.add(fmt.Sprintf("%s-a%02d", zone, a), zone, "", uint64(len(s.nodes)+1))
		}
	}
}

// holder returns the node whose directory is active in a cell, or nil for none.
func (s *simulation) holder(cell string) *node {
	for _, n := range s.nodes {
		if !n.dead && n.directory.Active(s.now, cell) {
			return n
		}
	}
	return nil
}

func (s *simulation) cells() []string {
	seen := map[string]bool{}
	var names []string
	for _, n := range s.nodes {
		if c := n.member.Cell(); c != "" && !seen[c] {
			seen[c] = true
			names = append(names, c)
		}
	}
	sort.Strings(names)
	return names
}

// leave shuts a node down gracefully.
func (s *simulation) leave(n *node) {
	s.toMember(n, member.Leave{})
}
