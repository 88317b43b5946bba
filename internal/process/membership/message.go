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

// Beat is a member's heartbeat to its directory.
type Beat struct {
	number   uint64
	cell     string
	self     Member
	agent    bool
	leaving  bool
	gone     bool
	free     uint32
	versions Versions
}

// NewBeat returns the message. An entry is no agent: it gets no lease.
func NewBeat(number uint64, cell string, self Member, agent, leaving, gone bool, free uint32, versions Versions) Beat {
	return Beat{
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
func (b Beat) WithSelf(self Member) Beat {
	b.self = self
	return b
}

// Number is echoed by the confirmation.
func (b Beat) Number() uint64 {
	return b.number
}

// Cell is the sender's cell.
func (b Beat) Cell() string {
	return b.cell
}

// Self is the sender with its address and availability zone.
func (b Beat) Self() Member {
	return b.self
}

// Agent tells an agent from an entry.
func (b Beat) Agent() bool {
	return b.agent
}

// Leaving tells that the sender hands over and takes nothing new.
func (b Beat) Leaving() bool {
	return b.leaving
}

// Gone asks for the removal from the roster.
func (b Beat) Gone() bool {
	return b.gone
}

// Free is the number of free slots beside the sender.
func (b Beat) Free() uint32 {
	return b.free
}

// Versions is what the sender has in force.
func (b Beat) Versions() Versions {
	return b.versions
}

// Standing is what a directory says of a member.
type Standing uint8

// The standings. Only a confirmed member gets a lease. A lost run can never
// return, since its shards may have moved.
const (
	Announced Standing = iota
	Waiting
	Confirmed
	Lost
	Departed
)

// Confirm answers a Beat; number 0 announces a new directory.
type Confirm struct {
	number   uint64
	term     uint64
	standing Standing
	versions Versions
	spread   Spread
}

// Spread tells how far a configuration version has come in a region.
type Spread struct {
	version uint64
	inForce uint32
	members uint32
}

// NewSpread returns the counts: of members, inForce have the version or a newer
// one in force.
func NewSpread(version uint64, inForce, members uint32) Spread {
	return Spread{
		version: version,
		inForce: inForce,
		members: members,
	}
}

// Version is the number of the configuration version.
func (s Spread) Version() uint64 {
	return s.version
}

// InForce is the number of members that have the version in force.
func (s Spread) InForce() uint32 {
	return s.inForce
}

// Members is the number of members that the directories hear from.
func (s Spread) Members() uint32 {
	return s.members
}

// NewConfirm returns the message.
func NewConfirm(number, term uint64, standing Standing, versions Versions) Confirm {
	return Confirm{
		number:   number,
		term:     term,
		standing: standing,
		versions: versions,
	}
}

// WithSpread adds the counts. Only entries get them, since they serve operators.
func (c Confirm) WithSpread(s Spread) Confirm {
	c.spread = s
	return c
}

// Spread is how far the newest version has come; zero if it is not told.
func (c Confirm) Spread() Spread {
	return c.spread
}

// Number is the number of the confirmed beat.
func (c Confirm) Number() uint64 {
	return c.number
}

// Term is the term of the directory; a member ignores a lower one.
func (c Confirm) Term() uint64 {
	return c.term
}

// Standing is the member's standing.
func (c Confirm) Standing() Standing {
	return c.standing
}

// Versions is what the directory has.
func (c Confirm) Versions() Versions {
	return c.versions
}

// Part names what is fetched from a directory.
type Part uint8

// The parts.
const (
	ConfigurationPart Part = iota
	RoutesPart
	AgentsPart
	RostersPart
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

// Body answers a Fetch.
type Body struct {
	part    Part
	version uint64
	data    []byte
	groups  []Group
	members []Member
}

// NewBody returns the message; only the fields of its part are set.
func NewBody(part Part, version uint64, data []byte, groups []Group, members []Member) Body {
	return Body{
		part:    part,
		version: version,
		data:    data,
		groups:  groups,
		members: members,
	}
}

// Part is the answered part.
func (b Body) Part() Part {
	return b.part
}

// Version is the version of the content.
func (b Body) Version() uint64 {
	return b.version
}

// Data is an encoded configuration.
func (b Body) Data() []byte {
	return b.data
}

// Groups has the changed groups of the shard map.
func (b Body) Groups() []Group {
	return b.groups
}

// Members has the agents to work with, or the rosters of a region.
func (b Body) Members() []Member {
	return b.members
}

// Claim is a shard under an epoch.
type Claim struct {
	shard identity.Shard
	epoch identity.Epoch
}

// NewClaim returns the value.
func NewClaim(shard identity.Shard, epoch identity.Epoch) Claim {
	return Claim{
		shard: shard,
		epoch: epoch,
	}
}

// Shard is the shard.
func (c Claim) Shard() identity.Shard {
	return c.shard
}

// Epoch is the epoch.
func (c Claim) Epoch() identity.Epoch {
	return c.epoch
}

// Recall asks an owner to give shards back.
type Recall struct {
	claims []Claim
}

// NewRecall returns the message.
func NewRecall(claims []Claim) Recall {
	return Recall{
		claims: claims,
	}
}

// Claims lists the shards with the epochs that end.
func (r Recall) Claims() []Claim {
	return r.claims
}

// Yield tells a directory that nothing its owner sent for these shards can take
// effect any more. A directory passes it on to the one responsible.
type Yield struct {
	owner  identity.Process
	claims []Claim
}

// NewYield returns the message.
func NewYield(owner identity.Process, claims []Claim) Yield {
	return Yield{
		owner:  owner,
		claims: claims,
	}
}

// Owner is the process that stopped.
func (y Yield) Owner() identity.Process {
	return y.owner
}

// Claims lists the shards with the epochs that ended.
func (y Yield) Claims() []Claim {
	return y.claims
}
