package member

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// leaveTimeout bounds the hand-over of a leaving process: it must not wait for a
// store that is down.
const leaveTimeout = 5 * time.Second

// handleFetchReply takes what was fetched. A version that is not newer is ignored.
func (m *Member) handleFetchReply(b membership.FetchReply) {
	switch b.Part() {
	case membership.ConfigurationPart:
		if b.Version() > m.have.Configuration() {
			m.fetchedAt[b.Part()] = time.Time{}
			m.have = membership.NewVersions(b.Version(), m.have.Routes(), m.have.Agents())
			m.emit(ConfigurationUpdate{
				version: b.Version(),
				data:    b.Data(),
			})
		}
	case membership.RoutesPart:
		m.setRoutes(b)
		if b.Version() > m.have.Routes() {
			m.fetchedAt[b.Part()] = time.Time{}
		}
		m.have = membership.NewVersions(m.have.Configuration(), max(m.have.Routes(), b.Version()), m.have.Agents())
	case membership.AgentsPart:
		if b.Version() > m.have.Agents() {
			m.fetchedAt[b.Part()] = time.Time{}
			m.have = membership.NewVersions(m.have.Configuration(), m.have.Routes(), b.Version())
			m.setAgents(b.Members())
		}
	case membership.MemberListsPart:
		m.grantShards(b)
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
			m.updateOwnership(r, g.MemberListIndex())
		}
	}
	if len(changed) > 0 {
		m.emit(membership.NewRoutes(changed))
	}
}

// updateOwnership follows a route that may have come to this process or left it. The first
// owner of a shard needs no roster, since no agent has records of it.
func (m *Member) updateOwnership(r membership.Route, rosters uint64) {
	if h, ok := m.owned[r.Shard()]; ok {
		delete(m.owned, r.Shard())
		if h.granted && !h.revoked {
			m.emit(membership.NewReleased(r.Shard()))
		}
	}
	if r.Owner() != m.settings.self.Process() {
		return
	}
	h := &ownedShard{
		epoch:           r.Epoch(),
		memberListIndex: rosters,
	}
	m.owned[r.Shard()] = h
	switch {
	case !m.leaving.IsZero():
		h.revoked = true
	case r.Epoch() == 1:
		h.granted = true
		m.emit(membership.NewGranted(r.Shard(), r.Epoch(), nil))
	}
}

// grantShards hands the roster to the owner for the shards that waited for it.
func (m *Member) grantShards(b membership.FetchReply) {
	m.fetchedAt[b.Part()] = time.Time{}
	for _, o := range b.Members() {
		if o.Lost().IsZero() {
			m.emit(PeerAddress{
				member: o,
			})
		}
	}
	for _, s := range sortedShards(m.owned) {
		h := m.owned[s]
		if h.granted || h.revoked || b.Version() < h.memberListIndex {
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
		m.emit(message.NewGone(p))
	}
}

func (m *Member) revoke(r membership.RevokeRequest) {
	for _, c := range r.Shards() {
		if h, ok := m.owned[c.Shard()]; ok && h.epoch == c.Epoch() && !h.revoked {
			h.revoked = true
		}
	}
}

func (m *Member) handleShardStopped(now time.Time, e ShardStopped) {
	if h, ok := m.owned[e.shard]; ok && h.revoked && h.stoppedAt.IsZero() {
		h.stoppedAt = now
	}
}

// releaseShards tells the owner to stop and reports the shards for which no start can take effect any more, again
// and again until the shard map shows their next epoch.
func (m *Member) releaseShards(now time.Time) {
	var shards []membership.ShardEpoch
	for _, s := range sortedShards(m.owned) {
		h := m.owned[s]
		if h.revoked && h.stoppedAt.IsZero() && now.Sub(h.stopRequestedAt) >= retryInterval {
			h.stopRequestedAt = now
			m.emit(membership.NewReleased(s))
		}
		if h.stoppedAt.IsZero() || now.Sub(h.stoppedAt) < CreditTime || now.Sub(h.noticeSentAt) < retryInterval {
			continue
		}
		h.noticeSentAt = now
		shards = append(shards, membership.NewShardEpoch(s, h.epoch))
	}
	if len(shards) > 0 {
		m.send(membership.NewReleaseNotice(m.settings.self.Process(), shards))
	}
}

// leave begins the hand-over of all shards.
func (m *Member) leave(now time.Time) {
	if !m.leaving.IsZero() {
		return
	}
	m.leaving = now
	m.lastHeartbeat = time.Time{}
	if m.directory.IsZero() {
		m.left = true
		m.emit(Left{})
		return
	}
	for _, s := range sortedShards(m.owned) {
		m.owned[s].revoked = true
	}
}

// allReleased tells whether no shard is left, by a shard map that can show it.
func (m *Member) allReleased(now time.Time) bool {
	return len(m.owned) == 0 && m.have.Routes() >= m.want.Routes() && now.Sub(m.leaving) >= CreditTime
}
