// Package link delivers messages between two processes reliably and in order,
// over a sequence of streams.
//
// A stream can stop carrying data permanently without an error while new streams
// to the same peer work, so a link is not bound to one stream. It numbers the
// message bodies that it sends, keeps them until the peer has acknowledged them,
// and retransmits them on a new stream. The receiver accepts bodies in order and
// discards duplicates. After a second without a frame, the link opens a new
// stream in addition to the old one and accepts frames from both.
//
// The link is a state machine without sockets and clock. Its owner passes the
// time and carries out the effects.
package link

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

// Timeouts and limits of a link.
const (
	// HeartbeatInterval must be less than the 500 ms for which a credit is valid.
	HeartbeatInterval = 300 * time.Millisecond
	// SilenceTimeout is the time without a received frame after which a new stream is
	// opened.
	SilenceTimeout = time.Second
	// StallTimeout is the time without a new acknowledgement after which a new stream
	// is opened although frames arrive. It is longer than SilenceTimeout, since an
	// overloaded peer answers late, and retransmission adds to its load.
	StallTimeout = 3 * time.Second
	// DialInterval limits the rate of new streams to a peer that does not answer.
	DialInterval = time.Second
	// IdleTimeout is the time without a body in either direction after which the
	// streams are closed.
	IdleTimeout = time.Minute
	// Window is the maximum number of unacknowledged bodies.
	Window = 2048
	// WindowBytes limits the size of the unacknowledged bodies, for a peer that never
	// returns.
	WindowBytes = 16 << 20
	// acknowledgeEvery is the number of received bodies after which an
	// acknowledgement is sent without waiting for the heartbeat. It limits the
	// bodies that the peer keeps when traffic flows in one direction only.
	acknowledgeEvery = 64
)

// Stream is the number of a stream; 0 means none.
type Stream uint64

// Frame is the unit that is sent on a stream: a message body or a heartbeat, with
// an acknowledgement.
type Frame struct {
	sequence uint64
	received uint64
	credit   uint64
	hint     []byte
	hasHint  bool
	body     []byte
}

// NewFrame returns a frame that the transport received.
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

// Sequence returns the number of the body; 0 for a heartbeat.
func (f Frame) Sequence() uint64 {
	return f.sequence
}

// Received returns the acknowledgement: the number up to which the sender has
// received all bodies.
func (f Frame) Received() uint64 {
	return f.received
}

// Credit returns the credit that the sender issued. The transport sets it when it
// sends the frame.
func (f Frame) Credit() uint64 {
	return f.credit
}

// Hint returns the sender's capacity hint; ok is false if the frame has none.
func (f Frame) Hint() (hint []byte, ok bool) {
	return f.hint, f.hasHint
}

// Body returns the encoded message; nil for a heartbeat.
func (f Frame) Body() []byte {
	return f.body
}

// Transmit is an effect: send a frame on a stream.
type Transmit struct {
	stream Stream
	frame  Frame
}

func (t Transmit) Stream() Stream {
	return t.stream
}

func (t Transmit) Frame() Frame {
	return t.frame
}

// Deliver is an effect: pass a received body or heartbeat to the process.
type Deliver struct {
	frame Frame
}

func (d Deliver) Frame() Frame {
	return d.frame
}

// Dial is an effect: open a new stream to the peer.
type Dial struct{}

// Close is an effect: close a stream.
type Close struct {
	stream Stream
}

func (c Close) Stream() Stream {
	return c.stream
}

// Link is the state of the exchange with one incarnation of a peer. A slice of
// effects that a method returns is valid until the next call.
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

// New returns a link without a stream. If dialable is false, the peer's address is
// unknown and the link waits for the peer to open a stream.
func New(now time.Time, peer identity.Process, dialable bool) *Link {
	return &Link{
		peer:         peer,
		dialable:     dialable,
		lastBody:     now,
		lastReceived: now,
	}
}

// Peer returns the incarnation of the process at the other end.
func (l *Link) Peer() identity.Process {
	return l.peer
}

// Connected reports whether the link has a stream.
func (l *Link) Connected() bool {
	return l.current != 0
}

// Unacknowledged returns the number of bodies that the peer has not acknowledged.
func (l *Link) Unacknowledged() int {
	return len(l.unacked)
}

// SetDialable records that the peer's address is known.
func (l *Link) SetDialable() {
	l.dialable = true
}

// SetHint replaces the capacity hint, which is sent with the next frame.
func (l *Link) SetHint(hint []byte) {
	l.hint = hint
	l.hintSent = false
}

// Post sends a body now or as soon as there is a stream. It returns false if the
// window is full, and then the body is never sent.
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

// StreamOpened records that either side opened a stream. The stream becomes the
// current one, and the unacknowledged bodies are retransmitted on it.
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

// retransmit sends all unacknowledged bodies on the current stream. The peer
// accepts bodies in order only, so it would never accept a body after a missing
// one.
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

// StreamClosed records that a stream ended.
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

// Receive processes a received frame.
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

// Wake sends a heartbeat, opens a new stream in addition to a stalled one, or
// closes the streams of an idle link. The caller calls it several times in each
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

// stalled reports whether no frames arrive, or no acknowledgements.
func (l *Link) stalled(now time.Time) bool {
	return now.Sub(l.lastReceived) >= SilenceTimeout ||
		(len(l.unacked) > 0 && now.Sub(l.lastProgress) >= StallTimeout)
}

// replaceStream opens a stream in addition to the stalled one. If only the peer can
// open streams, it closes the silent ones, since the peer may still receive frames
// from this side and would not open a new one.
func (l *Link) replaceStream(now time.Time) {
	if l.dialable {
		l.dial(now)
		return
	}
	if l.current != 0 && now.Sub(l.lastReceived) >= SilenceTimeout {
		l.closeStreams()
	}
}

// SinceLastFrame returns the time since the last frame was received.
func (l *Link) SinceLastFrame(now time.Time) time.Duration {
	return now.Sub(l.lastReceived)
}

// idle reports whether neither side has sent a body for IdleTimeout. The link keeps
// its sequence numbers, so that the next body continues the sequence.
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
