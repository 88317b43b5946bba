package server

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/keyspace"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// read is one answer of the store: the keys that it has or that changed. A key that begins
// with - is a deletion, ? is an item of which nothing can be read, and a key that ends with !
// has a value that can't be read.
type read struct {
	keys     string
	revision int64
	whole    bool
}

// TestEvacuationReads guards against an evacuation that is missed, that outlives its key, or
// that ends because something beside it can't be read.
func TestEvacuationReads(t *testing.T) {
	tests := map[string]struct {
		reads  []read
		want   []string
		passed int64
		odd    int
		unsure bool
	}{
		"none":                  {reads: []read{{keys: "config", revision: 4, whole: true}}, passed: 4},
		"at_the_start":          {reads: []read{{keys: "zone/a zone/b", revision: 4, whole: true}}, want: []string{"a", "b"}, passed: 4},
		"begins":                {reads: []read{{revision: 4, whole: true}, {keys: "zone/a", revision: 6}}, want: []string{"a"}, passed: 6},
		"ends":                  {reads: []read{{keys: "zone/a", revision: 4, whole: true}, {keys: "-zone/a", revision: 9}}, passed: 9},
		"ends_and_begins":       {reads: []read{{keys: "zone/a", revision: 4, whole: true}, {keys: "-zone/a zone/a", revision: 9}}, want: []string{"a"}, passed: 9},
		"removed_unseen":        {reads: []read{{keys: "zone/a zone/b", revision: 4, whole: true}, {}, {keys: "zone/b", revision: 30, whole: true}}, want: []string{"b"}, passed: 30},
		"history_is_gone":       {reads: []read{{keys: "zone/a", revision: 4, whole: true}, {}}, want: []string{"a"}, passed: 4},
		"other_change":          {reads: []read{{keys: "zone/a", revision: 4, whole: true}, {keys: "config", revision: 7}}, want: []string{"a"}, passed: 4},
		"odd_value":             {reads: []read{{keys: "zone/a! zone/b", revision: 4, whole: true}}, want: []string{"a", "b"}, passed: 4, odd: 1},
		"no_zone":               {reads: []read{{keys: "zone/ zone/b", revision: 4, whole: true}}, want: []string{"b"}, passed: 4, odd: 1},
		"odd_item_in_a_list":    {reads: []read{{keys: "zone/a", revision: 4, whole: true}, {keys: "? zone/b", revision: 8, whole: true}}, want: []string{"a", "b"}, passed: 8},
		"odd_change_reads_anew": {reads: []read{{keys: "zone/a", revision: 4, whole: true}, {keys: "?", revision: 8}, {keys: "config", revision: 9}}, want: []string{"a"}, passed: 4, unsure: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the last set that is passed on is that of the store", t, func() {
				var got evacuation.Set
				odd := 0
				e := newEvacuations(Dependencies{
					OperatorsPrefix: "operators/",
					EvacuatedZone:   zoneOf,
				}, func(event.Note) { odd++ }, func(_ context.Context, s evacuation.Set) { got = s })
				for _, r := range tt.reads {
					e.apply(context.Background(), changesOf(r.keys), r.revision, r.whole)
				}
				So(got.Zones(), ShouldResemble, tt.want)
				So(got.Revision(), ShouldEqual, tt.passed)
				So(odd, ShouldEqual, tt.odd)
				So(e.unsure, ShouldEqual, tt.unsure)
			})
		})
	}
}

func zoneOf(i keyspace.Item) (string, error) {
	zone, ok := strings.CutPrefix(i.Key(), "zone/")
	switch {
	case !ok:
		return "", nil
	case zone == "":
		return "", errors.New("key without a zone")
	}
	return zone, i.Invalid()
}

func changesOf(keys string) []keyspace.Change {
	var changes []keyspace.Change
	for _, k := range strings.Fields(keys) {
		name, deleted := strings.CutPrefix(k, "-")
		i := keyspace.NewItem(name, nil, 1)
		if odd, ok := strings.CutSuffix(name, "!"); ok {
			i = keyspace.NewInvalidItem(odd, errors.New("odd"))
		}
		if name == "?" {
			i = keyspace.NewInvalidItem("", errors.New("odd"))
		}
		changes = append(changes, keyspace.NewChange(i, deleted))
	}
	return changes
}
