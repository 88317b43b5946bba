// Package member maintains a process's membership in a cell: its lease, its versions
// and the shards that it owns.
//
// A member sends a heartbeat to its cell's directory every 290 ms. The acknowledgement
// contains the version numbers by which the member detects what it has to fetch, and
// extends the lease of an agent, counted from when the heartbeat was sent. Without a
// directory, the member reads the fleet from the store. If the cell's lease is free, it
// asks the directory in its own process to acquire it. Both are delayed by the rank of
// the member, so that the members of a cell do not access the store all at once.
//
// A member releases a shard in two steps, because nothing may be started under the old
// epoch once another process owns the shard: the owner confirms that it has stopped,
// and then the last credit that it can have used expires.
package member

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// Time limits of a member.
const (
	// HeartbeatInterval allows for lost heartbeats within a lease. It is just below the
	// heartbeat interval of a link. At 400 ms, each link between member and directory
	// also sent its own heartbeats, which were half of the bytes.
	HeartbeatInterval = 290 * time.Millisecond
	// LeaseTime is the duration of a lease, counted from when the heartbeat was sent.
	LeaseTime = 1500 * time.Millisecond
	// CreditTime is how long a start can take effect after the owner sent it.
	CreditTime = 500 * time.Millisecond
	// silenceTimeout is the time without an acknowledgement after which the member looks
	// for another directory. It allows for two unacknowledged heartbeats.
	silenceTimeout = 800 * time.Millisecond
	// RankDelay is the additional delay of a lookup for each higher-ranked member, so that
	// members try to acquire the cell's lease one after another.
	RankDelay = 200 * time.Millisecond
	// maxLookupDelay limits the delay of the members that rank last.
	maxLookupDelay = 2 * time.Second
	// retryInterval is the time after which an unanswered request is repeated.
	retryInterval = time.Second
	// maxSentHeartbeats limits the heartbeats that wait for an acknowledgement. Older
	// ones were sent more than LeaseTime ago.
	maxSentHeartbeats = 8
)

// Settings are the parameters of a member.
type Settings struct {
	self     membership.Member
	region   int
	agent    bool
	cell     string
	cellSize int
}

// NewSettings returns validated settings. If cell is empty, the member chooses a cell
// from the stored ones.
func NewSettings(self membership.Member, region int, agent bool, cell string, cellSize int) (Settings, error) {
	if self.Process().IsZero() || self.Address() == "" || self.Zone() == "" || cellSize < 1 {
		return Settings{}, errors.Errorf("invalid member settings: process %s, address %q, availability zone %q, %d members per cell", self.Process(), self.Address(), self.Zone(), cellSize)
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
	// revoked reports that the shard is being released.
	revoked         bool
	stopRequestedAt time.Time
	// stoppedAt is when the owner confirmed that it has stopped.
	stoppedAt time.Time
	// noticeSentAt is when the release notice was last sent.
	noticeSentAt time.Time
}

// Member is the state machine of a process's membership.
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
	// lastAck is when the directory was chosen or last sent an acknowledgement.
	lastAck       time.Time
	nextLookup    time.Time
	lookupPending bool
	// joined reports that the directory has confirmed a heartbeat.
	joined bool
	// known reports that the directory has this process's address.
	known   bool
	lease   time.Time
	leaving time.Time
	left    bool
	free    uint32
	// have are the versions that the process has.
	have membership.Versions
	// want are the newest versions that a directory announced.
	want      membership.Versions
	fetchedAt [4]time.Time
	routes    map[identity.Shard]membership.Route
	owned     map[identity.Shard]*ownedShard
	agents    map[identity.Process]membership.Member
	effects   []any
}

// New returns a member without a directory.
func New(s Settings) *Member {
	return &Member{
		settings: s,
		cell:     s.cell,
		routes:   map[identity.Shard]membership.Route{},
		owned:    map[identity.Shard]*ownedShard{},
		agents:   map[identity.Process]membership.Member{},
	}
}

// Handle processes an event and returns the effects. The slice is valid until the
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

// Cell returns the name of the member's cell, or "" before the member has chosen one.
func (m *Member) Cell() string {
	return m.cell
}

// Directory returns the directory that the member uses, or the zero process for none.
func (m *Member) Directory() identity.Process {
	return m.directory
}

// Lease returns the end of the membership lease.
func (m *Member) Lease() time.Time {
	return m.lease
}

// Versions returns the versions that are active in the process.
func (m *Member) Versions() membership.Versions {
	return m.have
}

// OwnedShards returns the shards for which the process may start tasks.
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

// handleAck processes an acknowledgement. It ignores a directory of a lower term, which
// has been replaced.
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
		// The member list has just changed and may contain this process now.
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

// follow switches to another directory. The next heartbeat is sent immediately.
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

// fetch requests what the directory has and this process lacks.
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
