package subset_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/subset"
)

// fleet returns entries that are spread evenly over availability zones.
func fleet(entries, zones int) []subset.Member {
	var list []subset.Member
	for i := range entries {
		list = append(list, subset.NewMember(fmt.Sprintf("10.%d.0.%d:7720", i%zones, i), zone(i%zones)))
	}
	return list
}

func zone(i int) string {
	return fmt.Sprintf("zone_%d", i)
}

func withStates(members []subset.Member, state func(i int) subset.State) []subset.Member {
	var list []subset.Member
	for i, m := range members {
		list = append(list, m.WithState(state(i)))
	}
	return list
}

func chosen(c subset.Choice, members []subset.Member, inZone func(string) bool) (dial, keep int) {
	for _, m := range members {
		if !inZone(m.Zone()) {
			continue
		}
		if c.Dial(m.Address()) {
			dial++
		}
		if c.Keep(m.Address()) {
			keep++
		}
	}
	return dial, keep
}

// TestChoose guards against connections whose number grows with the fleet, and against
// an agent that keeps too few since one zone has few entries or can't be reached.
func TestChoose(t *testing.T) {
	failingZone := func(zones, failing int) func(int) subset.State {
		return func(i int) subset.State {
			if i%zones == failing {
				return subset.StateFailing
			}
			return subset.StateSettled
		}
	}
	unproven := func(int) subset.State { return subset.StateUnproven }
	tests := map[string]struct {
		entries int
		zones   int
		state   func(int) subset.State
		own     int
		other   int
	}{
		"one_a_zone":         {entries: 3, zones: 3, state: unproven, own: 1, other: 2},
		"eleven_entries":     {entries: 11, zones: 3, state: unproven, own: 4, other: 4},
		"one_zone":           {entries: 40, zones: 1, state: unproven, own: 8},
		"55_entries":         {entries: 55, zones: 5, state: unproven, own: 5, other: 3},
		"330_entries":        {entries: 330, zones: 7, state: unproven, own: 5, other: 3},
		"own_zone_is_lost":   {entries: 55, zones: 5, state: failingZone(5, 0), own: 11, other: 8},
		"other_zone_is_lost": {entries: 22, zones: 2, state: failingZone(2, 1), own: 8, other: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the choice has its size, and replaces entries that fail", t, func() {
				members := withStates(fleet(tt.entries, tt.zones), tt.state)
				c := subset.NewSize(5, 8).Choose(subset.NewMember("agent_1", zone(0)), members)
				own, _ := chosen(c, members, func(z string) bool { return z == zone(0) })
				other, _ := chosen(c, members, func(z string) bool { return z != zone(0) })
				So(own, ShouldEqual, tt.own)
				So(other, ShouldEqual, tt.other)
			})
		})
	}
}

// TestSpread guards against an entry that few agents choose: it would refuse work while
// the targets of others have room.
func TestSpread(t *testing.T) {
	tests := map[string]struct {
		entries int
		agents  int
		zones   int
	}{
		"295_hosts":   {entries: 55, agents: 240, zones: 5},
		"1800_hosts":  {entries: 330, agents: 1440, zones: 7},
		"uneven_zone": {entries: 31, agents: 120, zones: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("each entry has between half and twice the mean of agents", t, func() {
				members := fleet(tt.entries, tt.zones)
				agents := map[string]int{}
				total := 0
				for i := range tt.agents {
					c := subset.NewSize(5, 8).Choose(subset.NewMember(fmt.Sprintf("agent-%d-%d", i%tt.zones, i), zone(i%tt.zones)), members)
					for _, m := range members {
						if c.Dial(m.Address()) {
							agents[m.Address()]++
							total++
						}
					}
				}
				mean := total / tt.entries
				So(total, ShouldEqual, 8*tt.agents)
				for _, m := range members {
					So(agents[m.Address()], ShouldBeBetween, mean/2, 2*mean)
				}
			})
		})
	}
}

// TestChange guards against an entry that comes or goes and moves the connections
// between others, and against a connection that is closed before its successor has
// settled.
func TestChange(t *testing.T) {
	size := subset.NewSize(5, 8)
	self := subset.NewMember("agent_1", zone(0))
	settledBut := func(address string) func([]subset.Member) []subset.Member {
		return func(members []subset.Member) []subset.Member {
			var list []subset.Member
			for _, m := range members {
				if m.Address() != address {
					m = m.WithState(subset.StateSettled)
				}
				list = append(list, m)
			}
			return list
		}
	}
	Convey("an entry that leaves is replaced by one", t, func() {
		members := fleet(55, 5)
		before := size.Choose(self, members)
		for i, m := range members {
			rest := append(append([]subset.Member(nil), members[:i]...), members[i+1:]...)
			after := size.Choose(self, rest)
			changed := 0
			for _, x := range rest {
				if before.Dial(x.Address()) != after.Dial(x.Address()) {
					changed++
				}
			}
			if before.Dial(m.Address()) {
				So(changed, ShouldEqual, 1)
			} else {
				So(changed, ShouldEqual, 0)
			}
		}
	})
	Convey("the connection that a new entry replaces is kept until the new one has settled", t, func() {
		members := fleet(55, 5)
		without := size.Choose(self, members[1:])
		for i, m := range members {
			rest := append(append([]subset.Member(nil), members[:i]...), members[i+1:]...)
			old := size.Choose(self, rest)
			now := size.Choose(self, settledBut(m.Address())(members))
			if !now.Dial(m.Address()) {
				continue
			}
			for _, x := range rest {
				if old.Dial(x.Address()) {
					So(now.Keep(x.Address()), ShouldBeTrue)
				}
			}
			then := size.Choose(self, settledBut("")(members))
			kept := 0
			for _, x := range members {
				if then.Keep(x.Address()) {
					kept++
				}
			}
			So(kept, ShouldEqual, 8)
		}
		So(without.Len(), ShouldEqual, 8)
	})
}

// TestCountAsOwn guards against entries of an evacuated zone that are left with few working
// agents, and against a change of zones that opens connections in numbers.
func TestCountAsOwn(t *testing.T) {
	tests := map[string]struct {
		entries   int
		agents    int
		zones     int
		evacuated map[string]bool
	}{
		"85_hosts":         {entries: 13, agents: 72, zones: 3, evacuated: map[string]bool{zone(0): true}},
		"85_hosts_2_zones": {entries: 13, agents: 72, zones: 3, evacuated: map[string]bool{zone(0): true, zone(1): true}},
		"295_hosts":        {entries: 55, agents: 240, zones: 5, evacuated: map[string]bool{zone(1): true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("entries have as many working agents in the zone as elsewhere, and agents change few connections", t, func() {
				members := fleet(tt.entries, tt.zones)
				isEvacuated := func(zone string) bool { return tt.evacuated[zone] }
				size := subset.NewSize(5, 8)
				working := map[string]int{}
				opened, most, agents := 0, 0, 0
				for i := range tt.agents {
					self := subset.NewMember(fmt.Sprintf("agent_%d", i), zone(i%tt.zones))
					if tt.evacuated[self.Zone()] {
						So(subset.CountAsOwn(self, members, isEvacuated), ShouldResemble, members)
						continue
					}
					agents++
					before := size.Choose(self, members)
					after := size.Choose(self, subset.CountAsOwn(self, members, isEvacuated))
					So(after.Len(), ShouldEqual, before.Len())
					n := 0
					for _, m := range members {
						if after.Dial(m.Address()) {
							working[m.Address()]++
						}
						if after.Dial(m.Address()) && !before.Dial(m.Address()) {
							n++
						}
					}
					opened += n
					most = max(most, n)
				}
				mean := float64(8*agents) / float64(tt.entries)
				for _, m := range members {
					if tt.evacuated[m.Zone()] {
						So(working[m.Address()], ShouldBeGreaterThan, mean*0.6)
					}
				}
				So(most, ShouldBeLessThanOrEqualTo, 5)
				So(float64(opened)/float64(agents), ShouldBeLessThan, 3)
			})
		})
	}
}

// TestChosenBy guards against two entries that disagree on whether they are connected.
func TestChosenBy(t *testing.T) {
	size := subset.NewSize(2, 4)
	for _, n := range []int{2, 3, 11, 55} {
		t.Run(fmt.Sprint(n, "_entries"), func(t *testing.T) {
			Convey("an entry is told by those that choose it, and the entries form one graph", t, func() {
				members := fleet(n, 5)
				others := func(i int) []subset.Member {
					return append(append([]subset.Member(nil), members[:i]...), members[i+1:]...)
				}
				links := map[string][]string{}
				for i, a := range members {
					byOthers := size.ChosenBy(a, others(i))
					for j, b := range members {
						if i == j {
							continue
						}
						So(byOthers[b.Address()], ShouldEqual, size.Choose(b, others(j)).Dial(a.Address()))
						if byOthers[b.Address()] {
							links[a.Address()] = append(links[a.Address()], b.Address())
							links[b.Address()] = append(links[b.Address()], a.Address())
						}
					}
				}
				So(reach(links, members[0].Address()), ShouldEqual, n)
			})
		})
	}
}

// reach returns how many entries are connected to one of them, itself included.
func reach(links map[string][]string, from string) int {
	seen := map[string]bool{
		from: true,
	}
	for next := []string{from}; len(next) > 0; next = next[1:] {
		for _, a := range links[next[0]] {
			if !seen[a] {
				seen[a] = true
				next = append(next, a)
			}
		}
	}
	return len(seen)
}

func ExampleSize_Choose() {
	entries := []subset.Member{
		subset.NewMember("10.0.0.1:7720", "a"),
		subset.NewMember("10.0.0.2:7720", "a"),
		subset.NewMember("10.0.1.1:7720", "b"),
		subset.NewMember("10.0.1.2:7720", "b"),
	}
	c := subset.NewSize(1, 2).Choose(subset.NewMember("agent_1", "a"), entries)
	fmt.Println(c.Len(), c.Dial("10.0.0.1:7720") != c.Dial("10.0.0.2:7720"), c.Dial("10.0.1.1:7720") != c.Dial("10.0.1.2:7720"))
	// Output: 2 true true
}
