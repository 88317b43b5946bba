// Package web runs HTTP servers as duties of a process.
//
// The listener is opened before the duty starts, so that the port chosen for port 0
// is known. When the process leaves, answers ask callers to close their connections.
// When the duty's context ends, the server accepts no new connection, and a
// connection ends once every request that was read from it is answered, pipelined
// ones too, up to a limit. http.Server.Shutdown would drop requests that it has read
// but not yet passed to the handler, and those that are pipelined.
package web

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/intake"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// The limits of a server.
const (
	// SettleTime is how long a stopping server waits for the first request of an open
	// connection.
	SettleTime = 250 * time.Millisecond
	// CutTime is how long handlers may take to return once their connection is closed.
	CutTime = 50 * time.Millisecond
	// endInterval is how often a stopping server looks for connections to close.
	endInterval = 5 * time.Millisecond
	// changeRingSize bounds the connections that wait to be added or removed.
	changeRingSize = 256
	// ShutdownLimit is how long a stopping server waits for requests in flight, for
	// roles that have drained before.
	ShutdownLimit = 4 * time.Second
)

// Listen opens a listener. It also returns the given address with the chosen port in
// place of port 0.
func Listen(address string) (net.Listener, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", errors.Wrapf(err, "listen on %s", address)
	}
	host, port, err := net.SplitHostPort(address)
	if err == nil && port == "0" {
		_, port, err = net.SplitHostPort(l.Addr().String())
		address = net.JoinHostPort(host, port)
	}
	return l, address, errors.Wrap(err, "address of listener")
}

// ConstantLimit returns a limit function for Serve that always returns d.
func ConstantLimit(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// Ending tells a server how its process ends.
type Ending struct {
	// Leaving is closed when the process gets its stop signal; nil if the process does
	// not announce its end.
	Leaving <-chan struct{}
	// Lingered is closed when load balancers have noticed that the process leaves;
	// connections without a request in flight are then closed. It may be nil.
	Lingered <-chan struct{}
	// Limit returns how long a stopping server may wait for requests in flight.
	Limit func() time.Duration
	// Overtime is how much longer it waits while a request that was read whole has no
	// answer.
	Overtime time.Duration
	// Note logs an event; it may be nil.
	Note func(event.Note)
	// Count adds 1 to a counter; it may be nil.
	Count func(Counter)
}

// change is the message that a connection was opened or has ended, or that the listener
// holds too much if it has no connection.
type change struct {
	connection *connection
	open       bool
}

// server is an HTTP server that tracks its connections.
type server struct {
	name    string
	ending  Ending
	limits  Limits
	http    *http.Server
	changes *ring.Ring[change]
	// life ends when the duty no longer reads changes.
	life    context.Context
	endLife context.CancelFunc
	// connections belongs to the duty.
	connections map[*connection]bool
	// intake, samples, closes (the connections closed since the last log line) and notedAt
	// (its time) belong to the duty, too.
	intake  *intake.State[*connection]
	samples []intake.Sample[*connection]
	closes  int
	notedAt time.Duration
	account *intake.Account
	// slots has a message for each open connection and one for the next client; nil
	// without a limit.
	slots chan struct{}
	// pressed is set while the listener holds too much or has no room, waiting while a
	// client waits for room.
	pressed atomic.Bool
	waiting atomic.Bool
	// accepting ends when the listener closes.
	accepting    context.Context
	endAccepting context.CancelFunc
	// lingered is set when idle connections are closed.
	lingered atomic.Bool
	// stopped is set when the duty stops.
	stopped atomic.Bool
	// began is when the server was made; leftAt and lastTaken count from it, in ns, on a
	// clock that is never set.
	began time.Time
	// leftAt is when the process got its stop signal; 0 before.
	leftAt atomic.Int64
	// taken is the number of requests read after the stop signal; lastTaken is when the
	// last one was.
	taken      atomic.Int64
	lastTaken  atomic.Int64
	refusals   atomic.Int64
	unanswered atomic.Int64
}

// Serve returns a duty that serves h on l, and its cleanup function. When the duty
// stops, it calls limit and waits that long for requests in flight. Connections
// without a request do not delay the stop.
func Serve(l net.Listener, limit func() time.Duration, name, purpose string, h http.Handler) (duty.Duty, func(), error) {
	return ServeUntil(l, Limits{}, Ending{
		Limit: limit,
	}, name, purpose, h)
}

// ServeUntil is Serve for a process that announces its end, with limits.
func ServeUntil(l net.Listener, limits Limits, ending Ending, name, purpose string, h http.Handler) (duty.Duty, func(), error) {
	if limits.Account == nil {
		limits.Account = intake.NewAccount(intake.Limits{})
	}
	changes, err := ring.New[change](name, changeRingSize)
	if err != nil {
		return duty.Duty{}, func() { _ = l.Close() }, err
	}
	s := &server{
		name:        name,
		ending:      ending,
		limits:      limits,
		changes:     changes,
		intake:      intake.NewState[*connection](),
		account:     limits.Account,
		connections: map[*connection]bool{},
		began:       time.Now(),
	}
	s.life, s.endLife = context.WithCancel(context.Background())
	s.accepting, s.endAccepting = context.WithCancel(s.life)
	if n := limits.Account.Limits().Connections(); n > 0 {
		s.slots = make(chan struct{}, n+1)
	}
	// The duty enforces the times of connections, which may change.
	s.http = &http.Server{
		Handler:     s.handler(h),
		ConnContext: withConnection,
		// The requests of net/http's own handler would not be counted as answered.
		DisableGeneralOptionsHandler: true,
		ConnState: func(nc net.Conn, state http.ConnState) {
			if c, ok := nc.(*connection); ok && state == http.StateIdle {
				c.answered()
				if s.lingered.Load() {
					c.closeIdle()
				}
			}
		},
	}
	d, err := duty.New(name, purpose, func() (int, int, int64) {
		return changes.Depth(), changes.Size(), changes.Rejected()
	}, func(ctx context.Context) error {
		return s.run(ctx, l)
	})
	return d, func() {
		s.endLife()
		_ = s.http.Close()
		// Close does not reach the listener of a server that was never started.
		_ = l.Close()
	}, err
}

func (s *server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		x := &response{
			ResponseWriter: w,
			server:         s,
			connection:     c,
			number:         c.entered.Add(1),
		}
		defer c.returned.Add(1)
		h.ServeHTTP(x, r)
		if !x.written {
			x.WriteHeader(http.StatusOK)
		}
	})
}

// leaving reports whether the process has got its stop signal.
func (s *server) leaving() bool {
	if s.stopped.Load() {
		return true
	}
	select {
	case <-s.ending.Leaving:
		return true
	default:
		return false
	}
}

// complete completes the header of an answer.
func (s *server) complete(w *response, status int) {
	if !s.leaving() {
		return
	}
	if status == http.StatusServiceUnavailable {
		s.refused()
	}
	// After an answer that closes its connection, no further request is answered.
	if w.connection.begun.Load() <= w.number {
		w.Header().Set("Connection", "close")
	}
}

func (s *server) connectionOpened(c *connection) {
	_ = s.changes.Push(s.life, change{
		connection: c,
		open:       true,
	})
}

func (s *server) connectionEnded(c *connection) {
	_ = s.changes.Push(s.life, change{
		connection: c,
	})
}
