package wire

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/store"
)

// FleetPrefix is the key prefix of cells and shard groups, so that one watch covers
// both.
const FleetPrefix = "fleet/"

const (
	cellPrefix       = FleetPrefix + "cell/"
	groupPrefix      = FleetPrefix + "group/"
	leaseSuffix      = "/lease"
	memberListSuffix = "/roster"
)

// LeaseKey returns the store key of a cell's lease.
func LeaseKey(cell string) string {
	return cellPrefix + cell + leaseSuffix
}

// MemberListKey returns the store key of a cell's member list.
func MemberListKey(cell string) string {
	return cellPrefix + cell + memberListSuffix
}

// GroupKey returns the store key of a shard group.
func GroupKey(group int) string {
	return groupPrefix + strconv.Itoa(group)
}

type storedMember struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"availability_zone"`
	LostMS      int64  `json:"lost_ms,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}

type storedMemberList struct {
	Region  int            `json:"region"`
	Zone    string         `json:"availability_zone"`
	Term    uint64         `json:"term"`
	WriteID string         `json:"mark"`
	Members []storedMember `json:"members"`
}

type storedRoute struct {
	Shard uint32 `json:"shard"`
	Epoch uint64 `json:"epoch"`
	Owner int    `json:"owner"`
}

type storedGroup struct {
	WriteID         string         `json:"mark"`
	MemberListIndex uint64         `json:"rosters_index"`
	Owners          []storedMember `json:"owners"`
	Routes          []storedRoute  `json:"routes"`
}

func encodeStoredMember(m membership.Member) storedMember {
	return storedMember{
		Name:        m.Process().Name(),
		Incarnation: m.Process().Incarnation(),
		Address:     m.Address(),
		Zone:        m.Zone(),
		LostMS:      unixMillis(m.Lost()),
		Leaving:     m.Leaving(),
	}
}

func decodeStoredMember(d storedMember) (membership.Member, error) {
	p, err := identity.NewProcess(d.Name, d.Incarnation)
	if err != nil {
		return membership.Member{}, err
	}
	m := membership.NewMember(p, d.Address, d.Zone, timeFromMillis(d.LostMS))
	if d.Leaving {
		m = m.WithLeaving()
	}
	return m, nil
}

func decodeStoredMembers(list []storedMember) ([]membership.Member, error) {
	out := make([]membership.Member, 0, len(list))
	for _, d := range list {
		m, err := decodeStoredMember(d)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// EncodeHolder returns the stored JSON of the holder of a lease.
func EncodeHolder(m membership.Member) ([]byte, error) {
	data, err := json.Marshal(encodeStoredMember(m))
	return data, errors.Wrap(err, "encode lease holder")
}

// EncodeMemberList returns the stored JSON of a cell's member list.
func EncodeMemberList(c membership.Cell) ([]byte, error) {
	d := storedMemberList{
		Region:  c.Region(),
		Zone:    c.Zone(),
		Term:    c.Term(),
		WriteID: c.WriteID(),
	}
	for _, m := range c.Members() {
		d.Members = append(d.Members, encodeStoredMember(m))
	}
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode member list")
}

// EncodeGroup returns the stored JSON of a shard group.
func EncodeGroup(g membership.Group) ([]byte, error) {
	d := storedGroup{
		WriteID:         g.WriteID(),
		MemberListIndex: g.MemberListIndex(),
	}
	position := map[identity.Process]int{}
	for i, o := range g.Owners() {
		position[o.Process()] = i + 1
		d.Owners = append(d.Owners, encodeStoredMember(o))
	}
	for _, r := range g.Routes() {
		d.Routes = append(d.Routes, storedRoute{
			Shard: uint32(r.Shard()),
			Epoch: uint64(r.Epoch()),
			Owner: position[r.Owner()],
		})
	}
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode shard group")
}

// DecodeFleet returns the fleet of the listed keys. It returns an error if any value is
// invalid, since a missing member list would hide agents with start records.
func DecodeFleet(pairs []store.Pair, index uint64) (membership.Fleet, error) {
	cells := map[string]membership.Cell{}
	holders := map[string]store.Pair{}
	var groups []membership.Group
	for _, p := range pairs {
		name, isCell := strings.CutPrefix(p.Key(), cellPrefix)
		number, isGroup := strings.CutPrefix(p.Key(), groupPrefix)
		switch {
		case isGroup:
			g, err := decodeStoredGroup(number, p)
			if err != nil {
				return membership.Fleet{}, errors.Wrap(err, p.Key())
			}
			groups = append(groups, g)
		case isCell && strings.HasSuffix(name, leaseSuffix):
			holders[strings.TrimSuffix(name, leaseSuffix)] = p
		case isCell && strings.HasSuffix(name, memberListSuffix):
			name = strings.TrimSuffix(name, memberListSuffix)
			c, err := decodeMemberList(name, p)
			if err != nil {
				return membership.Fleet{}, errors.Wrap(err, p.Key())
			}
			cells[name] = c
		}
	}
	if err := addHolders(cells, holders); err != nil {
		return membership.Fleet{}, err
	}
	list := make([]membership.Cell, 0, len(cells))
	for _, c := range cells {
		list = append(list, c)
	}
	return membership.NewFleet(index, list, groups), nil
}

// addHolders sets the holders of the cells. A new cell has a lease before it has a
// member list. Until the list is written, the cell has the region -1.
func addHolders(cells map[string]membership.Cell, holders map[string]store.Pair) error {
	for name, p := range holders {
		var d storedMember
		if p.Session() == "" {
			continue
		}
		if err := json.Unmarshal(p.Value(), &d); err != nil {
			return errors.Wrap(err, p.Key())
		}
		m, err := decodeStoredMember(d)
		if err != nil {
			return errors.Wrap(err, p.Key())
		}
		c, ok := cells[name]
		if !ok {
			c = membership.NewCell(name, -1, m.Zone(), 0, "", nil)
		}
		cells[name] = c.WithHolder(m, p.Session())
	}
	return nil
}

func decodeMemberList(name string, p store.Pair) (membership.Cell, error) {
	var d storedMemberList
	if err := json.Unmarshal(p.Value(), &d); err != nil {
		return membership.Cell{}, errors.Wrap(err, "decode member list")
	}
	members, err := decodeStoredMembers(d.Members)
	if err != nil {
		return membership.Cell{}, err
	}
	return membership.NewCell(name, d.Region, d.Zone, d.Term, d.WriteID, members).WithIndex(p.Index()), nil
}

func decodeStoredGroup(number string, p store.Pair) (membership.Group, error) {
	n, err := strconv.Atoi(number)
	if err != nil {
		return membership.Group{}, errors.Wrap(err, "group number")
	}
	var d storedGroup
	if err := json.Unmarshal(p.Value(), &d); err != nil {
		return membership.Group{}, errors.Wrap(err, "decode shard group")
	}
	owners, err := decodeStoredMembers(d.Owners)
	if err != nil {
		return membership.Group{}, err
	}
	routes := make([]membership.Route, 0, len(d.Routes))
	for _, r := range d.Routes {
		var owner identity.Process
		if r.Owner < 0 || r.Owner > len(owners) {
			return membership.Group{}, errors.Errorf("shard %d has owner number %d, but there are %d owners", r.Shard, r.Owner, len(owners))
		}
		if r.Owner > 0 {
			owner = owners[r.Owner-1].Process()
		}
		routes = append(routes, membership.NewRoute(identity.Shard(r.Shard), identity.Epoch(r.Epoch), owner))
	}
	return membership.NewGroup(n, d.WriteID, d.MemberListIndex, routes, owners).WithIndex(p.Index()), nil
}
