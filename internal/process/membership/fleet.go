package membership

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

// MaxGroups bounds the store values that hold the shard map.
const MaxGroups = 64

// Cell is the stored state of a cell: its roster and the holder of its lease.
type Cell struct {
	name    string
	region  int
	zone    string
	term    uint64
	mark    string
	members []Member
	index   uint64
	holder  Member
	session string
}

// NewCell returns a cell without holder. The term rises with every directory
// that takes the cell; the mark is unique to one write.
func NewCell(name string, region int, zone string, term uint64, mark string, members []Member) Cell {
	return Cell{
		name:    name,
		region:  region,
		zone:    zone,
		term:    term,
		mark:    mark,
		members: members,
	}
}

// WithIndex sets the store index of the roster.
func (c Cell) WithIndex(index uint64) Cell {
	c.index = index
	return c
}

// WithHolder sets the holder of the lease and its session.
func (c Cell) WithHolder(m Member, session string) Cell {
	c.holder = m
	c.session = session
	return c
}

// Session is the session that holds the lease.
func (c Cell) Session() string {
	return c.session
}

// Name is the cell's name.
func (c Cell) Name() string {
	return c.name
}

// Region is the number of the cell's region.
func (c Cell) Region() int {
	return c.region
}

// Zone is the cell's availability zone.
func (c Cell) Zone() string {
	return c.zone
}

// Term counts the directories that took the cell.
func (c Cell) Term() uint64 {
	return c.term
}

// WriteID is the mark of the roster's last write.
func (c Cell) WriteID() string {
	return c.mark
}

// Members is the roster, departed members included.
func (c Cell) Members() []Member {
	return c.members
}

// Index is the store index of the roster; 0 for a cell without one.
func (c Cell) Index() uint64 {
	return c.index
}

// Holder is the directory that holds the lease; zero for none.
func (c Cell) Holder() Member {
	return c.holder
}

// Member finds a run in the roster.
func (c Cell) Member(p identity.Process) (Member, bool) {
	for _, m := range c.members {
		if m.process == p {
			return m, true
		}
	}
	return Member{}, false
}

// ActiveMembers lists the members that have not departed.
func (c Cell) ActiveMembers() []Member {
	var live []Member
	for _, m := range c.members {
		if m.lost.IsZero() {
			live = append(live, m)
		}
	}
	return live
}

// Group is the stored state of a group of shards. The roster index names the
// oldest state of the rosters that lists every agent with records of the shards'
// former owners.
type Group struct {
	number  int
	mark    string
	rosters uint64
	routes  []Route
	owners  []Member
	index   uint64
}

// NewGroup returns a group; owners has the address of each route's owner.
func NewGroup(number int, mark string, rosters uint64, routes []Route, owners []Member) Group {
	return Group{
		number:  number,
		mark:    mark,
		rosters: rosters,
		routes:  routes,
		owners:  owners,
	}
}

// WithIndex sets the store index of the value.
func (g Group) WithIndex(index uint64) Group {
	g.index = index
	return g
}

// Number is the group's number.
func (g Group) Number() int {
	return g.number
}

// WriteID is the mark of the last write.
func (g Group) WriteID() string {
	return g.mark
}

// MemberListIndex is the index from which on the rosters list all holders of records.
func (g Group) MemberListIndex() uint64 {
	return g.rosters
}

// Routes has the owner of each shard.
func (g Group) Routes() []Route {
	return g.routes
}

// Owners has the owners' addresses.
func (g Group) Owners() []Member {
	return g.owners
}

// Index is the store index of the value.
func (g Group) Index() uint64 {
	return g.index
}

// Fleet is the stored state of all cells and groups at one store index.
type Fleet struct {
	index  uint64
	cells  []Cell
	groups []Group
}

// NewFleet returns the state; cells and groups are put in order.
func NewFleet(index uint64, cells []Cell, groups []Group) Fleet {
	sort.Slice(cells, func(i, j int) bool { return cells[i].name < cells[j].name })
	sort.Slice(groups, func(i, j int) bool { return groups[i].number < groups[j].number })
	return Fleet{
		index:  index,
		cells:  cells,
		groups: groups,
	}
}

// Index is the newest store index of the state.
func (f Fleet) Index() uint64 {
	return f.index
}

// Cells lists the cells by name.
func (f Fleet) Cells() []Cell {
	return f.cells
}

// Cell finds a cell by name.
func (f Fleet) Cell(name string) (Cell, bool) {
	for _, c := range f.cells {
		if c.name == name {
			return c, true
		}
	}
	return Cell{}, false
}

// Groups lists the groups by number.
func (f Fleet) Groups() []Group {
	return f.groups
}

// GroupsVersion is the newest index of a group.
func (f Fleet) GroupsVersion() uint64 {
	var v uint64
	for _, g := range f.groups {
		v = max(v, g.index)
	}
	return v
}

// MemberListsVersion is the newest index of a roster.
func (f Fleet) MemberListsVersion() uint64 {
	var v uint64
	for _, c := range f.cells {
		v = max(v, c.index)
	}
	return v
}

// Region lists the cells of a region.
func (f Fleet) Region(region int) []Cell {
	var cells []Cell
	for _, c := range f.cells {
		if c.region == region {
			cells = append(cells, c)
		}
	}
	return cells
}

// Layout is how shards are divided among regions and groups.
type Layout struct {
	regions int
	shards  int
}

// NewLayout checks that each region has a shard.
func NewLayout(regions, shards int) (Layout, error) {
	if regions < 1 || regions > MaxGroups || shards < regions {
		return Layout{}, errors.Errorf("layout: %d shards for %d regions", shards, regions)
	}
	return Layout{
		regions: regions,
		shards:  shards,
	}, nil
}

// Regions is the number of regions.
func (l Layout) Regions() int {
	return l.regions
}

func (l Layout) perRegion() (shards, groups int) {
	shards = l.shards / l.regions
	return shards, min(shards, MaxGroups/l.regions)
}

// Groups lists the groups of a region.
func (l Layout) Groups(region int) []int {
	_, n := l.perRegion()
	groups := make([]int, 0, n)
	for i := range n {
		groups = append(groups, region*n+i)
	}
	return groups
}

// Shards lists the shards of a group, a contiguous block.
func (l Layout) Shards(group int) []identity.Shard {
	perRegion, n := l.perRegion()
	region, i := group/n, group%n
	var shards []identity.Shard
	for s := i * perRegion / n; s < (i+1)*perRegion/n; s++ {
		shards = append(shards, identity.Shard(region*perRegion+s))
	}
	return shards
}

// ShardsPerRegion is the number of shards of one region.
func (l Layout) ShardsPerRegion() int {
	n, _ := l.perRegion()
	return n
}

// Group is the group of a shard.
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

// Rank is the weight of a name for a subject by rendezvous hashing; the highest
// weight comes first.
func Rank(subject, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(subject)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Responsible is the cell that ranks first for a group.
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
