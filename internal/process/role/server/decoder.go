package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/transfer"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// decoderRingSize bounds the configurations that wait to be decoded. Each may have a MB.
const decoderRingSize = 4

// undecoded is a configuration in its stored or in its packed form.
type undecoded struct {
	stored  []byte
	packed  frame.Config
	arrival dispatch.Arrival
	// at is when the configuration was complete.
	at time.Duration
	// readBegan is when the read of the store began whose result this is; 0 if it is not
	// known to be the newest then.
	readBegan time.Duration
}

// decoder is the duty that decodes and packs configurations, so that the duty that owns
// the dispatcher does not wait for a large one.
type decoder struct {
	decode Decode
	clock  func() time.Duration
	log    func(event.Note)
	ring   *ring.Ring[undecoded]
	// pass gives the dispatcher an event.
	pass func(context.Context, dispatch.Event)
	// digest is that of the stored form that was decoded last, and number its version.
	digest [sha256.Size]byte
	number int64
}

func newDecoder(b *base, pass func(context.Context, dispatch.Event)) (*decoder, error) {
	r, err := ring.New[undecoded]("versions", decoderRingSize)
	if err != nil {
		return nil, err
	}
	d := &decoder{
		decode: b.deps.Decode,
		clock:  b.clock,
		log:    b.log,
		ring:   r,
		pass:   pass,
	}
	return d, b.add("versions", "Decodes and packs configurations.", ringGauge(r), d.run)
}

func (d *decoder) run(ctx context.Context) error {
	for {
		u, err := d.ring.Pop(ctx)
		if err != nil {
			return nil
		}
		d.handle(ctx, u)
	}
}

// handle passes on a configuration. One that can't be used is logged; the dispatcher
// learns the number, so that it does not ask for that version again.
func (d *decoder) handle(ctx context.Context, u undecoded) {
	began := d.clock()
	stored, packed, err := unpacked(u)
	if err != nil {
		d.invalid(ctx, u, err)
		return
	}
	digest := sha256.Sum256(stored)
	if d.number == 0 || !bytes.Equal(digest[:], d.digest[:]) {
		v, err := d.decode(stored)
		if err == nil && packed == nil {
			packed, err = transfer.Pack(stored)
		}
		if err != nil {
			d.invalid(ctx, u, err)
			return
		}
		d.digest = digest
		d.number = v.Number()
		d.logLeftOut(v)
		a := dispatch.NewArrival(u.arrival.Source(), u.arrival.Read(), d.clock()-began)
		d.pass(ctx, dispatch.VersionReceived(v, frame.NewConfig(v.Number(), packed)).Arrived(a).QueuedAt(u.at))
	}
	if u.readBegan > 0 {
		d.pass(ctx, dispatch.StoreRead(d.number, u.readBegan))
	}
}

// unpacked returns the stored form, and the packed form if the configuration has come
// in it.
func unpacked(u undecoded) (stored, packed []byte, err error) {
	if u.packed.Number() == 0 {
		return u.stored, nil, nil
	}
	stored, err = transfer.Unpack(u.packed.Body())
	return stored, u.packed.Body(), err
}

func (d *decoder) invalid(ctx context.Context, u undecoded, err error) {
	d.log(event.New(event.ConfigInvalid, event.F("error", err.Error()), event.F("source", u.arrival.Source()),
		event.F("bytes", len(u.stored)+len(u.packed.Body()))).About("configuration"))
	if n := u.packed.Number(); n > 0 {
		d.pass(ctx, dispatch.VersionUnusable(n))
	}
}

func (d *decoder) logLeftOut(v *route.Version) {
	for _, err := range v.LeftOut() {
		d.log(event.New(event.ValueInvalid, event.F("version", v.Number()), event.F("error", err.Error())).About(err.Error()))
	}
}
