package frame

import (
	"math"
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
	e.signed(3, f.Known)
	e.flag(4, f.Cleared)
	e.flag(5, f.Leaving)
	if f.Hello != nil {
		e.part(6, f.Hello.encode)
	}
	if f.Target != nil {
		e.part(7, f.Target.encode)
	}
	if f.Room != nil {
		e.part(8, f.Room.encode)
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
	for _, r := range f.Began {
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

func (r Room) encode(e *encoder) {
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

// field is one decoded field: a number or bytes, by its wire type.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

func (f field) signed() int64 {
	return protowire.DecodeZigZag(f.value)
}

// maxMicroseconds bounds durations so that they do not overflow.
const maxMicroseconds = math.MaxInt64 / int64(time.Microsecond)

func (f field) duration() time.Duration {
	us := max(-maxMicroseconds, min(f.signed(), maxMicroseconds))
	return time.Duration(us) * time.Microsecond
}

func (f field) flag() bool {
	return protowire.DecodeBool(f.value)
}

// decode hands each field of a message to take. Fields of other wire types come
// from a later version and are passed over.
func decode(b []byte, take func(field) error) error {
	for len(b) > 0 {
		n, typ, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errors.Wrap(ErrMalformed, protowire.ParseError(size).Error())
		}
		b = b[size:]
		f := field{
			number: n,
		}
		switch typ {
		case protowire.VarintType:
			f.value, size = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.bytes, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, typ, b)
			f.number = 0
		}
		if size < 0 {
			return errors.Wrap(ErrMalformed, protowire.ParseError(size).Error())
		}
		b = b[size:]
		if f.number == 0 {
			continue
		}
		if err := take(f); err != nil {
			return err
		}
	}
	return nil
}

// Decode is the inverse of Encode.
func Decode(b []byte) (Frame, error) {
	var f Frame
	err := decode(b, func(x field) error { return f.take(x) })
	return f, err
}

func (f *Frame) take(x field) error {
	switch x.number {
	case 1:
		f.Clock = x.duration()
	case 2:
		f.Echo = x.duration()
	case 3:
		f.Known = x.signed()
	case 4:
		f.Cleared = x.flag()
	case 5:
		f.Leaving = x.flag()
	case 6:
		f.Hello = &Hello{}
		return decode(x.bytes, f.Hello.take)
	case 7:
		f.Target = &Target{}
		return decode(x.bytes, f.Target.take)
	case 8:
		f.Room = &Room{}
		return decode(x.bytes, f.Room.take)
	case 9:
		f.Config = &Config{}
		return decode(x.bytes, f.Config.take)
	default:
		return f.takeList(x)
	}
	return nil
}

func (f *Frame) takeList(x field) error {
	switch x.number {
	case 10:
		var s Start
		err := decode(x.bytes, s.take)
		f.Starts = append(f.Starts, s)
		if err == nil && len(s.indexes) != len(s.runs) {
			return errors.Wrapf(ErrMalformed, "start of %d tasks with %d runs", len(s.indexes), len(s.runs))
		}
		return err
	case 11:
		var r RunID
		err := decode(x.bytes, r.take)
		f.Stops = append(f.Stops, r)
		return err
	case 12:
		var r RunID
		err := decode(x.bytes, r.take)
		f.Began = append(f.Began, r)
		return err
	case 13:
		var r Ended
		err := decode(x.bytes, r.take)
		f.Ended = append(f.Ended, r)
		return err
	case 14:
		var p Peer
		err := decode(x.bytes, p.take)
		f.Peers = append(f.Peers, p)
		return err
	case 15:
		f.Cancels = append(f.Cancels, string(x.bytes))
	case 16:
		var p Progress
		err := decode(x.bytes, p.take)
		f.Progress = append(f.Progress, p)
		return err
	}
	return nil
}

func (p *Progress) take(x field) error {
	switch x.number {
	case 1:
		return decode(x.bytes, p.id.take)
	case 2:
		p.percent = int(x.value)
	case 3:
		p.ran = x.duration()
	}
	return nil
}

func (h *Hello) take(x field) error {
	switch x.number {
	case 1:
		h.name = string(x.bytes)
	case 2:
		h.boot = x.value
	case 3:
		h.zone = string(x.bytes)
	case 4:
		h.address = string(x.bytes)
	case 5:
		h.role = Role(x.value)
	}
	return nil
}

func (t *Target) take(x field) error {
	switch x.number {
	case 1:
		t.boot = string(x.bytes)
	case 2:
		t.service = string(x.bytes)
	case 3:
		t.zone = string(x.bytes)
	case 4:
		t.labels = append(t.labels, string(x.bytes))
	case 5:
		t.milliCores = x.signed()
	case 6:
		t.memoryMB = x.signed()
	case 7:
		t.accels = x.signed()
	case 8:
		t.usable = x.flag()
	case 9:
		t.cold = x.duration()
	}
	return nil
}

func (r *Room) take(x field) error {
	switch x.number {
	case 1:
		r.milliCores = x.signed()
	case 2:
		r.memoryMB = x.signed()
	case 3:
		r.accels = x.signed()
	case 4:
		r.waiting = int(x.signed())
	case 5:
		r.seen = x.value
	}
	return nil
}

func (c *Config) take(x field) error {
	switch x.number {
	case 1:
		c.number = x.signed()
	case 2:
		c.body = append([]byte(nil), x.bytes...)
	}
	return nil
}

func (s *Start) take(x field) error {
	switch x.number {
	case 1:
		s.number = x.value
	case 2:
		s.job = string(x.bytes)
	case 3:
		s.step = int(x.value)
	case 4:
		s.indexes = append(s.indexes, int(x.value))
	case 5:
		s.runs = append(s.runs, int64(x.value))
	case 6:
		s.spec = string(x.bytes)
	case 7:
		s.cores = x.signed()
	case 8:
		s.memoryMB = x.signed()
	case 9:
		s.accels = x.signed()
	case 10:
		s.notAfter = x.duration()
	case 11:
		s.limit = x.duration()
	case 12:
		s.rank = x.signed()
	}
	return nil
}

func (r *RunID) take(x field) error {
	switch x.number {
	case 1:
		r.job = string(x.bytes)
	case 2:
		r.step = int(x.value)
	case 3:
		r.index = int(x.value)
	case 4:
		r.run = int64(x.value)
	}
	return nil
}

func (x *Ended) take(f field) error {
	switch f.number {
	case 1:
		return decode(f.bytes, x.id.take)
	case 2:
		x.end = int(f.value)
	case 3:
		x.ran = f.duration()
	}
	return nil
}

func (p *Peer) take(x field) error {
	switch x.number {
	case 1:
		p.name = string(x.bytes)
	case 2:
		p.address = string(x.bytes)
	}
	return nil
}
