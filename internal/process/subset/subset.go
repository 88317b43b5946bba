// Package subset chooses the entries that a process keeps connections to.
//
// If each agent were connected to each entry, the cost of idle connections would grow
// with the product of their numbers. So each process keeps a bounded number of
// connections, most of them in its own availability zone, and the others elsewhere, so
// that a zone that is short of targets can use those of the others.
//
// The choice is made by rendezvous hashing: a process orders the entries by a hash of
// its own name and theirs and takes the first ones. All processes that know the same
// entries know each other's choice without talking, the choices of different processes
// spread evenly, and an entry that comes or goes changes only the choices in which it
// is or was. An entry that can't be reached stays in the order, and the next one is
// taken as well until it can.
package subset

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// State is what a process knows of an entry's connection.
type State int

const (
	// StateUnproven is an entry whose connection has not been tried, is being opened or
	// is new.
	StateUnproven State = iota
	// StateFailing is an entry that can't be reached.
	StateFailing
	// StateSettled is an entry whose connection has been open for some time.
	StateSettled
)

// Member is an entry that may be chosen.
type Member struct {
	address string
	zone    string
	hash    uint64
	state   State
}

// NewMember returns an entry with its address and availability zone. The zone is empty
// if it is not known, which counts as another one.
func NewMember(address, zone string) Member {
	return Member{
		address: address,
		zone:    zone,
		hash:    hashOf(address),
	}
}

// WithState returns the member with the state of its connection.
func (m Member) WithState(s State) Member {
	m.state = s
	return m
}

func (m Member) Address() string {
	return m.address
}

func (m Member) Zone() string {
	return m.zone
}

// CountAsOwn returns the members as a process chooses among them while zones are evacuated.
// The targets of such a zone take no work, so its entries would be left with the few
// connections from elsewhere. Processes of the other zones count them among those of their
// own, which spreads their connections over both.
func CountAsOwn(self Member, members []Member, evacuated func(zone string) bool) []Member {
	if evacuated(self.zone) {
		return members
	}
	list := slices.Clone(members)
	for i, m := range list {
		if evacuated(m.zone) {
			list[i].zone = self.zone
		}
	}
	return list
}

// Size bounds the connections of a process.
type Size struct {
	ownZone int
	total   int
}

// NewSize returns the number of connections of a process, and how many of them are kept
// in its own availability zone if others are to be had elsewhere.
func NewSize(ownZone, total int) Size {
	return Size{
		ownZone: ownZone,
		total:   total,
	}
}

// Choice is the result of a choice.
type Choice struct {
	dial map[string]bool
	keep map[string]bool
}

// Dial reports whether a connection to an address is to be opened.
func (c Choice) Dial(address string) bool {
	return c.dial[address]
}

// Keep reports whether an open connection to an address is kept. One that is not to be
// dialed any more is kept until enough of the others have settled.
func (c Choice) Keep(address string) bool {
	return c.keep[address]
}

// Len returns the number of connections to be opened.
func (c Choice) Len() int {
	return len(c.dial)
}

// Equal reports whether the same connections are to be opened.
func (c Choice) Equal(o Choice) bool {
	return maps.Equal(c.dial, o.dial)
}

// Choose returns the choice of a process among the other entries.
func (s Size) Choose(self Member, members []Member) Choice {
	own, other := s.order(self, members)
	c := Choice{
		dial: map[string]bool{},
		keep: map[string]bool{},
	}
	// The entries that would be chosen if all could be reached are dialed in any case, so
	// that one that has returned is noticed.
	always := func(Member) bool { return true }
	reachable := func(m Member) bool { return m.state != StateFailing }
	settled := func(m Member) bool { return m.state == StateSettled }
	ownLimit, otherLimit := s.limits(len(own), len(other))
	take(own, ownLimit, always, c.dial, c.keep)
	take(other, otherLimit, always, c.dial, c.keep)
	ownLimit, otherLimit = s.limits(count(own, reachable), count(other, reachable))
	take(own, ownLimit, reachable, c.dial, c.keep)
	take(other, otherLimit, reachable, c.dial, c.keep)
	ownLimit, otherLimit = s.limits(count(own, settled), count(other, settled))
	take(own, ownLimit, settled, c.keep)
	take(other, otherLimit, settled, c.keep)
	return c
}

// limits returns how many of the entries of the own zone and of the others are chosen. A
// place that one of the two can't fill goes to the other.
func (s Size) limits(own, other int) (ownLimit, otherLimit int) {
	ownLimit = max(s.ownZone, s.total-other)
	return ownLimit, s.total - min(own, ownLimit)
}

// order returns the entries of the own zone and the others in the order of self.
func (s Size) order(self Member, members []Member) (own, other []Member) {
	for _, m := range members {
		if m.zone == self.zone {
			own = append(own, m)
		} else {
			other = append(other, m)
		}
	}
	first := func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(self, b), score(self, a)), cmp.Compare(a.address, b.address))
	}
	slices.SortFunc(own, first)
	slices.SortFunc(other, first)
	return own, other
}

// take adds to the sets the first entries until limit of them count.
func take(ordered []Member, limit int, counts func(Member) bool, sets ...map[string]bool) {
	taken := 0
	for _, m := range ordered {
		if taken >= limit {
			return
		}
		for _, set := range sets {
			set[m.address] = true
		}
		if counts(m) {
			taken++
		}
	}
}

func count(members []Member, counts func(Member) bool) int {
	n := 0
	for _, m := range members {
		if counts(m) {
			n++
		}
	}
	return n
}

// ChosenBy returns the addresses of the entries that choose self, if all of them can
// reach each other.
func (s Size) ChosenBy(self Member, members []Member) map[string]bool {
	zones := map[string]int{
		self.zone: 1,
	}
	for _, m := range members {
		zones[m.zone]++
	}
	chosen := map[string]bool{}
	for _, m := range members {
		own := zones[m.zone] - 1
		limit, otherLimit := s.limits(own, len(members)-own)
		if m.zone != self.zone {
			limit = otherLimit
		}
		if Rank(m, self, members) < limit {
			chosen[m.address] = true
		}
	}
	return chosen
}

// Rank returns the place of a member in the order of a process, from 0, among the
// members of its own zone or among all others.
func Rank(process, member Member, members []Member) int {
	own := member.zone == process.zone
	rank := 0
	at := score(process, member)
	for _, m := range members {
		if m.address == process.address || m.address == member.address || (m.zone == process.zone) != own {
			continue
		}
		if s := score(process, m); s > at || s == at && m.address < member.address {
			rank++
		}
	}
	return rank
}

// score returns the weight of a member in the order of a process.
func score(process, member Member) uint64 {
	return mix(process.hash ^ mix(member.hash))
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return mix(h.Sum64())
}

// mix spreads the bits of similar texts' hashes. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
