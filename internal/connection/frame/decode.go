package frame

import (
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// field is one decoded field: value holds a varint, bytes the content of a
// length-delimited field.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

func (f field) signed() int64 {
	return protowire.DecodeZigZag(f.value)
}

// The bounds of decoded values, within which sums and differences do not overflow.
const (
	maxMicroseconds = 10 * 365 * 24 * int64(time.Hour/time.Microsecond)
	// maxRunTime bounds run times, which are multiplied by 100.
	maxRunTime = 30 * 24 * time.Hour
	// maxAmount bounds amounts of resources and numbers of starts and runs.
	maxAmount = 1 << 40
	// maxPercent is the progress of a run whose work is done.
	maxPercent = 100
)

func (f field) duration() time.Duration {
	us := max(-maxMicroseconds, min(f.signed(), maxMicroseconds))
	return time.Duration(us) * time.Microsecond
}

// runTime returns a duration that is multiplied in calculations.
func (f field) runTime() time.Duration {
	return max(0, min(f.duration(), maxRunTime))
}

// amount returns the amount of a resource; it is negative where more is queued than
// free.
func (f field) amount() int64 {
	return max(-maxAmount, min(f.signed(), maxAmount))
}

// count returns a number that counts from 0.
func (f field) count() int {
	return int(min(f.value, maxAmount))
}

func (f field) boolean() bool {
	return protowire.DecodeBool(f.value)
}

// decode passes each field of a message to handle. It skips fields of other wire
// types, which come from later versions.
func decode(b []byte, handle func(field) error) error {
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
		if err := handle(f); err != nil {
			return err
		}
	}
	return nil
}

// Decode returns the frame that Encode encoded as b. The error wraps ErrMalformed.
func Decode(b []byte) (Frame, error) {
	var f Frame
	err := decode(b, func(x field) error { return f.setField(x) })
	if f.Evacuated.Revision() == 0 {
		f.Evacuated = evacuation.Set{}
	}
	return f, err
}

func (f *Frame) setField(x field) error {
	switch x.number {
	case 1:
		f.Clock = x.duration()
	case 2:
		f.Echo = x.duration()
	case 3:
		f.ConfigVersion = x.signed()
	case 4:
		f.EarlierRunsEnded = x.boolean()
	case 5:
		f.Leaving = x.boolean()
	case 6:
		f.Hello = &Hello{}
		return decode(x.bytes, f.Hello.setField)
	case 7:
		f.Target = &Target{}
		return decode(x.bytes, f.Target.setField)
	case 8:
		f.FreeCapacity = &FreeCapacity{}
		return decode(x.bytes, f.FreeCapacity.setField)
	default:
		return f.setListField(x)
	}
	return nil
}

func (f *Frame) setListField(x field) error {
	switch x.number {
	case 10:
		var s Start
		err := decode(x.bytes, s.setField)
		f.Starts = append(f.Starts, s)
		if err == nil && len(s.indexes) != len(s.runs) {
			return errors.Wrapf(ErrMalformed, "start of %d tasks with %d runs", len(s.indexes), len(s.runs))
		}
		if !utf8.ValidString(s.job) || !utf8.ValidString(s.spec) {
			// The target would be told another text.
			return errors.Wrap(ErrMalformed, "start whose job or payload is not Unicode")
		}
		return err
	case 11:
		var r RunID
		err := decode(x.bytes, r.setField)
		f.Stops = append(f.Stops, r)
		return err
	case 12:
		var r RunID
		err := decode(x.bytes, r.setField)
		f.Started = append(f.Started, r)
		return err
	case 13:
		var r Ended
		err := decode(x.bytes, r.setField)
		f.Ended = append(f.Ended, r)
		return err
	case 14:
		var p Peer
		err := decode(x.bytes, p.setField)
		f.Peers = append(f.Peers, p)
		return err
	case 15:
		f.Cancels = append(f.Cancels, string(x.bytes))
	case 16:
		var p Progress
		err := decode(x.bytes, p.setField)
		f.Progress = append(f.Progress, p)
		return err
	case 17:
		f.ReportInterval = x.duration()
	default:
		return f.setConfigField(x)
	}
	return nil
}

func (f *Frame) setConfigField(x field) error {
	switch x.number {
	case 18:
		f.NewestVersion = x.signed()
	case 19:
		f.NewestAge = x.duration()
	case 20:
		f.KeepConfig = x.boolean()
	case 21:
		f.ConfigRequest = &ConfigRequest{}
		return decode(x.bytes, f.ConfigRequest.setField)
	case 22:
		f.ConfigPiece = &ConfigPiece{}
		return decode(x.bytes, f.ConfigPiece.setField)
	case 23:
		f.ServiceAgents = x.count()
	case 24:
		f.Evacuated = evacuation.New(x.signed(), f.Evacuated.Zones())
	case 25:
		return f.addEvacuated(string(x.bytes))
	}
	return nil
}

// addEvacuated adds an evacuated zone. A set of which a part is left out would end the
// evacuation of that part, so the frame is refused.
func (f *Frame) addEvacuated(zone string) error {
	if zones := f.Evacuated.Zones(); !evacuation.Valid(zone) || len(zones) >= evacuation.MaxZones {
		return errors.Wrapf(ErrMalformed, "evacuated zone of %d bytes after %d others", len(zone), len(zones))
	}
	f.Evacuated = evacuation.New(f.Evacuated.Revision(), append(f.Evacuated.Zones(), zone))
	return nil
}

func (p *Progress) setField(x field) error {
	switch x.number {
	case 1:
		return decode(x.bytes, p.id.setField)
	case 2:
		if x.value <= maxPercent {
			p.percent = int(x.value)
		}
	case 3:
		p.runTime = x.runTime()
	}
	return nil
}

func (h *Hello) setField(x field) error {
	switch x.number {
	case 1:
		h.name = string(x.bytes)
	case 2:
		h.incarnation = x.value
	case 3:
		h.zone = string(x.bytes)
	case 4:
		h.address = string(x.bytes)
	case 5:
		h.role = Role(x.count())
	}
	return nil
}

func (t *Target) setField(x field) error {
	switch x.number {
	case 1:
		t.incarnation = string(x.bytes)
	case 2:
		t.service = string(x.bytes)
	case 3:
		t.zone = string(x.bytes)
	case 4:
		t.labels = append(t.labels, string(x.bytes))
	case 5:
		t.milliCores = x.amount()
	case 6:
		t.memoryMB = x.amount()
	case 7:
		t.accelerators = x.amount()
	case 8:
		t.usable = x.boolean()
	case 9:
		t.warmUp = x.duration()
	case 10:
		t.leavesIn = x.duration()
	}
	return nil
}

func (c *FreeCapacity) setField(x field) error {
	switch x.number {
	case 1:
		c.milliCores = x.amount()
	case 2:
		c.memoryMB = x.amount()
	case 3:
		c.accelerators = x.amount()
	case 4:
		c.queued = int(x.amount())
	case 5:
		c.lastStart = x.value
	}
	return nil
}

func (s *Start) setField(x field) error {
	switch x.number {
	case 1:
		s.number = x.value
	case 2:
		s.job = string(x.bytes)
	case 3:
		s.step = x.count()
	case 4:
		s.indexes = append(s.indexes, x.count())
	case 5:
		s.runs = append(s.runs, int64(x.count()))
	case 6:
		s.spec = string(x.bytes)
	case 7:
		s.milliCores = x.amount()
	case 8:
		s.memoryMB = x.amount()
	case 9:
		s.accelerators = x.amount()
	case 10:
		s.notAfter = x.duration()
	case 11:
		s.timeLimit = x.duration()
	case 12:
		s.rank = x.signed()
	}
	return nil
}

func (r *RunID) setField(x field) error {
	switch x.number {
	case 1:
		r.job = string(x.bytes)
	case 2:
		r.step = x.count()
	case 3:
		r.index = x.count()
	case 4:
		r.run = int64(x.count())
	}
	return nil
}

func (x *Ended) setField(f field) error {
	switch f.number {
	case 1:
		return decode(f.bytes, x.id.setField)
	case 2:
		x.end = f.count()
	case 3:
		x.runTime = f.runTime()
	}
	return nil
}

func (p *Peer) setField(x field) error {
	switch x.number {
	case 1:
		p.name = string(x.bytes)
	case 2:
		p.address = string(x.bytes)
	case 3:
		p.zone = string(x.bytes)
	}
	return nil
}
