package directory_test

import (
	"fmt"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/directory"
)

// callTime is what a call takes when nobody answers.
const callTime = time.Second

type simLease struct {
	holder  membership.Member
	session string
}

// simStore is the store under the virtual clock, with its faults.
type simStore struct {
	sim      *simulation
	index    uint64
	sessions map[string]time.Time
	number   int
	leases   map[string]simLease
	cells    map[string]membership.Cell
	groups   map[int]membership.Group
	head     uint64
	down     bool
	slow     time.Duration
	lose     float64
	late     float64
	stale    float64
	former   []membership.Fleet
	reads    int
	writes   int
	leasedAt map[membership.ShardEpoch]map[identity.Process]bool
}

func newSimStore(s *simulation) *simStore {
	return &simStore{
		sim: s, index: 1, sessions: map[string]time.Time{}, leases: map[string]simLease{},
		cells: map[string]membership.Cell{}, groups: map[int]membership.Group{},
		leasedAt: map[membership.ShardEpoch]map[identity.Process]bool{},
	}
}

func (x *simStore) delay() time.Duration {
	return x.slow + x.sim.jitter(time.Millisecond, 6*time.Millisecond)
}

// call carries out a change half-way through its delay. A lost answer is Unknown
// after the change took effect; a late one is Unknown before it takes effect.
func (x *simStore) call(n *node, write bool, do func() bool, answer func(directory.Outcome)) {
	if write {
		x.writes++
	} else {
		x.reads++
	}
	s := x.sim
	unreachable := func() bool { return x.down || n.noStore }
	if unreachable() {
		s.after(min(callTime, s.jitter(time.Millisecond, callTime)), func() { answer(directory.Unknown) })
		return
	}
	d := x.delay()
	if write && s.rnd.Float64() < x.late {
		s.after(s.jitter(callTime, 2*callTime), func() { do() })
		s.after(callTime, func() { answer(directory.Unknown) })
		return
	}
	lost := write && s.rnd.Float64() < x.lose
	outcome := directory.Unknown
	s.after(d/2, func() {
		if unreachable() {
			return
		}
		outcome = directory.Refused
		if do() {
			outcome = directory.Done
		}
		if lost || d > callTime {
			outcome = directory.Unknown
		}
	})
	if lost {
		d = callTime
	}
	s.after(min(d, callTime), func() { answer(outcome) })
}

func (x *simStore) expire() {
	for id, until := range x.sessions {
		if !until.After(x.sim.now) {
			x.drop(id)
		}
	}
}

func (x *simStore) drop(id string) {
	delete(x.sessions, id)
	for c, l := range x.leases {
		if l.session == id {
			delete(x.leases, c)
			x.index++
		}
	}
}

func (x *simStore) lease(n *node, effect any, ended func(directory.Outcome, string)) {
	x.expire()
	session := ""
	do := func() bool {
		x.expire()
		switch e := effect.(type) {
		case directory.OpenSession:
			x.number++
			session = fmt.Sprint("session-", x.number)
			x.sessions[session] = x.sim.now.Add(directory.SessionTTL)
		case directory.RenewSession:
			if _, ok := x.sessions[e.Session()]; !ok {
				return false
			}
			x.sessions[e.Session()] = x.sim.now.Add(directory.SessionTTL)
		case directory.AcquireLease:
			l, held := x.leases[e.Cell()]
			if _, ok := x.sessions[e.Session()]; !ok || (held && l.session != e.Session()) {
				return false
			}
			x.index++
			x.leases[e.Cell()] = simLease{holder: e.Holder(), session: e.Session()}
		case directory.ReleaseLease:
			if l := x.leases[e.Cell()]; l.session != e.Session() {
				return false
			}
			delete(x.leases, e.Cell())
			x.index++
		case directory.CloseSession:
			x.drop(e.Session())
		}
		return true
	}
	x.call(n, true, do, func(o directory.Outcome) { ended(o, session) })
}

// list is the stored state now.
func (x *simStore) list() membership.Fleet {
	x.expire()
	var cells []membership.Cell
	for _, c := range x.cells {
		l := x.leases[c.Name()]
		cells = append(cells, c.WithHolder(l.holder, l.session))
	}
	for name, l := range x.leases {
		if _, ok := x.cells[name]; !ok {
			cells = append(cells, membership.NewCell(name, -1, l.holder.Zone(), 0, "", nil).WithHolder(l.holder, l.session))
		}
	}
	var groups []membership.Group
	for _, g := range x.groups {
		groups = append(groups, g)
	}
	f := membership.NewFleet(x.index, cells, groups)
	if x.stale > 0 {
		x.former = append(x.former, f)
		if len(x.former) > 20 {
			x.former = x.former[1:]
		}
	}
	return f
}

// look lists the fleet, an old state of it if that fault is on.
func (x *simStore) look(n *node, answer func(membership.Fleet, bool)) {
	var f membership.Fleet
	do := func() bool {
		f = x.list()
		if len(x.former) > 0 && x.sim.rnd.Float64() < x.stale {
			f = x.former[x.sim.rnd.IntN(len(x.former))]
		}
		return true
	}
	x.call(n, false, do, func(o directory.Outcome) { answer(f, o == directory.Done) })
}

func (x *simStore) write(n *node, w directory.WriteFleet, answer func(membership.Fleet, bool)) {
	left := len(w.Cells()) + len(w.Groups())
	done := func(directory.Outcome) {
		if left--; left == 0 {
			x.look(n, answer)
		}
	}
	if left == 0 {
		x.look(n, answer)
		return
	}
	for _, c := range w.Cells() {
		x.call(n, true, func() bool { return x.swapCell(c) }, done)
	}
	for _, g := range w.Groups() {
		x.call(n, true, func() bool { return x.swapGroup(g) }, done)
	}
}

func (x *simStore) swapCell(c membership.Cell) bool {
	if x.cells[c.Name()].Index() != c.Index() {
		return false
	}
	x.index++
	x.cells[c.Name()] = c.WithIndex(x.index)
	return true
}

func (x *simStore) swapGroup(g membership.Group) bool {
	if x.groups[g.Number()].Index() != g.Index() {
		return false
	}
	before := map[identity.Shard]identity.Epoch{}
	for _, r := range x.groups[g.Number()].Routes() {
		before[r.Shard()] = r.Epoch()
	}
	leased := map[identity.Process]bool{}
	for _, n := range x.sim.nodes {
		if !n.dead && n.lease.After(x.sim.now) {
			leased[n.id] = true
		}
	}
	for _, r := range g.Routes() {
		if r.Epoch() < before[r.Shard()] {
			x.sim.t.fatal("shard %d: epoch went from %d to %d", r.Shard(), before[r.Shard()], r.Epoch())
		}
		if r.Epoch() > before[r.Shard()] {
			x.leasedAt[membership.NewShardEpoch(r.Shard(), r.Epoch())] = leased
		}
	}
	x.index++
	x.groups[g.Number()] = g.WithIndex(x.index)
	return true
}

func (x *simStore) lostMember(p identity.Process) bool {
	for _, c := range x.cells {
		if m, ok := c.Member(p); ok && !m.Lost().IsZero() {
			return true
		}
	}
	return false
}
