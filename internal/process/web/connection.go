package web

import (
	"context"
	"net"
	"sync/atomic"
)

// The states of a connection.
const (
	connectionIdle int32 = iota
	connectionBusy
	connectionClosed
)

// connection counts the requests on one connection. It is idle while every request
// of which a byte was read has its answer.
type connection struct {
	net.Conn
	server  *server
	framing framing
	state   atomic.Int32
	// begun and whole are the counts of framing, for other goroutines than the reader.
	begun atomic.Int64
	whole atomic.Int64
	// entered and returned count the calls of the handler.
	entered  atomic.Int64
	returned atomic.Int64
	ended    atomic.Bool
	// counted is set once the requests without an answer are counted; it belongs to the
	// server's duty.
	counted bool
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// Read reads from the connection and counts the requests in what was read. It
// returns no byte of a request that begins after the connection was closed as idle.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.state.CompareAndSwap(connectionIdle, connectionBusy) && c.state.Load() == connectionClosed {
		return 0, net.ErrClosed
	}
	whole := c.framing.whole
	c.framing.read(p[:n])
	c.begun.Store(c.framing.begun)
	c.whole.Store(c.framing.whole)
	for range c.framing.whole - whole {
		c.server.requestRead()
	}
	return n, err
}

// Close closes the connection and tells the server.
func (c *connection) Close() error {
	if c.ended.CompareAndSwap(false, true) {
		c.server.connectionEnded(c)
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending direction; net/http looks for this method when it
// answers a request without reading all of it.
func (c *connection) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// unanswered returns the number of requests that were read and have no answer.
func (c *connection) unanswered() int64 {
	return max(0, c.whole.Load()-c.returned.Load())
}

// answering reports whether a request was read whole and its answer is not written.
// The call of the handler ends before that.
func (c *connection) answering() bool {
	return c.state.Load() == connectionBusy && (c.whole.Load() >= c.begun.Load() || c.unanswered() > 0)
}

// used reports whether a byte of a request was read.
func (c *connection) used() bool {
	return c.begun.Load() > 0
}

// answered marks the connection as idle, unless it has part of a further request.
func (c *connection) answered() {
	if c.begun.Load() <= c.entered.Load() {
		c.state.CompareAndSwap(connectionBusy, connectionIdle)
	}
}

// closeIdle closes the connection if it is idle.
func (c *connection) closeIdle() {
	if c.state.CompareAndSwap(connectionIdle, connectionClosed) {
		_ = c.Conn.Close()
	}
}

// countingListener accepts connections that count their requests.
type countingListener struct {
	net.Listener
	server *server
}

func (l countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{
		Conn:   nc,
		server: l.server,
	}
	l.server.connectionOpened(c)
	return c, nil
}
