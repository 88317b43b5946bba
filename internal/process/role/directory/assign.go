package directory

import (
	"math"
	"sort"
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

const (
	// settleTime is the quiet time after a change before shards are moved between
	// live owners, so that directories do not correct each other.
	settleTime = time.Second
	// recallTime is how long a recall may take; it is repeated then.
	recallTime = 3 * time.Second
)

// region is the stored state that an assignment starts from.
type region struct {
	live  map[identity.Process]membership.Member
	open  []membership.Member
	loads map[identity.Process]int
	// seize tells whether shards of lost owners may move now.
	seize bool
}

// member finds an owner; one that was lost is known from the stored group.
func (r region) member(g membership.Group, p identity.Process) membership.Member {
	if m, ok := r.live[p]; ok {
		return m
	}
	for _, m := range g.Owners() {
		if m.Process() == p {
			return m
		}
	}
	return membership.Member{}
}

func (d *Directory) survey() region {
	r := region{
		live:  map[identity.Process]membership.Member{},
		loads: map[identity.Process]int{},
	}
	for _, c := range d.fleet.Region(d.set.region) {
		for _, m := range c.ActiveMembers() {
			r.live[m.Process()] = m
			if !m.Leaving() {
				r.open = append(r.open, m)
			}
		}
	}
	own := map[int]bool{}
	for _, g := range d.set.layout.Groups(d.set.region) {
		own[g] = true
	}
	for _, g := range d.fleet.Groups() {
		if !own[g.Number()] {
			continue
		}
		for _, route := range g.Routes() {
			r.loads[route.Owner()]++
		}
	}
	return r
}

// plan is what a stored state asks of this directory. It is made once for each
// state, since it takes a hash for each group and cell.
type plan struct {
	// seats are the cells with a directory.
	seats []membership.Cell
	mine  map[int]bool
	// orphans tells that shards have no owner, or one that was lost.
	orphans bool
	// give is the part of its shards that each owner has to give up.
	give map[identity.Process]float64
}

// planned returns the plan of the newest stored state. Cells without a directory
// are passed over, so that their groups do not wait for one; two directories
// with different views are kept apart by the compare-and-swap.
func (d *Directory) planned() *plan {
	if d.plan != nil {
		return d.plan
	}
	p := &plan{
		mine: map[int]bool{},
	}
	d.plan = p
	for _, c := range d.fleet.Region(d.set.region) {
		if !c.Holder().Process().IsZero() {
			p.seats = append(p.seats, c)
		}
	}
	for _, g := range d.set.layout.Groups(d.set.region) {
		c, ok := membership.Responsible(g, p.seats)
		if h, held := d.cells[c.Name()]; ok && held && h.written {
			p.mine[g] = true
		}
	}
	if len(p.mine) == 0 {
		return p
	}
	r := d.survey()
	stored := d.storedGroups()
	for g := range p.mine {
		routes := stored[g].Routes()
		p.orphans = p.orphans || len(routes) == 0
		for _, route := range routes {
			_, live := r.live[route.Owner()]
			p.orphans = p.orphans || !live
		}
	}
	p.give = d.give(r)
	return p
}

// give returns which owners have to give up shards, and which part of them: those
// with far more than the others, and those above the mean while others have next
// to none. Owners that differ less are left alone, since directories that assign
// at the same time never reach an even split.
func (d *Directory) give(r region) map[identity.Process]float64 {
	if len(r.open) == 0 {
		return nil
	}
	mean := d.set.layout.ShardsPerRegion() / len(r.open)
	limit := (d.set.layout.ShardsPerRegion() + len(r.open) - 1) / len(r.open)
	need, surplus := 0, 0
	for _, m := range r.open {
		n := r.loads[m.Process()]
		if 4*n < mean {
			need += mean - n
		}
		surplus += max(n-mean, 0)
	}
	give := map[identity.Process]float64{}
	for _, m := range r.open {
		n := r.loads[m.Process()]
		var excess float64
		if n > limit+limit/2+3 {
			excess = float64(n - limit)
		} else if need > 0 && n > mean {
			excess = float64(need) * float64(n-mean) / float64(max(surplus, need))
		}
		if excess > 0 {
			give[m.Process()] = excess / float64(n)
		}
	}
	return give
}

func (d *Directory) storedGroups() map[int]membership.Group {
	stored := map[int]membership.Group{}
	for _, g := range d.fleet.Groups() {
		stored[g.Number()] = g
	}
	return stored
}

// assign returns the groups with new owners, and recalls shards from owners that
// have too many.
func (d *Directory) assign(now time.Time) []membership.Group {
	p := d.planned()
	if !p.orphans && len(d.yields) == 0 {
		d.rebalance(now, p)
		return nil
	}
	r := d.survey()
	r.seize = d.maySeize(now)
	stored := d.storedGroups()
	var groups []membership.Group
	for _, n := range d.set.layout.Groups(d.set.region) {
		if !p.mine[n] {
			continue
		}
		if g, ok := d.assignGroup(r, stored[n], n); ok {
			groups = append(groups, g)
		}
	}
	return groups
}

// assignGroup gives the group's shards without owner to live agents.
func (d *Directory) assignGroup(r region, g membership.Group, number int) (membership.Group, bool) {
	known := map[identity.Shard]membership.Route{}
	for _, route := range g.Routes() {
		known[route.Shard()] = route
	}
	changed := false
	var routes []membership.Route
	owners := map[identity.Process]membership.Member{}
	for _, s := range d.set.layout.Shards(number) {
		route := known[s]
		if d.orphan(r, s, route) {
			owner := d.choose(r, s, route.Owner())
			if owner.IsZero() && route.Owner().IsZero() {
				continue
			}
			r.loads[owner]++
			r.loads[route.Owner()]--
			route = membership.NewRoute(s, route.Epoch()+1, owner)
			changed = true
		}
		routes = append(routes, route)
		owners[route.Owner()] = r.member(g, route.Owner())
	}
	if !changed {
		return membership.Group{}, false
	}
	list := make([]membership.Member, 0, len(owners))
	for _, o := range owners {
		if !o.Process().IsZero() {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Process().String() < list[j].Process().String() })
	// The listed state shows the loss of the former owners, or was read after they
	// stopped, so its rosters name every agent that can have records.
	return membership.NewGroup(number, d.mark(), d.fleet.Index(), routes, list).WithIndex(g.Index()), true
}

// orphan tells whether nothing can be started any more under a route.
func (d *Directory) orphan(r region, s identity.Shard, route membership.Route) bool {
	if route.Owner().IsZero() {
		return true
	}
	if _, live := r.live[route.Owner()]; !live {
		return r.seize
	}
	y, ok := d.yields[s]
	return ok && y.epoch == route.Epoch() && !d.readFrom.Before(y.at)
}

// choose returns the first-ranked of the agents with the fewest shards, other
// than the former owner if there is one; none if nobody takes shards.
func (d *Directory) choose(r region, s identity.Shard, former identity.Process) identity.Process {
	least := -1
	for _, m := range r.open {
		if n := r.loads[m.Process()]; m.Process() != former && (least < 0 || n < least) {
			least = n
		}
	}
	if least < 0 {
		if len(r.open) > 0 {
			return former
		}
		return identity.Process{}
	}
	limit := least + d.set.layout.ShardsPerRegion()/len(r.open)/4
	subject := "shard/" + strconv.Itoa(int(s))
	var best identity.Process
	var rank uint64
	for _, m := range r.open {
		p := m.Process()
		if p == former || r.loads[p] > limit {
			continue
		}
		if w := membership.Rank(subject, p.Name()); best.IsZero() || w > rank {
			best, rank = p, w
		}
	}
	return best
}

// rebalance recalls shards from owners that have more than their part. It waits
// until the last change has settled. Which shards go is drawn by hash, so that
// all directories together recall the part that was meant.
func (d *Directory) rebalance(now time.Time, p *plan) {
	if len(p.give) == 0 || now.Sub(d.moved) < settleTime {
		return
	}
	for _, c := range d.recalls {
		if now.Sub(c.at) < recallTime {
			return
		}
	}
	clear(d.recalls)
	stored := d.storedGroups()
	claims := map[identity.Process][]membership.ShardEpoch{}
	draw := "recall/" + strconv.FormatUint(d.fleet.Index(), 10)
	for _, n := range d.set.layout.Groups(d.set.region) {
		if !p.mine[n] {
			continue
		}
		for _, route := range stored[n].Routes() {
			part := float64(membership.Rank(draw, strconv.Itoa(int(route.Shard())))) / math.MaxUint64
			if part >= p.give[route.Owner()] {
				continue
			}
			claims[route.Owner()] = append(claims[route.Owner()], membership.NewShardEpoch(route.Shard(), route.Epoch()))
			d.recalls[route.Shard()] = recalled{
				epoch: route.Epoch(),
				at:    now,
			}
		}
	}
	d.sendRecalls(d.survey(), claims)
}

func (d *Directory) sendRecalls(r region, claims map[identity.Process][]membership.ShardEpoch) {
	owners := make([]identity.Process, 0, len(claims))
	for p := range claims {
		owners = append(owners, p)
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i].String() < owners[j].String() })
	for _, p := range owners {
		d.emit(PeerAddress{
			member: r.live[p],
		})
		d.send(p, membership.NewRevokeRequest(claims[p]))
	}
}

// yield notes that an owner has stopped, or passes it on to the directory that
// assigns the group. The rosters are read again, since they must be newer.
func (d *Directory) yield(now time.Time, from identity.Process, y membership.ReleaseNotice) {
	p := d.planned()
	others := map[identity.Process][]membership.ShardEpoch{}
	for _, c := range y.Shards() {
		g := d.set.layout.Group(c.Shard())
		if p.mine[g] {
			d.yields[c.Shard()] = yielded{
				epoch: c.Epoch(),
				at:    now,
			}
			d.reread = true
			continue
		}
		if cell, ok := membership.Responsible(g, p.seats); ok {
			holder := cell.Holder().Process()
			others[holder] = append(others[holder], c)
		}
	}
	// What another directory passed on goes no further, or two directories with
	// different views would send it to and fro. The owner repeats it.
	if from != y.Owner() {
		return
	}
	for _, c := range p.seats {
		holder := c.Holder().Process()
		if claims := others[holder]; len(claims) > 0 && holder != d.set.self.Process() {
			d.send(holder, membership.NewReleaseNotice(y.Owner(), claims))
			delete(others, holder)
		}
	}
}
