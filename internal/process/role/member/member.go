// Package member decides for a process's place in its cell.
//
// A member sends a heartbeat to its cell's directory every 290 ms. A confirmation
// gives an agent a lease that counts from the sending of the heartbeat, and the
// version numbers by which the member finds out what it has to fetch. Without a
// directory the member looks into the store and, if the cell's lease is free,
// shards it for the directory in its own process; the rank of the member delays
// both, so that a cell does not rush at the store.
//
// A member that owns shards gives them back in two steps, because nothing may be
// started under the old epoch once another process owns the shard: the owner
// confirms that it has stopped, and the last credit it can have used runs out.
package member

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// The times of a member.
const (
	// HeartbeatInterval leaves room for lost heartbeats within a lease. It is just below
	// the heartbeat interval of a link: at 400 ms each link between member and
	// directory carried a heartbeat of its own beside each beat, half of the bytes.
	HeartbeatInterval = 290 * time.Millisecond
	// LeaseTime counts from the sending of a heartbeat.
	LeaseTime = 1500 * time.Millisecond
	// CreditTime is how long a start can take effect after the owner sent it.
	CreditTime = 500 * time.Millisecond
	// silenceTimeout leaves room for two heartbeats without confirmation.
	silenceTimeout = 800 * time.Millisecond
	// RankDelay separates the members that try to take the cell's lease.
	RankDelay = 200 * time.Millisecond
	// maxLookupDelay bounds the wait of the members that rank last.
	maxLookupDelay = 2 * time.Second
	// retryInterval is the time after which a request without answer is repeated.
	retryInterval = time.Second
	// maxSentHeartbeats bounds the heartbeats whose confirmation may still come; older
	// ones are beyond LeaseTime.
	maxSentHeartbeats = 8
)

// Settings are what a member is told at its start.
type Settings struct {
	self     membership.Member
	region   int
	agent    bool
	cell     string
	cellSize int
}

// NewSettings checks the settings. An empty cell is chosen from the store.
func NewSettings(self membership.Member, region int, agent bool, cell string, cellSize int) (Settings, error) {
	if self.Process().IsZero() || self.Address() == "" || self.Zone() == "" || cellSize < 1 {
		return Settings{}, errors.Errorf("member %s at %q in %q with %d members a cell", self.Process(), self.Address(), self.Zone(), cellSize)
	}
	return Settings{
		self:     self,
		region:   region,
		agent:    agent,
		cell:     cell,
		cellSize: cellSize,
	}, nil
}

type sentHeartbeat struct {
	number uint64
	at     time.Time
}

// ownedShard is a shard of which this process is the stored owner.
type ownedShard struct {
	epoch           identity.Epoch
	memberListIndex uint64
	granted         bool
	// revoked shards go back; stopped is when the owner confirmed it.
	revoked         bool
	stopRequestedAt time.Time
	stoppedAt       time.Time
	noticeSentAt    time.Time
}

// Member is the decision.
type Member struct {
	rollout       membership.Rollout
	settings      Settings
	cell          string
	rank          int
	directory     identity.Process
	term          uint64
	number        uint64
	heartbeats    []sentHeartbeat
	lastHeartbeat time.Time
	lastAck       time.Time
	nextLookup    time.Time
	lookupPending bool
	joined        bool
	// known tells that the directory has this process's address.
	known     bool
	lease     time.Time
	leaving   time.Time
	left      bool
	free      uint32
	have      membership.Versions
	want      membership.Versions
	fetchedAt [4]time.Time
	routes    map[identity.Shard]membership.Route
	owned     map[identity.Shard]*ownedShard
	agents    map[identity.Process]membership.Member
	effects   []any
}

// New returns a member that knows no directory.
func New(s Settings) *Member {
	return &Member{
		settings: s,
		cell:     s.cell,
		routes:   map[identity.Shard]membership.Route{},
		owned:    map[identity.Shard]*ownedShard{},
		agents:   map[identity.Process]membership.Member{},
	}
}

// Handle takes one event and returns the effects. The slice is valid until the
// next call.
func (m *Member) Handle(now time.Time, event any) []any {
	clear(m.effects)
	m.effects = m.effects[:0]
	switch e := event.(type) {
	case message.Received:
		m.handleMessage(now, e)
	case LookupResult:
		m.handleLookupResult(now, e)
	case ShardStopped:
		m.handleShardStopped(now, e)
	case FreeSlots:
		m.free = e.slots
	case Leave:
		m.leave(now)
	case message.Wake:
	}
	m.wake(now)
	return m.effects
}

// Cell is the member's cell, empty before it has chosen one.
func (m *Member) Cell() string {
	return m.cell
}

// Directory is the directory that the member follows, zero for none.
func (m *Member) Directory() identity.Process {
	return m.directory
}

// Lease is the end of the membership lease.
func (m *Member) Lease() time.Time {
	return m.lease
}

// Versions is what the process has in force.
func (m *Member) Versions() membership.Versions {
	return m.have
}

// OwnedShards lists the shards that the process may act for.
func (m *Member) OwnedShards() []membership.ShardEpoch {
	var shards []membership.ShardEpoch
	for s, h := range m.owned {
		if h.granted && !h.revoked {
			shards = append(shards, membership.NewShardEpoch(s, h.epoch))
		}
	}
	return sortShards(shards)
}

func sortShards(shards []membership.ShardEpoch) []membership.ShardEpoch {
	sort.Slice(shards, func(i, j int) bool { return shards[i].Shard() < shards[j].Shard() })
	return shards
}

func (m *Member) emit(e any) {
	m.effects = append(m.effects, e)
}

func (m *Member) send(body any) {
	m.emit(message.NewSend(m.directory, body))
}

func (m *Member) handleMessage(now time.Time, r message.Received) {
	switch b := r.Body().(type) {
	case membership.HeartbeatAck:
		m.handleAck(now, r.From(), b)
	case membership.FetchReply:
		if r.From() == m.directory {
			m.handleFetchReply(b)
		}
	case membership.RevokeRequest:
		m.revoke(b)
	}
}

// handleAck takes a confirmation. A directory of a lower term has been replaced.
func (m *Member) handleAck(now time.Time, from identity.Process, c membership.HeartbeatAck) {
	if c.Term() < m.term || m.left {
		return
	}
	if c.Term() > m.term || m.directory.IsZero() {
		m.follow(now, from, c.Term())
	}
	if from != m.directory {
		return
	}
	m.lastAck = now
	if c.Number() == 0 && m.settings.agent && !m.joined {
		// The roster has just changed and may list this process now.
		m.lastHeartbeat = time.Time{}
	}
	if s := c.Rollout(); s != (membership.Rollout{}) && s != m.rollout {
		m.rollout = s
		m.emit(s)
	}
	m.known = c.Status() != membership.Waiting && (m.known || c.Number() > 0)
	m.want = membership.NewVersions(
		max(m.want.Configuration(), c.Versions().Configuration()),
		max(m.want.Routes(), c.Versions().Routes()),
		max(m.want.Agents(), c.Versions().Agents()))
	switch c.Status() {
	case membership.Confirmed:
		m.extendLease(c.Number())
	case membership.Lost:
		m.emit(Expelled{})
	case membership.Departed:
		if !m.leaving.IsZero() {
			m.left = true
			m.emit(Left{})
		}
	}
}

// follow turns to another directory and beats to it at once.
func (m *Member) follow(now time.Time, p identity.Process, term uint64) {
	m.directory = p
	m.term = max(m.term, term)
	m.lastAck = now
	m.lastHeartbeat = time.Time{}
	m.fetchedAt = [4]time.Time{}
	m.known = false
}

func (m *Member) extendLease(number uint64) {
	for _, b := range m.heartbeats {
		if b.number != number {
			continue
		}
		m.joined = true
		if until := b.at.Add(LeaseTime); m.settings.agent && until.After(m.lease) {
			m.lease = until
			m.emit(membership.NewLease(until))
		}
	}
}

func (m *Member) wake(now time.Time) {
	if m.left {
		return
	}
	m.lookup(now)
	if m.directory.IsZero() {
		return
	}
	if now.Sub(m.lastHeartbeat) >= HeartbeatInterval {
		m.sendHeartbeat(now)
	}
	m.fetch(now)
	m.releaseShards(now)
}

func (m *Member) sendHeartbeat(now time.Time) {
	m.number++
	m.lastHeartbeat = now
	m.heartbeats = append(m.heartbeats, sentHeartbeat{
		number: m.number,
		at:     now,
	})
	if len(m.heartbeats) > maxSentHeartbeats {
		m.heartbeats = m.heartbeats[1:]
	}
	departed := !m.leaving.IsZero() && (m.allReleased(now) || now.Sub(m.leaving) >= leaveTimeout)
	var self membership.Member
	if !m.known {
		self = m.settings.self
	}
	m.send(membership.NewHeartbeat(m.number, m.cell, self, m.settings.agent, !m.leaving.IsZero(), departed, m.free, m.have))
}

// fetch asks for what the directory has and this process lacks.
func (m *Member) fetch(now time.Time) {
	m.request(now, membership.ConfigurationPart, m.want.Configuration() > m.have.Configuration(), m.want.Configuration())
	m.request(now, membership.RoutesPart, m.want.Routes() > m.have.Routes(), m.have.Routes())
	if !m.settings.agent {
		return
	}
	m.request(now, membership.AgentsPart, m.want.Agents() > m.have.Agents(), m.have.Agents())
	var index uint64
	for _, h := range m.owned {
		if !h.granted && !h.revoked {
			index = max(index, h.memberListIndex)
		}
	}
	m.request(now, membership.MemberListsPart, index > 0, index)
}

func (m *Member) request(now time.Time, part membership.Part, lacks bool, version uint64) {
	if !lacks || now.Sub(m.fetchedAt[part]) < retryInterval {
		return
	}
	m.fetchedAt[part] = now
	m.send(membership.NewFetch(part, version))
}
