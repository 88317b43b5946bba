package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// newTestLinks returns a duty without a process, at 127.0.0.1:7400.
func newTestLinks(t *testing.T) (*links, *[]event.Note) {
	r, err := ring.New[any]("links", ringSize)
	if err != nil {
		t.Fatal(err)
	}
	var notes []event.Note
	return &links{
		self:       "127.0.0.1:7400",
		handlers:   stream.Handlers{},
		logEvent:   func(event.Name, ...event.Field) {},
		logState:   func(n event.Note) { notes = append(notes, n) },
		ring:       r,
		endpoints:  map[string]*endpoint{},
		shouldDial: func(string) bool { return true },
		dialsLeft:  maxDialsPerTick,
	}, &notes
}

// TestAnnouncedAddresses guards against an address that can't be dialed, against two
// connections to one entry, and against a connection of a process to itself.
func TestAnnouncedAddresses(t *testing.T) {
	tests := map[string]struct {
		address string
		known   int
		logged  int
	}{
		"good":              {address: "127.0.0.3:7400", known: 2},
		"same":              {address: "127.0.0.2:7400", known: 1},
		"same_other_text":   {address: "[::ffff:127.0.0.2]:7400", known: 1},
		"own":               {address: "127.0.0.1:7400", known: 1},
		"own_other_text":    {address: "[::ffff:127.0.0.1]:7400", known: 1},
		"port_out_of_range": {address: "127.0.0.3:70000", known: 1, logged: 1},
		"empty":             {known: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("only other processes' addresses are known, each once", t, func() {
				l, notes := newTestLinks(t)
				l.receive(peersSeen{
					peers: []frame.Peer{frame.NewPeer("a", "127.0.0.2:7400"), frame.NewPeer("b", tt.address)},
				})
				So(l.endpoints, ShouldHaveLength, tt.known)
				So(*notes, ShouldHaveLength, tt.logged)
			})
		})
	}
}

// TestDialsAreBounded guards against as many connections at once as another writer
// announces addresses, and against entries that wait behind them.
func TestDialsAreBounded(t *testing.T) {
	Convey("few connections are opened at once, known entries first", t, func() {
		l, _ := newTestLinks(t)
		var peers []frame.Peer
		for i := range 3 * maxEndpoints {
			peers = append(peers, frame.NewPeer("", fmt.Sprintf("127.1.%d.%d:9", i>>8, i&255)))
		}
		l.addAddress("127.9.9.9:7400", true)
		l.receive(peersSeen{
			peers: peers,
		})
		So(l.endpoints, ShouldHaveLength, maxEndpoints)
		l.endpoints[fmt.Sprintf("127.1.%d.%d:9", 1, 200)].reached = true
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		l.dial(ctx)
		dialed := 0
		for _, p := range l.endpoints {
			if p.dialing {
				dialed++
			}
		}
		So(dialed, ShouldEqual, maxDialsPerTick+2)
		for range 10 {
			l.dialsLeft = maxDialsPerTick
			l.dial(ctx)
		}
		dialed = 0
		for _, p := range l.endpoints {
			if p.dialing {
				dialed++
			}
		}
		So(dialed, ShouldEqual, maxOpening)
		So(l.endpoints["127.9.9.9:7400"].dialing, ShouldBeTrue)
		So(l.endpoints["127.1.1.200:9"].dialing, ShouldBeTrue)
		l.dial(ctx)
		l.receive(connectionOpened{
			address: "127.9.9.9:7400",
		})
		l.receive(connectionEnded{
			address: "127.1.1.200:9",
			lasted:  time.Millisecond,
		})
		l.dialsLeft = maxDialsPerTick
		l.dial(ctx)
		dialed = 0
		for _, p := range l.endpoints {
			if p.dialing && !p.open {
				dialed++
			}
		}
		So(dialed, ShouldEqual, maxOpening)
	})
}
