// Package web runs HTTP servers as duties of a process.
//
// The listener is opened before the duty starts, so that the port chosen for port 0
// is known. When the duty's context ends, the server accepts no new connection and
// waits for requests in flight, up to a limit.
package web

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/duty"
)

// The time limits of a server.
const (
	// headerTimeout closes connections that do not send request headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections without a further request.
	idleTimeout = 2 * time.Minute
	// settleTime is how long a received request may take to reach its handler, and a
	// response to be sent.
	settleTime = 250 * time.Millisecond
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

// countingServer is an HTTP server that counts the requests in flight.
type countingServer struct {
	server *http.Server
	active atomic.Int64
	limit  func() time.Duration
}

// Serve returns a duty that serves h on l, and its cleanup function. When the duty
// stops, it calls limit and waits that long for requests in flight. Connections
// without a request do not delay the stop.
func Serve(l net.Listener, limit func() time.Duration, name, purpose string, h http.Handler) (duty.Duty, func(), error) {
	s := &countingServer{
		limit: limit,
	}
	s.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.active.Add(1)
			defer s.active.Add(-1)
			h.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	d, err := duty.New(name, purpose, nil, func(ctx context.Context) error {
		return s.run(ctx, l)
	})
	return d, func() {
		_ = s.server.Close()
		// Close does not reach the listener of a server that was never started.
		_ = l.Close()
	}, err
}

func (s *countingServer) run(ctx context.Context, l net.Listener) error {
	ended := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-ctx.Done():
			s.stop(context.WithoutCancel(ctx))
		case <-ended:
		}
	}()
	err := s.server.Serve(l)
	close(ended)
	<-stopped
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// stop closes the listener and waits for the requests in flight.
func (s *countingServer) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.limit())
	defer cancel()
	for {
		settleCtx, cancel := context.WithTimeout(ctx, settleTime)
		err := s.server.Shutdown(settleCtx)
		cancel()
		if err == nil {
			return
		}
		// The open connections have a request in flight or have never had one.
		if s.active.Load() == 0 || ctx.Err() != nil {
			_ = s.server.Close()
			return
		}
	}
}
