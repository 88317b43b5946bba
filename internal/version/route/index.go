package route

import (
	"maps"
	"slices"
)

// key is what tells two routes apart: the host, empty for any, and the path prefix.
type key struct {
	host   string
	prefix string
}

func (r Route) key() key {
	return key{
		host:   r.host,
		prefix: r.prefix,
	}
}

// index finds routes by looking up each prefix of a path that has the length of some
// route's prefix. Configurations have few lengths, however many routes.
type index struct {
	// positions has the position of each route in the version.
	positions map[key]int
	// lengths has the lengths of the prefixes, the longest first.
	lengths []int
}

func newIndex(routes []Route) index {
	x := index{
		positions: make(map[key]int, len(routes)),
	}
	lengths := map[int]bool{}
	for i, r := range routes {
		x.positions[r.key()] = i
		lengths[len(r.prefix)] = true
	}
	x.lengths = slices.Sorted(maps.Keys(lengths))
	slices.Reverse(x.lengths)
	return x
}

// find returns the position of the route of a host with the longest prefix of path.
func (x index) find(host, path string) (int, bool) {
	for _, n := range x.lengths {
		if n > len(path) {
			continue
		}
		own, ok := x.positions[key{
			host:   host,
			prefix: path[:n],
		}]
		shared, all := x.positions[key{
			prefix: path[:n],
		}]
		switch {
		case ok && all:
			return min(own, shared), true
		case ok:
			return own, true
		case all:
			return shared, true
		}
	}
	return 0, false
}
