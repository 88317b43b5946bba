package server

import (
	"context"
	"net"
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// The times of outgoing connections.
const (
	// minDialBackoff and maxDialBackoff bound the backoff before the next dial.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 150 * time.Millisecond
	// stableAfter is the lifetime from which a lost connection is dialed again
	// without backoff.
	stableAfter = time.Second
	// addressTTL is how long an address is dialed after it was last announced.
	addressTTL = 20 * time.Second
	// maxDialWait is the longest time between two checks of the table of addresses for
	// due dials.
	maxDialWait = time.Second
)

// endpoint is an entry's address with the state of its connection.
type endpoint struct {
	address  string
	lastSeen time.Time
	dialing  bool
	backoff  time.Duration
	nextDial time.Time
	seed     bool
	// failures counts the consecutive connections that ended before stableAfter.
	failures int
}

// connectionEnded is the message that a connection has ended or could not be
// opened.
type connectionEnded struct {
	address string
	err     error
	lasted  time.Duration
}

// links is the duty that keeps a connection to each known entry.
type links struct {
	self      string
	hello     frame.Hello
	handlers  stream.Handlers
	logEvent  func(event.Name, ...event.Field)
	ring      *ring.Ring[any]
	endpoints map[string]*endpoint
	// shouldDial reports whether this process opens the connection to an address.
	shouldDial func(address string) bool
}

// peersSeen is the message that entries' addresses were announced.
type peersSeen struct {
	peers []frame.Peer
}

func newLinks(b *base, h stream.Handlers, shouldDial func(string) bool) (*links, error) {
	r, err := ring.New[any]("links", ringSize)
	if err != nil {
		return nil, err
	}
	l := &links{
		self:       b.settings.advertised,
		hello:      b.hello,
		handlers:   h,
		logEvent:   b.logEvent,
		ring:       r,
		endpoints:  map[string]*endpoint{},
		shouldDial: shouldDial,
	}
	for _, a := range seedAddresses(b.settings.seeds, b.settings.advertised) {
		l.addAddress(a, true)
	}
	return l, b.add("links", "Opens and reopens connections to entries.", func() (int, int, int64) {
		return r.Depth(), r.Size(), r.Rejected()
	}, l.run)
}

// seedAddresses returns the seeds with the port of the process's own address,
// since all processes of an installation use the same port.
func seedAddresses(seeds []string, own string) []string {
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil
	}
	var list []string
	for _, s := range seeds {
		host, _, err := net.SplitHostPort(s)
		if err != nil {
			host = s
		}
		list = append(list, net.JoinHostPort(host, port))
	}
	return list
}

// addPeers passes entries' addresses to the duty without blocking.
func (l *links) addPeers(peers []frame.Peer) {
	if len(peers) == 0 {
		return
	}
	// Addresses are announced repeatedly, so a full ring may drop them.
	_ = l.ring.TryPush(peersSeen{
		peers: peers,
	})
}

func (l *links) addAddress(address string, seed bool) {
	if address == "" || address == l.self || !l.shouldDial(address) {
		return
	}
	p, ok := l.endpoints[address]
	if !ok {
		p = &endpoint{
			address: address,
			seed:    seed,
		}
		l.endpoints[address] = p
		l.logEvent(event.EntriesChanged, event.F("address", address), event.F("known", len(l.endpoints)))
	}
	p.lastSeen = time.Now()
}

func (l *links) run(ctx context.Context) error {
	due := time.NewTimer(maxDialWait)
	defer due.Stop()
	for {
		due.Reset(l.dial(ctx))
		select {
		case m := <-l.ring.Out():
			l.receive(m)
		case <-due.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *links) receive(m any) {
	switch m := m.(type) {
	case peersSeen:
		for _, p := range m.peers {
			l.addAddress(p.Address(), false)
		}
	case connectionEnded:
		p, ok := l.endpoints[m.address]
		if !ok {
			return
		}
		p.dialing = false
		l.updateBackoff(p, m)
		p.nextDial = time.Now().Add(p.backoff)
	}
}

// updateBackoff sets the backoff after a connection has ended. Consecutive failures
// are logged at each power of two, so that a long-lost address does not fill the
// log.
func (l *links) updateBackoff(p *endpoint, m connectionEnded) {
	if m.lasted > stableAfter {
		p.backoff = 0
		p.failures = 0
		return
	}
	p.backoff = min(max(2*p.backoff, minDialBackoff), maxDialBackoff)
	p.failures++
	if p.failures&(p.failures-1) == 0 && m.err != nil {
		l.logEvent(event.ConnectionFailed, event.F("address", p.address), event.F("failures", p.failures),
			event.F("lasted_ms", m.lasted.Milliseconds()), event.F("error", m.err.Error()))
	}
}

// dial opens the connections that are due and removes expired addresses. It returns
// the time until the next connection is due.
func (l *links) dial(ctx context.Context) time.Duration {
	now := time.Now()
	wait := time.Duration(maxDialWait)
	addresses := make([]string, 0, len(l.endpoints))
	for a := range l.endpoints {
		addresses = append(addresses, a)
	}
	sort.Strings(addresses)
	for _, a := range addresses {
		p := l.endpoints[a]
		if p.dialing {
			continue
		}
		if now.Before(p.nextDial) {
			wait = min(wait, p.nextDial.Sub(now))
			continue
		}
		if !p.seed && now.Sub(p.lastSeen) > addressTTL {
			delete(l.endpoints, a)
			l.logEvent(event.EntriesChanged, event.F("forgotten", a), event.F("known", len(l.endpoints)))
			continue
		}
		p.dialing = true
		go l.connect(ctx, a)
	}
	return wait
}

// connect opens one connection and serves it until it ends.
func (l *links) connect(ctx context.Context, address string) {
	start := time.Now()
	err := stream.Dial(ctx, address, l.hello, l.handlers)
	// If this message were lost, the address would never be dialed again.
	_ = l.ring.Push(ctx, connectionEnded{
		address: address,
		err:     err,
		lasted:  time.Since(start),
	})
}
