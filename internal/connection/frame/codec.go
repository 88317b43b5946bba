package frame

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// MaxBytes bounds an encoded frame. The largest content is the list of what has ended
// on a target while it was not connected.
const MaxBytes = 8 << 20

// ErrMalformed reports bytes that are not a valid frame.
var ErrMalformed = errors.New("frame is malformed")

// encoder appends fields and omits zero values.
type encoder struct {
	b []byte
}

func (e *encoder) varint(n protowire.Number, v uint64) {
	if v == 0 {
		return
	}
	e.b = protowire.AppendTag(e.b, n, protowire.VarintType)
	e.b = protowire.AppendVarint(e.b, v)
}

func (e *encoder) signed(n protowire.Number, v int64) {
	e.varint(n, protowire.EncodeZigZag(v))
}

func (e *encoder) duration(n protowire.Number, d time.Duration) {
	e.signed(n, d.Microseconds())
}

func (e *encoder) boolean(n protowire.Number, v bool) {
	e.varint(n, protowire.EncodeBool(v))
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

// message appends a nested message.
func (e *encoder) message(n protowire.Number, fill func(*encoder)) {
	var p encoder
	fill(&p)
	e.bytes(n, p.b)
}

// Encode returns the protocol buffer encoding of a frame. Number 9 was a whole
// configuration and is not used again.
func Encode(f Frame) []byte {
	var e encoder
	e.duration(1, f.Clock)
	e.duration(2, f.Echo)
	e.signed(3, f.ConfigVersion)
	e.boolean(4, f.EarlierRunsEnded)
	e.boolean(5, f.Leaving)
	if f.Hello != nil {
		e.message(6, f.Hello.encode)
	}
	if f.Target != nil {
		e.message(7, f.Target.encode)
	}
	if f.FreeCapacity != nil {
		e.message(8, f.FreeCapacity.encode)
	}
	for _, s := range f.Starts {
		e.message(10, s.encode)
	}
	for _, r := range f.Stops {
		e.message(11, r.encode)
	}
	for _, r := range f.Started {
		e.message(12, r.encode)
	}
	for _, r := range f.Ended {
		e.message(13, r.encode)
	}
	for _, p := range f.Peers {
		e.message(14, p.encode)
	}
	for _, c := range f.Cancels {
		e.bytes(15, []byte(c))
	}
	for _, p := range f.Progress {
		e.message(16, p.encode)
	}
	e.duration(17, f.ReportInterval)
	e.signed(18, f.NewestVersion)
	e.duration(19, f.NewestAge)
	e.boolean(20, f.KeepConfig)
	if f.ConfigRequest != nil {
		e.message(21, f.ConfigRequest.encode)
	}
	if f.ConfigPiece != nil {
		e.message(22, f.ConfigPiece.encode)
	}
	e.varint(23, uint64(f.ServiceAgents))
	if f.Evacuated.Revision() > 0 {
		e.signed(24, f.Evacuated.Revision())
		for _, z := range f.Evacuated.Zones() {
			e.text(25, z)
		}
	}
	return e.b
}

func (p Progress) encode(e *encoder) {
	e.message(1, p.id.encode)
	e.varint(2, uint64(p.percent))
	e.duration(3, p.runTime)
}

func (h Hello) encode(e *encoder) {
	e.text(1, h.name)
	e.varint(2, h.incarnation)
	e.text(3, h.zone)
	e.text(4, h.address)
	e.varint(5, uint64(h.role))
}

func (t Target) encode(e *encoder) {
	e.text(1, t.incarnation)
	e.text(2, t.service)
	e.text(3, t.zone)
	for _, l := range t.labels {
		e.bytes(4, []byte(l))
	}
	e.signed(5, t.milliCores)
	e.signed(6, t.memoryMB)
	e.signed(7, t.accelerators)
	e.boolean(8, t.usable)
	e.duration(9, t.warmUp)
	e.duration(10, t.leavesIn)
}

func (c FreeCapacity) encode(e *encoder) {
	e.signed(1, c.milliCores)
	e.signed(2, c.memoryMB)
	e.signed(3, c.accelerators)
	e.signed(4, int64(c.queued))
	e.varint(5, c.lastStart)
}

func (s Start) encode(e *encoder) {
	e.varint(1, s.number)
	e.text(2, s.job)
	e.varint(3, uint64(s.step))
	for _, i := range s.indexes {
		e.b = protowire.AppendTag(e.b, 4, protowire.VarintType)
		e.b = protowire.AppendVarint(e.b, uint64(i))
	}
	for _, r := range s.runs {
		e.b = protowire.AppendTag(e.b, 5, protowire.VarintType)
		e.b = protowire.AppendVarint(e.b, uint64(r))
	}
	e.text(6, s.spec)
	e.signed(7, s.milliCores)
	e.signed(8, s.memoryMB)
	e.signed(9, s.accelerators)
	e.duration(10, s.notAfter)
	e.duration(11, s.timeLimit)
	e.signed(12, s.rank)
}

func (r RunID) encode(e *encoder) {
	e.text(1, r.job)
	e.varint(2, uint64(r.step))
	e.varint(3, uint64(r.index))
	e.varint(4, uint64(r.run))
}

func (x Ended) encode(e *encoder) {
	e.message(1, x.id.encode)
	e.varint(2, uint64(x.end))
	e.duration(3, x.runTime)
}

func (p Peer) encode(e *encoder) {
	e.text(1, p.name)
	e.text(2, p.address)
	e.text(3, p.zone)
}
