package directory_test

import (
	"fmt"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/directory"
)

// callTimeout is the duration of a call without an answer.
const callTimeout = time.Second

type simLease struct {
	holder  membership.Member
	session string
}

// simStore simulates the store and its faults under the virtual clock.
type simStore struct {
	sim            *simulation
	index          uint64
	sessions       map[string]time.Time
	number         int
	leases         map[string]simLease
	cells          map[string]membership.Cell
	groups         map[int]membership.Group
	latestVersion  uint64
	down           bool
	extraDelay     time.Duration
	lostAnswerRate float64
	lateWriteRate  float64
	staleReadRate  float64
	previous       []membership.Fleet
	reads          int
	writes         int
	leasedAt       map[membership.ShardEpoch]map[identity.Process]bool
}

func newSimStore(s *simulation) *simStore {
	return &simStore{
		sim: s, index: 1, sessions: map[string]time.Time{}, leases: map[string]simLease{},
		cells: map[string]membership.Cell{}, groups: map[int]membership.Group{},
		leasedAt: map[membership.ShardEpoch]map[identity.Process]bool{},
	}
}

func (x *simStore) delay() time.Duration {
	return x.extraDelay + x.sim.jitter(time.Millisecond, 6*time.Millisecond)
}

// call executes do half-way through the delay of the call. If the answer is lost, the
// outcome is Unknown after the change took effect. If the write is late, the outcome is
// Unknown before it takes effect.
func (x *simStore) call(n *node, write bool, do func() bool, answer func(directory.Outcome)) {
	if write {
		x.writes++
	} else {
		x.reads++
	}
	s := x.sim
	unreachable := func() bool { return x.down || n.noStore }
	if unreachable() {
		s.after(min(callTimeout, s.jitter(time.Millisecond, callTimeout)), func() { answer(directory.Unknown) })
		return
	}
	d := x.delay()
	if write && s.rnd.Float64() < x.lateWriteRate {
		s.after(s.jitter(callTimeout, 2*callTimeout), func() { do() })
		s.after(callTimeout, func() { answer(directory.Unknown) })
		return
	}
	lost := write && s.rnd.Float64() < x.lostAnswerRate
	outcome := directory.Unknown
	s.after(d/2, func() {
		if unreachable() {
			return
		}
		outcome = directory.Refused
		if do() {
			outcome = directory.Done
		}
		if lost || d > callTimeout {
			outcome = directory.Unknown
		}
	})
	if lost {
		d = callTimeout
	}
	s.after(min(d, callTimeout), func() { answer(outcome) })
}

func (x *simStore) expireSessions() {
	for id, until := range x.sessions {
		if !until.After(x.sim.now) {
			x.endSession(id)
		}
	}
}

func (x *simStore) endSession(id string) {
	delete(x.sessions, id)
	for c, l := range x.leases {
		if l.session == id {
			delete(x.leases, c)
			x.index++
		}
	}
}

func (x *simStore) lease(n *node, effect any, handleResult func(directory.Outcome, string)) {
	x.expireSessions()
	session := ""
	do := func() bool {
		x.expireSessions()
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
			x.endSession(e.Session())
		}
		return true
	}
	x.call(n, true, do, func(o directory.Outcome) { handleResult(o, session) })
}

// list returns the current stored state.
func (x *simStore) list() membership.Fleet {
	x.expireSessions()
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
	if x.staleReadRate > 0 {
		x.previous = append(x.previous, f)
		if len(x.previous) > 20 {
			x.previous = x.previous[1:]
		}
	}
	return f
}

// read lists the fleet. With staleReadRate it may return an older state.
func (x *simStore) read(n *node, answer func(membership.Fleet, bool)) {
	var f membership.Fleet
	do := func() bool {
		f = x.list()
		if len(x.previous) > 0 && x.sim.rnd.Float64() < x.staleReadRate {
			f = x.previous[x.sim.rnd.IntN(len(x.previous))]
		}
		return true
	}
	x.call(n, false, do, func(o directory.Outcome) { answer(f, o == directory.Done) })
}

func (x *simStore) write(n *node, w directory.WriteFleet, answer func(membership.Fleet, bool)) {
	left := len(w.Cells()) + len(w.Groups())
	done := func(directory.Outcome) {
		if left--; left == 0 {
			x.read(n, answer)
		}
	}
	if left == 0 {
		x.read(n, answer)
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
			x.sim.t.fatal("shard %d: epoch decreased from %d to %d", r.Shard(), before[r.Shard()], r.Epoch())
		}
		if r.Epoch() > before[r.Shard()] {
			x.leasedAt[membership.NewShardEpoch(r.Shard(), r.Epoch())] = leased
		}
	}
	x.index++
	x.groups[g.Number()] = g.WithIndex(x.index)
	return true
}

func (x *simStore) isLost(p identity.Process) bool {
	for _, c := range x.cells {
		if m, ok := c.Member(p); ok && !m.Lost().IsZero() {
			return true
		}
	}
	return false
}
