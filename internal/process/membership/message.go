package membership

import "greengagedoor.example/greengagedoor/internal/process/identity"

// Versions are the version numbers by which a process detects that it lacks an
// update. They never decrease.
type Versions struct {
	configuration uint64
	routes        uint64
	agents        uint64
}

func NewVersions(configuration, routes, agents uint64) Versions {
	return Versions{
		configuration: configuration,
		routes:        routes,
		agents:        agents,
	}
}

// Configuration returns the number of the configuration version.
func (v Versions) Configuration() uint64 {
	return v.configuration
}

// Routes returns the store index of the shard map.
func (v Versions) Routes() uint64 {
	return v.routes
}

// Agents returns the store index of the member lists.
func (v Versions) Agents() uint64 {
	return v.agents
}

// Heartbeat is a member's message to its directory.
type Heartbeat struct {
	number   uint64
	cell     string
	self     Member
	agent    bool
	leaving  bool
	departed bool
	free     uint32
	versions Versions
}

// NewHeartbeat returns the message. Agent is false for an entry, which gets no lease.
func NewHeartbeat(number uint64, cell string, self Member, agent, leaving, departed bool, free uint32, versions Versions) Heartbeat {
	return Heartbeat{
		number:   number,
		cell:     cell,
		self:     self,
		agent:    agent,
		leaving:  leaving,
		departed: departed,
		free:     free,
		versions: versions,
	}
}

// WithSelf sets the sender. Heartbeats to a directory that already knows the sender
// omit it.
func (h Heartbeat) WithSelf(self Member) Heartbeat {
	h.self = self
	return h
}

// Number returns the sequence number, which the acknowledgement repeats.
func (h Heartbeat) Number() uint64 {
	return h.number
}

// Cell returns the name of the sender's cell.
func (h Heartbeat) Cell() string {
	return h.cell
}

// Self returns the sender with its address and availability zone.
func (h Heartbeat) Self() Member {
	return h.self
}

// Agent reports whether the sender is an agent; otherwise it is an entry.
func (h Heartbeat) Agent() bool {
	return h.agent
}

// Leaving reports whether the sender is releasing its shards and accepts no new work.
func (h Heartbeat) Leaving() bool {
	return h.leaving
}

// Departed reports whether the sender asks to be removed from the member list.
func (h Heartbeat) Departed() bool {
	return h.departed
}

// Free returns the number of free slots at the sender.
func (h Heartbeat) Free() uint32 {
	return h.free
}

// Versions returns the versions that are active at the sender.
func (h Heartbeat) Versions() Versions {
	return h.versions
}

// Status is the state of a member at its directory.
type Status uint8

// The states of a member. Only a confirmed member gets a lease. A lost run can
// never return, since its shards may have moved.
const (
	Announced Status = iota // The message has no state, as for entries and announcements.
	Waiting                 // The directory cannot confirm the member yet.
	Confirmed               // The member has a lease.
	Lost                    // The run was declared lost.
	Departed                // The member may end.
)

// HeartbeatAck acknowledges a Heartbeat. A message with number 0 acknowledges none; it
// announces new versions or a new directory.
type HeartbeatAck struct {
	number   uint64
	term     uint64
	status   Status
	versions Versions
	rollout  Rollout
}

// Rollout is the progress of a configuration version in a region.
type Rollout struct {
	version uint64
	inForce uint32
	members uint32
}

// NewRollout returns the counts: inForce of the members have the version or a newer
// one.
func NewRollout(version uint64, inForce, members uint32) Rollout {
	return Rollout{
		version: version,
		inForce: inForce,
		members: members,
	}
}

// Version returns the number of the configuration version.
func (r Rollout) Version() uint64 {
	return r.version
}

// InForce returns the number of members with this version or a newer one.
func (r Rollout) InForce() uint32 {
	return r.inForce
}

// Members returns the number of members that send heartbeats to the directories.
func (r Rollout) Members() uint32 {
	return r.members
}

func NewHeartbeatAck(number, term uint64, status Status, versions Versions) HeartbeatAck {
	return HeartbeatAck{
		number:   number,
		term:     term,
		status:   status,
		versions: versions,
	}
}

// WithRollout adds the progress of the newest version. Only entries get it, since
// they serve operators.
func (a HeartbeatAck) WithRollout(r Rollout) HeartbeatAck {
	a.rollout = r
	return a
}

// Rollout returns the progress of the newest version, or zero if the message has none.
func (a HeartbeatAck) Rollout() Rollout {
	return a.rollout
}

// Number returns the sequence number of the acknowledged heartbeat.
func (a HeartbeatAck) Number() uint64 {
	return a.number
}

// Term returns the term of the directory; a member ignores a lower one.
func (a HeartbeatAck) Term() uint64 {
	return a.term
}

func (a HeartbeatAck) Status() Status {
	return a.status
}

// Versions returns the versions that the directory has.
func (a HeartbeatAck) Versions() Versions {
	return a.versions
}

// Part identifies what to fetch from a directory.
type Part uint8

// The parts.
const (
	ConfigurationPart Part = iota // The encoded configuration.
	RoutesPart                    // The changed groups of the shard map.
	AgentsPart                    // The working set of an owner.
	MemberListsPart               // All members of the region, including lost ones.
)

// Fetch requests a part from a directory. For routes and agents, version is what the
// sender has; for the configuration and member lists, it is the lowest that suffices.
type Fetch struct {
	part    Part
	version uint64
}

func NewFetch(part Part, version uint64) Fetch {
	return Fetch{
		part:    part,
		version: version,
	}
}

func (f Fetch) Part() Part {
	return f.part
}

// Version qualifies the part, see Fetch.
func (f Fetch) Version() uint64 {
	return f.version
}

// FetchReply answers a Fetch.
type FetchReply struct {
	part    Part
	version uint64
	data    []byte
	groups  []Group
	members []Member
}

// NewFetchReply returns the message; only the fields of its part are set.
func NewFetchReply(part Part, version uint64, data []byte, groups []Group, members []Member) FetchReply {
	return FetchReply{
		part:    part,
		version: version,
		data:    data,
		groups:  groups,
		members: members,
	}
}

func (r FetchReply) Part() Part {
	return r.part
}

// Version returns the version of the content.
func (r FetchReply) Version() uint64 {
	return r.version
}

// Data returns an encoded configuration.
func (r FetchReply) Data() []byte {
	return r.data
}

// Groups returns the changed groups of the shard map.
func (r FetchReply) Groups() []Group {
	return r.groups
}

// Members returns the agents to use, or the member lists of a region.
func (r FetchReply) Members() []Member {
	return r.members
}

// ShardEpoch is a shard with the epoch of one ownership.
type ShardEpoch struct {
	shard identity.Shard
	epoch identity.Epoch
}

func NewShardEpoch(shard identity.Shard, epoch identity.Epoch) ShardEpoch {
	return ShardEpoch{
		shard: shard,
		epoch: epoch,
	}
}

func (s ShardEpoch) Shard() identity.Shard {
	return s.shard
}

func (s ShardEpoch) Epoch() identity.Epoch {
	return s.epoch
}

// RevokeRequest asks an owner to release shards.
type RevokeRequest struct {
	shards []ShardEpoch
}

func NewRevokeRequest(shards []ShardEpoch) RevokeRequest {
	return RevokeRequest{
		shards: shards,
	}
}

// Shards returns the shards with the epochs to end.
func (r RevokeRequest) Shards() []ShardEpoch {
	return r.shards
}

// ReleaseNotice informs a directory that the owner has released shards: nothing that it
// sent for them can still take effect. A directory forwards it to the responsible one.
type ReleaseNotice struct {
	owner  identity.Process
	shards []ShardEpoch
}

func NewReleaseNotice(owner identity.Process, shards []ShardEpoch) ReleaseNotice {
	return ReleaseNotice{
		owner:  owner,
		shards: shards,
	}
}

// Owner returns the process that released the shards.
func (r ReleaseNotice) Owner() identity.Process {
	return r.owner
}

// Shards returns the shards with the epochs that ended.
func (r ReleaseNotice) Shards() []ShardEpoch {
	return r.shards
}
