// Package forwarder is a stand-in for a network path that can drop bytes, add delay
// or reset connections.
//
// It forwards the bytes of TCP connections to one address. On request it drops the
// bytes of one direction or both while the sockets stay open, as a stateful network
// device does after it has lost its state. Connections accepted later are forwarded
// again, unless DropAll is active. One goroutine owns the set of connections; two
// more copy the bytes of each connection.
package forwarder

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

const (
	ringSize    = 256
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// Direction is a set of directions of a connection. The client is the side that
// connects to the forwarder.
type Direction uint8

// Directions of a connection.
const (
	ClientToServer Direction = 1 << iota
	ServerToClient
	Both = ClientToServer | ServerToClient
)

// connection is an accepted connection and its connection to the address. dropped
// is the Direction whose bytes are dropped.
type connection struct {
	client  net.Conn
	server  net.Conn
	dropped atomic.Uint32
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

type state struct {
	open    map[*connection]bool
	dropped Direction
}

// Forwarder forwards TCP connections and injects network faults.
type Forwarder struct {
	listener net.Listener
	address  string
	ring     *ring.Ring[func(*state)]
	// delay is the time between reading bytes and writing them, in ns.
	delay atomic.Int64
	// throughput bounds the bytes that each direction carries in a second, 0 for no bound,
	// and free has when each direction has carried what it has accepted, in ns.
	throughput atomic.Int64
	free       map[Direction]*atomic.Int64
}

// New returns a forwarder that listens at listen for connections to address, and
// its cleanup function. It forwards only while Run is running.
func New(listen, address string) (*Forwarder, func(), error) {
	r, err := ring.New[func(*state)]("forwarder", ringSize)
	if err != nil {
		return nil, nil, err
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, nil, errors.Wrap(err, "forwarder")
	}
	return &Forwarder{
		listener: l,
		address:  address,
		ring:     r,
		free: map[Direction]*atomic.Int64{
			ClientToServer: new(atomic.Int64),
			ServerToClient: new(atomic.Int64),
		},
	}, func() { _ = l.Close() }, nil
}

// Address returns the address at which the forwarder listens.
func (f *Forwarder) Address() string {
	return f.listener.Addr().String()
}

// Run owns the connections until ctx is canceled, and then closes them.
func (f *Forwarder) Run(ctx context.Context) error {
	s := &state{
		open: map[*connection]bool{},
	}
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		f.accept(ctx)
	}()
	defer func() {
		_ = f.listener.Close()
		for c := range s.open {
			c.close()
		}
		<-accepted
	}()
	for {
		do, err := f.ring.Pop(ctx)
		if err != nil {
			return nil
		}
		do(s)
	}
}

// accept accepts connections until Run closes the listener.
func (f *Forwarder) accept(ctx context.Context) {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", f.address, dialTimeout)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &connection{
			client: client,
			server: server,
		}
		err = f.ring.Push(ctx, func(s *state) {
			s.open[c] = true
			c.dropped.Store(uint32(s.dropped))
			go f.forward(ctx, c, ClientToServer, server, client)
			go f.forward(ctx, c, ServerToClient, client, server)
		})
		if err != nil {
			c.close()
			return
		}
	}
}

// forward copies the bytes of one direction. Bytes of a dropped direction are still
// read, so that the sender sees no full buffer and no error.
func (f *Forwarder) forward(ctx context.Context, c *connection, d Direction, to io.Writer, from io.Reader) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		duty.Pause(ctx, time.Duration(f.delay.Load())+f.carry(d, n))
		dropped := Direction(c.dropped.Load())&d != 0
		if n > 0 && !dropped {
			_, werr := to.Write(buffer[:n])
			if err == nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if dropped {
			// A path that drops bytes does not pass on the end of the stream either.
			return
		}
		c.close()
		_ = f.ring.Push(ctx, func(s *state) { delete(s.open, c) })
		return
	}
}

// carry adds n bytes to those that a direction carries. It returns the time until they
// are carried. All connections share the throughput.
func (f *Forwarder) carry(d Direction, n int) time.Duration {
	rate := f.throughput.Load()
	if rate == 0 {
		return 0
	}
	took := int64(n) * int64(time.Second) / rate
	free := f.free[d]
	for {
		now, before := time.Now().UnixNano(), free.Load()
		after := max(now, before) + took
		if free.CompareAndSwap(before, after) {
			return time.Duration(after - now)
		}
	}
}

// SetThroughput bounds the bytes that each direction carries in a second, for all
// connections together. A throughput of 0 turns this off.
func (f *Forwarder) SetThroughput(bytesPerSecond int64) {
	f.throughput.Store(bytesPerSecond)
}

// SetDelay delays the bytes of both directions and keeps their order. A delay of 0
// turns this off.
func (f *Forwarder) SetDelay(d time.Duration) {
	f.delay.Store(int64(d))
}

// Reset resets all open connections.
func (f *Forwarder) Reset(ctx context.Context) error {
	return f.do(ctx, func(s *state) {
		for c := range s.open {
			for _, end := range []net.Conn{c.client, c.server} {
				if tcp, ok := end.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}
			c.close()
		}
	})
}

// DropOpen drops the bytes of all connections that are open now, for their whole
// remaining life.
func (f *Forwarder) DropOpen(ctx context.Context, d Direction) error {
	return f.do(ctx, func(s *state) {
		for c := range s.open {
			c.dropped.Or(uint32(d))
		}
	})
}

// DropAll drops the bytes of all connections that are open now and of those accepted
// later. A direction of 0 restores forwarding for connections accepted later.
func (f *Forwarder) DropAll(ctx context.Context, d Direction) error {
	return f.do(ctx, func(s *state) {
		s.dropped = d
		for c := range s.open {
			c.dropped.Or(uint32(d))
		}
	})
}

// OpenConnections returns the number of open connections.
func (f *Forwarder) OpenConnections(ctx context.Context) (int, error) {
	n := 0
	err := f.do(ctx, func(s *state) { n = len(s.open) })
	return n, err
}

func (f *Forwarder) do(ctx context.Context, do func(*state)) error {
	done := make(chan struct{})
	if err := f.ring.Push(ctx, func(s *state) {
		do(s)
		close(done)
	}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "forwarder")
	}
}
