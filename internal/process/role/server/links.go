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
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/process/subset"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// The numbers of outgoing connections, which do not grow with the fleet.
const (
	// An agent has zoneNumerator/zoneDenominator of its connections in its own availability
	// zone.
	zoneNumerator   = 2
	zoneDenominator = 3
	// entryLinks is the number of other entries that an entry chooses, and entryZoneLinks
	// how many of them are in its own availability zone. Two entries are connected if one
	// of them chooses the other.
	entryLinks     = 4
	entryZoneLinks = 2
	// maxDialWait is the longest time between two checks of the table of addresses.
	maxDialWait = time.Second
)

// The bounds that keep addresses at which no entry answers from taking the processor
// from those that are served.
const (
	// maxOpening bounds the connections that are being opened.
	maxOpening = 64
	// maxDialsPerInterval bounds the dials of addresses that never answered, in each
	// dialInterval.
	maxDialsPerInterval = 16
	dialInterval        = 50 * time.Millisecond
	// maxEndpoints bounds the known addresses: those of maxPeers entries and the seeds.
	maxEndpoints = 2 * maxPeers
)

// connectionOpened is the message that a connection is established on a stream.
type connectionOpened struct {
	address string
	stream  uint64
}

// connectionEnded is the message that a connection has ended or could not be
// opened.
type connectionEnded struct {
	address string
	err     error
	lasted  time.Duration
}

// connectionReleased is the message that the connection on a stream is not needed any
// more.
type connectionReleased struct {
	stream uint64
}

// links is the duty that keeps connections to the entries that this process chooses.
type links struct {
	self     subset.Member
	size     subset.Size
	hello    frame.Hello
	handlers stream.Handlers
	logEvent func(event.Name, ...event.Field)
	logState func(event.Note)
	// count counts connections by what becomes of them.
	count func(linkCounter)
	ring  *ring.Ring[any]
	// owner receives the connections that are released.
	owner     *ring.Ring[any]
	endpoints map[string]*endpoint
	choice    subset.Choice
	// began is when the process started.
	began time.Time
	// chosenBy has the entries that choose this one, if that counts. It is computed anew
	// when the set of entries has changed.
	chosenBy map[string]bool
	changed  bool
	// dialsLeft is how many addresses that never answered may be dialed in the
	// dialInterval that began at intervalStart.
	dialsLeft     int
	intervalStart time.Time
	// symmetric is set for an entry. It is also connected to the entries that choose it,
	// and of two entries the one with the lower address opens the connection.
	symmetric bool
	// evacuated is the set of evacuated availability zones, by which an agent chooses.
	evacuated evacuation.Set
}

// zonesEvacuated is the message that an agent knows of another set of evacuated zones.
type zonesEvacuated struct {
	set evacuation.Set
}

// linksResized is the message that an agent is to be connected to a number of entries.
type linksResized struct {
	total int
}

// peersSeen is the message that entries' addresses were announced.
type peersSeen struct {
	peers []frame.Peer
}

func newLinks(b *base, h stream.Handlers, owner *ring.Ring[any]) (*links, error) {
	r, err := ring.New[any]("links", ringSize)
	if err != nil {
		return nil, err
	}
	l := &links{
		self:      subset.NewMember(b.settings.name, b.settings.zone),
		size:      agentSize(executor.MinLinks),
		hello:     b.hello,
		handlers:  h,
		logEvent:  b.logEvent,
		logState:  b.log,
		count:     func(c linkCounter) { b.observer.links.Add(string(c), 1) },
		ring:      r,
		owner:     owner,
		endpoints: map[string]*endpoint{},
		began:     time.Now(),
	}
	if b.hello.Role() == frame.RoleEntry {
		l.self = subset.NewMember(b.settings.advertised, b.settings.zone)
		l.size = subset.NewSize(entryZoneLinks, entryLinks)
		l.symmetric = true
	}
	for _, a := range seedAddresses(b.settings.seeds, b.settings.advertised) {
		l.addAddress(a, "", true)
	}
	section, err := l.section()
	if err != nil {
		return nil, err
	}
	b.sections = append(b.sections, section)
	return l, b.add("links", "Opens and reopens connections to entries.", func() (int, int, int64) {
		return r.Depth(), r.Size(), r.Rejected()
	}, l.run)
}

// agentSize returns the size of an agent's choice with a number of connections.
func agentSize(total int) subset.Size {
	return subset.NewSize(total*zoneNumerator/zoneDenominator, total)
}

// resize passes the number of an agent's connections to the duty. It is repeated, so a
// full ring may drop it.
func (l *links) resize(total int) {
	_ = l.ring.TryPush(linksResized{
		total: total,
	})
}

// evacuate passes the evacuated zones to the duty of an agent. It reports false if its ring
// is full.
func (l *links) evacuate(s evacuation.Set) bool {
	return l.ring.TryPush(zonesEvacuated{
		set: s,
	}) == nil
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

func (l *links) addAddress(text, zone string, seed bool) {
	if text == "" {
		return
	}
	a, err := address.Parse(text)
	if err != nil {
		l.logState(event.New(event.ValueInvalid, event.F("address", text), event.F("error", err.Error())).About("address " + text))
		return
	}
	if a == l.self.Address() {
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
			member:  subset.NewMember(a, zone),
			seed:    seed,
		}
		l.endpoints[a] = p
		l.changed = true
		l.logEvent(event.EntriesChanged, event.F("address", a), event.F("zone", zone), event.F("known", len(l.endpoints)))
	}
	if zone != "" && zone != p.member.Zone() {
		p.member = subset.NewMember(a, zone)
		l.changed = true
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
			l.addAddress(p.Address(), p.Zone(), false)
		}
	case linesAsked:
		m.reply <- l.lines(time.Now())
	case zonesEvacuated:
		l.evacuated = m.set
	case linksResized:
		l.size = agentSize(m.total)
	case connectionOpened:
		if p, ok := l.endpoints[m.address]; ok {
			p.open = true
			p.stream = m.stream
			p.openedAt = time.Now()
			p.reached = true
			l.count(linkOpened)
		}
	case connectionEnded:
		if p, ok := l.endpoints[m.address]; ok {
			l.count(p.endCounter())
			p.ended(time.Now(), m.lasted)
			l.logFailure(p, m)
		}
	}
}

// logFailure logs consecutive failures at each power of two, so that a long-lost
// address does not fill the log.
func (l *links) logFailure(p *endpoint, m connectionEnded) {
	if p.failures > 0 && p.failures&(p.failures-1) == 0 && m.err != nil {
		l.logEvent(event.ConnectionFailed, event.F("address", p.address), event.F("failures", p.failures),
			event.F("lasted_ms", m.lasted.Milliseconds()), event.F("error", m.err.Error()))
	}
}

// choose chooses the entries to be connected to, by the states of the connections.
func (l *links) choose(now time.Time) {
	members := make([]subset.Member, 0, len(l.endpoints))
	for _, p := range l.endpoints {
		members = append(members, p.member.WithState(p.state(now, l.settleTime(now))))
	}
	if l.changed && l.symmetric {
		l.chosenBy = l.size.ChosenBy(l.self, members)
	}
	l.changed = false
	before := l.choice
	l.choice = l.size.Choose(l.self, subset.CountAsOwn(l.self, members, l.evacuated.Has))
	if !l.choice.Equal(before) {
		l.logEvent(event.LinksChosen, event.F("known", len(members)), event.F("chosen", l.choice.Len()), event.F("chosen_by", len(l.chosenBy)))
	}
}

// settleTime returns how long a connection is open before it counts as settled.
func (l *links) settleTime(now time.Time) time.Duration {
	if now.Sub(l.began) < startPhase {
		return stableAfter
	}
	return settledAfter
}

// shouldDial reports whether this process opens a connection to an entry.
func (l *links) shouldDial(p *endpoint) bool {
	if !l.symmetric {
		return l.choice.Dial(p.address)
	}
	return p.address > l.self.Address() && (l.choice.Dial(p.address) || l.chosenBy[p.address])
}

// dial opens the connections that are due, releases those that are not needed any more
// and removes expired addresses. It returns the time until the next connection is due.
func (l *links) dial(ctx context.Context) time.Duration {
	now := time.Now()
	if now.Sub(l.intervalStart) >= dialInterval {
		l.intervalStart = now
		l.dialsLeft = maxDialsPerInterval
	}
	l.choose(now)
	wait := time.Duration(maxDialWait)
	var due []*endpoint
	opening := 0
	for _, p := range l.endpoints {
		switch {
		case p.dialing && !p.open:
			opening++
		case p.dialing:
			l.release(p)
		case !p.seed && now.Sub(p.lastSeen) > addressTTL:
			l.forget(p)
		case !l.shouldDial(p):
		case now.Before(p.nextDial):
			wait = min(wait, p.nextDial.Sub(now))
		default:
			due = append(due, p)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].before(due[j]) })
	for i, p := range due {
		if i >= maxOpening-opening || !p.known() && l.dialsLeft == 0 {
			wait = min(wait, dialInterval)
			break
		}
		if !p.known() {
			l.dialsLeft--
		}
		p.dialing = true
		go l.connect(ctx, p.address)
	}
	return wait
}

// release asks the owner of an open connection to close it, if it is not needed any
// more.
func (l *links) release(p *endpoint) {
	if p.released || l.choice.Keep(p.address) || l.chosenBy[p.address] {
		return
	}
	p.released = l.owner.TryPush(connectionReleased{
		stream: p.stream,
	}) == nil
}

func (l *links) forget(p *endpoint) {
	delete(l.endpoints, p.address)
	l.changed = true
	l.logEvent(event.EntriesChanged, event.F("forgotten", p.address), event.F("known", len(l.endpoints)))
}

// connect opens one connection and serves it until it ends.
func (l *links) connect(ctx context.Context, address string) {
	start := time.Now()
	h := l.handlers
	h.Opened = func(s *stream.Stream, hello frame.Hello) {
		// If the message is lost, the connection counts as being opened.
		_ = l.ring.Push(ctx, connectionOpened{
			address: address,
			stream:  s.Number(),
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
