package stream

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

// The parameters of a connection.
const (
	method      = "/greengagedoor.Stream/Exchange"
	serviceName = "greengagedoor.Stream"
	// dialTimeout bounds the opening of a connection. It takes a few ms; a host
	// without power does not answer, and the kernel would retry only after a
	// second.
	dialTimeout = 150 * time.Millisecond
	// helloTimeout bounds the time until the peer's introduction arrives, on a slow
	// host too.
	helloTimeout = 600 * time.Millisecond
	// windowBytes bounds the bytes in flight. A fixed window avoids gRPC's own
	// bandwidth probes.
	windowBytes = 1 << 20
	// bufferBytes is the size of the read and write buffers of a connection; frames
	// are small.
	bufferBytes = 8 << 10
	// keepaliveTime is both the idle time after which the server pings a peer and
	// the time after which it closes the connection without an answer.
	keepaliveTime = 10 * time.Second
	// unusedTime is how long a peer may stay connected without a stream.
	unusedTime = 10 * time.Second
	// maxStreams bounds the streams of a connection; a peer opens one.
	maxStreams = 2
	// maxHeadBytes bounds the headers of a stream, which are the method and the authority.
	maxHeadBytes = 8 << 10
	// StopLimit bounds the end of a server. gRPC would wait for the handshake of its
	// connections, whose peers may have become unreachable.
	StopLimit = 100 * time.Millisecond
)

// codec passes bytes unchanged; package frame encodes the frames.
type codec struct{}

// Marshal returns the bytes of a message, which must be a *[]byte.
func (codec) Marshal(v any) ([]byte, error) {
	b, ok := v.(*[]byte)
	if !ok {
		return nil, errors.Errorf("message is %T, want *[]byte", v)
	}
	return *b, nil
}

// Unmarshal copies the bytes of a message to v, which must be a *[]byte.
func (codec) Unmarshal(data []byte, v any) error {
	b, ok := v.(*[]byte)
	if !ok {
		return errors.Errorf("message is %T, want *[]byte", v)
	}
	*b = append((*b)[:0:0], data...)
	return nil
}

// Name returns the name of the codec on the wire.
func (codec) Name() string {
	return "frame"
}

var streamDesc = grpc.StreamDesc{
	StreamName:    "Exchange",
	ServerStreams: true,
	ClientStreams: true,
}

// newPipe adapts the methods of a gRPC stream, which client and server streams
// share.
func newPipe(send, recv func(any) error) pipe {
	return pipe{
		send: func(b []byte) error { return send(&b) },
		recv: func() ([]byte, error) {
			var b []byte
			err := recv(&b)
			return b, err
		},
	}
}

// Serve accepts streams on l until the returned function is called. The channel
// receives the error with which serving ends, nil after that call.
func Serve(l net.Listener, hello frame.Hello, h Handlers) (<-chan error, func()) {
	server := grpc.NewServer(
		grpc.ForceServerCodec(codec{}),
		grpc.MaxRecvMsgSize(frame.MaxBytes),
		// Stop waits for connections that have not completed their handshake.
		grpc.ConnectionTimeout(helloTimeout),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeadBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: unusedTime,
			Time:              keepaliveTime,
			Timeout:           keepaliveTime,
		}),
	)
	d := streamDesc
	d.Handler = func(_ any, ss grpc.ServerStream) error {
		s, err := newStream(ss.Context())
		if err != nil {
			return err
		}
		// The reader blocks in RecvMsg, and only the return of the handler unblocks it.
		ended := make(chan error, 1)
		go func() { ended <- s.run(newPipe(ss.SendMsg, ss.RecvMsg), hello, h) }()
		select {
		case err := <-ended:
			return err
		case <-s.ctx.Done():
			return nil
		}
	}
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Streams:     []grpc.StreamDesc{d},
	}, struct{}{})
	failed := make(chan error, 1)
	go func() { failed <- errors.Wrap(server.Serve(l), "serve streams") }()
	return failed, func() { StopServer(server) }
}

// StopServer stops a server, or gives up waiting for it after StopLimit.
func StopServer(server *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.Stop()
	}()
	timer := time.NewTimer(StopLimit)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
	}
}

// Dial opens a stream to an address and exchanges frames until it ends.
func Dial(ctx context.Context, address string, hello frame.Hello, h Handlers) error {
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(frame.MaxBytes)),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			d := net.Dialer{
				Timeout: dialTimeout,
			}
			return d.DialContext(ctx, "tcp", a)
		}),
	)
	if err != nil {
		return errors.Wrapf(err, "create client for %s", address)
	}
	defer func() { _ = cc.Close() }()
	s, err := newStream(ctx)
	if err != nil {
		return err
	}
	timer := time.AfterFunc(helloTimeout, s.cancel)
	cs, err := cc.NewStream(s.ctx, &streamDesc, method)
	if err != nil {
		timer.Stop()
		s.cancel()
		return errors.Wrapf(err, "open stream to %s", address)
	}
	opened := h.Opened
	h.Opened = func(s *Stream, hello frame.Hello) {
		timer.Stop()
		opened(s, hello)
	}
	return s.run(newPipe(cs.SendMsg, cs.RecvMsg), hello, h)
}
