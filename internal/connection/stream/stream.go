// Package stream carries frames between two processes.
//
// A stream is one gRPC call with messages in both directions. Each side first
// introduces itself; then every message is one encoded frame. A reader passes
// frames to the owner of the connection, and a writer drains the stream's own
// bounded ring. A peer that does not read fills the ring and loses the connection,
// so it cannot block the sender. The owner detects silent peers, because an open
// connection can stop delivering without an error.
package stream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// sendQueueSize is the number of frames that may wait for a slow peer.
const sendQueueSize = 256

// ErrNoHello reports a peer that did not introduce itself.
var ErrNoHello = errors.New("peer did not introduce itself")

// Handlers are the callbacks for the streams of a process. For each stream Opened
// is called first and Closed last.
type Handlers struct {
	// Opened receives a stream and the introduction of its peer.
	Opened func(*Stream, frame.Hello)
	// Received receives a frame; it may block.
	Received func(*Stream, frame.Frame)
	// Closed is called after the last frame.
	Closed func(*Stream)
	// Sent receives each frame that was written, with its encoded size; nil for none.
	Sent func(content frame.Content, bytes int)
}

// lastNumber is the number of the last stream that the program opened.
var lastNumber atomic.Uint64

// Stream is an open connection to another process.
type Stream struct {
	number    uint64
	peer      string
	sendQueue *ring.Ring[queued]
	// unsentSince is when the frame was queued that is being written, in ns since
	// started; 0 while none is.
	unsentSince atomic.Int64
	ctx         context.Context
	cancel      context.CancelFunc
}

// queued is an encoded frame that waits to be written.
type queued struct {
	body    []byte
	content frame.Content
	at      time.Duration
}

// started is the origin of the times at which frames were queued.
var started = time.Now()

// pipe is the sending and receiving end of one gRPC call.
type pipe struct {
	send func([]byte) error
	recv func() ([]byte, error)
}

func newStream(ctx context.Context) (*Stream, error) {
	sendQueue, err := ring.New[queued]("stream", sendQueueSize)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	return &Stream{
		number:    lastNumber.Add(1),
		sendQueue: sendQueue,
		ctx:       ctx,
		cancel:    cancel,
	}, nil
}

// Number returns a number that identifies the stream within the program.
func (s *Stream) Number() uint64 {
	return s.number
}

// Peer returns the name of the process at the other end.
func (s *Stream) Peer() string {
	return s.peer
}

// Send queues a frame. If the queue is full because the peer does not read, Send
// closes the stream and returns an error.
func (s *Stream) Send(f frame.Frame) error {
	err := s.sendQueue.TryPush(queued{
		body:    frame.Encode(f),
		content: f.Content(),
		at:      time.Since(started),
	})
	if err != nil {
		s.cancel()
	}
	return err
}

// UnsentAge returns how long ago the oldest frame was queued that is not written yet,
// 0 if there is none. A frame counts as written once the connection has taken it.
func (s *Stream) UnsentAge() time.Duration {
	since := s.unsentSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(started) - time.Duration(since)
}

// Close ends the stream and drops frames that are still queued.
func (s *Stream) Close() {
	s.cancel()
}

// run exchanges introductions and then frames until the stream ends.
func (s *Stream) run(p pipe, hello frame.Hello, h Handlers) error {
	defer s.cancel()
	if err := p.send(frame.Encode(frame.Frame{
		Hello: &hello,
	})); err != nil {
		return errors.Wrap(err, "introduce")
	}
	f, err := receive(p)
	if err != nil {
		return err
	}
	if f.Hello == nil {
		return ErrNoHello
	}
	s.peer = f.Hello.Name()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.write(p, h)
	}()
	h.Opened(s, *f.Hello)
	err = s.read(p, h)
	s.cancel()
	<-done
	h.Closed(s)
	return err
}

func (s *Stream) read(p pipe, h Handlers) error {
	for {
		f, err := receive(p)
		if err != nil {
			return err
		}
		h.Received(s, f)
	}
}

func receive(p pipe) (frame.Frame, error) {
	b, err := p.recv()
	if err != nil {
		return frame.Frame{}, errors.Wrap(err, "receive")
	}
	return frame.Decode(b)
}

func (s *Stream) write(p pipe, h Handlers) {
	for {
		q, err := s.sendQueue.Pop(s.ctx)
		if err != nil {
			return
		}
		s.unsentSince.Store(int64(max(q.at, 1)))
		if p.send(q.body) != nil {
			s.cancel()
			return
		}
		s.unsentSince.Store(0)
		if h.Sent != nil {
			h.Sent(q.content, len(q.body))
		}
	}
}
