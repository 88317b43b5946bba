package server

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/subset"
)

// The times of outgoing connections.
const (
	// minDialBackoff and maxDialBackoff bound the backoff before the next dial.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 150 * time.Millisecond
	// stableAfter is the lifetime from which a lost connection is dialed again
	// without backoff.
	stableAfter = time.Second
	// settledAfter is how long a connection is open before others are closed in its
	// favor, so that a process that starts again and again takes no place.
	settledAfter = 5 * time.Second
	// startPhase is the time after the start of a process in which connections settle
	// after stableAfter. Until then all processes are connected to the entries of the
	// settings, which these can't bear for long in a large fleet.
	startPhase = 10 * time.Second
	// failingAfter is the number of failures after which an entry is taken as unreachable
	// and the next one is chosen as well.
	failingAfter = 2
	// addressTTL is how long an address is kept after it was last announced.
	addressTTL = 60 * time.Second
	// peersInterval is how often an unchanged list of entries is sent again, so that
	// agents do not forget the addresses.
	peersInterval = addressTTL / 3
)

// endpoint is an entry's address with the state of its connection.
type endpoint struct {
	address  string
	member   subset.Member
	lastSeen time.Time
	dialing  bool
	// open reports that the connection is established on a stream since openedAt, reached
	// that one was before.
	open     bool
	stream   uint64
	openedAt time.Time
	reached  bool
	// released is set while the owner of the connection is asked to close it.
	released bool
	backoff  time.Duration
	nextDial time.Time
	seed     bool
	// failures counts the consecutive connections that ended before stableAfter.
	failures int
}

// state returns what is known of the connection, which settles after some time.
func (p *endpoint) state(now time.Time, settled time.Duration) subset.State {
	switch {
	case p.open && now.Sub(p.openedAt) >= settled:
		return subset.StateSettled
	case !p.open && p.failures >= failingAfter:
		return subset.StateFailing
	}
	return subset.StateUnproven
}

// known reports whether an address is one of the settings or has answered.
func (p *endpoint) known() bool {
	return p.seed || p.reached
}

// before reports whether p is dialed before o: addresses of the settings and those at
// which an entry answered go first, and then the one that has waited longest.
func (p *endpoint) before(o *endpoint) bool {
	if p.known() != o.known() {
		return p.known()
	}
	if !p.nextDial.Equal(o.nextDial) {
		return p.nextDial.Before(o.nextDial)
	}
	return p.address < o.address
}

// linkCounter names what becomes of a connection to an entry, for metrics.
type linkCounter string

const (
	linkOpened   linkCounter = "opened"
	linkReleased linkCounter = "closed_on_purpose"
	linkLost     linkCounter = "lost"
	linkFailed   linkCounter = "failed"
)

// endCounter returns the counter for the end of the connection.
func (p *endpoint) endCounter() linkCounter {
	switch {
	case !p.open:
		return linkFailed
	case p.released:
		return linkReleased
	}
	return linkLost
}

// ended records the end of the connection and sets the backoff.
func (p *endpoint) ended(now time.Time, lasted time.Duration) {
	p.dialing = false
	p.open = false
	p.released = false
	if lasted > stableAfter {
		p.backoff = 0
		p.failures = 0
	} else {
		p.backoff = min(max(2*p.backoff, minDialBackoff), maxDialBackoff)
		p.failures++
	}
	p.nextDial = now.Add(p.backoff)
}
