package frame

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// MaxBytes bounds an encoded frame; a configuration of many routes is the
// largest content.
const MaxBytes = 8 << 20

// ErrMalformed reports bytes that are no frame.
var ErrMalformed = errors.New("frame is malformed")

// encoder appends fields; zero values are left out.
type encoder struct {
	b []byte
}

func (e *encoder) number(n protowire.Number, v uint64) {
	if v == 0 {
		return
	}
	e.b = protowire.AppendTag(e.b, n, protowire.VarintType)
	e.b = protowire.AppendVarint(e.b, v)
}

func (e *encoder) signed(n protowire.Number, v int64) {
	e.number(n, protowire.EncodeZigZag(v))
}

func (e *encoder) duration(n protowire.Number, d time.Duration) {
	e.signed(n, d.Microseconds())
}

func (e *encoder) flag(n protowire.Number, v bool) {
	e.number(n, protowire.EncodeBool(v))
}

func (e *encoder) text(n protowire.Number, s string) {
	if s == "" {
		return
	}
	e.b = protowire.AppendTag(e.b, n, protowire.BytesType)
	e.b = protowire.AppendString(e.b, s)
}

func (e *encoder) bytes(n protowire.Number, b []byte) {
	e.b = protowire.AppendTag(e.b, n, protowire.BytesType)
	e.b = protowire.AppendBytes(e.b, b)
}

// part appends a message within the message.
func (e *encoder) part(n protowire.Number, fill func(*encoder)) {
	var p encoder
	fill(&p)
	e.bytes(n, p.b)
}

// Encode returns the bytes of a frame.
func Encode(f Frame) []byte {
	var e encoder
	e.duration(1, f.Clock)
	e.duration(2, f.Echo)
	e.signed(3, f.ConfigVersion)
	e.flag(4, f.EarlierRunsEnded)
	e.flag(5, f.Leaving)
	if f.Hello != nil {
		e.part(6, f.Hello.encode)
	}
	if f.Target != nil {
		e.part(7, f.Target.encode)
	}
	if f.FreeCapacity != nil {
		e.part(8, f.FreeCapacity.encode)
	}
	if f.Config != nil {
		e.part(9, f.Config.encode)
	}
	for _, s := range f.Starts {
		e.part(10, s.encode)
	}
	for _, r := range f.Stops {
		e.part(11, r.encode)
	}
	for _, r := range f.Started {
		e.part(12, r.encode)
	}
	for _, r := range f.Ended {
		e.part(13, r.encode)
	}
	for _, p := range f.Peers {
		e.part(14, p.encode)
	}
	for _, c := range f.Cancels {
		e.bytes(15, []byte(c))
	}
	for _, p := range f.Progress {
		e.part(16, p.encode)
	}
	return e.b
}

func (p Progress) encode(e *encoder) {
	e.part(1, p.id.encode)
	e.number(2, uint64(p.percent))
	e.duration(3, p.ran)
}

func (h Hello) encode(e *encoder) {
	e.text(1, h.name)
	e.number(2, h.boot)
	e.text(3, h.zone)
	e.text(4, h.address)
	e.number(5, uint64(h.role))
}

func (t Target) encode(e *encoder) {
	e.text(1, t.boot)
	e.text(2, t.service)
	e.text(3, t.zone)
	for _, l := range t.labels {
		e.bytes(4, []byte(l))
	}
	e.signed(5, t.milliCores)
	e.signed(6, t.memoryMB)
	e.signed(7, t.accels)
	e.flag(8, t.usable)
	e.duration(9, t.cold)
}

func (r FreeCapacity) encode(e *encoder) {
	e.signed(1, r.milliCores)
	e.signed(2, r.memoryMB)
	e.signed(3, r.accels)
	e.signed(4, int64(r.waiting))
	e.number(5, r.seen)
}

func (c Config) encode(e *encoder) {
	e.signed(1, c.number)
	e.bytes(2, c.body)
}

func (s Start) encode(e *encoder) {
	e.number(1, s.number)
	e.text(2, s.job)
	e.number(3, uint64(s.step))
	for _, i := range s.indexes {
		e.b = protowire.AppendTag(e.b, 4, protowire.VarintType)
		e.b = protowire.AppendVarint(e.b, uint64(i))
	}
	for _, r := range s.runs {
		e.b = protowire.AppendTag(e.b, 5, protowire.VarintType)
		e.b = protowire.AppendVarint(e.b, uint64(r))
	}
	e.text(6, s.spec)
	e.signed(7, s.cores)
	e.signed(8, s.memoryMB)
	e.signed(9, s.accels)
	e.duration(10, s.notAfter)
	e.duration(11, s.limit)
	e.signed(12, s.rank)
}

func (r RunID) encode(e *encoder) {
	e.text(1, r.job)
	e.number(2, uint64(r.step))
	e.number(3, uint64(r.index))
	e.number(4, uint64(r.run))
}

func (x Ended) encode(e *encoder) {
	e.part(1, x.id.encode)
	e.number(2, uint64(x.end))
	e.duration(3, x.ran)
}

func (p Peer) encode(e *encoder) {
	e.text(1, p.name)
	e.text(2, p.address)
}
