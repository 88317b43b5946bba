package wire

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/store"
)

func sampleMembers(t *testing.T) []membership.Member {
	var members []membership.Member
	for i, name := range []string{"a0", "b1"} {
		p, err := identity.NewProcess(name, uint64(i)+7)
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, membership.NewMember(p, "127.0.0.1:1", "a", time.Time{}))
	}
	members[1] = members[1].WithLeaving().WithLost(time.UnixMilli(1_800_000_000_123))
	return members
}

func sampleGroup(members []membership.Member) membership.Group {
	return membership.NewGroup(3, "", 17, []membership.Route{
		membership.NewRoute(48, 2, members[0].Process()),
		membership.NewRoute(49, 5, identity.Process{}),
		membership.NewRoute(50, 1, members[1].Process()),
	}, members)
}

// Guards against a field that is lost or changed in encoding and decoding.
func TestMembershipMessagesKeepTheirContent(t *testing.T) {
	members := sampleMembers(t)
	v := membership.NewVersions(1, 2, 3)
	shards := []membership.ShardEpoch{membership.NewShardEpoch(4, 9)}
	reports := []membership.StoreReport{
		membership.NewStoreReport(membership.KeyOf("0.a.0"), true, 80*time.Millisecond, 5*time.Second),
		membership.NewStoreReport(membership.KeyOf("0.b.0"), false, 0, 200*time.Millisecond),
	}
	for name, m := range map[string]any{
		"beat":                membership.NewHeartbeat(5, "0.a.0", members[0], true, true, true, 8, v),
		"beat without sender": membership.NewHeartbeat(5, "0.a.0", membership.Member{}, true, false, false, 8, v),
		"confirm":             membership.NewHeartbeatAck(5, 6, membership.Confirmed, v),
		"confirm, entry":      membership.NewHeartbeatAck(5, 6, membership.Confirmed, v).WithRollout(membership.NewRollout(7, 8, 9)),
		"confirm, same":       membership.NewHeartbeatAck(5, 6, membership.Confirmed, membership.Versions{}),
		"fetch":               membership.NewFetch(membership.MemberListsPart, 77),
		"body, configuration": membership.NewFetchReply(membership.ConfigurationPart, 4, []byte("{}"), nil, []membership.Member{}),
		"body, routes":        membership.NewFetchReply(membership.RoutesPart, 4, nil, []membership.Group{sampleGroup(members).WithIndex(4)}, []membership.Member{}),
		"body, member lists":  membership.NewFetchReply(membership.MemberListsPart, 4, nil, nil, members),
		"recall":              membership.NewRevokeRequest(shards),
		"yield":               membership.NewReleaseNotice(members[0].Process(), shards),
		"digest":              membership.NewDigest("0.a.0", v, reports, 36, 35, 200),
	} {
		t.Run(name, func(t *testing.T) {
			Convey(name, t, func() {
				data, err := Encode(m)
				So(err, ShouldBeNil)
				decoded, err := Decode(data)
				So(err, ShouldBeNil)
				So(decoded, ShouldResemble, m)
			})
		})
	}
}

// Guards against a stored fleet that is decoded with other owners or epochs, and
// against an invalid value that is skipped.
func TestStoredFleet(t *testing.T) {
	Convey("A cell with its lease, and a group", t, func() {
		members := sampleMembers(t)
		c := membership.NewCell("0.a.0", 0, "a", 4, "mark", members)
		memberList, err := EncodeMemberList(c)
		So(err, ShouldBeNil)
		lease, err := EncodeHolder(members[0])
		So(err, ShouldBeNil)
		group, err := EncodeGroup(sampleGroup(members))
		So(err, ShouldBeNil)
		pairs := []store.Pair{
			store.NewPair(MemberListKey("0.a.0"), memberList, 5, ""),
			store.NewPair(LeaseKey("0.a.0"), lease, 6, "session"),
			store.NewPair(GroupKey(3), group, 7, ""),
		}
		f, err := DecodeFleet(pairs, 7)
		So(err, ShouldBeNil)
		So(f, ShouldResemble, membership.NewFleet(7,
			[]membership.Cell{c.WithIndex(5).WithHolder(members[0], "session")},
			[]membership.Group{sampleGroup(members).WithIndex(7)}))
		pairs[0] = store.NewPair(MemberListKey("0.a.0"), []byte("?"), 8, "")
		_, err = DecodeFleet(pairs, 8)
		So(err, ShouldNotBeNil)
	})
}
