package web

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/intake"
)

// The defaults of the limits of requests.
const (
	// DefaultHeadBytes bounds a head, of which ordinary clients send up to some KB.
	DefaultHeadBytes = 64 << 10
	// SmallHeadBytes bounds the heads of clients that are part of an installation.
	SmallHeadBytes = 16 << 10
	// DefaultHeadTime bounds the time to the end of a head.
	DefaultHeadTime = 10 * time.Second
	// DefaultBodyTime bounds the time without a byte of a body.
	DefaultBodyTime = time.Minute
	// DefaultIdleTime closes connections without a further request.
	DefaultIdleTime = 2 * time.Minute
)

const (
	// smallRequestBytes is what each connection may hold while the listener holds too much, so
	// that small requests are still served.
	smallRequestBytes = 8 << 10
	// maxReadBytes bounds one read, and so what can arrive beyond a limit.
	maxReadBytes = 32 << 10
	// maxEmptyBytes bounds the empty lines before a request.
	maxEmptyBytes = 64
	// answerTime is how long a client may take to read a part of an answer.
	answerTime = 10 * time.Second
	// refusalTime is how long a client that still sends may take to read a refusal.
	refusalTime = 500 * time.Millisecond
	// lingerBytes is the size of the buffer for what is dropped meanwhile.
	lingerBytes = 1 << 10
	headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// ErrRefused is what a handler gets when it reads a body for which the listener has no
// memory. Nothing of the request has run.
var ErrRefused = errors.New("too many requests are being received")

// errUnframed ends a connection whose bytes are not a request, errLongHead one whose head
// exceeds its limit.
var (
	errUnframed = errors.New("bytes are not a request")
	errLongHead = errors.New("head is too long")
)

// RequestLimits are the limits of a request; 0 selects a default.
type RequestLimits struct {
	HeadBytes int
	Times     intake.Times
}

// Limits are the limits of a server.
type Limits struct {
	// Account has the limits of the listener and counts what it holds; nil for none.
	Account *intake.Account
	// Request returns the limits in force; nil for the defaults.
	Request func() RequestLimits
}

// request returns the limits in force of a request.
func (l Limits) request() RequestLimits {
	var r RequestLimits
	if l.Request != nil {
		r = l.Request()
	}
	if r.HeadBytes <= 0 {
		r.HeadBytes = DefaultHeadBytes
	}
	if r.Times.Head <= 0 {
		r.Times.Head = DefaultHeadTime
	}
	if r.Times.Body <= 0 {
		r.Times.Body = DefaultBodyTime
	}
	if r.Times.Idle <= 0 {
		r.Times.Idle = DefaultIdleTime
	}
	return r
}

// Fits reports whether the listener of a request has memory for n more bytes.
func Fits(ctx context.Context, n int64) bool {
	c := connectionOf(ctx)
	if c == nil || n <= smallRequestBytes || c.server.account.Fits(n-c.held.Load()) {
		return true
	}
	c.server.count(RefusedMemory)
	return false
}

// Hold sets the memory that a request takes, in place of the bytes that were read of
// it, and reports whether the listener has room for it. It ends with the answer.
func Hold(ctx context.Context, n int64) bool {
	c := connectionOf(ctx)
	if c == nil {
		return true
	}
	more := n - c.held.Load()
	if n > smallRequestBytes && more > 0 && !c.server.account.Fits(more) {
		c.server.press()
		c.server.count(RefusedMemory)
		return false
	}
	c.held.Add(more)
	c.server.account.Add(more)
	return true
}

// admitted bounds the bytes that were read by the limits of the server. It returns
// what Read returns for the n bytes.
func (c *connection) admitted(p []byte, n int, err error) (int, error) {
	if c.framing.headBytes > c.headLimit || c.framing.headFields > MaxHeadFields {
		c.server.count(RefusedHead)
		return c.fail(p, n, errLongHead)
	}
	if c.framing.emptyBytes > maxEmptyBytes || c.framing.state == unframed {
		return c.fail(p, n, errUnframed)
	}
	more := c.framing.kept - c.kept
	c.kept = c.framing.kept
	held := c.held.Add(more)
	if c.server.account.Add(more) {
		return n, err
	}
	c.server.press()
	if held <= smallRequestBytes || c.state.Load() != connectionPartial || c.server.account.Fits(0) {
		return n, err
	}
	c.server.count(RefusedMemory)
	if c.framing.state == inHeader {
		return c.fail(p, n, io.EOF)
	}
	c.lingers.Store(true)
	return c.fail(p, n, ErrRefused)
}

// fail ends the reading of a connection. Requests that were read whole are still
// answered; of a head that is too long, nothing is passed on.
func (c *connection) fail(p []byte, n int, err error) (int, error) {
	c.failed = err
	if err == ErrRefused {
		c.release()
	}
	if err == errLongHead {
		// net/http has no limit of its own for fields, and would serve what is refused here.
		n -= c.framing.rest
	}
	if c.framing.whole > c.done && n > 0 {
		return n, nil
	}
	return c.readFailed(p)
}

// readFailed is Read of a connection that has failed. An error during the call of a
// handler would cancel its request, so what arrives until then is dropped.
func (c *connection) readFailed(p []byte) (int, error) {
	// The call of a handler ends before its answer is written, which a refusal must follow.
	for c.unanswered() > 0 || c.failed == errLongHead && c.framing.whole > c.done {
		if _, err := c.Conn.Read(p); err != nil {
			return 0, err
		}
	}
	if c.failed == errLongHead && c.entered.Load() == c.returned.Load() {
		c.refuseHead(p)
		return 0, io.EOF
	}
	return 0, c.failed
}

// refuseHead answers a head that is too long.
func (c *connection) refuseHead(p []byte) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	if _, err := c.Conn.Write([]byte(headRefusal)); err == nil {
		c.linger(p)
	}
}

// linger lets the client read its answer: closing a connection with unread bytes would
// take the answer back.
func (c *connection) linger(p []byte) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTime))
	for err := c.CloseWrite(); err == nil; {
		_, err = c.Conn.Read(p)
	}
}
