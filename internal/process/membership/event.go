// Package membership holds what a process is told about its place among the
// others: its lease, the shards it owns, and the agents it may use.
//
// The values are events for the decisions of owner, agent and entry. They say
// what was agreed through the store and the directories, not how.
package membership

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

// Lease is an event: the process may start new work until the given time. The
// time counts from the sending of the heartbeat that was confirmed.
type Lease struct {
	until time.Time
}

// NewLease returns the event.
func NewLease(until time.Time) Lease {
	return Lease{
		until: until,
	}
}

// Until is the end of the lease by the process's own clock.
func (l Lease) Until() time.Time {
	return l.until
}

// Member is an agent in a cell's roster.
type Member struct {
	process identity.Process
	address string
	zone    string
	lost    time.Time
	leaving bool
}

// NewMember returns a member; lost is zero for one that has not departed.
func NewMember(p identity.Process, address, zone string, lost time.Time) Member {
	return Member{
		process: p,
		address: address,
		zone:    zone,
		lost:    lost,
	}
}

// Process is the member's run.
func (m Member) Process() identity.Process {
	return m.process
}

// Address is where the member's links listen.
func (m Member) Address() string {
	return m.address
}

// Zone is the member's availability zone.
func (m Member) Zone() string {
	return m.zone
}

// Lost is when the member was certainly gone; zero if it has not departed.
func (m Member) Lost() time.Time {
	return m.lost
}

// WithLeaving marks a member that hands over and takes nothing new.
func (m Member) WithLeaving() Member {
	m.leaving = true
	return m
}

// WithLost sets the time of loss.
func (m Member) WithLost(lost time.Time) Member {
	m.lost = lost
	return m
}

// Leaving tells whether the member hands over.
func (m Member) Leaving() bool {
	return m.leaving
}

// Granted is an event: the process owns a shard from now on. The roster lists
// every agent of the region that may hold start records, departed ones of the
// last retention included. A shard that never had an owner has no roster, since
// no agent can hold a record of it.
type Granted struct {
	shard  identity.Shard
	epoch  identity.Epoch
	roster []Member
}

// NewGranted returns the event.
func NewGranted(shard identity.Shard, epoch identity.Epoch, roster []Member) Granted {
	return Granted{
		shard:  shard,
		epoch:  epoch,
		roster: roster,
	}
}

// Shard is the shard.
func (g Granted) Shard() identity.Shard {
	return g.shard
}

// Epoch is the epoch of this ownership.
func (g Granted) Epoch() identity.Epoch {
	return g.epoch
}

// Agents lists the agents that may hold start records of the shard.
func (g Granted) Agents() []Member {
	return g.roster
}

// Released is an event: the process no longer owns a shard.
type Released struct {
	shard identity.Shard
}

// NewReleased returns the event.
func NewReleased(shard identity.Shard) Released {
	return Released{
		shard: shard,
	}
}

// Shard is the shard.
func (r Released) Shard() identity.Shard {
	return r.shard
}

// WorkingSet is an event: the agents that an owner may send starts to, nearest
// first.
type WorkingSet struct {
	agents []Member
}

// NewWorkingSet returns the event.
func NewWorkingSet(agents []Member) WorkingSet {
	return WorkingSet{
		agents: agents,
	}
}

// Agents lists the agents.
func (w WorkingSet) Agents() []Member {
	return w.agents
}

// Route tells which run of a process owns a shard.
type Route struct {
	shard identity.Shard
	epoch identity.Epoch
	owner identity.Process
}

// NewRoute returns the route; a zero owner means that nobody owns the shard.
func NewRoute(shard identity.Shard, epoch identity.Epoch, owner identity.Process) Route {
	return Route{
		shard: shard,
		epoch: epoch,
		owner: owner,
	}
}

// Shard is the shard.
func (r Route) Shard() identity.Shard {
	return r.shard
}

// Epoch is the epoch of the ownership.
func (r Route) Epoch() identity.Epoch {
	return r.epoch
}

// Owner is the owning process.
func (r Route) Owner() identity.Process {
	return r.owner
}

// Routes is an event for entries: changed routes of the shard map.
type Routes struct {
	routes []Route
}

// NewRoutes returns the event.
func NewRoutes(routes []Route) Routes {
	return Routes{
		routes: routes,
	}
}

// Routes lists the changed routes.
func (r Routes) Routes() []Route {
	return r.routes
}
