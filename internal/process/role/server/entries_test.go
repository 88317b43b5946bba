package server

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/keyspace"
)

// TestPeersFromItems guards against an odd item that ends a process, takes the others
// down, or is dialed.
func TestPeersFromItems(t *testing.T) {
	good := keyspace.NewItem(entriesPrefix+"entry_1", []byte("10.0.0.1:7400"), 3)
	tests := map[string]struct {
		key   string
		value string
		cause error
		want  string
		zone  string
	}{
		"good":              {key: entriesPrefix + "entry_2", value: "10.0.0.2:7400", want: "10.0.0.2:7400"},
		"other_spelling":    {key: entriesPrefix + "entry_2", value: "[::ffff:10.0.0.2]:7400", want: "10.0.0.2:7400"},
		"with_zone":         {key: entriesPrefix + "entry_2", value: "10.0.0.2:7400 zone_a", want: "10.0.0.2:7400", zone: "zone_a"},
		"odd_zone":          {key: entriesPrefix + "entry_2", value: "10.0.0.2:7400 \x00 \xff", want: "10.0.0.2:7400", zone: "\x00 \xff"},
		"long_zone":         {key: entriesPrefix + "odd", value: "10.0.0.2:7400 " + strings.Repeat("z", 129)},
		"zone_alone":        {key: entriesPrefix + "odd", value: " zone_a"},
		"unreadable":        {key: entriesPrefix + "entry_2", cause: errors.New("can't be read")},
		"no_key":            {value: "10.0.0.2:7400"},
		"short_key":         {key: "green", value: "10.0.0.2:7400"},
		"no_name":           {key: entriesPrefix, value: "10.0.0.2:7400"},
		"port_out_of_range": {key: entriesPrefix + "odd", value: "10.0.0.2:70000"},
		"number":            {key: entriesPrefix + "odd", value: "99999999999999999999"},
		"nested":            {key: entriesPrefix + "odd", value: strings.Repeat("[", 1<<20)},
		"empty":             {key: entriesPrefix + "odd"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the other entries are followed, the odd one is logged", t, func() {
				odd := keyspace.NewItem(tt.key, []byte(tt.value), 4)
				if tt.cause != nil {
					odd = keyspace.NewInvalidItem(tt.key, tt.cause)
				}
				var notes []event.Note
				peers := peersFromItems([]keyspace.Item{good, odd, good}, func(n event.Note) { notes = append(notes, n) })
				want := []frame.Peer{frame.NewPeer("entry_1", "10.0.0.1:7400"), frame.NewPeer("entry_1", "10.0.0.1:7400")}
				if tt.want == "" {
					So(peers, ShouldResemble, want)
					So(notes, ShouldHaveLength, 1)
					So(notes[0].Name(), ShouldEqual, event.ValueInvalid)
					So(notes[0].Subject(), ShouldEqual, "key "+tt.key)
					return
				}
				So(notes, ShouldBeEmpty)
				So(peers, ShouldResemble, []frame.Peer{want[0], frame.NewPeer("entry_2", tt.want).InZone(tt.zone), want[1]})
			})
		})
	}
}

// TestPeersAreBounded guards against a list of entries that exceeds a frame.
func TestPeersAreBounded(t *testing.T) {
	Convey("no more than maxPeers entries are followed", t, func() {
		var items []keyspace.Item
		for i := range 20_000 {
			items = append(items, keyspace.NewItem(fmt.Sprintf("%s%s%d", entriesPrefix, strings.Repeat("x", 170), i), []byte("[fd00::1234:5678:9abc:def0]:65535"), 4))
		}
		f := frame.Frame{
			Peers: peersFromItems(items, func(event.Note) {}),
		}
		So(f.Peers, ShouldHaveLength, maxPeers)
		So(len(frame.Encode(f)), ShouldBeLessThan, frame.MaxBytes)
	})
}

// TestPollOperators guards against an odd item beside the configuration that hides it, and
// against a deletion that is read as a value.
func TestPollOperators(t *testing.T) {
	tests := map[string]struct {
		prefix  string
		changes []keyspace.Change
		want    []string
		watched string
	}{
		"value":                  {changes: []keyspace.Change{keyspace.NewChange(keyspace.NewItem("op/config", []byte("a"), 3), false)}, want: []string{"op/config"}},
		"deletion":               {changes: []keyspace.Change{keyspace.NewChange(keyspace.NewItem("op/config", nil, 3), true)}},
		"beside_odd":             {changes: []keyspace.Change{keyspace.NewChange(keyspace.NewInvalidItem("", errors.New("odd")), false), keyspace.NewChange(keyspace.NewItem("op/config", []byte("a"), 3), false)}, want: []string{"", "op/config"}},
		"evacuations_are_served": {prefix: "op/", watched: "op/"},
		"other_key":              {changes: []keyspace.Change{keyspace.NewChange(keyspace.NewItem("op/other", []byte("a"), 3), false)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("each value of the key is passed on, and each odd item logged", t, func() {
				var got []string
				watched := ""
				w := configurationWatch{
					deps: Dependencies{
						ConfigurationKey: "op/config",
						OperatorsPrefix:  tt.prefix,
						Store: keyspace.Store{
							Watch: func(_ context.Context, prefix string, _ int64, _ time.Duration) ([]keyspace.Change, int64, error) {
								watched = prefix
								return tt.changes, 9, nil
							},
						},
					},
					clock: func() time.Duration { return 0 },
					log:   func(event.Note) { got = append(got, "") },
					read:  func(context.Context, undecoded) { got = append(got, "op/config") },
				}
				changes, next, err := pollOperators(context.Background(), w.deps, 2)
				So(err, ShouldBeNil)
				So(next, ShouldEqual, 9)
				for _, c := range changes {
					w.pass(context.Background(), c, 0, false)
				}
				So(got, ShouldResemble, tt.want)
				So(watched, ShouldEqual, cmp.Or(tt.watched, "op/config"))
			})
		})
	}
}
