// Package stream carries frames between two processes.
//
// A stream is one gRPC call with messages in both directions. Each side first
// introduces itself; then every message is one encoded frame. A reader hands
// frames to the owner of the connection, and a writer drains the stream's own
// bounded ring, so that a peer that does not read fills the ring and loses the
// connection instead of holding up its sender. Silence is judged by the owner:
// open connections can go silent for good without an error.
package stream

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// outSize is the number of frames that may wait for a slow peer.
const outSize = 256

// ErrNoHello reports a peer that did not introduce itself.
var ErrNoHello = errors.New("peer did not introduce itself")

// Handlers are told what happens on the streams of a process. Opened comes
// first and Closed last for each stream.
type Handlers struct {
	// Opened takes a stream and who is at its other end.
	Opened func(*Stream, frame.Hello)
	// Received takes a frame; it may wait.
	Received func(*Stream, frame.Frame)
	// Closed tells that nothing comes any more.
	Closed func(*Stream)
}

// numbers numbers the streams of the program.
var numbers atomic.Uint64

// Stream is an open connection to another process.
type Stream struct {
	number uint64
	out    *ring.Ring[[]byte]
	ctx    context.Context
	cancel context.CancelFunc
}

// pipe is the sending and receiving end of one call.
type pipe struct {
	send func([]byte) error
	recv func() ([]byte, error)
}

func newStream(ctx context.Context) (*Stream, error) {
	out, err := ring.New[[]byte]("stream", outSize)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	return &Stream{
		number: numbers.Add(1),
		out:    out,
		ctx:    ctx,
		cancel: cancel,
	}, nil
}

// Number names the stream within the program.
func (s *Stream) Number() uint64 {
	return s.number
}

// Send queues a frame. A stream whose peer does not read is closed.
func (s *Stream) Send(f frame.Frame) error {
	err := s.out.TryPush(frame.Encode(f))
	if err != nil {
		s.cancel()
	}
	return err
}

// Close ends the stream; frames that were not sent yet are dropped.
func (s *Stream) Close() {
	s.cancel()
}

// run exchanges introductions and carries frames until the stream ends.
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
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.write(p)
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

func (s *Stream) write(p pipe) {
	for {
		b, err := s.out.Pop(s.ctx)
		if err != nil {
			return
		}
		if p.send(b) != nil {
			s.cancel()
			return
		}
	}
}
