// Package forwarder is a stand-in for a network path that can go silent, be slow or
// break connections off.
//
// It forwards the bytes of TCP connections to one address. On demand it stops
// passing bytes in one direction or both while the sockets stay open, as a
// stateful device on the path does that has lost its state. Connections accepted
// later work again, unless all are silenced. One goroutine owns the set of
// connections; two more copy the bytes of each.
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

// Direction is a set of directions, as seen from the side that connects.
type Direction uint8

// The directions.
const (
	ClientToServer Direction = 1 << iota // From the connecting side to the address.
	ServerToClient                       // From the address to the connecting side.
	Both           = ClientToServer | ServerToClient
)

// connection is one accepted connection with the one behind it.
type connection struct {
	client net.Conn
	server net.Conn
	silent atomic.Uint32
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

type state struct {
	open   map[*connection]bool
	silent Direction
}

// Forwarder is the stand-in.
type Forwarder struct {
	listener net.Listener
	address  string
	ring     *ring.Ring[func(*state)]
	// delay is what each read waits before it is passed on, in ns.
	delay atomic.Int64
}

// New returns a forwarder that listens at listen for connections to address, and
// its clean-up function; Run must be running for it to forward.
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
	}, func() { _ = l.Close() }, nil
}

// Address is where the forwarder listens.
func (f *Forwarder) Address() string {
	return f.listener.Addr().String()
}

// Run owns the connections until ctx ends, and then closes them.
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

// accept ends when Run closes the listener.
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
			c.silent.Store(uint32(s.silent))
			go f.carry(ctx, c, ClientToServer, server, client)
			go f.carry(ctx, c, ServerToClient, client, server)
		})
		if err != nil {
			c.close()
			return
		}
	}
}

// carry copies one direction. Bytes of a silent direction are read and dropped, so
// that the sender notices nothing.
func (f *Forwarder) carry(ctx context.Context, c *connection, d Direction, to io.Writer, from io.Reader) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		duty.Pause(ctx, time.Duration(f.delay.Load()))
		silent := Direction(c.silent.Load())&d != 0
		if n > 0 && !silent {
			_, werr := to.Write(buffer[:n])
			if err == nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if silent {
			// The other side does not learn of the end either.
			return
		}
		c.close()
		_ = f.ring.Push(ctx, func(s *state) { delete(s.open, c) })
		return
	}
}

// SetDelay lets bytes in both directions wait, in order; 0 ends that.
func (f *Forwarder) SetDelay(d time.Duration) {
	f.delay.Store(int64(d))
}

// Reset breaks all open connections off.
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

// DropOpen stops the bytes of all connections that are open now, for good.
func (f *Forwarder) DropOpen(ctx context.Context, d Direction) error {
	return f.do(ctx, func(s *state) {
		for c := range s.open {
			c.silent.Or(uint32(d))
		}
	})
}

// DropAll does the same and also to connections accepted later; 0 ends that
// for the later ones.
func (f *Forwarder) DropAll(ctx context.Context, d Direction) error {
	return f.do(ctx, func(s *state) {
		s.silent = d
		for c := range s.open {
			c.silent.Or(uint32(d))
		}
	})
}

// OpenConnections is the number of connections.
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
