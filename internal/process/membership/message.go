package membership

import "greengagedoor.example/greengagedoor/internal/process/identity"

// Versions are the numbers by which a process finds out that it lacks something.
// All of them only rise.
type Versions struct {
	configuration uint64
	routes        uint64
	agents        uint64
}

// NewVersions joins the numbers.
func NewVersions(configuration, routes, agents uint64) Versions {
	return Versions{
		configuration: configuration,
		routes:        routes,
		agents:        agents,
	}
}

// Configuration is the number of the configuration version.
func (v Versions) Configuration() uint64 {
	return v.configuration
}

// Routes is the store index of the shard map.
func (v Versions) Routes() uint64 {
	return v.routes
}

// Agents is the store index of the rosters.
func (v Versions) Agents() uint64 {
	return v.agents
}

// Heartbeat is a member's heartbeat to its directory.
type Heartbeat struct {
	number   uint64
	cell     string
	self     Member
	agent    bool
	leaving  bool
	gone     bool
	free     uint32
	versions Versions
}

// NewHeartbeat returns the message. An entry is no agent: it gets no lease.
func NewHeartbeat(number uint64, cell string, self Member, agent, leaving, gone bool, free uint32, versions Versions) Heartbeat {
	return Heartbeat{
		number:   number,
		cell:     cell,
		self:     self,
		agent:    agent,
		leaving:  leaving,
		gone:     gone,
		free:     free,
		versions: versions,
	}
}

// WithSelf sets the sender. It is left out of the heartbeats to a directory that
// knows the sender already.
func (b Heartbeat) WithSelf(self Member) Heartbeat {
	b.self = self
	return b
}

// Number is echoed by the confirmation.
func (b Heartbeat) Number() uint64 {
	return b.number
}

// Cell is the sender's cell.
func (b Heartbeat) Cell() string {
	return b.cell
}

// Self is the sender with its address and availability zone.
func (b Heartbeat) Self() Member {
	return b.self
}

// Agent tells an agent from an entry.
func (b Heartbeat) Agent() bool {
	return b.agent
}

// Leaving tells that the sender hands over and takes nothing new.
func (b Heartbeat) Leaving() bool {
	return b.leaving
}

// Departed asks for the removal from the roster.
func (b Heartbeat) Departed() bool {
	return b.gone
}

// Free is the number of free slots beside the sender.
func (b Heartbeat) Free() uint32 {
	return b.free
}

// Versions is what the sender has in force.
func (b Heartbeat) Versions() Versions {
	return b.versions
}

// Status is what a directory says of a member.
type Status uint8

// The standings. Only a confirmed member gets a lease. A lost run can never
// return, since its shards may have moved.
const (
	Announced Status = iota
	Waiting
	Confirmed
	Lost
	Departed
)

// HeartbeatAck answers a Beat; number 0 announces a new directory.
type HeartbeatAck struct {
	number   uint64
	term     uint64
	standing Status
	versions Versions
	spread   Rollout
}

// Rollout tells how far a configuration version has come in a region.
type Rollout struct {
	version uint64
	inForce uint32
	members uint32
}

// NewRollout returns the counts: of members, inForce have the version or a newer
// one in force.
func NewRollout(version uint64, inForce, members uint32) Rollout {
	return Rollout{
		version: version,
		inForce: inForce,
		members: members,
	}
}

// Version is the number of the configuration version.
func (s Rollout) Version() uint64 {
	return s.version
}

// InForce is the number of members that have the version in force.
func (s Rollout) InForce() uint32 {
	return s.inForce
}

// Members is the number of members that the directories hear from.
func (s Rollout) Members() uint32 {
	return s.members
}

// NewHeartbeatAck returns the message.
func NewHeartbeatAck(number, term uint64, standing Status, versions Versions) HeartbeatAck {
	return HeartbeatAck{
		number:   number,
		term:     term,
		standing: standing,
		versions: versions,
	}
}

// WithRollout adds the counts. Only entries get them, since they serve operators.
func (c HeartbeatAck) WithRollout(s Rollout) HeartbeatAck {
	c.spread = s
	return c
}

// Rollout is how far the newest version has come; zero if it is not told.
func (c HeartbeatAck) Rollout() Rollout {
	return c.spread
}

// Number is the number of the confirmed beat.
func (c HeartbeatAck) Number() uint64 {
	return c.number
}

// Term is the term of the directory; a member ignores a lower one.
func (c HeartbeatAck) Term() uint64 {
	return c.term
}

// Status is the member's standing.
func (c HeartbeatAck) Status() Status {
	return c.standing
}

// Versions is what the directory has.
func (c HeartbeatAck) Versions() Versions {
	return c.versions
}

// Part names what is fetched from a directory.
type Part uint8

// The parts.
const (
	ConfigurationPart Part = iota
	RoutesPart
	AgentsPart
	MemberListsPart
)

// Fetch asks a directory for a part. For routes, version is what the sender has;
// for rosters, it is the lowest index that is enough.
type Fetch struct {
	part    Part
	version uint64
}

// NewFetch returns the message.
func NewFetch(part Part, version uint64) Fetch {
	return Fetch{
		part:    part,
		version: version,
	}
}

// Part is the wanted part.
func (f Fetch) Part() Part {
	return f.part
}

// Version qualifies the part.
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

// Part is the answered part.
func (b FetchReply) Part() Part {
	return b.part
}

// Version is the version of the content.
func (b FetchReply) Version() uint64 {
	return b.version
}

// Data is an encoded configuration.
func (b FetchReply) Data() []byte {
	return b.data
}

// Groups has the changed groups of the shard map.
func (b FetchReply) Groups() []Group {
	return b.groups
}

// Members has the agents to work with, or the rosters of a region.
func (b FetchReply) Members() []Member {
	return b.members
}

// ShardEpoch is a shard under an epoch.
type ShardEpoch struct {
	shard identity.Shard
	epoch identity.Epoch
}

// NewShardEpoch returns the value.
func NewShardEpoch(shard identity.Shard, epoch identity.Epoch) ShardEpoch {
	return ShardEpoch{
		shard: shard,
		epoch: epoch,
	}
}

// Shard is the shard.
func (c ShardEpoch) Shard() identity.Shard {
	return c.shard
}

// Epoch is the epoch.
func (c ShardEpoch) Epoch() identity.Epoch {
	return c.epoch
}

// RevokeRequest asks an owner to give shards back.
type RevokeRequest struct {
	claims []ShardEpoch
}

// NewRevokeRequest returns the message.
func NewRevokeRequest(claims []ShardEpoch) RevokeRequest {
	return RevokeRequest{
		claims: claims,
	}
}

// Shards lists the shards with the epochs that end.
func (r RevokeRequest) Shards() []ShardEpoch {
	return r.claims
}

// ReleaseNotice tells a directory that nothing its owner sent for these shards can take
// effect any more. A directory passes it on to the one responsible.
type ReleaseNotice struct {
	owner  identity.Process
	claims []ShardEpoch
}

// NewReleaseNotice returns the message.
func NewReleaseNotice(owner identity.Process, claims []ShardEpoch) ReleaseNotice {
	return ReleaseNotice{
		owner:  owner,
		claims: claims,
	}
}

// Owner is the process that stopped.
func (y ReleaseNotice) Owner() identity.Process {
	return y.owner
}

// Shards lists the shards with the epochs that ended.
func (y ReleaseNotice) Shards() []ShardEpoch {
	return y.claims
}
