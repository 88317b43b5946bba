package evacuation_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// TestSet guards against a process that goes back to an earlier set, or that does not tell
// another one of a set that it lacks.
func TestSet(t *testing.T) {
	tests := map[string]struct {
		set, known  evacuation.Set
		newer, news bool
	}{
		"both_unknown":      {},
		"first_and_empty":   {set: evacuation.New(5, nil), newer: true, news: true},
		"unknown_after_set": {known: evacuation.New(5, []string{"a"})},
		"begins":            {set: evacuation.New(6, []string{"a"}), known: evacuation.New(5, nil), newer: true, news: true},
		"ends":              {set: evacuation.New(7, nil), known: evacuation.New(6, []string{"a"}), newer: true, news: true},
		"older":             {set: evacuation.New(5, nil), known: evacuation.New(6, []string{"a"})},
		"same_zones":        {set: evacuation.New(9, []string{"b", "a", "b"}), known: evacuation.New(6, []string{"a", "b"}), newer: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the higher revision holds, and other zones are news", t, func() {
				So(tt.set.Newer(tt.known), ShouldEqual, tt.newer)
				So(tt.set.News(tt.known), ShouldEqual, tt.news)
			})
		})
	}
}

// TestBounds guards against names that do not fit into a frame, and against too many.
func TestBounds(t *testing.T) {
	var many []string
	for i := range 2 * evacuation.MaxZones {
		many = append(many, fmt.Sprintf("zone_%03d", i))
	}
	tests := map[string]struct {
		zones []string
		want  int
	}{
		"none":  {},
		"odd":   {zones: []string{"", strings.Repeat("z", evacuation.MaxZoneBytes+1), "a"}, want: 1},
		"twice": {zones: []string{"a", "a"}, want: 1},
		"many":  {zones: many, want: evacuation.MaxZones},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("only usable names are kept", t, func() {
				s := evacuation.New(1, tt.zones)
				So(s.Zones(), ShouldHaveLength, tt.want)
				So(s.Has(""), ShouldBeFalse)
				So(evacuation.New(2, nil).Without(s), ShouldBeEmpty)
				So(s.Without(evacuation.New(2, nil)), ShouldHaveLength, tt.want)
			})
		})
	}
}
