package server

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/process/subset"
)

// newTestLinks returns a duty without a process, at 127.0.0.1:7400.
func newTestLinks(t *testing.T) (*links, *[]event.Note) {
	r, err := ring.New[any]("links", ringSize)
	if err != nil {
		t.Fatal(err)
	}
	owner, err := ring.New[any]("owner", ringSize)
	if err != nil {
		t.Fatal(err)
	}
	var notes []event.Note
	return &links{
		self:      subset.NewMember("127.0.0.1:7400", "zone_a"),
		size:      subset.NewSize(maxEndpoints, maxEndpoints),
		handlers:  stream.Handlers{},
		logEvent:  func(event.Name, ...event.Field) {},
		count:     func(linkCounter) {},
		logState:  func(n event.Note) { notes = append(notes, n) },
		ring:      r,
		owner:     owner,
		endpoints: map[string]*endpoint{},
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
		l.addAddress("127.9.9.9:7400", "", true)
		l.receive(peersSeen{
			peers: peers,
		})
		So(l.endpoints, ShouldHaveLength, maxEndpoints)
		l.endpoints[fmt.Sprintf("127.1.%d.%d:9", 1, 200)].reached = true
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(l.dial(ctx), ShouldBeLessThanOrEqualTo, dialInterval)
		dialed := 0
		for _, p := range l.endpoints {
			if p.dialing {
				dialed++
			}
		}
		So(dialed, ShouldEqual, maxDialsPerInterval+2)
		for range 10 {
			l.intervalStart = time.Time{}
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
		l.intervalStart = time.Time{}
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

// openLinks opens the connections that are due, until no more are, and reports those for
// which fails is true as refused.
func openLinks(l *links, fails func(address string) bool) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	streams := uint64(0)
	for _, p := range l.endpoints {
		streams = max(streams, p.stream)
	}
	for range 100 {
		l.intervalStart = time.Time{}
		l.dial(ctx)
		for _, p := range l.endpoints {
			switch {
			case p.dialing && !p.open && fails(p.address):
				l.receive(connectionEnded{
					address: p.address,
				})
				p.nextDial = time.Time{}
			case p.dialing && !p.open:
				streams++
				l.receive(connectionOpened{
					address: p.address,
					stream:  streams,
				})
			}
		}
	}
}

func (l *links) openCount() int {
	n := 0
	for _, p := range l.endpoints {
		if p.open {
			n++
		}
	}
	return n
}

func testPeers(n int) []frame.Peer {
	var peers []frame.Peer
	for i := range n {
		peers = append(peers, frame.NewPeer("", fmt.Sprintf("10.%d.0.%d:7400", i%5, i)).InZone(fmt.Sprintf("zone_%d", i%5)))
	}
	return peers
}

// TestLinksAreBounded guards against connections whose number grows with the fleet, and
// against an agent without connections since the entries that it chooses are lost.
func TestLinksAreBounded(t *testing.T) {
	zoneLost := func(address string) bool { return strings.HasPrefix(address, "10.0.") }
	tests := map[string]struct {
		entries int
		fails   func(string) bool
		open    int
	}{
		"few_entries":   {entries: 3, fails: func(string) bool { return false }, open: 3},
		"many_entries":  {entries: 55, fails: func(string) bool { return false }, open: executor.MinLinks},
		"most_entries":  {entries: 330, fails: func(string) bool { return false }, open: executor.MinLinks},
		"zone_is_lost":  {entries: 55, fails: zoneLost, open: executor.MinLinks},
		"few_are_left":  {entries: 55, fails: func(a string) bool { return a > "10.0.0.1" }, open: 1},
		"none_are_left": {entries: 55, fails: func(string) bool { return true }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the chosen entries are connected, and others in place of those that fail", t, func() {
				l, _ := newTestLinks(t)
				l.self = subset.NewMember("agent_1", "zone_0")
				l.size = agentSize(executor.MinLinks)
				l.receive(peersSeen{
					peers: testPeers(tt.entries),
				})
				openLinks(l, tt.fails)
				So(l.openCount(), ShouldEqual, tt.open)
			})
		})
	}
}

// TestSurplusIsReleased guards against connections that stay open for good after entries
// that could not be reached have returned, and against one that is closed while its
// successor may still fail.
func TestSurplusIsReleased(t *testing.T) {
	Convey("a replaced connection is released once the others have settled", t, func() {
		l, _ := newTestLinks(t)
		l.self = subset.NewMember("agent_1", "zone_0")
		l.size = agentSize(executor.MinLinks)
		l.receive(peersSeen{
			peers: testPeers(55),
		})
		lost := func(address string) bool { return strings.HasPrefix(address, "10.0.") }
		openLinks(l, lost)
		openLinks(l, func(string) bool { return false })
		open := l.openCount()
		So(open, ShouldBeGreaterThanOrEqualTo, executor.MinLinks+executor.MinLinks*2/3)
		So(l.owner.Depth(), ShouldEqual, 0)
		for _, p := range l.endpoints {
			p.openedAt = p.openedAt.Add(-settledAfter)
		}
		openLinks(l, func(string) bool { return false })
		So(l.owner.Depth(), ShouldEqual, open-executor.MinLinks)
		for range open - executor.MinLinks {
			m, _ := l.owner.Pop(context.Background())
			for _, p := range l.endpoints {
				if p.stream == m.(connectionReleased).stream {
					So(l.choice.Dial(p.address), ShouldBeFalse)
				}
			}
		}
	})
}

// TestSeedsAreReleased guards against the entries of the settings that keep a connection to
// each agent of a large fleet after all processes have started at once.
func TestSeedsAreReleased(t *testing.T) {
	tests := map[string]struct {
		// since is how long ago the process started, and open how long its connections are.
		since    time.Duration
		open     time.Duration
		released bool
	}{
		"at_once":      {since: time.Second, open: stableAfter / 2},
		"at_the_start": {since: 2 * time.Second, open: stableAfter, released: true},
		"later":        {since: time.Minute, open: stableAfter},
		"settled":      {since: time.Minute, open: settledAfter, released: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("seeds that are not chosen are released once enough others are open", t, func() {
				l, _ := newTestLinks(t)
				l.self = subset.NewMember("agent_1", "zone_0")
				l.size = agentSize(executor.MinLinks)
				l.began = time.Now().Add(-tt.since)
				for i := range 30 {
					l.addAddress(fmt.Sprintf("10.9.0.%d:7400", i), "", true)
				}
				never := func(string) bool { return false }
				openLinks(l, never)
				l.receive(peersSeen{
					peers: testPeers(55),
				})
				openLinks(l, never)
				So(l.owner.Depth(), ShouldEqual, 0)
				open := l.openCount()
				for _, p := range l.endpoints {
					p.openedAt = p.openedAt.Add(-tt.open)
				}
				openLinks(l, never)
				if !tt.released {
					So(l.owner.Depth(), ShouldEqual, 0)
					return
				}
				So(open, ShouldBeGreaterThan, executor.MinLinks)
				So(l.owner.Depth(), ShouldEqual, open-executor.MinLinks)
			})
		})
	}
}

// TestEntriesAgree guards against two entries that both open a connection, or neither.
func TestEntriesAgree(t *testing.T) {
	Convey("of each two entries one opens the connection, and all are connected", t, func() {
		peers := testPeers(55)
		dials := map[string]int{}
		degree := 0
		for _, self := range peers {
			l, _ := newTestLinks(t)
			l.self = subset.NewMember(self.Address(), self.Zone())
			l.size = subset.NewSize(entryZoneLinks, entryLinks)
			l.symmetric = true
			l.receive(peersSeen{
				peers: peers,
			})
			openLinks(l, func(string) bool { return false })
			for _, p := range l.endpoints {
				if p.open {
					dials[min(self.Address(), p.address)+" "+max(self.Address(), p.address)]++
					degree++
				}
			}
		}
		for _, n := range dials {
			So(n, ShouldEqual, 1)
		}
		So(degree, ShouldBeBetween, 55*entryLinks/2, 55*entryLinks+1)
	})
}

// TestDumpOfLinks guards against a dump that does not say which entries a process is
// connected to, and why.
func TestDumpOfLinks(t *testing.T) {
	Convey("each known entry has a line with the reason", t, func() {
		l, _ := newTestLinks(t)
		l.self = subset.NewMember("agent_1", "zone_0")
		l.size = agentSize(executor.MinLinks)
		l.receive(peersSeen{
			peers: testPeers(55),
		})
		openLinks(l, func(address string) bool { return address == "10.0.0.0:7400" })
		reply := make(chan []string, 1)
		l.receive(linesAsked{
			reply: reply,
		})
		lines := <-reply
		So(lines, ShouldHaveLength, 55)
		reasons := map[string]int{}
		for _, x := range lines {
			_, rest, _ := strings.Cut(x, " reason=")
			reason, state, _ := strings.Cut(rest, " ")
			reasons[reason+" "+strings.FieldsFunc(state, func(r rune) bool { return r == '=' || r == ' ' })[0]]++
		}
		So(reasons["chosen open_ms"], ShouldEqual, executor.MinLinks)
		So(reasons["not_chosen closed"]+reasons["chosen_failing closed"], ShouldEqual, 55-executor.MinLinks)
	})
}
