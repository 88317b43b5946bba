package wire

import (
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/wire/wirepb"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// Units of the times in a digest. They limit an entry to 6 B.
const (
	ageStep   = 40 * time.Millisecond
	sinceStep = 100 * time.Millisecond
)

// encodeMembershipBody encodes the messages of package membership.
func encodeMembershipBody(m any) (*wirepb.Body, error) {
	switch m := m.(type) {
	case membership.Heartbeat:
		return encodeHeartbeat(m), nil
	case membership.HeartbeatAck:
		return &wirepb.Body{
			Kind: &wirepb.Body_Confirm{
				Confirm: &wirepb.Confirm{
					Number:   m.Number(),
					Term:     m.Term(),
					Standing: uint32(m.Status()),
					Versions: encodeVersions(m.Versions()),
					Spread:   encodeRollout(m.Rollout()),
				},
			},
		}, nil
	case membership.Fetch:
		return &wirepb.Body{
			Kind: &wirepb.Body_Fetch{
				Fetch: &wirepb.Fetch{
					Part:    uint32(m.Part()),
					Version: m.Version(),
				},
			},
		}, nil
	case membership.FetchReply:
		return encodeFetchReply(m), nil
	case membership.RevokeRequest:
		return &wirepb.Body{
			Kind: &wirepb.Body_Recall{
				Recall: &wirepb.Recall{
					Claims: encodeShards(m.Shards()),
				},
			},
		}, nil
	case membership.ReleaseNotice:
		return &wirepb.Body{
			Kind: &wirepb.Body_Yield{
				Yield: &wirepb.Yield{
					Owner:  encodeProcess(m.Owner()),
					Claims: encodeShards(m.Shards()),
				},
			},
		}, nil
	case membership.Digest:
		return encodeDigest(m), nil
	}
	return nil, errors.Errorf("no encoding for %T", m)
}

// decodeMembershipBody decodes the messages of package membership.
func decodeMembershipBody(b *wirepb.Body) (any, error) {
	switch k := b.GetKind().(type) {
	case *wirepb.Body_Beat:
		return decodeHeartbeat(k.Beat)
	case *wirepb.Body_Confirm:
		c := k.Confirm
		if c.GetStanding() > uint32(membership.Departed) {
			return nil, errors.Errorf("unknown status %d, the highest is %d", c.GetStanding(), membership.Departed)
		}
		return membership.NewHeartbeatAck(c.GetNumber(), c.GetTerm(), membership.Status(c.GetStanding()), decodeVersions(c.GetVersions())).
			WithRollout(membership.NewRollout(c.GetSpread().GetVersion(), c.GetSpread().GetInForce(), c.GetSpread().GetMembers())), nil
	case *wirepb.Body_Fetch:
		if k.Fetch.GetPart() > uint32(membership.MemberListsPart) {
			return nil, errors.Errorf("unknown part %d, the highest is %d", k.Fetch.GetPart(), membership.MemberListsPart)
		}
		return membership.NewFetch(membership.Part(k.Fetch.GetPart()), k.Fetch.GetVersion()), nil
	case *wirepb.Body_Part:
		return decodeFetchReply(k.Part)
	case *wirepb.Body_Recall:
		return membership.NewRevokeRequest(decodeShards(k.Recall.GetClaims())), nil
	case *wirepb.Body_Yield:
		p, err := decodeProcess(k.Yield.GetOwner())
		return membership.NewReleaseNotice(p, decodeShards(k.Yield.GetClaims())), err
	case *wirepb.Body_Digest:
		return decodeDigest(k.Digest)
	}
	return nil, errors.Errorf("unknown message %T", b.GetKind())
}

func encodeProcess(p identity.Process) *wirepb.Process {
	return &wirepb.Process{
		Name:        p.Name(),
		Incarnation: p.Incarnation(),
	}
}

func decodeProcess(p *wirepb.Process) (identity.Process, error) {
	return identity.NewProcess(p.GetName(), p.GetIncarnation())
}

func encodeMember(m membership.Member) *wirepb.Member {
	return &wirepb.Member{
		Process: encodeProcess(m.Process()),
		Address: m.Address(),
		Zone:    m.Zone(),
		LostMs:  unixMillis(m.Lost()),
		Leaving: m.Leaving(),
	}
}

func decodeMember(p *wirepb.Member) (membership.Member, error) {
	id, err := decodeProcess(p.GetProcess())
	if err != nil {
		return membership.Member{}, err
	}
	m := membership.NewMember(id, p.GetAddress(), p.GetZone(), timeFromMillis(p.GetLostMs()))
	if p.GetLeaving() {
		m = m.WithLeaving()
	}
	return m, nil
}

func encodeMembers(list []membership.Member) []*wirepb.Member {
	out := make([]*wirepb.Member, 0, len(list))
	for _, m := range list {
		out = append(out, encodeMember(m))
	}
	return out
}

func decodeMembers(list []*wirepb.Member) ([]membership.Member, error) {
	out := make([]membership.Member, 0, len(list))
	for _, p := range list {
		m, err := decodeMember(p)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// encodeVersions returns nil for the zero value, as in an acknowledgement to a member
// that has all versions.
func encodeVersions(v membership.Versions) *wirepb.Versions {
	if v == (membership.Versions{}) {
		return nil
	}
	return &wirepb.Versions{
		Configuration: v.Configuration(),
		Routes:        v.Routes(),
		Agents:        v.Agents(),
	}
}

func decodeVersions(p *wirepb.Versions) membership.Versions {
	return membership.NewVersions(p.GetConfiguration(), p.GetRoutes(), p.GetAgents())
}

func encodeShards(list []membership.ShardEpoch) []*wirepb.Grant {
	out := make([]*wirepb.Grant, 0, len(list))
	for _, c := range list {
		out = append(out, encodeGrant(message.NewGrant(c.Shard(), c.Epoch())))
	}
	return out
}

func decodeShards(list []*wirepb.Grant) []membership.ShardEpoch {
	out := make([]membership.ShardEpoch, 0, len(list))
	for _, p := range list {
		out = append(out, membership.NewShardEpoch(identity.Shard(p.GetShard()), identity.Epoch(p.GetEpoch())))
	}
	return out
}

func encodeHeartbeat(m membership.Heartbeat) *wirepb.Body {
	b := &wirepb.Beat{
		Number:   m.Number(),
		Cell:     m.Cell(),
		Agent:    m.Agent(),
		Leaving:  m.Leaving(),
		Gone:     m.Departed(),
		Free:     m.Free(),
		Versions: encodeVersions(m.Versions()),
	}
	if !m.Self().Process().IsZero() {
		b.Self = encodeMember(m.Self())
	}
	return &wirepb.Body{
		Kind: &wirepb.Body_Beat{
			Beat: b,
		},
	}
}

func decodeHeartbeat(p *wirepb.Beat) (any, error) {
	var self membership.Member
	if p.GetSelf() != nil {
		m, err := decodeMember(p.GetSelf())
		if err != nil {
			return nil, err
		}
		self = m
	}
	return membership.NewHeartbeat(p.GetNumber(), p.GetCell(), self, p.GetAgent(), p.GetLeaving(), p.GetGone(), p.GetFree(), decodeVersions(p.GetVersions())), nil
}

func encodeFetchReply(m membership.FetchReply) *wirepb.Body {
	p := &wirepb.Part{
		Part:    uint32(m.Part()),
		Version: m.Version(),
		Data:    m.Data(),
		Members: encodeMembers(m.Members()),
	}
	for _, g := range m.Groups() {
		p.Groups = append(p.Groups, encodeGroup(g))
	}
	return &wirepb.Body{
		Kind: &wirepb.Body_Part{
			Part: p,
		},
	}
}

func encodeGroup(g membership.Group) *wirepb.Group {
	p := &wirepb.Group{
		Number:  uint32(g.Number()),
		Rosters: g.MemberListIndex(),
		Index:   g.Index(),
		Owners:  encodeMembers(g.Owners()),
	}
	position := map[identity.Process]uint32{}
	for i, o := range g.Owners() {
		position[o.Process()] = uint32(i + 1)
	}
	for _, r := range g.Routes() {
		p.Shards = append(p.Shards, uint32(r.Shard()))
		p.Epochs = append(p.Epochs, uint64(r.Epoch()))
		p.Owner = append(p.Owner, position[r.Owner()])
	}
	return p
}

func decodeGroup(p *wirepb.Group) (membership.Group, error) {
	owners, err := decodeMembers(p.GetOwners())
	if err != nil {
		return membership.Group{}, err
	}
	if len(p.GetEpochs()) != len(p.GetShards()) || len(p.GetOwner()) != len(p.GetShards()) {
		return membership.Group{}, errors.Errorf("group %d has %d shards, but %d epochs and %d owners", p.GetNumber(), len(p.GetShards()), len(p.GetEpochs()), len(p.GetOwner()))
	}
	routes := make([]membership.Route, 0, len(p.GetShards()))
	for i, s := range p.GetShards() {
		var owner identity.Process
		n := p.GetOwner()[i]
		if int(n) > len(owners) {
			return membership.Group{}, errors.Errorf("group %d has owner number %d, but only %d owners", p.GetNumber(), n, len(owners))
		}
		if n > 0 {
			owner = owners[n-1].Process()
		}
		routes = append(routes, membership.NewRoute(identity.Shard(s), identity.Epoch(p.GetEpochs()[i]), owner))
	}
	return membership.NewGroup(int(p.GetNumber()), "", p.GetRosters(), routes, owners).WithIndex(p.GetIndex()), nil
}

func decodeFetchReply(p *wirepb.Part) (any, error) {
	if p.GetPart() > uint32(membership.MemberListsPart) {
		return nil, errors.Errorf("unknown part %d, the highest is %d", p.GetPart(), membership.MemberListsPart)
	}
	members, err := decodeMembers(p.GetMembers())
	if err != nil {
		return nil, err
	}
	var groups []membership.Group
	for _, g := range p.GetGroups() {
		group, err := decodeGroup(g)
		if err != nil {
			return nil, err
		}
		groups = append(groups, group)
	}
	return membership.NewFetchReply(membership.Part(p.GetPart()), p.GetVersion(), p.GetData(), groups, members), nil
}

func encodeDigest(m membership.Digest) *wirepb.Body {
	d := &wirepb.Digest{
		Cell:     m.Cell(),
		Versions: encodeVersions(m.Versions()),
		Members:  m.Members(),
		InForce:  m.InForce(),
		Free:     m.Free(),
	}
	for _, r := range m.Reports() {
		// The age is rounded up and the duration down, so that no report appears newer or
		// longer than it is.
		state := uint32((r.Stated()+ageStep-1)/ageStep) << 1
		if r.Answers() {
			state |= 1
		}
		d.Cells = append(d.Cells, uint32(r.Cell()))
		d.States = append(d.States, state)
		d.Since = append(d.Since, uint32(r.Since()/sinceStep))
	}
	return &wirepb.Body{
		Kind: &wirepb.Body_Digest{
			Digest: d,
		},
	}
}

func decodeDigest(p *wirepb.Digest) (any, error) {
	if len(p.GetStates()) != len(p.GetCells()) || len(p.GetSince()) != len(p.GetCells()) {
		return nil, errors.Errorf("digest has %d cells, but %d states and %d durations", len(p.GetCells()), len(p.GetStates()), len(p.GetSince()))
	}
	reports := make([]membership.StoreReport, 0, len(p.GetCells()))
	for i, c := range p.GetCells() {
		state := p.GetStates()[i]
		reports = append(reports, membership.NewStoreReport(membership.CellKey(c), state&1 == 1,
			time.Duration(state>>1)*ageStep, time.Duration(p.GetSince()[i])*sinceStep))
	}
	return membership.NewDigest(p.GetCell(), decodeVersions(p.GetVersions()), reports, p.GetMembers(), p.GetInForce(), p.GetFree()), nil
}

// encodeRollout returns nil for the zero value.
func encodeRollout(s membership.Rollout) *wirepb.Spread {
	if s == (membership.Rollout{}) {
		return nil
	}
	return &wirepb.Spread{
		Version: s.Version(),
		InForce: s.InForce(),
		Members: s.Members(),
	}
}
