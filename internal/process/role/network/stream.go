package network

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"greengagedoor.example/greengagedoor/internal/connection/link"
	"greengagedoor.example/greengagedoor/internal/connection/link/linkpb"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

const (
	// streamRingSize has space for a full window that is retransmitted and for the
	// frames that follow meanwhile.
	streamRingSize = 2 * link.Window
	// bufferBytes is small, since most frames have a few hundred bytes and a process
	// has links to dozens of others.
	bufferBytes = 4 << 10
)

// maxFrameBytes is the maximum size of a frame, which fits a job of 1,100 tasks with
// their payloads.
const maxFrameBytes = 16 << 20

// Timeouts for opening a stream. Without them, a peer that accepts connections and
// sends nothing would occupy a goroutine forever.
const (
	helloTimeout   = 2 * time.Second
	connectTimeout = time.Second
)

// ErrHello reports a stream whose first frame is no valid hello, or comes too late.
var ErrHello = errors.New("stream does not begin with a hello")

// exchange has the methods of a gRPC stream that client and server share.
type exchange struct {
	send func(*linkpb.Frame) error
	recv func() (*linkpb.Frame, error)
}

// stream is one gRPC stream with its reader and writer.
type stream struct {
	id      link.Stream
	out     *ring.Ring[*link.Frame]
	stop    context.CancelFunc
	flushed chan struct{}
	drain   chan struct{}
	once    sync.Once
}

// finish makes the writer send the frames in its ring and then end.
func (s *stream) finish() {
	s.once.Do(func() { close(s.drain) })
}

func (s *stream) close() {
	s.stop()
}

var streamNumbers atomic.Uint64

func newStream(stop context.CancelFunc) (*stream, error) {
	out, err := ring.New[*link.Frame]("stream", streamRingSize)
	if err != nil {
		return nil, err
	}
	return &stream{
		id:      link.Stream(streamNumbers.Add(1)),
		out:     out,
		stop:    stop,
		flushed: make(chan struct{}),
		drain:   make(chan struct{}),
	}, nil
}

func (n *Network) hello() *linkpb.Frame {
	return &linkpb.Frame{
		Hello: &linkpb.Hello{
			Name:        n.self.Name(),
			Incarnation: n.self.Incarnation(),
			Address:     n.address,
		},
	}
}

// serve runs a stream until it ends. It sends a hello, waits for the peer's hello,
// and then reads while a second goroutine writes. If expected is not zero, it is
// the incarnation that was dialed.
func (n *Network) serve(ctx context.Context, x exchange, stop context.CancelFunc, expected identity.Process) error {
	limit := time.AfterFunc(helloTimeout, stop)
	defer limit.Stop()
	if err := x.send(n.hello()); err != nil {
		return errors.Wrap(err, "send hello")
	}
	first, err := x.recv()
	if !limit.Stop() && err == nil {
		err = errors.Wrapf(ErrHello, "received after the limit of %v", helloTimeout)
	}
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	h := first.GetHello()
	if h == nil {
		return ErrHello
	}
	peer, err := identity.NewProcess(h.GetName(), h.GetIncarnation())
	if err != nil {
		return errors.Wrap(ErrHello, err.Error())
	}
	s, err := newStream(stop)
	if err != nil {
		return err
	}
	var writer sync.WaitGroup
	writer.Add(1)
	go func() {
		defer writer.Done()
		n.write(ctx, s, x)
	}()
	if err := n.ring.Push(ctx, streamOpened{
		peer:     peer,
		expected: expected,
		address:  h.GetAddress(),
		stream:   s,
	}); err == nil {
		n.read(ctx, s, x, peer)
	}
	stop()
	writer.Wait()
	return nil
}

func (n *Network) read(ctx context.Context, s *stream, x exchange, peer identity.Process) {
	for {
		f, err := x.recv()
		if err != nil {
			break
		}
		if err := n.ring.Push(ctx, frameReceived{
			peer:   peer,
			stream: s.id,
			frame:  link.NewFrame(f.GetSequence(), f.GetReceived(), f.GetCredit(), f.GetHint(), f.GetHasHint(), f.GetBody()),
		}); err != nil {
			break
		}
	}
	// The push fails if the duty has ended with a full ring, and then the event has no
	// use.
	_ = n.ring.TryPush(streamClosed{
		peer:   peer,
		stream: s.id,
	})
}

func (n *Network) write(ctx context.Context, s *stream, x exchange) {
	defer close(s.flushed)
	for {
		select {
		case f := <-s.out.Out():
			if !n.writeFrame(s, x, f) {
				return
			}
		case <-s.drain:
			n.flush(s, x)
			return
		case <-ctx.Done():
			return
		}
	}
}

func (n *Network) flush(s *stream, x exchange) {
	for {
		select {
		case f := <-s.out.Out():
			if !n.writeFrame(s, x, f) {
				return
			}
		default:
			return
		}
	}
}

// writeFrame sends a frame. The credit is issued here, as late as possible, since it
// is valid for 500 ms only.
func (n *Network) writeFrame(s *stream, x exchange, f *link.Frame) bool {
	hint, has := f.Hint()
	err := x.send(&linkpb.Frame{
		Sequence: f.Sequence(),
		Received: f.Received(),
		Credit:   n.seams.Credit(),
		Hint:     hint,
		HasHint:  has,
		Body:     f.Body(),
	})
	if err != nil {
		s.close()
	}
	return err == nil
}

// ServerOptions returns the options of a gRPC server of links.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxFrameBytes),
		grpc.MaxSendMsgSize(maxFrameBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
	}
}

// Service is the gRPC server of the links.
type Service struct {
	linkpb.UnimplementedLinkServer
	network *Network
}

// Register adds the service of the links to a gRPC server.
func (n *Network) Register(g *grpc.Server) {
	linkpb.RegisterLinkServer(g, &Service{
		network: n,
	})
}

// Exchange serves a stream that a peer has opened, until the stream ends.
func (s *Service) Exchange(g grpc.BidiStreamingServer[linkpb.Frame, linkpb.Frame]) error {
	ctx, stop := context.WithCancel(g.Context())
	defer stop()
	ended := make(chan error, 1)
	// On the server, Recv does not return when ctx ends, so the reader runs in its own
	// goroutine and ends when the handler returns.
	go func() {
		ended <- s.network.serve(ctx, exchange{
			send: g.Send,
			recv: g.Recv,
		}, stop, identity.Process{})
	}()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return nil
	}
}

// dialer opens streams. Each attempt has a goroutine that runs until the stream
// ends.
type dialer struct {
	network *Network
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	options []grpc.DialOption
}

func newDialer(n *Network) *dialer {
	ctx, stop := context.WithCancel(context.Background())
	return &dialer{
		network: n,
		ctx:     ctx,
		stop:    stop,
		options: []grpc.DialOption{
			grpc.WithReadBufferSize(bufferBytes),
			grpc.WithWriteBufferSize(bufferBytes),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.DefaultConfig,
				MinConnectTimeout: connectTimeout,
			}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxFrameBytes), grpc.MaxCallSendMsgSize(maxFrameBytes)),
		},
	}
}

func (d *dialer) cleanup() {
	d.stop()
	d.running.Wait()
}

func (d *dialer) dial(peer identity.Process, address string) {
	if address == "" || d.ctx.Err() != nil {
		return
	}
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		if err := d.open(peer, address); err != nil {
			d.network.log.WithError(err).WithField("peer", peer.String()).Debug("stream ended")
		}
	}()
}

// credentials returns the transport credentials of a link to an address: TLS if the
// process has certificates.
func (n *Network) credentials(address string) (grpc.DialOption, error) {
	if n.seams.TLSConfig == nil {
		return grpc.WithTransportCredentials(insecure.NewCredentials()), nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "parse link address %s", address)
	}
	return grpc.WithTransportCredentials(credentials.NewTLS(n.seams.TLSConfig(host))), nil
}

// open runs one stream on a connection of its own. A stream that replaces a silent
// one must not share the silent connection.
func (d *dialer) open(peer identity.Process, address string) error {
	secure, err := d.network.credentials(address)
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient("passthrough:///"+address, append(d.options[:len(d.options):len(d.options)], secure)...)
	if err != nil {
		return errors.Wrapf(err, "dial %s", address)
	}
	defer func() { _ = conn.Close() }()
	ctx, stop := context.WithCancel(d.ctx)
	defer stop()
	limit := time.AfterFunc(helloTimeout, stop)
	g, err := linkpb.NewLinkClient(conn).Exchange(ctx)
	if !limit.Stop() && err == nil {
		err = ErrHello
	}
	if err != nil {
		return errors.Wrapf(err, "open stream to %s", address)
	}
	return d.network.serve(ctx, exchange{
		send: g.Send,
		recv: g.Recv,
	}, stop, peer)
}
