package server

import (
	"context"
	"net"
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/address"
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
	// dialInterval is how often the table of addresses is checked for due dials.
	dialInterval = 50 * time.Millisecond
)

// The bounds that keep addresses at which no entry answers from taking the processor
// from those that are served.
const (
	// maxOpening bounds the connections that are being opened.
	maxOpening = 64
	// maxDialsPerTick bounds the dials of addresses that never answered, in each
	// dialInterval.
	maxDialsPerTick = 16
	// maxEndpoints bounds the addresses that are dialed: those of maxPeers entries and
	// the seeds.
	maxEndpoints = 2 * maxPeers
)

// endpoint is an entry's address with the state of its connection.
type endpoint struct {
	address  string
	lastSeen time.Time
	dialing  bool
	// open reports that the connection is established, reached that one was before.
	open     bool
	reached  bool
	backoff  time.Duration
	nextDial time.Time
	seed     bool
	// failures counts the consecutive connections that ended before stableAfter.
	failures int
}

// connectionOpened is the message that a connection is established.
type connectionOpened struct {
	address string
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
	logState  func(event.Note)
	ring      *ring.Ring[any]
	endpoints map[string]*endpoint
	// dialsLeft is how many addresses that never answered may be dialed before the next
	// tick.
	dialsLeft int
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
		logState:   b.log,
		ring:       r,
		endpoints:  map[string]*endpoint{},
		shouldDial: shouldDial,
		dialsLeft:  maxDialsPerTick,
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

func (l *links) addAddress(text string, seed bool) {
	if text == "" {
		return
	}
	a, err := address.Parse(text)
	if err != nil {
		l.logState(event.New(event.ValueInvalid, event.F("address", text), event.F("error", err.Error())).About("address " + text))
		return
	}
	if a == l.self || !l.shouldDial(a) {
		return
	}
	p, ok := l.endpoints[a]
	if !ok && len(l.endpoints) >= maxEndpoints {
		l.logState(event.New(event.ValueInvalid, event.F("address", a), event.F("known", len(l.endpoints))).About("addresses"))
		return
	}
	if !ok {
		p = &endpoint{
			address: a,
			seed:    seed,
		}
		l.endpoints[a] = p
		l.logEvent(event.EntriesChanged, event.F("address", a), event.F("known", len(l.endpoints)))
	}
	p.lastSeen = time.Now()
}

func (l *links) run(ctx context.Context) error {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		l.dial(ctx)
		select {
		case m := <-l.ring.Out():
			l.receive(m)
		case <-ticker.C:
			l.dialsLeft = maxDialsPerTick
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
	case connectionOpened:
		if p, ok := l.endpoints[m.address]; ok {
			p.open = true
			p.reached = true
		}
	case connectionEnded:
		p, ok := l.endpoints[m.address]
		if !ok {
			return
		}
		p.dialing = false
		p.open = false
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

// dial opens the connections that are due and removes expired addresses.
func (l *links) dial(ctx context.Context) {
	now := time.Now()
	var due []*endpoint
	opening := 0
	for _, p := range l.endpoints {
		switch {
		case p.dialing && !p.open:
			opening++
		case p.dialing || now.Before(p.nextDial):
		case !p.seed && now.Sub(p.lastSeen) > addressTTL:
			delete(l.endpoints, p.address)
			l.logEvent(event.EntriesChanged, event.F("forgotten", p.address), event.F("known", len(l.endpoints)))
		default:
			due = append(due, p)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].before(due[j]) })
	for _, p := range due[:min(len(due), max(0, maxOpening-opening))] {
		if !p.known() {
			if l.dialsLeft == 0 {
				break
			}
			l.dialsLeft--
		}
		p.dialing = true
		go l.connect(ctx, p.address)
	}
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

// connect opens one connection and serves it until it ends.
func (l *links) connect(ctx context.Context, address string) {
	start := time.Now()
	h := l.handlers
	h.Opened = func(s *stream.Stream, hello frame.Hello) {
		// If the message is lost, the connection counts as being opened.
		_ = l.ring.Push(ctx, connectionOpened{
			address: address,
		})
		l.handlers.Opened(s, hello)
	}
	err := stream.Dial(ctx, address, l.hello, h)
	// If this message were lost, the address would never be dialed again.
	_ = l.ring.Push(ctx, connectionEnded{
		address: address,
		err:     err,
		lasted:  time.Since(start),
	})
}
