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

// pipe is one direction of a stream.
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

// simulation is two processes and the streams between them. Stream numbers are the
// same on both sides.
type simulation struct {
	now        time.Time
	endpoints  [2]*endpoint
	streams    map[link.Stream]*[2]pipe
	lastStream link.Stream
	dials      [2]int
	maxStreams int
}

func newSimulation(dialable [2]bool) *simulation {
	w := &simulation{
		now:     start,
		streams: map[link.Stream]*[2]pipe{},
	}
	for i := range w.endpoints {
		w.endpoints[i] = &endpoint{
			dialable: dialable[i],
		}
		w.endpoints[i].link = w.newLink(i, 1)
	}
	return w
}

func (w *simulation) newLink(i int, incarnation uint64) *link.Link {
	peer, err := identity.NewProcess(fmt.Sprintf("p%d", 1-i), incarnation)
	if err != nil {
		panic(err)
	}
	return link.New(w.now, peer, w.endpoints[i].dialable)
}

func (w *simulation) apply(i int, effects []any) {
	// The link reuses the slice.
	for _, e := range append([]any(nil), effects...) {
		switch e := e.(type) {
		case link.Transmit:
			if s, ok := w.streams[e.Stream()]; ok && !s[i].silent {
				s[i].frames = append(s[i].frames, e.Frame())
			}
		case link.Deliver:
			if e.Frame().Body() != nil {
				w.endpoints[i].received = append(w.endpoints[i].received, string(e.Frame().Body()))
			}
		case link.Dial:
			w.dials[i]++
		case link.Close:
			w.end(e.Stream())
		}
	}
}

// open lets one pending dial succeed; both sides learn of the stream.
func (w *simulation) open(i int) {
	if w.dials[i] == 0 {
		return
	}
	w.dials[i] = 0
	w.lastStream++
	s := w.lastStream
	w.streams[s] = &[2]pipe{}
	w.maxStreams = max(w.maxStreams, len(w.streams))
	for j := range w.endpoints {
		w.apply(j, w.endpoints[j].link.StreamOpened(w.now, s))
	}
}

func (w *simulation) end(s link.Stream) {
	if _, ok := w.streams[s]; !ok {
		return
	}
	delete(w.streams, s)
	for j := range w.endpoints {
		w.apply(j, w.endpoints[j].link.StreamClosed(w.now, s))
	}
}

// deliver hands the oldest frame of a direction to the other side.
func (w *simulation) deliver(s link.Stream, from int) bool {
	p, ok := w.streams[s]
	if !ok || len(p[from].frames) == 0 {
		return false
	}
	f := p[from].frames[0]
	p[from].frames = p[from].frames[1:]
	w.apply(1-from, w.endpoints[1-from].link.Receive(w.now, f))
	return true
}

func (w *simulation) post(i int) {
	body := fmt.Sprintf("%d/%d", i, w.endpoints[i].sent+1)
	effects, ok := w.endpoints[i].link.Post(w.now, []byte(body))
	if !ok {
		w.endpoints[i].rejected++
		return
	}
	w.endpoints[i].sent++
	w.apply(i, effects)
}

// advance wakes both links several times in each heartbeat interval, as the network
// duty does. Every pending dial and frame comes through if calm.
func (w *simulation) advance(d time.Duration, deliver bool) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for i := range w.endpoints {
			w.apply(i, w.endpoints[i].link.Wake(w.now))
		}
		if !deliver {
			continue
		}
		w.deliverAll()
	}
}

func (w *simulation) deliverAll() {
	for i := range w.endpoints {
		w.open(i)
	}
	for moved := true; moved; {
		moved = false
		for s := link.Stream(1); s <= w.lastStream; s++ {
			for i := range w.endpoints {
				moved = w.deliver(s, i) || moved
			}
		}
	}
}

// checkReceived returns a fault in what a side received: it must be a prefix of what
// the other sent, and all of it after the end of the trouble.
func (w *simulation) checkReceived(i int, all bool) error {
	received := w.endpoints[i].received
	for n, b := range received {
		if want := fmt.Sprintf("%d/%d", 1-i, n+1); b != want {
			return fmt.Errorf("side %d received %s as number %d", i, b, n+1)
		}
	}
	if all && len(received) != w.endpoints[1-i].sent {
		return fmt.Errorf("side %d received %d of %d bodies", i, len(received), w.endpoints[1-i].sent)
	}
	return nil
}

// TestMachine guards against bodies that are lost, doubled or out of order when
// streams go silent for good, close, or deliver in any order between them, and
// when a peer restarts.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation([2]bool{true, rapid.Bool().Draw(t, "both can dial")})
		stream := func(t *rapid.T) link.Stream {
			return link.Stream(rapid.Uint64Range(max(uint64(w.lastStream), 4)-3, max(uint64(w.lastStream), 1)).Draw(t, "stream"))
		}
		incarnation := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"post":  func(t *rapid.T) { w.post(rapid.IntRange(0, 1).Draw(t, "side")) },
			"post2": func(t *rapid.T) { w.post(rapid.IntRange(0, 1).Draw(t, "side")) },
			"open":  func(t *rapid.T) { w.open(rapid.IntRange(0, 1).Draw(t, "side")) },
			"carry": func(t *rapid.T) {
				s, i := stream(t), rapid.IntRange(0, 1).Draw(t, "side")
				for range rapid.IntRange(1, 9).Draw(t, "frames") {
					w.deliver(s, i)
				}
			},
			"silence": func(t *rapid.T) {
				if p, ok := w.streams[stream(t)]; ok {
					p[rapid.IntRange(0, 1).Draw(t, "side")].silent = true
				}
			},
			"lose": func(t *rapid.T) {
				// Silence takes what is under way as well.
				if p, ok := w.streams[stream(t)]; ok {
					i := rapid.IntRange(0, 1).Draw(t, "side")
					p[i].silent = true
					p[i].frames = nil
				}
			},
			"gap": func(t *rapid.T) {
				// A full queue loses a frame and has the stream closed soon.
				if p, ok := w.streams[stream(t)]; ok {
					q := &p[rapid.IntRange(0, 1).Draw(t, "side")]
					if n := len(q.frames); n > 0 {
						at := rapid.IntRange(0, n-1).Draw(t, "at")
						q.frames = slices.Delete(q.frames, at, at+1)
						q.frameLost = true
					}
				}
			},
			"end": func(t *rapid.T) { w.end(stream(t)) },
			"pass": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "steps"))*100*time.Millisecond, false)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") > 0 {
					return
				}
				incarnation++
				w.streams = map[link.Stream]*[2]pipe{}
				for i := range w.endpoints {
					w.endpoints[i].sent, w.endpoints[i].received = 0, nil
					w.endpoints[i].link = w.newLink(i, incarnation)
				}
			},
			"": func(t *rapid.T) {
				for i := range w.endpoints {
					if err := w.checkReceived(i, false); err != nil {
						t.Fatal(err)
					}
				}
			},
		})
		for i := range w.endpoints {
			w.post(i)
		}
		for s := link.Stream(1); s <= w.lastStream; s++ {
			if p, ok := w.streams[s]; ok && (p[0].frameLost || p[1].frameLost) {
				w.end(s)
			}
		}
		// One silent stream may hide another.
		w.advance(2*link.SilenceTimeout+500*time.Millisecond, true)
		for i := range w.endpoints {
			if err := w.checkReceived(i, true); err != nil {
				t.Fatal(err)
			}
			if n := w.endpoints[i].link.Unacknowledged(); n != 0 {
				t.Fatalf("side %d has %d bodies without acknowledgement", i, n)
			}
		}
		if w.maxStreams > 4 {
			t.Fatalf("%d streams were open at a time", w.maxStreams)
		}
	})
}

// TestSilence guards against a silent stream that holds up a body for longer than
// the bound of the design page, section 10.
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
				w := newSimulation(tt.dialable)
				w.post(0)
				w.deliverAll()
				w.advance(3*time.Second, true)
				for i := range tt.silent {
					w.streams[1][i].silent = tt.silent[i]
				}
				w.post(tt.from)
				w.advance(1500*time.Millisecond, true)
				So(w.checkReceived(0, true), ShouldBeNil)
				So(w.checkReceived(1, true), ShouldBeNil)
				w.advance(2*time.Second, true)
				So(w.endpoints[0].link.Unacknowledged(), ShouldEqual, 0)
				So(w.endpoints[1].link.Unacknowledged(), ShouldEqual, 0)
			})
		})
	}
}

// TestWindow guards against memory that grows without bound for a silent peer,
// and against a body that is reported as refused but arrives.
func TestWindow(t *testing.T) {
	Convey("a full window refuses and everything else arrives", t, func() {
		w := newSimulation([2]bool{true, true})
		for range link.Window + 10 {
			w.post(0)
		}
		So(w.endpoints[0].rejected, ShouldEqual, 10)
		w.advance(time.Second, true)
		So(w.checkReceived(1, true), ShouldBeNil)
		w.post(0)
		So(w.endpoints[0].rejected, ShouldEqual, 10)
	})
	Convey("the window is bounded in bytes, but takes one body of any size", t, func() {
		w := newSimulation([2]bool{true, true})
		_, ok := w.endpoints[0].link.Post(w.now, make([]byte, link.WindowBytes+1))
		So(ok, ShouldBeTrue)
		_, ok = w.endpoints[0].link.Post(w.now, []byte("x"))
		So(ok, ShouldBeFalse)
	})
}

// TestIdle guards against links that keep streams open without need, and against
// numbers that are lost with the stream.
func TestIdle(t *testing.T) {
	Convey("an idle link closes its stream and goes on later", t, func() {
		w := newSimulation([2]bool{true, true})
		w.post(0)
		w.advance(link.IdleTimeout+2*time.Second, true)
		So(w.streams, ShouldBeEmpty)
		w.post(1)
		w.advance(time.Second, true)
		So(w.checkReceived(0, true), ShouldBeNil)
		So(w.checkReceived(1, true), ShouldBeNil)
	})
}
