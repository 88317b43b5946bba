package membership

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

// MaxGroups limits the number of store values that hold the shard map.
const MaxGroups = 64

// Cell is the stored state of a cell: its member list and the holder of its lease.
type Cell struct {
	name    string
	region  int
	zone    string
	term    uint64
	writeID string
	members []Member
	index   uint64
	holder  Member
	session string
}

// NewCell returns a cell without a lease holder. The term increases with every
// directory that acquires the cell; the write ID is unique to one write.
func NewCell(name string, region int, zone string, term uint64, writeID string, members []Member) Cell {
	return Cell{
		name:    name,
		region:  region,
		zone:    zone,
		term:    term,
		writeID: writeID,
		members: members,
	}
}

// WithIndex sets the store index of the member list.
func (c Cell) WithIndex(index uint64) Cell {
	c.index = index
	return c
}

// WithHolder sets the holder of the lease and its store session.
func (c Cell) WithHolder(m Member, session string) Cell {
	c.holder = m
	c.session = session
	return c
}

// Session returns the store session that holds the lease.
func (c Cell) Session() string {
	return c.session
}

func (c Cell) Name() string {
	return c.name
}

func (c Cell) Region() int {
	return c.region
}

// Zone returns the availability zone.
func (c Cell) Zone() string {
	return c.zone
}

// Term returns the number of directories that have acquired the cell so far.
func (c Cell) Term() uint64 {
	return c.term
}

// WriteID returns the ID of the last write of the member list.
func (c Cell) WriteID() string {
	return c.writeID
}

// Members returns all members, including lost ones.
func (c Cell) Members() []Member {
	return c.members
}

// Index returns the store index of the member list, or 0 if the cell has none.
func (c Cell) Index() uint64 {
	return c.index
}

// Holder returns the directory that holds the lease, or the zero member.
func (c Cell) Holder() Member {
	return c.holder
}

// Member returns the member of a process run, if it is in the list.
func (c Cell) Member(p identity.Process) (Member, bool) {
	for _, m := range c.members {
		if m.process == p {
			return m, true
		}
	}
	return Member{}, false
}

// ActiveMembers returns the members that are not lost.
func (c Cell) ActiveMembers() []Member {
	var active []Member
	for _, m := range c.members {
		if m.lost.IsZero() {
			active = append(active, m)
		}
	}
	return active
}

// Group is the stored state of a group of shards. Its member list index names the
// oldest state of the member lists that contains every agent with records of the
// shards' previous owners.
type Group struct {
	number          int
	writeID         string
	memberListIndex uint64
	routes          []Route
	owners          []Member
	index           uint64
}

// NewGroup returns a group. Owners has the address of each route's owner.
func NewGroup(number int, writeID string, memberListIndex uint64, routes []Route, owners []Member) Group {
	return Group{
		number:          number,
		writeID:         writeID,
		memberListIndex: memberListIndex,
		routes:          routes,
		owners:          owners,
	}
}

// WithIndex sets the store index of the value.
func (g Group) WithIndex(index uint64) Group {
	g.index = index
	return g
}

func (g Group) Number() int {
	return g.number
}

// WriteID returns the ID of the last write.
func (g Group) WriteID() string {
	return g.writeID
}

// MemberListIndex returns the lowest store index at which the member lists contain all
// agents with records.
func (g Group) MemberListIndex() uint64 {
	return g.memberListIndex
}

// Routes returns the owner of each shard.
func (g Group) Routes() []Route {
	return g.routes
}

// Owners returns the owners with their addresses.
func (g Group) Owners() []Member {
	return g.owners
}

// Index returns the store index of the value.
func (g Group) Index() uint64 {
	return g.index
}

// Fleet is the stored state of all cells and groups at one store index.
type Fleet struct {
	index  uint64
	cells  []Cell
	groups []Group
}

// NewFleet returns the state. It sorts cells by name and groups by number, in place.
func NewFleet(index uint64, cells []Cell, groups []Group) Fleet {
	sort.Slice(cells, func(i, j int) bool { return cells[i].name < cells[j].name })
	sort.Slice(groups, func(i, j int) bool { return groups[i].number < groups[j].number })
	return Fleet{
		index:  index,
		cells:  cells,
		groups: groups,
	}
}

// Index returns the latest store index of the state.
func (f Fleet) Index() uint64 {
	return f.index
}

// Cells returns the cells sorted by name.
func (f Fleet) Cells() []Cell {
	return f.cells
}

// Cell returns the cell with the given name, if it exists.
func (f Fleet) Cell(name string) (Cell, bool) {
	for _, c := range f.cells {
		if c.name == name {
			return c, true
		}
	}
	return Cell{}, false
}

// Groups returns the groups sorted by number.
func (f Fleet) Groups() []Group {
	return f.groups
}

// GroupsVersion returns the highest store index of a group.
func (f Fleet) GroupsVersion() uint64 {
	var v uint64
	for _, g := range f.groups {
		v = max(v, g.index)
	}
	return v
}

// MemberListsVersion returns the highest store index of a member list.
func (f Fleet) MemberListsVersion() uint64 {
	var v uint64
	for _, c := range f.cells {
		v = max(v, c.index)
	}
	return v
}

// Region returns the cells of a region.
func (f Fleet) Region(region int) []Cell {
	var cells []Cell
	for _, c := range f.cells {
		if c.region == region {
			cells = append(cells, c)
		}
	}
	return cells
}

// Layout defines how shards are divided among regions and groups.
type Layout struct {
	regions int
	shards  int
}

// NewLayout returns a layout. It needs 1 to MaxGroups regions and at least one shard
// per region.
func NewLayout(regions, shards int) (Layout, error) {
	if regions < 1 || regions > MaxGroups || shards < regions {
		return Layout{}, errors.Errorf("layout: %d shards for %d regions, want 1 to %d regions and a shard for each", shards, regions, MaxGroups)
	}
	return Layout{
		regions: regions,
		shards:  shards,
	}, nil
}

func (l Layout) Regions() int {
	return l.regions
}

func (l Layout) perRegion() (shards, groups int) {
	shards = l.shards / l.regions
	return shards, min(shards, MaxGroups/l.regions)
}

// Groups returns the group numbers of a region.
func (l Layout) Groups(region int) []int {
	_, n := l.perRegion()
	groups := make([]int, 0, n)
	for i := range n {
		groups = append(groups, region*n+i)
	}
	return groups
}

// Shards returns the shards of a group, a contiguous block.
func (l Layout) Shards(group int) []identity.Shard {
	perRegion, n := l.perRegion()
	region, i := group/n, group%n
	var shards []identity.Shard
	for s := i * perRegion / n; s < (i+1)*perRegion/n; s++ {
		shards = append(shards, identity.Shard(region*perRegion+s))
	}
	return shards
}

func (l Layout) ShardsPerRegion() int {
	n, _ := l.perRegion()
	return n
}

// Group returns the group number of a shard.
func (l Layout) Group(s identity.Shard) int {
	perRegion, n := l.perRegion()
	within := int(s) % perRegion
	for i := range n {
		if within < (i+1)*perRegion/n {
			return int(s)/perRegion*n + i
		}
	}
	return int(s) / perRegion * n
}

// Rank returns the weight of a name for a subject in rendezvous hashing. The name
// with the highest weight ranks first.
func Rank(subject, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(subject)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Responsible returns the cell that ranks first for a group; false if there are no
// cells.
func Responsible(group int, cells []Cell) (Cell, bool) {
	var best Cell
	var rank uint64
	found := false
	for _, c := range cells {
		if r := Rank("group/"+strconv.Itoa(group), c.name); !found || r > rank {
			best, rank, found = c, r, true
		}
	}
	return best, found
}
