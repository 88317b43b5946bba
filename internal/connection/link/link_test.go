package link_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"greengagedoor.example/greengagedoor/internal/connection/link"
	"greengagedoor.example/greengagedoor/internal/process/identity"
)

var start = time.Unix(1_800_000_000, 0)

// pipe is one direction of a stream. A silent pipe discards the frames that are
// sent on it.
type pipe struct {
	frames    []link.Frame
	silent    bool
	frameLost bool
}

// endpoint is a process with its link.
type endpoint struct {
	link     *link.Link
	dialable bool
	sent     int
	rejected int
	received []string
}

// simulation has two processes and the streams between them. A stream has the same
// number at both processes.
type simulation struct {
	now        time.Time
	endpoints  [2]*endpoint
	streams    map[link.Stream]*[2]pipe
	lastStream link.Stream
	dials      [2]int
	maxStreams int
}

func newSimulation(dialable [2]bool) *simulation {
	sim := &simulation{
		now:     start,
		streams: map[link.Stream]*[2]pipe{},
	}
	for i := range sim.endpoints {
		sim.endpoints[i] = &endpoint{
			dialable: dialable[i],
		}
		sim.endpoints[i].link = sim.newLink(i, 1)
	}
	return sim
}

func (sim *simulation) newLink(i int, incarnation uint64) *link.Link {
	peer, err := identity.NewProcess(fmt.Sprintf("p%d", 1-i), incarnation)
	if err != nil {
		panic(err)
	}
	return link.New(sim.now, peer, sim.endpoints[i].dialable)
}

func (sim *simulation) apply(i int, effects []any) {
	// The link reuses the slice.
	for _, e := range append([]any(nil), effects...) {
		switch e := e.(type) {
		case link.Transmit:
			if s, ok := sim.streams[e.Stream()]; ok && !s[i].silent {
				s[i].frames = append(s[i].frames, e.Frame())
			}
		case link.Deliver:
			if e.Frame().Body() != nil {
				sim.endpoints[i].received = append(sim.endpoints[i].received, string(e.Frame().Body()))
			}
		case link.Dial:
			sim.dials[i]++
		case link.Close:
			sim.end(e.Stream())
		}
	}
}

// open completes a pending dial and reports the stream to both links.
func (sim *simulation) open(i int) {
	if sim.dials[i] == 0 {
		return
	}
	sim.dials[i] = 0
	sim.lastStream++
	s := sim.lastStream
	sim.streams[s] = &[2]pipe{}
	sim.maxStreams = max(sim.maxStreams, len(sim.streams))
	for j := range sim.endpoints {
		sim.apply(j, sim.endpoints[j].link.StreamOpened(sim.now, s))
	}
}

func (sim *simulation) end(s link.Stream) {
	if _, ok := sim.streams[s]; !ok {
		return
	}
	delete(sim.streams, s)
	for j := range sim.endpoints {
		sim.apply(j, sim.endpoints[j].link.StreamClosed(sim.now, s))
	}
}

// deliver passes the oldest frame of one direction to the other side.
func (sim *simulation) deliver(s link.Stream, from int) bool {
	p, ok := sim.streams[s]
	if !ok || len(p[from].frames) == 0 {
		return false
	}
	f := p[from].frames[0]
	p[from].frames = p[from].frames[1:]
	sim.apply(1-from, sim.endpoints[1-from].link.Receive(sim.now, f))
	return true
}

func (sim *simulation) post(i int) {
	body := fmt.Sprintf("%d/%d", i, sim.endpoints[i].sent+1)
	effects, ok := sim.endpoints[i].link.Post(sim.now, []byte(body))
	if !ok {
		sim.endpoints[i].rejected++
		return
	}
	sim.endpoints[i].sent++
	sim.apply(i, effects)
}

// advance lets d pass and wakes both links several times in each heartbeat
// interval, as the network duty does. If deliver is true, all pending dials and
// frames succeed.
func (sim *simulation) advance(d time.Duration, deliver bool) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(100 * time.Millisecond)
		for i := range sim.endpoints {
			sim.apply(i, sim.endpoints[i].link.Wake(sim.now))
		}
		if !deliver {
			continue
		}
		sim.deliverAll()
	}
}

func (sim *simulation) deliverAll() {
	for i := range sim.endpoints {
		sim.open(i)
	}
	for moved := true; moved; {
		moved = false
		for s := link.Stream(1); s <= sim.lastStream; s++ {
			for i := range sim.endpoints {
				moved = sim.deliver(s, i) || moved
			}
		}
	}
}

// checkReceived returns an error unless the bodies that a side received are a
// prefix of those that the other side sent, and, if all is true, all of them.
func (sim *simulation) checkReceived(i int, all bool) error {
	received := sim.endpoints[i].received
	for n, b := range received {
		if want := fmt.Sprintf("%d/%d", 1-i, n+1); b != want {
			return fmt.Errorf("side %d received %s as number %d", i, b, n+1)
		}
	}
	if all && len(received) != sim.endpoints[1-i].sent {
		return fmt.Errorf("side %d received %d of %d bodies", i, len(received), sim.endpoints[1-i].sent)
	}
	return nil
}

// TestMachine guards against lost, duplicated or reordered bodies when streams go
// silent, close or deliver in any order, and when a peer restarts.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation([2]bool{true, rapid.Bool().Draw(t, "both can dial")})
		stream := func(t *rapid.T) link.Stream {
			return link.Stream(rapid.Uint64Range(max(uint64(sim.lastStream), 4)-3, max(uint64(sim.lastStream), 1)).Draw(t, "stream"))
		}
		incarnation := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"post":  func(t *rapid.T) { sim.post(rapid.IntRange(0, 1).Draw(t, "side")) },
			"post2": func(t *rapid.T) { sim.post(rapid.IntRange(0, 1).Draw(t, "side")) },
			"open":  func(t *rapid.T) { sim.open(rapid.IntRange(0, 1).Draw(t, "side")) },
			"carry": func(t *rapid.T) {
				s, i := stream(t), rapid.IntRange(0, 1).Draw(t, "side")
				for range rapid.IntRange(1, 9).Draw(t, "frames") {
					sim.deliver(s, i)
				}
			},
			"silence": func(t *rapid.T) {
				if p, ok := sim.streams[stream(t)]; ok {
					p[rapid.IntRange(0, 1).Draw(t, "side")].silent = true
				}
			},
			"lose": func(t *rapid.T) {
				// The frames in transit are lost as well.
				if p, ok := sim.streams[stream(t)]; ok {
					i := rapid.IntRange(0, 1).Draw(t, "side")
					p[i].silent = true
					p[i].frames = nil
				}
			},
			"gap": func(t *rapid.T) {
				// A full queue drops a frame, and the stream is closed soon after.
				if p, ok := sim.streams[stream(t)]; ok {
					q := &p[rapid.IntRange(0, 1).Draw(t, "side")]
					if n := len(q.frames); n > 0 {
						at := rapid.IntRange(0, n-1).Draw(t, "at")
						q.frames = slices.Delete(q.frames, at, at+1)
						q.frameLost = true
					}
				}
			},
			"end": func(t *rapid.T) { sim.end(stream(t)) },
			"pass": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "steps"))*100*time.Millisecond, false)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") > 0 {
					return
				}
				incarnation++
				sim.streams = map[link.Stream]*[2]pipe{}
				for i := range sim.endpoints {
					sim.endpoints[i].sent, sim.endpoints[i].received = 0, nil
					sim.endpoints[i].link = sim.newLink(i, incarnation)
				}
			},
			"": func(t *rapid.T) {
				for i := range sim.endpoints {
					if err := sim.checkReceived(i, false); err != nil {
						t.Fatal(err)
					}
				}
			},
		})
		for i := range sim.endpoints {
			sim.post(i)
		}
		for s := link.Stream(1); s <= sim.lastStream; s++ {
			if p, ok := sim.streams[s]; ok && (p[0].frameLost || p[1].frameLost) {
				sim.end(s)
			}
		}
		// The link may switch to a second silent stream, which takes another timeout.
		sim.advance(2*link.SilenceTimeout+500*time.Millisecond, true)
		for i := range sim.endpoints {
			if err := sim.checkReceived(i, true); err != nil {
				t.Fatal(err)
			}
			if n := sim.endpoints[i].link.Unacknowledged(); n != 0 {
				t.Fatalf("side %d has %d unacknowledged bodies", i, n)
			}
		}
		if sim.maxStreams > 4 {
			t.Fatalf("%d streams were open at a time", sim.maxStreams)
		}
	})
}

// TestSilence guards against a silent stream that delays a body for longer than the
// limit of the design page, section 10.
func TestSilence(t *testing.T) {
	tests := map[string]struct {
		dialable [2]bool
		silent   [2]bool
		from     int
	}{
		"both directions, dialing side sends":   {dialable: [2]bool{true, false}, silent: [2]bool{true, true}},
		"both directions, other side sends":     {dialable: [2]bool{true, false}, silent: [2]bool{true, true}, from: 1},
		"one direction, dialing side sends":     {dialable: [2]bool{true, false}, silent: [2]bool{true, false}},
		"one direction, other side sends":       {dialable: [2]bool{true, false}, silent: [2]bool{false, true}, from: 1},
		"one direction, both can dial":          {dialable: [2]bool{true, true}, silent: [2]bool{true, false}},
		"one direction, both can dial, other":   {dialable: [2]bool{true, true}, silent: [2]bool{false, true}, from: 1},
		"back direction, acknowledgements lost": {dialable: [2]bool{true, true}, silent: [2]bool{false, true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a new stream carries the body within 1.5 s", t, func() {
				sim := newSimulation(tt.dialable)
				sim.post(0)
				sim.deliverAll()
				sim.advance(3*time.Second, true)
				for i := range tt.silent {
					sim.streams[1][i].silent = tt.silent[i]
				}
				sim.post(tt.from)
				sim.advance(1500*time.Millisecond, true)
				So(sim.checkReceived(0, true), ShouldBeNil)
				So(sim.checkReceived(1, true), ShouldBeNil)
				sim.advance(2*time.Second, true)
				So(sim.endpoints[0].link.Unacknowledged(), ShouldEqual, 0)
				So(sim.endpoints[1].link.Unacknowledged(), ShouldEqual, 0)
			})
		})
	}
}

// TestWindow guards against unbounded memory for a silent peer, and against a body
// that is reported as refused but arrives.
func TestWindow(t *testing.T) {
	Convey("a full window rejects bodies and all others arrive", t, func() {
		sim := newSimulation([2]bool{true, true})
		for range link.Window + 10 {
			sim.post(0)
		}
		So(sim.endpoints[0].rejected, ShouldEqual, 10)
		sim.advance(time.Second, true)
		So(sim.checkReceived(1, true), ShouldBeNil)
		sim.post(0)
		So(sim.endpoints[0].rejected, ShouldEqual, 10)
	})
	Convey("the window is limited in bytes, but accepts one body of any size", t, func() {
		sim := newSimulation([2]bool{true, true})
		_, ok := sim.endpoints[0].link.Post(sim.now, make([]byte, link.WindowBytes+1))
		So(ok, ShouldBeTrue)
		_, ok = sim.endpoints[0].link.Post(sim.now, []byte("x"))
		So(ok, ShouldBeFalse)
	})
}

// TestIdle guards against streams that stay open without traffic, and against
// sequence numbers that are lost with the stream.
func TestIdle(t *testing.T) {
	Convey("an idle link closes its stream and continues later", t, func() {
		sim := newSimulation([2]bool{true, true})
		sim.post(0)
		sim.advance(link.IdleTimeout+2*time.Second, true)
		So(sim.streams, ShouldBeEmpty)
		sim.post(1)
		sim.advance(time.Second, true)
		So(sim.checkReceived(0, true), ShouldBeNil)
		So(sim.checkReceived(1, true), ShouldBeNil)
	})
}
