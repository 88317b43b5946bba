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
	// maxCreditAge is the age up to which a credit is used. Agents refuse credits
	// after 500 ms; the difference covers the transit time.
	maxCreditAge = 400 * time.Millisecond
	// creditRequestInterval is the interval between credit requests to a stale agent.
	// A lost stream is replaced after 1 s.
	creditRequestInterval = time.Second
	// reportLag is the time within which a capacity report may not include the most
	// recent starts. It covers a round trip between availability zones.
	reportLag = 3 * time.Millisecond
	// suspensionTime is the pause of an endpoint after a rejection that its capacity
	// reports do not reflect.
	suspensionTime = 100 * time.Millisecond
	// speedStep is the relative difference of speed that makes one rank. Within a
	// rank the choice is random, so that owners do not all pick the same agent.
	speedStep = 0.1
	// ejectionFailures is the number of consecutive quick failures before an ejection.
	ejectionFailures = 5
	// quickFailureFactor times the typical run time is the limit of a quick failure.
	quickFailureFactor = 0.5
	// minEjection and maxEjection bound the duration of an ejection, which doubles each time.
	minEjection = time.Second
	maxEjection = time.Minute
	// maxEjectedDivisor is the number of agents for each permitted ejection.
	maxEjectedDivisor = 3
)

// The pools of a service. Each has the endpoints that can run one sort of work;
// pools is their number.
const (
	short = iota
	long
	critical
	pools
)

// poolOf returns the pool for the work of a class.
func poolOf(c queue.Class) int {
	switch {
	case c.Urgency() == 0:
		return critical
	case c.Long():
		return long
	}
	return short
}

// agent is the state of an agent as known to the owner. It is discarded when the
// agent has left the working set and has no open tasks.
type agent struct {
	process      identity.Process
	member       bool
	sameZone     bool
	fresh        bool
	credit       uint64
	lastSeen     time.Time
	interestSent time.Time
	endpoints    []*endpoint
	jobs         map[*submission]struct{}
}

// endpoint is one service at one agent: its free slots, the demand that the agent
// was notified of, and its health.
type endpoint struct {
	agent         *agent
	svc           *service
	free          uint32
	reserved      uint32
	long          uint32
	countedFree   uint32 // The part of free that svc.free includes.
	speedRank     int
	tieBreak      uint64 // Random, new with each report.
	recentStarts  uint32 // Starts since recentSince, which a report may not include.
	recentSince   time.Time
	reported      bool // The latest capacity report has the service.
	suspended     bool
	open          int
	quickFailures int
	ejected       bool
	probing       bool // Gets one task at a time after an ejection.
	ejectionTime  time.Duration
	notified      [queue.Classes]int
	poolIndex     [pools]int
}

// preferred orders endpoints: the same availability zone first, then the faster
// ones, then at random.
func preferred(a, b *endpoint) bool {
	switch {
	case a.agent.sameZone != b.agent.sameZone:
		return a.agent.sameZone
	case a.speedRank != b.speedRank:
		return a.speedRank < b.speedRank
	}
	return a.tieBreak < b.tieBreak
}

// speedRankOf returns the rank of a speed, in logarithmic steps of speedStep. A
// faster endpoint has a lower rank.
func speedRankOf(speed float64) int {
	if speed <= 0 {
		return math.MaxInt32
	}
	return int(math.Floor(-math.Log(speed)/math.Log1p(speedStep) + 0.5))
}

// endpoint returns the agent's endpoint of a service, or nil if the agent has never
// reported the service.
func (a *agent) endpoint(svc *service) *endpoint {
	for _, ep := range a.endpoints {
		if ep.svc == svc {
			return ep
		}
	}
	return nil
}

// agentOf returns the state of an agent and creates it if need be.
func (o *Owner) agentOf(p identity.Process) *agent {
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

// discard removes an agent that has left the working set and has no open tasks.
func (o *Owner) discard(a *agent) {
	if !a.member && len(a.jobs) == 0 {
		delete(o.agents, a.process)
	}
}

// updateWorkingSet replaces the working set. The own availability zone is that of
// this process, or of the nearest agent if this process is not in the set.
func (o *Owner) updateWorkingSet(now time.Time, w membership.WorkingSet) {
	zone := ""
	for i, m := range w.Agents() {
		if i == 0 || m.Process() == o.self {
			zone = m.Zone()
		}
	}
	previous := append([]*agent(nil), o.workingSet...)
	o.workingSet = o.workingSet[:0]
	present := make(map[*agent]bool, len(w.Agents()))
	for _, m := range w.Agents() {
		a := o.agentOf(m.Process())
		if present[a] {
			continue
		}
		present[a] = true
		a.sameZone = m.Zone() == zone
		o.workingSet = append(o.workingSet, a)
		if !a.member {
			a.member = true
			o.stale++
			o.requestCredit(now, a)
		}
	}
	for _, a := range previous {
		if !present[a] {
			o.removeFromSet(a)
			o.discard(a)
		}
	}
}

// removeFromSet marks an agent as no longer in the working set and removes its
// endpoints from the pools.
func (o *Owner) removeFromSet(a *agent) {
	if !a.member {
		return
	}
	a.member = false
	if !a.fresh {
		o.stale--
	}
	a.fresh = false
	for _, ep := range a.endpoints {
		if ep.ejected {
			ep.ejected = false
			o.ejected--
		}
		o.updatePools(ep)
	}
}

// updateAgent stores the credit and the capacity that came with a frame.
func (o *Owner) updateAgent(now time.Time, r message.Received) {
	a, ok := o.agents[r.From()]
	if !ok || r.Credit() == 0 {
		return
	}
	a.credit = max(a.credit, r.Credit())
	a.lastSeen = now
	refreshed := a.member && !a.fresh
	if refreshed {
		a.fresh = true
		o.stale--
	}
	if r.Capacity() != nil {
		o.updateEndpoints(now, a, r.Capacity())
		return
	}
	if refreshed {
		for _, ep := range a.endpoints {
			o.updatePools(ep)
		}
	}
}

// updateEndpoints applies a capacity report, which is complete: a service that it
// omits has no capacity at the agent.
func (o *Owner) updateEndpoints(now time.Time, a *agent, endpoints []message.Capacity) {
	for _, ep := range a.endpoints {
		ep.reported = false
	}
	for _, m := range endpoints {
		svc := o.service(m.Service())
		ep := a.endpoint(svc)
		if ep == nil {
			ep = &endpoint{
				agent:     a,
				svc:       svc,
				poolIndex: [pools]int{heap.Absent, heap.Absent, heap.Absent},
			}
			a.endpoints = append(a.endpoints, ep)
			svc.published = [queue.Classes]int{}
		}
		ep.reported = true
		ep.apply(now, m)
		ep.tieBreak = o.rnd.Uint64()
		o.updatePools(ep)
	}
	for _, ep := range a.endpoints {
		if !ep.reported {
			ep.free, ep.reserved, ep.long = 0, 0, 0
			o.updatePools(ep)
		}
	}
}

// apply sets the numbers of a capacity report, less the starts that the report may
// not include.
func (ep *endpoint) apply(now time.Time, m message.Capacity) {
	unreported := uint32(0)
	if now.Sub(ep.recentSince) <= reportLag {
		unreported = ep.recentStarts
	}
	ep.free = m.Free() - min(m.Free(), unreported)
	ep.reserved = m.Reserved()
	ep.long = min(m.Long(), ep.free)
	ep.speedRank = speedRankOf(m.Speed())
}

// updatePools adds an endpoint to the pools whose work it can run and removes it
// from the others.
func (o *Owner) updatePools(ep *endpoint) {
	usable := ep.agent.member && ep.agent.fresh && !ep.ejected && !ep.suspended && (!ep.probing || ep.open == 0)
	fits := [pools]bool{
		short:    usable && ep.free > 0,
		long:     usable && min(ep.free, ep.long) > 0,
		critical: usable && ep.free+ep.reserved > 0,
	}
	countedFree := uint32(0)
	if usable {
		countedFree = ep.free
	}
	ep.svc.free += int(countedFree) - int(ep.countedFree)
	ep.countedFree = countedFree
	for n, pool := range ep.svc.pools {
		switch in := ep.poolIndex[n] != heap.Absent; {
		case fits[n] && in:
			pool.Fix(ep.poolIndex[n])
		case fits[n]:
			pool.Push(ep)
		case in:
			pool.Remove(ep.poolIndex[n])
		}
	}
	if usable {
		o.markDirty(ep.svc)
	}
}

// occupy occupies one slot for work of a class.
func (ep *endpoint) occupy(now time.Time, c queue.Class) {
	if now.Sub(ep.recentSince) > reportLag {
		ep.recentSince = now
		ep.recentStarts = 0
	}
	ep.recentStarts++
	if ep.free == 0 {
		ep.reserved -= min(ep.reserved, 1)
		return
	}
	ep.free--
	if c.Long() {
		ep.long -= min(ep.long, 1)
	}
	ep.long = min(ep.long, ep.free)
}

// noteRejection updates an endpoint after its agent rejected a start.
func (o *Owner) noteRejection(now time.Time, s *submission, from identity.Process, cause message.Cause) {
	a, ok := o.agents[from]
	if !ok {
		return
	}
	ep := a.endpoint(s.svc)
	if ep == nil {
		return
	}
	switch cause {
	case message.Busy:
		if s.job.Kind().Long() {
			ep.long = 0
		} else {
			ep.free = 0
			ep.long = 0
		}
		if s.job.Kind().Urgency() == 0 {
			ep.free = 0
			ep.reserved = 0
		}
	case message.StaleCredit:
		o.markStale(now, a)
	case message.NeverFits, message.PastDeadline, message.Withdrawn:
	default:
		o.suspend(now, ep, suspensionTime)
	}
	o.updatePools(ep)
}

// suspend removes an endpoint from the pools for a time.
func (o *Owner) suspend(now time.Time, ep *endpoint, d time.Duration) {
	if ep.suspended || ep.ejected {
		return
	}
	ep.suspended = true
	o.arm(now.Add(d), readmit, ep)
}

// readmit ends a suspension or an ejection. After an ejection the endpoint gets one
// task at a time until one succeeds.
func (o *Owner) readmit(ep *endpoint) {
	ep.suspended = false
	if ep.ejected {
		ep.ejected = false
		ep.probing = true
		o.ejected--
	}
	o.updatePools(ep)
}

// evaluate applies the result of a task to the health of its endpoint: outlier
// detection by consecutive quick failures.
func (o *Owner) evaluate(now time.Time, s *submission, ep *endpoint, result outcome.Result) {
	switch {
	case result.State() == outcome.Succeeded:
		ep.quickFailures = 0
		ep.probing = false
		ep.ejectionTime = 0
		return
	case result.State() != outcome.Failed:
		return
	case float64(result.RunTime()) >= quickFailureFactor*float64(s.runTimes.typical.Value()):
		ep.quickFailures = 0
		return
	}
	ep.quickFailures++
	if ep.ejected || ep.quickFailures < ejectionFailures && !ep.probing || (o.ejected+1)*maxEjectedDivisor > len(o.workingSet) || !ep.agent.member {
		return
	}
	ep.ejected = true
	ep.probing = false
	o.ejected++
	ep.ejectionTime = min(max(2*ep.ejectionTime, minEjection), maxEjection)
	o.arm(now.Add(ep.ejectionTime), readmit, ep)
	o.updatePools(ep)
}
