// Package web serves HTTP as a duty of a process.
//
// The listener opens when the server is made, so that an address with port 0 is
// known before anything else starts. When the duty's context ends, the server
// takes no new connection and waits for the requests in flight up to a limit.
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

// The limits of a server.
const (
	// headerTimeout ends connections that do not send a request.
	headerTimeout = 10 * time.Second
	// idleTimeout ends connections that send no further request.
	idleTimeout = 2 * time.Minute
	// settleTime is how long a request that was sent may take to reach its handler,
	// and an answer to leave.
	settleTime = 250 * time.Millisecond
	// ShutdownLimit is how long a stopping server waits for requests in flight, for
	// roles that have drained before.
	ShutdownLimit = 4 * time.Second
)

// Listen opens a listener and returns the address under which others reach it:
// the given one, with the chosen port in place of port 0.
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

// ConstantLimit returns a constant limit for Serve.
func ConstantLimit(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// front is a server that counts the requests in flight.
type front struct {
	server *http.Server
	active atomic.Int64
	limit  func() time.Duration
}

// Serve returns a duty that serves h on l, and its clean-up function. When the duty
// ends, requests in flight have the limit to be answered, which is asked for then.
// Connections on which no request came do not hold it up.
func Serve(l net.Listener, limit func() time.Duration, name, purpose string, h http.Handler) (duty.Duty, func(), error) {
	f := &front{
		limit: limit,
	}
	f.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.active.Add(1)
			defer f.active.Add(-1)
			h.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	d, err := duty.New(name, purpose, nil, func(ctx context.Context) error {
		return f.run(ctx, l)
	})
	return d, func() {
		_ = f.server.Close()
		// A server that was never started does not know its listener.
		_ = l.Close()
	}, err
}

func (f *front) run(ctx context.Context, l net.Listener) error {
	ended := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-ctx.Done():
			f.stop(context.WithoutCancel(ctx))
		case <-ended:
		}
	}()
	err := f.server.Serve(l)
	close(ended)
	<-stopped
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// stop takes no new connection and waits for the requests in flight.
func (f *front) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.limit())
	defer cancel()
	for {
		within, cancel := context.WithTimeout(ctx, settleTime)
		err := f.server.Shutdown(within)
		cancel()
		if err == nil {
			return
		}
		// What is open has a request in flight, or has never been used.
		if f.active.Load() == 0 || ctx.Err() != nil {
			_ = f.server.Close()
			return
		}
	}
}
