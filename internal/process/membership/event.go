// Package membership defines what processes exchange about the membership of the
// installation: leases, shard ownership, and the agents to use.
//
// Directories and the store agree on the membership. The package has the stored state,
// the messages between members and directories, and the events that report the result
// to the state machines of owner, agent and entry.
package membership

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

// Lease is an event: the process may start new work until the given time, which is
// counted from when it sent the confirmed heartbeat.
type Lease struct {
	until time.Time
}

func NewLease(until time.Time) Lease {
	return Lease{
		until: until,
	}
}

// Until returns the end of the lease by the process's own clock.
func (l Lease) Until() time.Time {
	return l.until
}

// Member is an entry in a cell's member list.
type Member struct {
	process identity.Process
	address string
	zone    string
	lost    time.Time
	leaving bool
}

// NewMember returns a member. Lost is the zero time for a member that is not lost.
func NewMember(p identity.Process, address, zone string, lost time.Time) Member {
	return Member{
		process: p,
		address: address,
		zone:    zone,
		lost:    lost,
	}
}

// Process returns the run of the process.
func (m Member) Process() identity.Process {
	return m.process
}

// Address returns the listen address for links, as host:port.
func (m Member) Address() string {
	return m.address
}

// Zone returns the availability zone.
func (m Member) Zone() string {
	return m.zone
}

// Lost returns the time by which the member's lease had ended, or the zero time if the
// member has not been declared lost.
func (m Member) Lost() time.Time {
	return m.lost
}

// WithLeaving returns the member marked as releasing its shards and accepting no new
// work.
func (m Member) WithLeaving() Member {
	m.leaving = true
	return m
}

func (m Member) WithLost(lost time.Time) Member {
	m.lost = lost
	return m
}

// Leaving reports whether the member is releasing its shards.
func (m Member) Leaving() bool {
	return m.leaving
}

// Granted is an event: the process owns a shard from now on. It lists every agent of
// the region that may have start records, including those that were lost within the
// retention of the records. The list is empty for a shard that never had an owner,
// since no agent can have a record of it.
type Granted struct {
	shard  identity.Shard
	epoch  identity.Epoch
	agents []Member
}

func NewGranted(shard identity.Shard, epoch identity.Epoch, agents []Member) Granted {
	return Granted{
		shard:  shard,
		epoch:  epoch,
		agents: agents,
	}
}

func (g Granted) Shard() identity.Shard {
	return g.shard
}

// Epoch returns the epoch of this ownership.
func (g Granted) Epoch() identity.Epoch {
	return g.epoch
}

// Agents returns the agents that may have start records of the shard.
func (g Granted) Agents() []Member {
	return g.agents
}

// Released is an event: the process no longer owns a shard.
type Released struct {
	shard identity.Shard
}

func NewReleased(shard identity.Shard) Released {
	return Released{
		shard: shard,
	}
}

func (r Released) Shard() identity.Shard {
	return r.shard
}

// WorkingSet is an event: the agents that an owner may send starts to, nearest first.
type WorkingSet struct {
	agents []Member
}

func NewWorkingSet(agents []Member) WorkingSet {
	return WorkingSet{
		agents: agents,
	}
}

func (w WorkingSet) Agents() []Member {
	return w.agents
}

// Route is the ownership of a shard by one run of a process.
type Route struct {
	shard identity.Shard
	epoch identity.Epoch
	owner identity.Process
}

// NewRoute returns the route; a zero owner means that the shard has no owner.
func NewRoute(shard identity.Shard, epoch identity.Epoch, owner identity.Process) Route {
	return Route{
		shard: shard,
		epoch: epoch,
		owner: owner,
	}
}

func (r Route) Shard() identity.Shard {
	return r.shard
}

// Epoch returns the epoch of the ownership.
func (r Route) Epoch() identity.Epoch {
	return r.epoch
}

// Owner returns the owning process, or the zero process for none.
func (r Route) Owner() identity.Process {
	return r.owner
}

// Routes is an event for entries: changed routes of the shard map.
type Routes struct {
	routes []Route
}

func NewRoutes(routes []Route) Routes {
	return Routes{
		routes: routes,
	}
}

func (r Routes) Routes() []Route {
	return r.routes
}
