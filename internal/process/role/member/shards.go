package member

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// leaveLimit bounds the hand-over of a leaving process: it must not wait for a
// store that is down.
const leaveLimit = 5 * time.Second

// body takes what was fetched. A version that is not newer is ignored.
func (m *Member) body(b membership.FetchReply) {
	switch b.Part() {
	case membership.ConfigurationPart:
		if b.Version() > m.have.Configuration() {
			m.fetched[b.Part()] = time.Time{}
			m.have = membership.NewVersions(b.Version(), m.have.Routes(), m.have.Agents())
			m.emit(ConfigurationUpdate{
				version: b.Version(),
				data:    b.Data(),
			})
		}
	case membership.RoutesPart:
		m.setRoutes(b)
		if b.Version() > m.have.Routes() {
			m.fetched[b.Part()] = time.Time{}
		}
		m.have = membership.NewVersions(m.have.Configuration(), max(m.have.Routes(), b.Version()), m.have.Agents())
	case membership.AgentsPart:
		if b.Version() > m.have.Agents() {
			m.fetched[b.Part()] = time.Time{}
			m.have = membership.NewVersions(m.have.Configuration(), m.have.Routes(), b.Version())
			m.setAgents(b.Members())
		}
	case membership.MemberListsPart:
		m.grant(b)
	}
}

// setRoutes takes changed groups. The epoch decides, whatever the order in which
// groups arrive.
func (m *Member) setRoutes(b membership.FetchReply) {
	var changed []membership.Route
	for _, g := range b.Groups() {
		for _, o := range g.Owners() {
			m.emit(PeerAddress{
				member: o,
			})
		}
		for _, r := range g.Routes() {
			if known, ok := m.routes[r.Shard()]; ok && known.Epoch() >= r.Epoch() {
				continue
			}
			m.routes[r.Shard()] = r
			changed = append(changed, r)
			m.own(r, g.MemberListIndex())
		}
	}
	if len(changed) > 0 {
		m.emit(membership.NewRoutes(changed))
	}
}

// own follows a route that may have come to this process or left it. The first
// owner of a shard needs no roster, since no agent has records of it.
func (m *Member) own(r membership.Route, rosters uint64) {
	if h, ok := m.held[r.Shard()]; ok {
		delete(m.held, r.Shard())
		if h.granted && !h.recalled {
			m.emit(membership.NewReleased(r.Shard()))
		}
	}
	if r.Owner() != m.set.self.Process() {
		return
	}
	h := &holding{
		epoch:   r.Epoch(),
		rosters: rosters,
	}
	m.held[r.Shard()] = h
	switch {
	case !m.leaving.IsZero():
		h.recalled = true
	case r.Epoch() == 1:
		h.granted = true
		m.emit(membership.NewGranted(r.Shard(), r.Epoch(), nil))
	}
}

// grant hands the roster to the owner for the shards that waited for it.
func (m *Member) grant(b membership.FetchReply) {
	m.fetched[b.Part()] = time.Time{}
	for _, o := range b.Members() {
		if o.Lost().IsZero() {
			m.emit(PeerAddress{
				member: o,
			})
		}
	}
	for _, s := range sortedShards(m.held) {
		h := m.held[s]
		if h.granted || h.recalled || b.Version() < h.rosters {
			continue
		}
		h.granted = true
		m.emit(membership.NewGranted(s, h.epoch, b.Members()))
	}
}

// setAgents replaces the working set and reports the agents that were lost.
func (m *Member) setAgents(members []membership.Member) {
	var live []membership.Member
	known := map[identity.Process]membership.Member{}
	for _, o := range members {
		known[o.Process()] = o
		if o.Lost().IsZero() {
			live = append(live, o)
			m.emit(PeerAddress{
				member: o,
			})
		}
	}
	m.emit(membership.NewWorkingSet(live))
	var gone []identity.Process
	for p, o := range known {
		if before, ok := m.agents[p]; !o.Lost().IsZero() && (!ok || before.Lost().IsZero()) {
			gone = append(gone, p)
		}
	}
	m.agents = known
	sort.Slice(gone, func(i, j int) bool { return gone[i].String() < gone[j].String() })
	for _, p := range gone {
		m.emit(message.NewProcessEnded(p))
	}
}

func (m *Member) recall(r membership.RevokeRequest) {
	for _, c := range r.Shards() {
		if h, ok := m.held[c.Shard()]; ok && h.epoch == c.Epoch() && !h.recalled {
			h.recalled = true
		}
	}
}

func (m *Member) stopped(now time.Time, e ShardStopped) {
	if h, ok := m.held[e.shard]; ok && h.recalled && h.stopped.IsZero() {
		h.stopped = now
	}
}

// yield tells the owner to stop and reports the shards for which no start can take effect any more, again
// and again until the shard map shows their next epoch.
func (m *Member) yield(now time.Time) {
	var claims []membership.ShardEpoch
	for _, s := range sortedShards(m.held) {
		h := m.held[s]
		if h.recalled && h.stopped.IsZero() && now.Sub(h.asked) >= repeatInterval {
			h.asked = now
			m.emit(membership.NewReleased(s))
		}
		if h.stopped.IsZero() || now.Sub(h.stopped) < CreditTime || now.Sub(h.yielded) < repeatInterval {
			continue
		}
		h.yielded = now
		claims = append(claims, membership.NewShardEpoch(s, h.epoch))
	}
	if len(claims) > 0 {
		m.send(membership.NewReleaseNotice(m.set.self.Process(), claims))
	}
}

// leave begins the hand-over of all shards.
func (m *Member) leave(now time.Time) {
	if !m.leaving.IsZero() {
		return
	}
	m.leaving = now
	m.lastBeat = time.Time{}
	if m.directory.IsZero() {
		m.left = true
		m.emit(Left{})
		return
	}
	for _, s := range sortedShards(m.held) {
		m.held[s].recalled = true
	}
}

// handedOver tells whether no shard is left, by a shard map that can show it.
func (m *Member) handedOver(now time.Time) bool {
	return len(m.held) == 0 && m.have.Routes() >= m.want.Routes() && now.Sub(m.leaving) >= CreditTime
}
