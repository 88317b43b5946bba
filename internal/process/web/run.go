package web

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// run serves until ctx ends and the requests that were read are answered.
func (s *server) run(ctx context.Context, l net.Listener) error {
	defer s.endLife()
	served := make(chan error, 1)
	go func() {
		served <- s.http.Serve(countingListener{
			Listener: l,
			server:   s,
		})
	}()
	leaving, lingered := s.ending.Leaving, s.ending.Lingered
	sweep := time.NewTimer(sweepInterval)
	defer sweep.Stop()
	sweeping := true
	for {
		if !sweeping && len(s.connections) > 0 {
			sweep.Reset(sweepInterval)
			sweeping = true
		}
		select {
		case c := <-s.changes.Out():
			s.apply(c)
			if c.connection == nil {
				sweep.Reset(0)
				sweeping = true
			}
		case <-sweep.C:
			next := s.sweep()
			sweeping = next > 0
			if sweeping {
				sweep.Reset(next)
			}
		case <-leaving:
			leaving = nil
			s.leftAt.Store(time.Since(s.began).Nanoseconds())
			s.noteStage(stageLeaving)
		case <-lingered:
			lingered = nil
			s.lingered.Store(true)
			s.closeIdle(false)
			s.noteStage(stageLingered)
		case err := <-served:
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrap(err, "serve HTTP")
		case <-ctx.Done():
			s.stop(l, served)
			return nil
		}
	}
}

func (s *server) apply(c change) {
	if c.connection == nil {
		return
	}
	if c.open {
		s.connections[c.connection] = true
		s.intake.Opened(time.Since(s.began), c.connection)
		return
	}
	delete(s.connections, c.connection)
	s.intake.Ended(c.connection)
	s.countUnanswered(c.connection)
}

// closeIdle closes the connections without a request in flight; those that never had
// one only if unused is set.
func (s *server) closeIdle(unused bool) {
	for c := range s.connections {
		if unused || c.used() {
			c.closeIdle()
		}
	}
}

// stop closes the listener and waits for the requests that were read, and for the
// first request of each connection that has had none.
func (s *server) stop(l net.Listener, served <-chan error) {
	s.stopped.Store(true)
	s.noteStage(stageStopping)
	s.endAccepting()
	_ = l.Close()
	limit := time.NewTimer(s.ending.Limit())
	defer limit.Stop()
	settle := time.NewTimer(SettleTime)
	defer settle.Stop()
	ticker := time.NewTicker(endInterval)
	defer ticker.Stop()
	settled, accepting, overtime := false, true, false
	for accepting || len(s.connections) > 0 {
		s.closeIdle(settled)
		if overtime && !s.answering() {
			s.cut()
			return
		}
		select {
		case c := <-s.changes.Out():
			s.apply(c)
		case <-served:
			accepting = false
		case <-settle.C:
			settled = true
		case <-ticker.C:
			if s.pressed.Load() {
				s.sweep()
			}
		case <-limit.C:
			if overtime {
				s.cut()
				return
			}
			overtime = true
			limit.Reset(s.ending.Overtime)
		}
	}
	s.noteStage(stageStopped)
}

// answering reports whether a connection has a request that was read whole and whose
// answer is not written.
func (s *server) answering() bool {
	for c := range s.connections {
		if c.answering() {
			return true
		}
	}
	return false
}

// inFlight returns the number of requests that were read and have no answer.
func (s *server) inFlight() int64 {
	n := int64(0)
	for c := range s.connections {
		n += c.unanswered()
	}
	return n
}

// cut closes the connections that are left and waits a little for their handlers.
func (s *server) cut() {
	s.noteStage(stageCut)
	for c := range s.connections {
		s.countUnanswered(c)
	}
	closed := make(chan struct{})
	// Each connection that is closed sends a change to this duty.
	go func() {
		defer close(closed)
		_ = s.http.Close()
	}()
	end := time.NewTimer(CutTime)
	defer end.Stop()
	for closing := true; closing || len(s.connections) > 0; {
		select {
		case c := <-s.changes.Out():
			s.apply(c)
		case <-closed:
			closing = false
			closed = nil
		case <-end.C:
			return
		}
	}
}
