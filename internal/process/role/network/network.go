// Package network is the duty that carries messages between processes.
//
// One goroutine owns the link decisions of all peers. Each stream has a reader,
// which pushes received frames into the duty's ring, and a writer, which drains
// the stream's own ring. Every other duty posts to this one without waiting: a
// full ring or window is reported as undelivered, so that no two duties can wait
// for each other. A message to the process itself takes no link.
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

// The sizes and times of the duty.
const (
	ringSize     = 8192
	wakeInterval = 100 * time.Millisecond
	flushTimeout = time.Second
	// maxBodyBytes leaves room for the rest of the frame. A larger body would end
	// every stream that carries it.
	maxBodyBytes = maxFrameBytes - 1<<16
	// maxReplaced bounds the runs that are known to be replaced.
	maxReplaced = 1024
)

// Address tells where a process listens.
type Address struct {
	process identity.Process
	address string
}

// NewAddress returns the event.
func NewAddress(p identity.Process, address string) Address {
	return Address{
		process: p,
		address: address,
	}
}

// Hint is an event: the capacity hint that goes out with the next frames.
type Hint struct {
	capacities []message.Capacity
}

// NewHint returns the event.
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

// Seams are what the duty needs from its process.
type Seams struct {
	// Now is the clock.
	Now func() time.Time
	// Credit is the credit issued at this moment; 0 from a process without agent.
	Credit func() uint64
	// Deliver hands a message.Received or a message.ProcessEnded to the duty concerned. It
	// may wait for room in that duty's ring.
	Deliver func(context.Context, any)
	// Undelivered tells the duty of the sender that a message did not leave.
	Undelivered func(context.Context, message.Undelivered)
	// Partitioned decides for fault tests whether the traffic with a peer is lost; nil
	// outside them.
	Partitioned func(identity.Process) bool
	// TLSConfig returns the configuration of a link to a host; nil for plain links.
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
		return nil, nil, errors.New("network needs a clock and receivers")
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

// Ring is the duty's ring, for the process's table.
func (n *Network) Ring() *ring.Ring[any] {
	return n.ring
}

// Post hands over a Send, an Address or a Hint without waiting.
func (n *Network) Post(m any) error {
	return n.ring.TryPush(m)
}

// Run is the duty.
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

// awaitAcknowledgements goes on until every connected peer has acknowledged what it was sent, so
// that a leaving process does not cut off its last reports. A frame that was
// written may still be in a buffer that the end of its stream discards.
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

// closeStreams flushes what the streams still hold, so that a leaving process
// does not lose its last replies.
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
		err = errors.Errorf("%T has %d bytes, allowed are %d", s.Body(), len(body), maxBodyBytes)
	}
	if err == nil && n.replaced[s.To()] {
		n.seams.Undelivered(ctx, message.NewUndelivered(s))
		return
	}
	if err != nil {
		n.log.WithError(err).Error("message cannot be sent")
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
		n.log.WithField("peer", l.Peer().String()).Warn("stream takes no more frames, closing it")
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
			n.log.WithError(err).WithField("peer", l.Peer().String()).Warn("message dropped")
			return
		}
		body = m
	}
	n.seams.Deliver(ctx, message.NewReceived(l.Peer(), f.Credit(), capacities, body))
}
