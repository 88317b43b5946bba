package web

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/intake"
)

// The states of a connection.
const (
	connectionIdle int32 = iota
	// connectionPartial is the state while a part of a request was read and every request
	// before it has its answer.
	connectionPartial
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
	// received and held count the bytes that were read and that take memory; inBody is set
	// while the request in progress has its head.
	received atomic.Int64
	held     atomic.Int64
	inBody   atomic.Bool
	// lingers is set if the client may still send when its refusal is written.
	lingers atomic.Bool
	// done is the number of requests whose answers are written, kept the count of framing
	// that is contained in held, headLimit the limit of heads, and failed the error of
	// further reads. They belong to the reader.
	done      int64
	kept      int64
	headLimit int
	failed    error
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
	if c.failed != nil {
		return c.readFailed(p)
	}
	n, err := c.Conn.Read(p[:min(len(p), maxReadBytes)])
	if n == 0 {
		return n, err
	}
	if !c.begin() {
		return 0, net.ErrClosed
	}
	whole := c.framing.whole
	c.framing.read(p[:n])
	c.received.Add(int64(n))
	c.begun.Store(c.framing.begun)
	c.whole.Store(c.framing.whole)
	c.inBody.Store(c.framing.state != inHeader)
	for range c.framing.whole - whole {
		c.server.requestRead()
	}
	c.settle()
	return c.admitted(p, n, err)
}

// begin marks the connection as busy, unless it was closed.
func (c *connection) begin() bool {
	for {
		s := c.state.Load()
		if s == connectionClosed {
			return false
		}
		if c.state.CompareAndSwap(s, connectionBusy) {
			return true
		}
	}
}

// settle marks a busy connection whose only unanswered request was read in part, or that
// has sent only empty lines since its last answer. One whose bytes are not a request is left
// to net/http.
func (c *connection) settle() {
	switch {
	case c.framing.state == unframed || c.framing.whole > c.done:
	case c.framing.begun > c.framing.whole:
		c.state.CompareAndSwap(connectionBusy, connectionPartial)
	default:
		c.state.CompareAndSwap(connectionBusy, connectionIdle)
	}
}

// Write writes a part of an answer. A client that does not read its answers would keep its
// connection for good.
func (c *connection) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(answerTime))
	return c.Conn.Write(p)
}

// Close closes the connection and tells the server.
func (c *connection) Close() error {
	if !c.ended.CompareAndSwap(false, true) {
		return c.Conn.Close()
	}
	c.release()
	if c.lingers.Load() && !c.server.stopped.Load() {
		c.linger(make([]byte, lingerBytes))
	}
	err := c.Conn.Close()
	c.server.account.Ended()
	c.server.freeSlot()
	c.server.connectionEnded(c)
	return err
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
	c.release()
	c.done = c.entered.Load()
	if c.begun.Load() <= c.entered.Load() {
		c.state.CompareAndSwap(connectionBusy, connectionIdle)
		return
	}
	c.settle()
}

// release ends what the connection holds.
func (c *connection) release() {
	c.server.account.Add(-c.held.Swap(0))
}

// closeIdle closes the connection if it is idle.
func (c *connection) closeIdle() {
	if c.state.CompareAndSwap(connectionIdle, connectionClosed) {
		_ = c.Conn.Close()
	}
}

// evict closes the connection unless a request was read whole.
func (c *connection) evict() bool {
	if c.state.CompareAndSwap(connectionIdle, connectionClosed) || c.state.CompareAndSwap(connectionPartial, connectionClosed) {
		// The duty must not close others for bytes that are dropped.
		c.release()
		_ = c.Conn.Close()
		return true
	}
	return false
}

// sample returns the state of the connection for the decision which one is closed.
func (c *connection) sample() intake.Sample[*connection] {
	x := intake.Sample[*connection]{
		Key:      c,
		Phase:    intake.Answering,
		Received: c.received.Load(),
		Held:     c.held.Load(),
		Requests: c.whole.Load(),
	}
	switch c.state.Load() {
	case connectionIdle:
		x.Phase = intake.Waiting
	case connectionPartial:
		x.Phase = intake.InHead
		if c.inBody.Load() {
			x.Phase = intake.InBody
		}
	}
	return x
}

// countingListener accepts connections that count their requests.
type countingListener struct {
	net.Listener
	server *server
}

func (l countingListener) Accept() (net.Conn, error) {
	if err := l.server.takeSlot(); err != nil {
		return nil, err
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		l.server.freeSlot()
		return nil, err
	}
	c := &connection{
		Conn:      nc,
		server:    l.server,
		headLimit: l.server.limits.request().HeadBytes,
	}
	l.server.account.Opened()
	l.server.connectionOpened(c)
	return c, nil
}
