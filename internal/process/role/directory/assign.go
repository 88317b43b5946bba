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
	// settleTime is the time without changes before shards move between active owners.
	// Without it, directories would counteract each other.
	settleTime = time.Second
	// revokeTimeout is the time after which a revocation is decided anew.
	revokeTimeout = 3 * time.Second
)

// region is the stored state of the region as an input of an assignment.
type region struct {
	active map[identity.Process]membership.Member
	// available are the active members that are not leaving.
	available []membership.Member
	// loads is the number of shards of each owner.
	loads map[identity.Process]int
	// reassign reports whether the shards of lost owners may move now.
	reassign bool
}

// member returns an owner with its address. The stored group has the address of an
// owner that is lost.
func (r region) member(g membership.Group, p identity.Process) membership.Member {
	if m, ok := r.active[p]; ok {
		return m
	}
	for _, m := range g.Owners() {
		if m.Process() == p {
			return m
		}
	}
	return membership.Member{}
}

func (d *Directory) regionState() region {
	r := region{
		active: map[identity.Process]membership.Member{},
		loads:  map[identity.Process]int{},
	}
	for _, c := range d.fleet.Region(d.settings.region) {
		for _, m := range c.ActiveMembers() {
			r.active[m.Process()] = m
			if !m.Leaving() {
				r.available = append(r.available, m)
			}
		}
	}
	own := map[int]bool{}
	for _, g := range d.settings.layout.Groups(d.settings.region) {
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

// plan is the work that a stored state implies for this directory. It is computed once
// per state, since it needs a hash for each pair of group and cell.
type plan struct {
	// heldCells are the cells with a directory.
	heldCells []membership.Cell
	// ownGroups are the groups that this directory assigns.
	ownGroups map[int]bool
	// unowned reports that some shards have no owner, or a lost one.
	unowned bool
	// releaseShare is the fraction of its shards that each owner has to release.
	releaseShare map[identity.Process]float64
}

// currentPlan returns the plan for the latest stored state. It skips cells without a
// directory, so that their groups do not wait for one. Two directories with different
// views may both assign a group; the compare-and-swap lets only one succeed.
func (d *Directory) currentPlan() *plan {
	if d.plan != nil {
		return d.plan
	}
	p := &plan{
		ownGroups: map[int]bool{},
	}
	d.plan = p
	for _, c := range d.fleet.Region(d.settings.region) {
		if !c.Holder().Process().IsZero() {
			p.heldCells = append(p.heldCells, c)
		}
	}
	for _, g := range d.settings.layout.Groups(d.settings.region) {
		c, ok := membership.Responsible(g, p.heldCells)
		if h, held := d.cells[c.Name()]; ok && held && h.termWritten {
			p.ownGroups[g] = true
		}
	}
	if len(p.ownGroups) == 0 {
		return p
	}
	r := d.regionState()
	stored := d.storedGroups()
	for g := range p.ownGroups {
		routes := stored[g].Routes()
		p.unowned = p.unowned || len(routes) == 0
		for _, route := range routes {
			_, active := r.active[route.Owner()]
			p.unowned = p.unowned || !active
		}
	}
	p.releaseShare = d.releaseShare(r)
	return p
}

// releaseShare returns the fraction of its shards that each owner has to release.
// Owners with far more shards than the mean release their excess. While other owners
// have less than a quarter of the mean, owners above the mean release some as well.
// Smaller differences are tolerated, since directories that assign concurrently never
// reach an even split.
func (d *Directory) releaseShare(r region) map[identity.Process]float64 {
	if len(r.available) == 0 {
		return nil
	}
	mean := d.settings.layout.ShardsPerRegion() / len(r.available)
	limit := (d.settings.layout.ShardsPerRegion() + len(r.available) - 1) / len(r.available)
	need, surplus := 0, 0
	for _, m := range r.available {
		n := r.loads[m.Process()]
		if 4*n < mean {
			need += mean - n
		}
		surplus += max(n-mean, 0)
	}
	releaseShare := map[identity.Process]float64{}
	for _, m := range r.available {
		n := r.loads[m.Process()]
		var excess float64
		if n > limit+limit/2+3 {
			excess = float64(n - limit)
		} else if need > 0 && n > mean {
			excess = float64(need) * float64(n-mean) / float64(max(surplus, need))
		}
		if excess > 0 {
			releaseShare[m.Process()] = excess / float64(n)
		}
	}
	return releaseShare
}

func (d *Directory) storedGroups() map[int]membership.Group {
	stored := map[int]membership.Group{}
	for _, g := range d.fleet.Groups() {
		stored[g.Number()] = g
	}
	return stored
}

// assign returns the groups with new owners. If no shard is unowned or released, it
// revokes shards from owners that have too many.
func (d *Directory) assign(now time.Time) []membership.Group {
	p := d.currentPlan()
	if !p.unowned && len(d.releases) == 0 {
		d.rebalance(now, p)
		return nil
	}
	r := d.regionState()
	r.reassign = d.mayReassign(now)
	stored := d.storedGroups()
	var groups []membership.Group
	for _, n := range d.settings.layout.Groups(d.settings.region) {
		if !p.ownGroups[n] {
			continue
		}
		if g, ok := d.assignGroup(r, stored[n], n); ok {
			groups = append(groups, g)
		}
	}
	return groups
}

// assignGroup assigns the unowned shards of a group to active agents. It returns false
// if nothing changes.
func (d *Directory) assignGroup(r region, g membership.Group, number int) (membership.Group, bool) {
	known := map[identity.Shard]membership.Route{}
	for _, route := range g.Routes() {
		known[route.Shard()] = route
	}
	changed := false
	var routes []membership.Route
	owners := map[identity.Process]membership.Member{}
	for _, s := range d.settings.layout.Shards(number) {
		route := known[s]
		if d.isUnowned(r, s, route) {
			owner := d.chooseOwner(r, s, route.Owner())
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
	// The listed state contains the loss of the previous owners or was read after they
	// stopped, so its member lists contain every agent that can have records.
	return membership.NewGroup(number, d.writeID(), d.fleet.Index(), routes, list).WithIndex(g.Index()), true
}

// isUnowned reports whether nothing can be started anymore under a route.
func (d *Directory) isUnowned(r region, s identity.Shard, route membership.Route) bool {
	if route.Owner().IsZero() {
		return true
	}
	if _, active := r.active[route.Owner()]; !active {
		return r.reassign
	}
	released, ok := d.releases[s]
	return ok && released.epoch == route.Epoch() && !d.readSentAt.Before(released.at)
}

// chooseOwner returns the highest-ranked of the agents with few shards. It returns the
// previous owner only if no other agent is available, and the zero process if none is.
func (d *Directory) chooseOwner(r region, s identity.Shard, previous identity.Process) identity.Process {
	least := -1
	for _, m := range r.available {
		if n := r.loads[m.Process()]; m.Process() != previous && (least < 0 || n < least) {
			least = n
		}
	}
	if least < 0 {
		if len(r.available) > 0 {
			return previous
		}
		return identity.Process{}
	}
	limit := least + d.settings.layout.ShardsPerRegion()/len(r.available)/4
	subject := "shard/" + strconv.Itoa(int(s))
	var best identity.Process
	var rank uint64
	for _, m := range r.available {
		p := m.Process()
		if p == previous || r.loads[p] > limit {
			continue
		}
		if w := membership.Rank(subject, p.Name()); best.IsZero() || w > rank {
			best, rank = p, w
		}
	}
	return best
}

// rebalance revokes shards from owners that have too many. It waits until settleTime
// after the last change. Shards are selected by hash, so that all directories together
// revoke the intended fraction.
func (d *Directory) rebalance(now time.Time, p *plan) {
	if len(p.releaseShare) == 0 || now.Sub(d.changedAt) < settleTime {
		return
	}
	for _, revoked := range d.revokes {
		if now.Sub(revoked.at) < revokeTimeout {
			return
		}
	}
	clear(d.revokes)
	stored := d.storedGroups()
	shards := map[identity.Process][]membership.ShardEpoch{}
	subject := "recall/" + strconv.FormatUint(d.fleet.Index(), 10)
	for _, n := range d.settings.layout.Groups(d.settings.region) {
		if !p.ownGroups[n] {
			continue
		}
		for _, route := range stored[n].Routes() {
			fraction := float64(membership.Rank(subject, strconv.Itoa(int(route.Shard())))) / math.MaxUint64
			if fraction >= p.releaseShare[route.Owner()] {
				continue
			}
			shards[route.Owner()] = append(shards[route.Owner()], membership.NewShardEpoch(route.Shard(), route.Epoch()))
			d.revokes[route.Shard()] = revokedShard{
				epoch: route.Epoch(),
				at:    now,
			}
		}
	}
	d.sendRevokeRequests(d.regionState(), shards)
}

func (d *Directory) sendRevokeRequests(r region, shards map[identity.Process][]membership.ShardEpoch) {
	owners := make([]identity.Process, 0, len(shards))
	for p := range shards {
		owners = append(owners, p)
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i].String() < owners[j].String() })
	for _, p := range owners {
		d.emit(PeerAddress{
			member: r.active[p],
		})
		d.send(p, membership.NewRevokeRequest(shards[p]))
	}
}

// handleReleaseNotice records the released shards of the groups that this directory
// assigns and forwards the others to the responsible directories. It triggers a read of
// the member lists, which must be newer than the release.
func (d *Directory) handleReleaseNotice(now time.Time, from identity.Process, n membership.ReleaseNotice) {
	p := d.currentPlan()
	others := map[identity.Process][]membership.ShardEpoch{}
	for _, c := range n.Shards() {
		g := d.settings.layout.Group(c.Shard())
		if p.ownGroups[g] {
			d.releases[c.Shard()] = releasedShard{
				epoch: c.Epoch(),
				at:    now,
			}
			d.reread = true
			continue
		}
		if cell, ok := membership.Responsible(g, p.heldCells); ok {
			holder := cell.Holder().Process()
			others[holder] = append(others[holder], c)
		}
	}
	// A forwarded notice is not forwarded again, or two directories with different
	// views would exchange it forever. The owner repeats the notice.
	if from != n.Owner() {
		return
	}
	for _, c := range p.heldCells {
		holder := c.Holder().Process()
		if shards := others[holder]; len(shards) > 0 && holder != d.settings.self.Process() {
			d.send(holder, membership.NewReleaseNotice(n.Owner(), shards))
			delete(others, holder)
		}
	}
}
