// Package intake decides which connections of a listener are closed.
//
// Untrusted clients may open many connections and send requests that do
// not come to an end. What has arrived of them takes memory, and each connection a
// descriptor. The state machine sees samples of all connections of one listener. It
// closes those whose request makes no progress in the permitted times. While the
// listener holds more than its share of memory, or has no room for a new connection, it
// closes those that make the least progress first. It never closes a connection whose
// request was read whole, as its job may run.
package intake

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is the time over which progress is compared. A connection that is younger
	// goes only if no older one is left.
	window = time.Second
	// connectionsPerClose is the number of connections that a listener may have for each
	// one that is closed at a sample while it has no room, so that a new client has time
	// to send its request.
	connectionsPerClose = 64
)

// Phase is how far the request of a connection is.
type Phase int

const (
	// Waiting is a connection without any byte of a request.
	Waiting Phase = iota
	// InHead is one with a part of a request's head.
	InHead
	// InBody is one with the head and a part of the body.
	InBody
	// Answering is one with a request that was read whole and has no answer yet.
	Answering
)

// Reason is why a connection is closed.
type Reason string

// The reasons.
const (
	SlowHead       Reason = "slow_head"
	StalledBody    Reason = "stalled_body"
	Idle           Reason = "idle"
	MemoryFull     Reason = "memory_full"
	ConnectionFull Reason = "connections_full"
)

// Times are the times in which a connection must make progress.
type Times struct {
	// Head bounds the time to the end of a head, and to the first byte of a connection.
	Head time.Duration
	// Body bounds the time without a byte of a body.
	Body time.Duration
	// Idle bounds the time without a further request.
	Idle time.Duration
}

// Sample is the state of one connection at a time.
type Sample[K comparable] struct {
	Key   K
	Phase Phase
	// Received is the number of bytes that the connection has received, Held the part of
	// it that takes memory.
	Received int64
	Held     int64
	// Requests is the number of requests that were read whole.
	Requests int64
}

// Demand is what must be freed at a time.
type Demand struct {
	// Bytes is the memory that is held beyond the listener's share.
	Bytes int64
	// Connections is the limit of connections if a client waits for room, or 0.
	Connections int
}

// Close is the decision to close a connection.
type Close[K comparable] struct {
	Key    K
	Reason Reason
}

// connection is what is known of one connection.
type connection[K comparable] struct {
	sample   Sample[K]
	sequence int64
	// openedAt is when the first sample was taken, movedAt when a byte was last seen to
	// have arrived, and phaseAt when the phase began.
	openedAt time.Duration
	movedAt  time.Duration
	phaseAt  time.Duration
	// windowAt is when the window began, with windowBytes received before. pace has the
	// bytes of the last whole window.
	windowAt    time.Duration
	windowBytes int64
	pace        int64
}

// progress returns the bytes received in the last and the present window.
func (c *connection[K]) progress() int64 {
	return c.pace + c.sample.Received - c.windowBytes
}

// State is the state of one listener. It belongs to one goroutine.
type State[K comparable] struct {
	connections map[K]*connection[K]
	sequence    int64
}

// NewState returns the state of a listener without connections.
func NewState[K comparable]() *State[K] {
	return &State[K]{
		connections: map[K]*connection[K]{},
	}
}

// Opened adds a connection.
func (s *State[K]) Opened(now time.Duration, key K) {
	s.sequence++
	s.connections[key] = &connection[K]{
		sample: Sample[K]{
			Key: key,
		},
		sequence: s.sequence,
		openedAt: now,
		movedAt:  now,
		phaseAt:  now,
		windowAt: now,
	}
}

// Ended removes a connection.
func (s *State[K]) Ended(key K) {
	delete(s.connections, key)
}

// Handle takes a sample of each connection and returns the connections to close.
func (s *State[K]) Handle(now time.Duration, t Times, d Demand, samples []Sample[K]) []Close[K] {
	var closes []Close[K]
	var left []*connection[K]
	for _, x := range samples {
		c, ok := s.connections[x.Key]
		if !ok {
			continue
		}
		c.advance(now, x)
		if reason, over := c.overdue(now, t); over {
			closes = append(closes, Close[K]{
				Key:    x.Key,
				Reason: reason,
			})
			d.Bytes -= x.Held
			continue
		}
		if x.Phase != Answering {
			left = append(left, c)
		}
	}
	if d.Bytes <= 0 && d.Connections == 0 {
		return closes
	}
	slices.SortFunc(left, func(a, b *connection[K]) int { return compare(now, a, b) })
	return append(closes, choose(left, d, len(closes))...)
}

// choose returns what is closed of connections in the order of their progress, for a
// demand and the number of connections that are closed already.
func choose[K comparable](list []*connection[K], d Demand, closed int) []Close[K] {
	var closes []Close[K]
	room := 0
	if d.Connections > 0 {
		room = max(1, d.Connections/connectionsPerClose) - closed
	}
	for _, c := range list {
		reason := ConnectionFull
		switch {
		case d.Bytes > 0 && c.sample.Held > 0:
			reason = MemoryFull
		case room <= 0:
			continue
		}
		room--
		d.Bytes -= c.sample.Held
		closes = append(closes, Close[K]{
			Key:    c.sample.Key,
			Reason: reason,
		})
	}
	return closes
}

// advance records a sample.
func (c *connection[K]) advance(now time.Duration, x Sample[K]) {
	if x.Phase != c.sample.Phase || x.Requests != c.sample.Requests {
		c.phaseAt = now
	}
	if x.Received != c.sample.Received {
		c.movedAt = now
	}
	c.sample = x
	if passed := now - c.windowAt; passed >= window {
		// A longer time counts as one window at its average pace.
		c.pace = int64(float64(x.Received-c.windowBytes) * float64(window) / float64(passed))
		c.windowAt = now
		c.windowBytes = x.Received
	}
}

// overdue reports whether a connection has exceeded the time of its phase.
func (c *connection[K]) overdue(now time.Duration, t Times) (Reason, bool) {
	switch c.sample.Phase {
	case Waiting:
		if c.sample.Received == 0 {
			return SlowHead, now-c.openedAt > t.Head
		}
		return Idle, now-c.phaseAt > t.Idle
	case InHead:
		return SlowHead, now-c.phaseAt > t.Head
	case InBody:
		return StalledBody, now-max(c.movedAt, c.phaseAt) > t.Body
	}
	return "", false
}

// compare orders connections by progress: first those that are older than a window, by
// the bytes that they received, then the younger ones by age.
func compare[K comparable](now time.Duration, a, b *connection[K]) int {
	youngA, youngB := now-a.openedAt < window, now-b.openedAt < window
	switch {
	case youngB && !youngA:
		return -1
	case youngA && !youngB:
		return 1
	case youngA:
		return cmp.Compare(a.sequence, b.sequence)
	}
	return cmp.Or(cmp.Compare(a.progress(), b.progress()), cmp.Compare(a.movedAt, b.movedAt), cmp.Compare(a.sequence, b.sequence))
}
