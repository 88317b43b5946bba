// Package link keeps the exchange of bodies between two processes alive over
// changing streams.
//
// A stream can go silent for good while new streams to the same peer work, so a
// link is not tied to one stream. It numbers the bodies it sends, keeps them
// until the peer has acknowledged them, and sends them again on a new stream.
// The receiver takes bodies in order and drops those it has seen. After a second
// of silence a new stream is opened beside the old one; whichever delivers wins.
//
// The link is a decision: it has no socket and no clock, and its owner carries
// out the effects.
package link

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

// The times and sizes of a link.
const (
	// HeartbeatInterval must stay below the 500 ms for which a credit is valid.
	HeartbeatInterval = 300 * time.Millisecond
	// SilenceTimeout is the silence after which a new stream is opened.
	SilenceTimeout = time.Second
	// StallTimeout is the time without a new acknowledgement after which a new stream
	// is opened although the peer is heard. It is longer than SilenceLimit, since a
	// peer under load answers late, and sending everything again adds to the load.
	StallTimeout = 3 * time.Second
	// DialInterval bounds the rate of new streams to a peer that does not answer.
	DialInterval = time.Second
	// IdleTimeout closes the streams of a link on which neither side sent a body.
	IdleTimeout = time.Minute
	// Window is the largest number of bodies without acknowledgement.
	Window = 2048
	// WindowBytes bounds their size, for a peer that never comes back.
	WindowBytes = 16 << 20
	// acknowledgeEvery bounds the bodies that a peer must keep when traffic flows
	// one way.
	acknowledgeEvery = 64
)

// Stream numbers a stream of the link; 0 is none.
type Stream uint64

// Frame is what travels on a stream.
type Frame struct {
	sequence uint64
	received uint64
	credit   uint64
	hint     []byte
	hasHint  bool
	body     []byte
}

// NewFrame rebuilds a frame from its parts, for the transport.
func NewFrame(sequence, received, credit uint64, hint []byte, hasHint bool, body []byte) Frame {
	return Frame{
		sequence: sequence,
		received: received,
		credit:   credit,
		hint:     hint,
		hasHint:  hasHint,
		body:     body,
	}
}

// Sequence is the body's number, 0 for a frame without body.
func (f Frame) Sequence() uint64 {
	return f.sequence
}

// Received is the highest number that the sender received without gap.
func (f Frame) Received() uint64 {
	return f.received
}

// Credit is the credit that the sender issued; the transport sets it when the
// frame leaves.
func (f Frame) Credit() uint64 {
	return f.credit
}

// Hint is the sender's capacity hint; ok is false if the frame has none.
func (f Frame) Hint() (hint []byte, ok bool) {
	return f.hint, f.hasHint
}

// Body is the encoded message; nil for a heartbeat.
func (f Frame) Body() []byte {
	return f.body
}

// Transmit is an effect: put a frame on a stream.
type Transmit struct {
	stream Stream
	frame  Frame
}

// Stream is the stream to use.
func (t Transmit) Stream() Stream {
	return t.stream
}

// Frame is the frame to send.
func (t Transmit) Frame() Frame {
	return t.frame
}

// Deliver is an effect: hand a received body, or a heartbeat, to the process.
type Deliver struct {
	frame Frame
}

// Frame is the received frame.
func (d Deliver) Frame() Frame {
	return d.frame
}

// Dial is an effect: open a new stream to the peer.
type Dial struct{}

// Close is an effect: close a stream that was replaced.
type Close struct {
	stream Stream
}

// Stream is the stream to close.
func (c Close) Stream() Stream {
	return c.stream
}

// Link is the state of the exchange with one run of a peer.
type Link struct {
	peer             identity.Process
	dialable         bool
	current          Stream
	previous         Stream
	sequence         uint64
	unacked          []Frame
	unackedBytes     int
	lastProgress     time.Time
	received         uint64
	receivedSinceAck int
	lastReceived     time.Time
	lastSent         time.Time
	lastDial         time.Time
	lastBody         time.Time
	hint             []byte
	hintSent         bool
	effects          []any
}

// New returns a link without stream. A link whose peer's address is unknown
// waits for the peer to open the stream.
func New(now time.Time, peer identity.Process, dialable bool) *Link {
	return &Link{
		peer:         peer,
		dialable:     dialable,
		lastBody:     now,
		lastReceived: now,
	}
}

// Peer is the run of the process at the other end.
func (l *Link) Peer() identity.Process {
	return l.peer
}

// Connected tells whether the link has a stream.
func (l *Link) Connected() bool {
	return l.current != 0
}

// Unacknowledged is the number of bodies that the peer has not confirmed.
func (l *Link) Unacknowledged() int {
	return len(l.unacked)
}

// SetDialable notes that the peer's address became known.
func (l *Link) SetDialable() {
	l.dialable = true
}

// SetHint replaces the capacity hint, which goes out with the next frame.
func (l *Link) SetHint(hint []byte) {
	l.hint = hint
	l.hintSent = false
}

// Post sends a body, now or when a stream is there. It is false if the window is
// full; the body has then certainly not left.
func (l *Link) Post(now time.Time, body []byte) ([]any, bool) {
	l.effects = l.effects[:0]
	if len(l.unacked) >= Window || (len(l.unacked) > 0 && l.unackedBytes+len(body) > WindowBytes) {
		return nil, false
	}
	if len(l.unacked) == 0 {
		l.lastProgress = now
	}
	l.unackedBytes += len(body)
	l.sequence++
	f := Frame{
		sequence: l.sequence,
		body:     body,
	}
	l.unacked = append(l.unacked, f)
	l.lastBody = now
	if l.current != 0 {
		l.transmit(now, f)
	} else {
		l.dial(now)
	}
	return l.effects, true
}

// StreamOpened tells that a stream is ready, opened by either side. It becomes the
// current one, and the bodies without acknowledgement go out on it again.
func (l *Link) StreamOpened(now time.Time, s Stream) []any {
	l.effects = l.effects[:0]
	if l.previous != 0 {
		l.effects = append(l.effects, Close{
			stream: l.previous,
		})
	}
	l.previous = l.current
	l.current = s
	l.lastReceived = now
	l.retransmit(now)
	return l.effects
}

// retransmit sends on the current stream what the peer may not have received. The
// peer takes bodies in order only, so a gap would last for good.
func (l *Link) retransmit(now time.Time) {
	l.hintSent = false
	l.lastProgress = now
	if len(l.unacked) == 0 {
		l.heartbeat(now)
	}
	for _, f := range l.unacked {
		l.transmit(now, f)
	}
}

// StreamClosed tells that a stream ended.
func (l *Link) StreamClosed(now time.Time, s Stream) []any {
	l.effects = l.effects[:0]
	if s == l.previous {
		l.previous = 0
	}
	if s == l.current {
		l.current = l.previous
		l.previous = 0
		if l.current == 0 {
			l.dial(now)
		} else {
			l.retransmit(now)
		}
	}
	return l.effects
}

// Receive takes a received frame.
func (l *Link) Receive(now time.Time, f Frame) []any {
	l.effects = l.effects[:0]
	l.lastReceived = now
	l.acknowledged(now, f.received)
	switch {
	case f.sequence == 0:
		l.effects = append(l.effects, Deliver{
			frame: f,
		})
	case f.sequence == l.received+1:
		l.received++
		l.receivedSinceAck++
		l.lastBody = now
		l.effects = append(l.effects, Deliver{
			frame: f,
		})
		if l.receivedSinceAck >= acknowledgeEvery {
			l.heartbeat(now)
		}
	}
	return l.effects
}

func (l *Link) acknowledged(now time.Time, received uint64) {
	n := 0
	for n < len(l.unacked) && l.unacked[n].sequence <= received {
		l.unackedBytes -= len(l.unacked[n].body)
		l.unacked[n] = Frame{}
		n++
	}
	if n > 0 {
		l.lastProgress = now
	}
	l.unacked = l.unacked[n:]
	if len(l.unacked) == 0 {
		l.unacked = nil
	}
}

// Wake sends a heartbeat, opens a stream beside a silent one, or closes the
// streams of an idle link. The caller wakes a link several times in each
// HeartbeatInterval.
func (l *Link) Wake(now time.Time) []any {
	l.effects = l.effects[:0]
	if l.idle(now) {
		l.closeStreams()
		return l.effects
	}
	if l.current != 0 && now.Sub(l.lastSent) >= HeartbeatInterval {
		l.heartbeat(now)
	}
	if l.stalled(now) {
		l.replaceStream(now)
	}
	return l.effects
}

// stalled tells whether nothing arrives, or nothing that was sent is acknowledged.
func (l *Link) stalled(now time.Time) bool {
	return now.Sub(l.lastReceived) >= SilenceTimeout ||
		(len(l.unacked) > 0 && now.Sub(l.lastProgress) >= StallTimeout)
}

// replaceStream opens a stream beside the silent one. If only the peer can open one,
// the streams are closed, since the peer may still hear this side and would wait.
func (l *Link) replaceStream(now time.Time) {
	if l.dialable {
		l.dial(now)
		return
	}
	if l.current != 0 && now.Sub(l.lastReceived) >= SilenceTimeout {
		l.closeStreams()
	}
}

// SinceLastFrame is the time since anything was heard.
func (l *Link) SinceLastFrame(now time.Time) time.Duration {
	return now.Sub(l.lastReceived)
}

// idle tells whether neither side had anything to carry for IdleLimit. The link
// keeps its numbers, so that the next body continues the sequence.
func (l *Link) idle(now time.Time) bool {
	return len(l.unacked) == 0 && now.Sub(l.lastBody) >= IdleTimeout
}

func (l *Link) closeStreams() {
	for _, s := range []Stream{l.previous, l.current} {
		if s != 0 {
			l.effects = append(l.effects, Close{
				stream: s,
			})
		}
	}
	l.previous = 0
	l.current = 0
}

func (l *Link) dial(now time.Time) {
	if !l.dialable || now.Sub(l.lastDial) < DialInterval {
		return
	}
	l.lastDial = now
	l.effects = append(l.effects, Dial{})
}

func (l *Link) heartbeat(now time.Time) {
	l.hintSent = false
	l.transmit(now, Frame{})
}

func (l *Link) transmit(now time.Time, f Frame) {
	f.received = l.received
	if !l.hintSent && l.hint != nil {
		f.hint = l.hint
		f.hasHint = true
		l.hintSent = true
	}
	l.receivedSinceAck = 0
	l.lastSent = now
	l.effects = append(l.effects, Transmit{
		stream: l.current,
		frame:  f,
	})
}
