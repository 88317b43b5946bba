package web

import (
	"net"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/intake"
)

const (
	// sweepInterval is how often the connections are looked through while there are any.
	sweepInterval = time.Second
	// pressedInterval is the interval of sweeps while the listener holds too much or has no room.
	pressedInterval = 10 * time.Millisecond
	// acceptInterval is the least time between two connections meanwhile, so that clients
	// that connect again at once do not take all of the processor.
	acceptInterval = time.Millisecond
	// crowdedInterval is the minimum time between two server_crowded log lines.
	crowdedInterval = 10 * time.Second
)

// press tells the duty that the listener holds too much or has no room.
func (s *server) press() {
	if s.pressed.CompareAndSwap(false, true) && s.changes.TryPush(change{}) != nil {
		// The next caller tries again.
		s.pressed.Store(false)
	}
}

// takeSlot waits until there is room for a connection, and a little longer while the
// listener is pressed.
func (s *server) takeSlot() error {
	if s.pressed.Load() {
		pause := time.NewTimer(acceptInterval)
		defer pause.Stop()
		select {
		case <-pause.C:
		case <-s.accepting.Done():
			return net.ErrClosed
		}
	}
	if s.slots == nil {
		return nil
	}
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	s.waiting.Store(true)
	defer s.waiting.Store(false)
	s.press()
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-s.accepting.Done():
		return net.ErrClosed
	}
}

func (s *server) freeSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

// sweep closes connections that make too little progress. It returns when to look
// again, or 0 if there is no connection.
func (s *server) sweep() time.Duration {
	now := time.Since(s.began)
	s.samples = s.samples[:0]
	for c := range s.connections {
		s.samples = append(s.samples, c.sample())
	}
	d := intake.Demand{
		Bytes: s.account.Excess(),
	}
	if s.waiting.Load() {
		d.Connections = cap(s.slots)
	}
	s.pressed.Store(d.Bytes > 0 || d.Connections > 0)
	for _, x := range s.intake.Handle(now, s.limits.request().Times, d, s.samples) {
		if x.Key.evict() {
			s.evicted(now, x.Reason)
		}
	}
	switch {
	case s.pressed.Load():
		return pressedInterval
	case len(s.connections) > 0:
		return sweepInterval
	}
	return 0
}

// evicted counts a connection that was closed, and logs it if that was not done for a
// time.
func (s *server) evicted(now time.Duration, reason intake.Reason) {
	s.count(closedFor[reason])
	s.closes++
	if s.ending.Note == nil || reason == intake.Idle || (s.notedAt > 0 && now-s.notedAt < crowdedInterval) {
		return
	}
	s.ending.Note(event.New(event.ServerCrowded, event.F("server", s.name), event.F("reason", string(reason)), event.F("closed", s.closes),
		event.F("connections", len(s.connections)), event.F("held_bytes", s.account.Held())))
	s.notedAt = now
	s.closes = 0
}
