// Package evacuation holds which availability zones get no new work.
//
// Operators evacuate a zone before they work on it, while the load of all zones has to be
// carried by the others. Processes learn of it in different ways and at different times, so
// each set has the store revision that it was read at. The store has one set at each
// revision: of two sets, the one with the higher revision holds.
package evacuation

import "slices"

// The bounds of a set, which is part of frames.
const (
	// MaxZones bounds the zones of a set.
	MaxZones = 64
	// MaxZoneBytes bounds the name of a zone.
	MaxZoneBytes = 128
)

// Set is the set of evacuated availability zones at a revision of the store. The zero Set
// is that of a process that has not learned of any.
type Set struct {
	revision int64
	zones    []string
}

// New returns the set of zones at a revision. It leaves out names that are not Valid, and
// those beyond MaxZones in alphabetical order.
func New(revision int64, zones []string) Set {
	s := Set{
		revision: max(0, revision),
	}
	for _, z := range slices.Compact(slices.Sorted(slices.Values(zones))) {
		if Valid(z) && len(s.zones) < MaxZones {
			s.zones = append(s.zones, z)
		}
	}
	return s
}

// Valid reports whether a name can be that of an availability zone.
func Valid(zone string) bool {
	return zone != "" && len(zone) <= MaxZoneBytes
}

// Revision returns the store revision that the set was read at, 0 for the zero Set.
func (s Set) Revision() int64 {
	return s.revision
}

// Zones returns the evacuated zones in alphabetical order. The caller must not change them.
func (s Set) Zones() []string {
	return s.zones
}

// Has reports whether a zone is evacuated.
func (s Set) Has(zone string) bool {
	_, found := slices.BinarySearch(s.zones, zone)
	return found
}

// Newer reports whether s replaces o.
func (s Set) Newer(o Set) bool {
	return s.revision > o.revision
}

// SameZones reports whether both sets have the same zones.
func (s Set) SameZones(o Set) bool {
	return slices.Equal(s.zones, o.zones)
}

// News reports whether a process that has learned of o lacks s: s is newer, and has other
// zones or is the first set.
func (s Set) News(o Set) bool {
	return s.Newer(o) && (o.revision == 0 || !s.SameZones(o))
}

// Without returns the zones of s that o lacks.
func (s Set) Without(o Set) []string {
	var zones []string
	for _, z := range s.zones {
		if !o.Has(z) {
			zones = append(zones, z)
		}
	}
	return zones
}
