package owner

import (
	"math"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/heap"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/request/queue"
)

// The parameters of the owner's view of agents.
const (
	// creditUse is the age up to which a credit is used. Agents refuse it after
	// 500 ms; the rest is for the way there.
	creditUse = 400 * time.Millisecond
	// rouseInterval is the pause before an agent without a fresh credit is asked
	// again. A lost stream is replaced after 1 s.
	rouseInterval = time.Second
	// hintLag is the time in which a hint may have left before the starts that the
	// owner sent just now; it covers a round trip between availability zones.
	hintLag = 3 * time.Millisecond
	// restTime is the pause after a refusal that the next hint does not explain.
	restTime = 100 * time.Millisecond
	// speedStep is the smallest relative difference of speed that counts. Below it
	// agents are chosen at random, so that owners do not all pick the same one.
	speedStep = 0.1
	// ejectAfter is the number of fast failures in a row that ejects an agent.
	ejectAfter = 5
	// fastPart is the part of the learned run time below which a failure is fast.
	fastPart = 0.5
	// minEjection and maxEjection bound the time of an ejection, which doubles.
	minEjection = time.Second
	maxEjection = time.Minute
	// ejectionPart is one over the largest part of the agents that may be ejected.
	ejectionPart = 3
)

// Each pool holds the rooms that one sort of work may use.
const (
	short = iota
	long
	critical
	pools
)

// poolOf is the pool for the work of a class.
func poolOf(c queue.Class) int {
	switch {
	case c.Urgency() == 0:
		return critical
	case c.Long():
		return long
	}
	return short
}

// agent is what the owner knows of an agent. It ends when the agent has left the
// working set and nothing is open there.
type agent struct {
	process identity.Process
	member  bool
	near    bool
	awake   bool
	credit  uint64
	heard   time.Time
	asked   time.Time
	rooms   []*room
	jobs    map[*submission]struct{}
}

// room is the capacity of one service at an agent.
type room struct {
	agent    *agent
	svc      *service
	free     uint32
	reserved uint32
	long     uint32
	counted  uint32
	pace     int
	spread   uint64
	sent     uint32
	sentAt   time.Time
	heard    bool
	resting  bool
	open     int
	fails    int
	ejected  bool
	probing  bool
	ejection time.Duration
	told     [queue.Classes]int
	at       [pools]int
}

// before orders rooms: the own availability zone first, then the expected finish.
func before(a, b *room) bool {
	switch {
	case a.agent.near != b.agent.near:
		return a.agent.near
	case a.pace != b.pace:
		return a.pace < b.pace
	}
	return a.spread < b.spread
}

// paceOf is the expected finish as a number of speed steps.
func paceOf(speed float64) int {
	if speed <= 0 {
		return math.MaxInt32
	}
	return int(math.Floor(-math.Log(speed)/math.Log1p(speedStep) + 0.5))
}

// room returns what the agent has of a service, nil if it does not offer it.
func (a *agent) room(svc *service) *room {
	for _, r := range a.rooms {
		if r.svc == svc {
			return r
		}
	}
	return nil
}

// knowing returns the agent's entry, a new one if need be.
func (o *Owner) knowing(p identity.Process) *agent {
	a, ok := o.agents[p]
	if !ok {
		a = &agent{
			process: p,
			jobs:    map[*submission]struct{}{},
		}
		o.agents[p] = a
	}
	return a
}

// discard drops an agent that left the working set once nothing is open there.
func (o *Owner) discard(a *agent) {
	if !a.member && len(a.jobs) == 0 {
		delete(o.agents, a.process)
	}
}

// setAgents replaces the working set. The own availability zone is that of this
// process, or of the nearest agent if this process is not in the set.
func (o *Owner) setAgents(now time.Time, w membership.WorkingSet) {
	zone := ""
	for i, m := range w.Agents() {
		if i == 0 || m.Process() == o.self {
			zone = m.Zone()
		}
	}
	former := append([]*agent(nil), o.set...)
	o.set = o.set[:0]
	present := make(map[*agent]bool, len(w.Agents()))
	for _, m := range w.Agents() {
		a := o.knowing(m.Process())
		if present[a] {
			continue
		}
		present[a] = true
		a.near = m.Zone() == zone
		o.set = append(o.set, a)
		if !a.member {
			a.member = true
			o.asleep++
			o.ask(now, a)
		}
	}
	for _, a := range former {
		if !present[a] {
			o.leave(a)
			o.discard(a)
		}
	}
}

// leave takes an agent out of the choice.
func (o *Owner) leave(a *agent) {
	if !a.member {
		return
	}
	a.member = false
	if !a.awake {
		o.asleep--
	}
	a.awake = false
	for _, r := range a.rooms {
		if r.ejected {
			r.ejected = false
			o.ejected--
		}
		o.refresh(r)
	}
}

// hear notes the credit and the room that came with a frame.
func (o *Owner) hear(now time.Time, r message.Received) {
	a, ok := o.agents[r.From()]
	if !ok || r.Credit() == 0 {
		return
	}
	a.credit = max(a.credit, r.Credit())
	a.heard = now
	woken := a.member && !a.awake
	if woken {
		a.awake = true
		o.asleep--
	}
	if r.Capacity() != nil {
		o.hint(now, a, r.Capacity())
		return
	}
	if woken {
		for _, room := range a.rooms {
			o.refresh(room)
		}
	}
}

// hint replaces what is known of an agent's room.
func (o *Owner) hint(now time.Time, a *agent, rooms []message.Capacity) {
	for _, r := range a.rooms {
		r.heard = false
	}
	for _, m := range rooms {
		svc := o.service(m.Service())
		r := a.room(svc)
		if r == nil {
			r = &room{
				agent: a,
				svc:   svc,
				at:    [pools]int{heap.Absent, heap.Absent, heap.Absent},
			}
			a.rooms = append(a.rooms, r)
			svc.published = [queue.Classes]int{}
		}
		r.heard = true
		r.take(now, m)
		r.spread = o.rnd.Uint64()
		o.refresh(r)
	}
	for _, r := range a.rooms {
		if !r.heard {
			r.free, r.reserved, r.long = 0, 0, 0
			o.refresh(r)
		}
	}
}

// take sets the numbers of a hint, less the starts that the hint may not count.
func (r *room) take(now time.Time, m message.Capacity) {
	unseen := uint32(0)
	if now.Sub(r.sentAt) <= hintLag {
		unseen = r.sent
	}
	r.free = m.Free() - min(m.Free(), unseen)
	r.reserved = m.Reserved()
	r.long = min(m.Long(), r.free)
	r.pace = paceOf(m.Speed())
}

// refresh puts the room into the pools whose work it can take, and out of the
// others.
func (o *Owner) refresh(r *room) {
	usable := r.agent.member && r.agent.awake && !r.ejected && !r.resting && (!r.probing || r.open == 0)
	fits := [pools]bool{
		short:    usable && r.free > 0,
		long:     usable && min(r.free, r.long) > 0,
		critical: usable && r.free+r.reserved > 0,
	}
	counted := uint32(0)
	if usable {
		counted = r.free
	}
	r.svc.free += int(counted) - int(r.counted)
	r.counted = counted
	for n, pool := range r.svc.pools {
		switch in := r.at[n] != heap.Absent; {
		case fits[n] && in:
			pool.Fix(r.at[n])
		case fits[n]:
			pool.Push(r)
		case in:
			pool.Remove(r.at[n])
		}
	}
	if usable {
		o.touch(r.svc)
	}
}

// use takes one slot for work of a class.
func (r *room) use(now time.Time, c queue.Class) {
	if now.Sub(r.sentAt) > hintLag {
		r.sentAt = now
		r.sent = 0
	}
	r.sent++
	if r.free == 0 {
		r.reserved -= min(r.reserved, 1)
		return
	}
	r.free--
	if c.Long() {
		r.long -= min(r.long, 1)
	}
	r.long = min(r.long, r.free)
}

// refused notes why an agent did not take a start.
func (o *Owner) refused(now time.Time, s *submission, from identity.Process, cause message.Cause) {
	a, ok := o.agents[from]
	if !ok {
		return
	}
	r := a.room(s.svc)
	if r == nil {
		return
	}
	switch cause {
	case message.Busy:
		if s.job.Kind().Long() {
			r.long = 0
		} else {
			r.free = 0
			r.long = 0
		}
		if s.job.Kind().Urgency() == 0 {
			r.free = 0
			r.reserved = 0
		}
	case message.StaleCredit:
		o.sleep(now, a)
	case message.NeverFits, message.PastDeadline, message.Withdrawn:
	default:
		o.rest(now, r, restTime)
	}
	o.refresh(r)
}

// rest keeps a room out of the choice for a time.
func (o *Owner) rest(now time.Time, r *room, d time.Duration) {
	if r.resting || r.ejected {
		return
	}
	r.resting = true
	o.arm(now.Add(d), readmit, r)
}

// readmit ends a pause, or an ejection, after which one task at a time is tried.
func (o *Owner) readmit(r *room) {
	r.resting = false
	if r.ejected {
		r.ejected = false
		r.probing = true
		o.ejected--
	}
	o.refresh(r)
}

// judge notes how a start ended and ejects an agent that fails all it starts.
func (o *Owner) judge(now time.Time, s *submission, r *room, result outcome.Result) {
	switch {
	case result.State() == outcome.Succeeded:
		r.fails = 0
		r.probing = false
		r.ejection = 0
		return
	case result.State() != outcome.Failed:
		return
	case float64(result.RunTime()) >= fastPart*float64(s.learned.typical.Value()):
		r.fails = 0
		return
	}
	r.fails++
	if r.ejected || r.fails < ejectAfter && !r.probing || (o.ejected+1)*ejectionPart > len(o.set) || !r.agent.member {
		return
	}
	r.ejected = true
	r.probing = false
	o.ejected++
	r.ejection = min(max(2*r.ejection, minEjection), maxEjection)
	o.arm(now.Add(r.ejection), readmit, r)
	o.refresh(r)
}
