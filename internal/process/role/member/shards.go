package member

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// leaveTimeout limits the time in which a leaving process releases its shards. It must
// not wait for a store that is down.
const leaveTimeout = 5 * time.Second

// handleFetchReply processes fetched data. It ignores a version that is not newer.
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

// setRoutes merges changed groups. The route with the highest epoch wins, independent
// of the order in which groups arrive.
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

// updateOwnership applies a changed route to the owned shards. The first owner of a
// shard needs no member list, since no agent has records of the shard.
func (m *Member) updateOwnership(r membership.Route, memberListIndex uint64) {
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
		memberListIndex: memberListIndex,
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

// grantShards grants the shards that waited for the received member list.
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

// setAgents replaces the working set and reports agents that are newly lost.
func (m *Member) setAgents(members []membership.Member) {
	var active []membership.Member
	known := map[identity.Process]membership.Member{}
	for _, o := range members {
		known[o.Process()] = o
		if o.Lost().IsZero() {
			active = append(active, o)
			m.emit(PeerAddress{
				member: o,
			})
		}
	}
	m.emit(membership.NewWorkingSet(active))
	var lost []identity.Process
	for p, o := range known {
		if before, ok := m.agents[p]; !o.Lost().IsZero() && (!ok || before.Lost().IsZero()) {
			lost = append(lost, p)
		}
	}
	m.agents = known
	sort.Slice(lost, func(i, j int) bool { return lost[i].String() < lost[j].String() })
	for _, p := range lost {
		m.emit(message.NewProcessEnded(p))
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

// releaseShards asks the owner to stop for revoked shards and reports the shards for
// which no start can take effect anymore. It repeats both until the shard map has the
// next epoch of the shard.
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

// leave starts the release of all shards.
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

// allReleased reports whether the process owns no shard according to a current shard map
// and CreditTime has passed since it started to leave.
func (m *Member) allReleased(now time.Time) bool {
	return len(m.owned) == 0 && m.have.Routes() >= m.want.Routes() && now.Sub(m.leaving) >= CreditTime
}
