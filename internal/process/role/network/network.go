// Package network is the duty that transports messages between processes.
//
// One goroutine owns the state machines of the links to all peers. Each stream has
// a reader, which pushes received frames into the duty's ring, and a writer, which
// takes frames from the stream's own ring. Other duties post to this one without
// waiting, and a message that finds the ring or the window full is reported as
// undelivered, so that no two duties can block each other. A message to the
// process itself is delivered without a link.
package network

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/connection/link"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/wire"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// Sizes and intervals of the duty.
const (
	ringSize     = 8192
	wakeInterval = 100 * time.Millisecond
	flushTimeout = time.Second
	// maxBodyBytes leaves 64 KiB of a frame for its other fields. A larger body would
	// end every stream on which it is sent.
	maxBodyBytes = maxFrameBytes - 1<<16
	// maxReplaced limits the remembered incarnations that have been replaced.
	maxReplaced = 1024
)

// Address is an event: a process listens at an address.
type Address struct {
	process identity.Process
	address string
}

// NewAddress returns the event that p listens at address, a host and a port.
func NewAddress(p identity.Process, address string) Address {
	return Address{
		process: p,
		address: address,
	}
}

// Hint is an event: the capacity hint to send with the next frames.
type Hint struct {
	capacities []message.Capacity
}

// NewHint returns the event with the free capacity per service.
func NewHint(capacities []message.Capacity) Hint {
	return Hint{
		capacities: capacities,
	}
}

type frameReceived struct {
	peer   identity.Process
	stream link.Stream
	frame  link.Frame
}

type streamOpened struct {
	peer     identity.Process
	expected identity.Process
	address  string
	stream   *stream
}

type streamClosed struct {
	peer   identity.Process
	stream link.Stream
}

// Seams are the functions that the duty needs from its process. Now, Deliver and
// Undelivered are required.
type Seams struct {
	// Now returns the time.
	Now func() time.Time
	// Credit returns the credit issued at this moment; nil in a process without an
	// agent, which issues 0.
	Credit func() uint64
	// Deliver passes a message.Received or a message.ProcessEnded to the duty
	// concerned. It may wait while that duty's ring is full.
	Deliver func(context.Context, any)
	// Undelivered notifies the sender's duty that a message was not sent.
	Undelivered func(context.Context, message.Undelivered)
	// Partitioned reports whether the traffic with a peer is discarded. It serves fault
	// tests; nil discards nothing.
	Partitioned func(identity.Process) bool
	// TLSConfig returns the configuration of a link to a host; nil for links without
	// TLS.
	TLSConfig func(host string) *tls.Config
}

// Network owns all links of a process.
type Network struct {
	self           identity.Process
	address        string
	seams          Seams
	log            *logrus.Entry
	ring           *ring.Ring[any]
	links          map[identity.Process]*link.Link
	streams        map[link.Stream]*stream
	addresses      map[identity.Process]string
	replaced       map[identity.Process]bool
	replacedOrder  []identity.Process
	capacities     []message.Capacity
	hint           []byte
	lastSelfReport time.Time
	dialer         *dialer
}

// New returns the network of a process that listens at address; the address is
// empty for a process that only dials.
func New(self identity.Process, address string, seams Seams, log *logrus.Entry) (*Network, func(), error) {
	if seams.Now == nil || seams.Deliver == nil || seams.Undelivered == nil {
		return nil, nil, errors.New("network requires Now, Deliver and Undelivered, got nil for at least one")
	}
	if seams.Credit == nil {
		seams.Credit = func() uint64 { return 0 }
	}
	r, err := ring.New[any]("network", ringSize)
	if err != nil {
		return nil, nil, err
	}
	n := &Network{
		self:      self,
		address:   address,
		seams:     seams,
		log:       log,
		ring:      r,
		links:     map[identity.Process]*link.Link{},
		streams:   map[link.Stream]*stream{},
		addresses: map[identity.Process]string{},
		replaced:  map[identity.Process]bool{},
	}
	n.dialer = newDialer(n)
	return n, n.dialer.cleanup, nil
}

// Ring returns the duty's ring, for the process's table of duties.
func (n *Network) Ring() *ring.Ring[any] {
	return n.ring
}

// Post passes a message.Send, an Address or a Hint to the duty. It does not wait and
// fails if the ring is full.
func (n *Network) Post(m any) error {
	return n.ring.TryPush(m)
}

// Run executes the duty until ctx ends. Then it waits for acknowledgements and
// flushes the streams, each for a limited time.
func (n *Network) Run(ctx context.Context) error {
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	defer n.closeStreams()
	for {
		select {
		case m := <-n.ring.Out():
			n.handle(ctx, m)
		case <-ticker.C:
			n.wake(ctx)
		case <-ctx.Done():
			n.awaitAcknowledgements(context.WithoutCancel(ctx), ticker)
			return nil
		}
	}
}

// awaitAcknowledgements continues until every connected peer has acknowledged all
// messages, so that the last reports of a leaving process are not lost. A written
// frame alone is not enough: it may still be in a buffer that is discarded when its
// stream ends.
func (n *Network) awaitAcknowledgements(ctx context.Context, ticker *time.Ticker) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for n.hasPending() {
		select {
		case m := <-n.ring.Out():
			n.handle(ctx, m)
		case <-ticker.C:
			n.wake(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (n *Network) hasPending() bool {
	if n.ring.Depth() > 0 {
		return true
	}
	for _, l := range n.links {
		if l.Connected() && l.Unacknowledged() > 0 {
			return true
		}
	}
	return false
}

// closeStreams flushes the rings of the streams, so that the last replies of a
// leaving process are not lost, and closes the streams.
func (n *Network) closeStreams() {
	limit := time.NewTimer(flushTimeout)
	defer limit.Stop()
	for _, s := range n.streams {
		s.finish()
	}
	for _, s := range n.streams {
		select {
		case <-s.flushed:
		case <-limit.C:
		}
		s.close()
	}
}

func (n *Network) handle(ctx context.Context, m any) {
	now := n.seams.Now()
	switch m := m.(type) {
	case message.Send:
		n.send(ctx, now, m)
	case Address:
		if n.replaced[m.process] {
			return
		}
		n.addresses[m.process] = m.address
		if l, ok := n.links[m.process]; ok {
			l.SetDialable()
		}
	case Hint:
		n.setHint(ctx, m)
	case frameReceived:
		n.receiveFrame(ctx, now, m)
	case streamOpened:
		n.streamOpened(ctx, now, m)
	case streamClosed:
		n.streamClosed(ctx, now, m)
	}
}

func (n *Network) setHint(ctx context.Context, h Hint) {
	n.capacities = h.capacities
	n.hint = wire.EncodeCapacity(h.capacities)
	for _, l := range n.links {
		l.SetHint(n.hint)
	}
	n.seams.Deliver(ctx, message.NewReceived(n.self, n.seams.Credit(), h.capacities, nil))
}

func (n *Network) send(ctx context.Context, now time.Time, s message.Send) {
	if s.To() == n.self {
		n.seams.Deliver(ctx, message.NewReceived(n.self, n.seams.Credit(), nil, s.Body()))
		return
	}
	body, err := wire.Encode(s.Body())
	if err == nil && len(body) > maxBodyBytes {
		err = errors.Errorf("%T has %d bytes, allowed are up to %d", s.Body(), len(body), maxBodyBytes)
	}
	if err == nil && n.replaced[s.To()] {
		n.seams.Undelivered(ctx, message.NewUndelivered(s))
		return
	}
	if err != nil {
		n.log.WithError(err).Error("cannot send message")
		n.seams.Undelivered(ctx, message.NewUndelivered(s))
		return
	}
	l := n.linkTo(now, s.To())
	effects, ok := l.Post(now, body)
	if !ok {
		n.seams.Undelivered(ctx, message.NewUndelivered(s))
		return
	}
	n.apply(ctx, l, effects)
}

func (n *Network) wake(ctx context.Context) {
	now := n.seams.Now()
	for _, l := range n.links {
		n.apply(ctx, l, l.Wake(now))
	}
	if n.capacities != nil && now.Sub(n.lastSelfReport) >= link.HeartbeatInterval {
		n.lastSelfReport = now
		n.seams.Deliver(ctx, message.NewReceived(n.self, n.seams.Credit(), n.capacities, nil))
	}
}

func (n *Network) apply(ctx context.Context, l *link.Link, effects []any) {
	for _, e := range effects {
		switch e := e.(type) {
		case link.Transmit:
			n.transmit(l, e)
		case link.Deliver:
			n.deliver(ctx, l, e.Frame())
		case link.Dial:
			n.dialer.dial(l.Peer(), n.addresses[l.Peer()])
		case link.Close:
			if s, ok := n.streams[e.Stream()]; ok {
				s.close()
			}
		}
	}
}

func (n *Network) transmit(l *link.Link, e link.Transmit) {
	s, ok := n.streams[e.Stream()]
	if !ok || n.partitioned(l.Peer()) {
		return
	}
	f := e.Frame()
	if err := s.out.TryPush(&f); err != nil {
		n.log.WithField("peer", l.Peer().String()).Warn("ring of the stream is full, closing the stream")
		s.close()
	}
}

func (n *Network) deliver(ctx context.Context, l *link.Link, f link.Frame) {
	var capacities []message.Capacity
	if hint, ok := f.Hint(); ok {
		r, err := wire.DecodeCapacity(hint)
		if err == nil {
			capacities = r
		}
	}
	var body any
	if f.Body() != nil {
		m, err := wire.Decode(f.Body())
		if err != nil {
			n.log.WithError(err).WithField("peer", l.Peer().String()).Warn("cannot decode message, dropping it")
			return
		}
		body = m
	}
	n.seams.Deliver(ctx, message.NewReceived(l.Peer(), f.Credit(), capacities, body))
}
