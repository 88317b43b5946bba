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

var began = time.Unix(1_800_000_000, 0)

// pipe is one direction of a stream.
type pipe struct {
	frames []link.Frame
	silent bool
	broken bool
}

// side is a process with its link.
type side struct {
	link     *link.Link
	dialable bool
	sent     int
	refused  int
	got      []string
}

// wire is two processes and the streams between them. Stream numbers are the
// same on both sides.
type wire struct {
	now     time.Time
	sides   [2]*side
	streams map[link.Stream]*[2]pipe
	next    link.Stream
	dials   [2]int
	maximum int
}

func newWire(dialable [2]bool) *wire {
	w := &wire{
		now:     began,
		streams: map[link.Stream]*[2]pipe{},
	}
	for i := range w.sides {
		w.sides[i] = &side{
			dialable: dialable[i],
		}
		w.sides[i].link = w.newLink(i, 1)
	}
	return w
}

func (w *wire) newLink(i int, incarnation uint64) *link.Link {
	peer, err := identity.NewProcess(fmt.Sprintf("p%d", 1-i), incarnation)
	if err != nil {
		panic(err)
	}
	return link.New(w.now, peer, w.sides[i].dialable)
}

func (w *wire) apply(i int, effects []any) {
	// The link reuses the slice.
	for _, e := range append([]any(nil), effects...) {
		switch e := e.(type) {
		case link.Transmit:
			if s, ok := w.streams[e.Stream()]; ok && !s[i].silent {
				s[i].frames = append(s[i].frames, e.Frame())
			}
		case link.Deliver:
			if e.Frame().Body() != nil {
				w.sides[i].got = append(w.sides[i].got, string(e.Frame().Body()))
			}
		case link.Dial:
			w.dials[i]++
		case link.Close:
			w.end(e.Stream())
		}
	}
}

// open lets one pending dial succeed; both sides learn of the stream.
func (w *wire) open(i int) {
	if w.dials[i] == 0 {
		return
	}
	w.dials[i] = 0
	w.next++
	s := w.next
	w.streams[s] = &[2]pipe{}
	w.maximum = max(w.maximum, len(w.streams))
	for j := range w.sides {
		w.apply(j, w.sides[j].link.StreamOpened(w.now, s))
	}
}

func (w *wire) end(s link.Stream) {
	if _, ok := w.streams[s]; !ok {
		return
	}
	delete(w.streams, s)
	for j := range w.sides {
		w.apply(j, w.sides[j].link.StreamClosed(w.now, s))
	}
}

// carry hands the oldest frame of a direction to the other side.
func (w *wire) carry(s link.Stream, from int) bool {
	p, ok := w.streams[s]
	if !ok || len(p[from].frames) == 0 {
		return false
	}
	f := p[from].frames[0]
	p[from].frames = p[from].frames[1:]
	w.apply(1-from, w.sides[1-from].link.Receive(w.now, f))
	return true
}

func (w *wire) post(i int) {
	body := fmt.Sprintf("%d/%d", i, w.sides[i].sent+1)
	effects, ok := w.sides[i].link.Post(w.now, []byte(body))
	if !ok {
		w.sides[i].refused++
		return
	}
	w.sides[i].sent++
	w.apply(i, effects)
}

// pass wakes both links several times in each heartbeat interval, as the network
// duty does. Every pending dial and frame comes through if calm.
func (w *wire) pass(d time.Duration, calm bool) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for i := range w.sides {
			w.apply(i, w.sides[i].link.Wake(w.now))
		}
		if !calm {
			continue
		}
		w.drain()
	}
}

func (w *wire) drain() {
	for i := range w.sides {
		w.open(i)
	}
	for moved := true; moved; {
		moved = false
		for s := link.Stream(1); s <= w.next; s++ {
			for i := range w.sides {
				moved = w.carry(s, i) || moved
			}
		}
	}
}

// complete returns a fault in what a side received: it must be a prefix of what
// the other sent, and all of it after the end of the trouble.
func (w *wire) complete(i int, all bool) error {
	got := w.sides[i].got
	for n, b := range got {
		if want := fmt.Sprintf("%d/%d", 1-i, n+1); b != want {
			return fmt.Errorf("side %d received %s as number %d", i, b, n+1)
		}
	}
	if all && len(got) != w.sides[1-i].sent {
		return fmt.Errorf("side %d received %d of %d bodies", i, len(got), w.sides[1-i].sent)
	}
	return nil
}

// TestMachine guards against bodies that are lost, doubled or out of order when
// streams go silent for good, close, or deliver in any order between them, and
// when a peer restarts.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWire([2]bool{true, rapid.Bool().Draw(t, "both can dial")})
		stream := func(t *rapid.T) link.Stream {
			return link.Stream(rapid.Uint64Range(max(uint64(w.next), 4)-3, max(uint64(w.next), 1)).Draw(t, "stream"))
		}
		incarnation := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"post":  func(t *rapid.T) { w.post(rapid.IntRange(0, 1).Draw(t, "side")) },
			"post2": func(t *rapid.T) { w.post(rapid.IntRange(0, 1).Draw(t, "side")) },
			"open":  func(t *rapid.T) { w.open(rapid.IntRange(0, 1).Draw(t, "side")) },
			"carry": func(t *rapid.T) {
				s, i := stream(t), rapid.IntRange(0, 1).Draw(t, "side")
				for range rapid.IntRange(1, 9).Draw(t, "frames") {
					w.carry(s, i)
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
						q.broken = true
					}
				}
			},
			"end": func(t *rapid.T) { w.end(stream(t)) },
			"pass": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 12).Draw(t, "steps"))*100*time.Millisecond, false)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") > 0 {
					return
				}
				incarnation++
				w.streams = map[link.Stream]*[2]pipe{}
				for i := range w.sides {
					w.sides[i].sent, w.sides[i].got = 0, nil
					w.sides[i].link = w.newLink(i, incarnation)
				}
			},
			"": func(t *rapid.T) {
				for i := range w.sides {
					if err := w.complete(i, false); err != nil {
						t.Fatal(err)
					}
				}
			},
		})
		for i := range w.sides {
			w.post(i)
		}
		for s := link.Stream(1); s <= w.next; s++ {
			if p, ok := w.streams[s]; ok && (p[0].broken || p[1].broken) {
				w.end(s)
			}
		}
		// One silent stream may hide another.
		w.pass(2*link.SilenceTimeout+500*time.Millisecond, true)
		for i := range w.sides {
			if err := w.complete(i, true); err != nil {
				t.Fatal(err)
			}
			if n := w.sides[i].link.Unacknowledged(); n != 0 {
				t.Fatalf("side %d has %d bodies without acknowledgement", i, n)
			}
		}
		if w.maximum > 4 {
			t.Fatalf("%d streams were open at a time", w.maximum)
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
				w := newWire(tt.dialable)
				w.post(0)
				w.drain()
				w.pass(3*time.Second, true)
				for i := range tt.silent {
					w.streams[1][i].silent = tt.silent[i]
				}
				w.post(tt.from)
				w.pass(1500*time.Millisecond, true)
				So(w.complete(0, true), ShouldBeNil)
				So(w.complete(1, true), ShouldBeNil)
				w.pass(2*time.Second, true)
				So(w.sides[0].link.Unacknowledged(), ShouldEqual, 0)
				So(w.sides[1].link.Unacknowledged(), ShouldEqual, 0)
			})
		})
	}
}

// TestWindow guards against memory that grows without bound for a silent peer,
// and against a body that is reported as refused but arrives.
func TestWindow(t *testing.T) {
	Convey("a full window refuses and everything else arrives", t, func() {
		w := newWire([2]bool{true, true})
		for range link.Window + 10 {
			w.post(0)
		}
		So(w.sides[0].refused, ShouldEqual, 10)
		w.pass(time.Second, true)
		So(w.complete(1, true), ShouldBeNil)
		w.post(0)
		So(w.sides[0].refused, ShouldEqual, 10)
	})
	Convey("the window is bounded in bytes, but takes one body of any size", t, func() {
		w := newWire([2]bool{true, true})
		_, ok := w.sides[0].link.Post(w.now, make([]byte, link.WindowBytes+1))
		So(ok, ShouldBeTrue)
		_, ok = w.sides[0].link.Post(w.now, []byte("x"))
		So(ok, ShouldBeFalse)
	})
}

// TestIdle guards against links that keep streams open without need, and against
// numbers that are lost with the stream.
func TestIdle(t *testing.T) {
	Convey("an idle link closes its stream and goes on later", t, func() {
		w := newWire([2]bool{true, true})
		w.post(0)
		w.pass(link.IdleTimeout+2*time.Second, true)
		So(w.streams, ShouldBeEmpty)
		w.post(1)
		w.pass(time.Second, true)
		So(w.complete(0, true), ShouldBeNil)
		So(w.complete(1, true), ShouldBeNil)
	})
}
