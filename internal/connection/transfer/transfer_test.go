package transfer_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/transfer"
)

const step = 10 * time.Millisecond

// body returns n bytes that a seed determines.
func body(seed uint64, n int) []byte {
	random := rand.New(rand.NewPCG(seed, 1))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// process is a process with a configuration that answers requests on its session.
type process struct {
	session uint64
	near    bool
	config  frame.Config
	// silentAfter is the number of pieces after which it stops answering; 0 for never.
	silentAfter int
	// damaged changes the last byte of each piece.
	damaged bool
	supply  transfer.Supply
	pieces  int
}

// answer returns the piece that is due.
func (p *process) answer(now time.Duration) (frame.ConfigPiece, bool) {
	_, piece, due := p.supply.Next(now, p.config)
	if !due || p.silentAfter > 0 && p.pieces >= p.silentAfter {
		return piece, false
	}
	p.pieces++
	if p.damaged {
		b := frame.Encode(frame.Frame{
			ConfigPiece: &piece,
		})
		b[len(b)-1]++
		f, err := frame.Decode(b)
		return *f.ConfigPiece, err == nil
	}
	return piece, true
}

// TestFetch guards against a process that doesn't get a newer configuration although a process that it is connected to has it, or takes a wrong one.
func TestFetch(t *testing.T) {
	const size = 60_000
	newer := frame.NewConfig(7, body(1, size))
	tests := map[string]struct {
		sources []*process
		want    bool
		within  time.Duration
		first   uint64
	}{
		"one_source": {
			sources: []*process{{session: 1, config: newer}},
			want:    true,
			within:  200 * time.Millisecond,
			first:   1,
		},
		"near_source_first": {
			sources: []*process{{session: 1, config: newer}, {session: 2, config: newer, near: true}},
			want:    true,
			within:  200 * time.Millisecond,
			first:   2,
		},
		"older_source_is_not_asked": {
			sources: []*process{{session: 1, config: frame.NewConfig(5, body(2, size)), near: true}, {session: 2, config: newer}},
			want:    true,
			within:  200 * time.Millisecond,
			first:   2,
		},
		"silent_source": {
			sources: []*process{{session: 1, config: newer, silentAfter: 3}, {session: 2, config: newer}},
			want:    true,
			within:  600 * time.Millisecond,
			first:   1,
		},
		"packed_differently": {
			sources: []*process{{session: 1, config: newer, silentAfter: 3}, {session: 2, config: frame.NewConfig(7, body(3, size))}},
			want:    true,
			within:  600 * time.Millisecond,
			first:   1,
		},
		"damaged": {
			sources: []*process{{session: 1, config: newer, damaged: true}},
		},
		"no_newer_source": {
			sources: []*process{{session: 1, config: frame.NewConfig(6, body(2, size))}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the newer configuration arrives whole and in time", t, func() {
				var f transfer.Fetch
				list := func(yield func(transfer.Source) bool) {
					for _, p := range tt.sources {
						if !yield(transfer.NewSource(p.session, "process", p.config.Number(), p.near)) {
							return
						}
					}
				}
				first := uint64(0)
				var got *transfer.Fetched
				for now := time.Second; now < 3*time.Second && got == nil; now += step {
					if session, r, due := f.Request(now, 6, list); due {
						if first == 0 {
							first = session
						}
						for _, p := range tt.sources {
							if p.session == session {
								p.supply.Requested(9, true, r)
							}
						}
					}
					for _, p := range tt.sources {
						piece, due := p.answer(now)
						if !due {
							continue
						}
						if x, done := f.Receive(now, p.session, 6, piece); done {
							got = &x
						}
					}
				}
				So(got != nil, ShouldEqual, tt.want)
				So(first, ShouldBeIn, tt.first, uint64(1))
				if got != nil {
					So(got.Took(), ShouldBeLessThanOrEqualTo, tt.within)
					So(got.Config().Number(), ShouldEqual, 7)
					So(len(got.Config().Body()), ShouldEqual, size)
				}
			})
		})
	}
}

// TestSupplyIsPaced guards against a process whose link is filled by pieces for many others.
func TestSupplyIsPaced(t *testing.T) {
	tests := map[string]int{
		"one_session":   1,
		"many_sessions": 200,
	}
	for name, sessions := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a second carries at most a third of a link of 19 Mbit/s", t, func() {
				const third = 19_000_000 / 8 / 3
				var s transfer.Supply
				c := frame.NewConfig(7, body(1, 1<<20))
				sent := 0
				for now := time.Second; now < 2*time.Second; now += time.Millisecond {
					for n := range sessions {
						s.Requested(uint64(n+1), n%2 == 0, frame.NewConfigRequest(0, 0))
					}
					if _, p, due := s.Next(now, c); due {
						sent += len(p.Data())
					}
				}
				So(sent, ShouldBeGreaterThan, 0)
				So(sent, ShouldBeLessThanOrEqualTo, third)
			})
		})
	}
}

// TestUrgentFirst guards against an entry that waits for its configuration behind processes that only keep copies.
func TestUrgentFirst(t *testing.T) {
	tests := map[string]struct {
		urgent map[uint64]bool
		want   []uint64
	}{
		"in_order":     {urgent: map[uint64]bool{}, want: []uint64{1, 2, 3}},
		"last_urgent":  {urgent: map[uint64]bool{3: true}, want: []uint64{3, 1, 2}},
		"two_urgent":   {urgent: map[uint64]bool{2: true, 3: true}, want: []uint64{2, 3, 1}},
		"first_urgent": {urgent: map[uint64]bool{1: true}, want: []uint64{1, 2, 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("urgent requests are served first", t, func() {
				var s transfer.Supply
				for _, n := range []uint64{1, 2, 3} {
					s.Requested(n, tt.urgent[n], frame.NewConfigRequest(0, 0))
				}
				var got []uint64
				for now := time.Second; s.Waiting(); now += step {
					n, _, due := s.Next(now, frame.NewConfig(7, body(1, 10)))
					So(due, ShouldBeTrue)
					got = append(got, n)
				}
				So(got, ShouldResemble, tt.want)
			})
		})
	}
}

// TestPack guards against a configuration that changes when it is packed, and against one that unpacks without bound.
func TestPack(t *testing.T) {
	bomb, err := transfer.Pack(make([]byte, 40<<20))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		body   []byte
		packed []byte
		err    error
	}{
		"empty":     {body: []byte{}},
		"random":    {body: body(1, 100_000)},
		"text":      {body: bytes.Repeat([]byte(`{"name":"route"},`), 20_000)},
		"damaged":   {packed: []byte("no packed form"), err: transfer.ErrUnreadable},
		"too_large": {packed: bomb, err: transfer.ErrUnreadable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the unpacked form is the stored one, or an error", t, func() {
				packed := tt.packed
				if packed == nil {
					var err error
					packed, err = transfer.Pack(tt.body)
					So(err, ShouldBeNil)
				}
				got, err := transfer.Unpack(packed)
				So(errors.Is(err, tt.err), ShouldBeTrue)
				if tt.err == nil {
					So(bytes.Equal(got, tt.body), ShouldBeTrue)
				}
			})
		})
	}
}
