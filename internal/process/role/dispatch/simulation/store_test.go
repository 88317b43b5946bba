package simulation_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

const (
	storeName = "store"
	// storeConnection is the connection to the store in the network.
	storeConnection = 1 << 40
	// storeDelay is how long the store takes for an answer, and slowStoreDelay the same
	// while it is slow.
	storeDelay     = 4 * time.Millisecond
	slowStoreDelay = 50 * storeDelay
	// watchTimeout is when an entry gives a call of the store up.
	watchTimeout = 1700 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 300 * time.Millisecond
	// packedShare is the part of a body that its packed form takes; 285 KB of routes take
	// 24 KB.
	packedShare = 8
	// base64Thirds is the length of three bytes in an answer of the store.
	base64Thirds = 4
	// decodeBytesPerSecond is what the smallest entry decodes: 254 KB in 27 ms of a whole
	// processor, of which it has 0.144.
	decodeBytesPerSecond = 1_350_000
)

// simVersion is a version of the configuration in the store. Each version adds a
// route that stays, and has one that the next version drops.
type simVersion struct {
	index     int
	version   *route.Version
	body      []byte
	confirmed time.Duration
}

// simStore is the store with the operators' configuration.
type simStore struct {
	c        *cluster
	versions []simVersion
	byNumber map[int64]simVersion
	// slowUntil, downUntil and deniedUntil are when its disturbances end, the last one by
	// the name of the entry that the store turns away.
	slowUntil   time.Duration
	downUntil   time.Duration
	deniedUntil map[string]time.Duration
	watchers    []func()
}

func newSimStore(c *cluster) *simStore {
	return &simStore{
		c:           c,
		byNumber:    map[int64]simVersion{},
		deniedUntil: map[string]time.Duration{},
	}
}

// write confirms a version whose stored form has a number of bytes. Numbers rise in
// uneven steps.
func (s *simStore) write(bytes int) {
	index := len(s.versions) + 1
	number := int64(index*3 - index%2)
	var routes []route.Route
	add := func(name string) {
		r, err := route.NewRoute(name, "", "/"+name+"/", "service")
		if err != nil {
			s.c.t.Fatal(err)
		}
		routes = append(routes, r.WithPriority(0, 4).WithTiming(s.c.callerTimeout, 1.6, 60*time.Millisecond))
	}
	add("kind")
	for i := range index {
		add(addedRoute(i + 1))
	}
	add(droppedRoute(index))
	v, err := route.NewVersion(number, routes, route.Limits{})
	if err != nil {
		s.c.t.Fatal(err)
	}
	x := simVersion{
		index:     index,
		version:   v,
		body:      make([]byte, bytes),
		confirmed: s.c.now,
	}
	s.versions = append(s.versions, x)
	s.byNumber[number] = x
	watchers := s.watchers
	s.watchers = nil
	for _, notify := range watchers {
		notify()
	}
}

func addedRoute(index int) string   { return fmt.Sprintf("added_%d", index) }
func droppedRoute(index int) string { return fmt.Sprintf("only_%d", index) }

func (s *simStore) newest() (simVersion, bool) {
	if len(s.versions) == 0 {
		return simVersion{}, false
	}
	return s.versions[len(s.versions)-1], true
}

// unavailable reports whether the store does not answer an entry.
func (s *simStore) unavailable(name string) bool {
	return s.c.now < s.downUntil || s.c.now < s.deniedUntil[name]
}

func (s *simStore) delay() time.Duration {
	if s.c.now < s.slowUntil {
		return slowStoreDelay
	}
	return storeDelay
}

// followStore lets the entry watch the configuration.
func (e *simEntry) followStore(incarnation uint64) {
	e.readStore(incarnation, 0)
}

// readStore waits for a version above the index that the entry has read.
func (e *simEntry) readStore(incarnation uint64, read int) {
	s := e.c.store
	if e.incarnation != incarnation {
		return
	}
	if s.unavailable(e.name) {
		e.handle(dispatch.StoreAnswers(false))
		e.c.after(retryPause, func() { e.readStore(incarnation, read) })
		return
	}
	ended := false
	// follow continues unless the call has been given up.
	follow := func(pause time.Duration, index int) {
		if !ended {
			ended = true
			e.c.after(pause, func() { e.readStore(incarnation, index) })
		}
	}
	e.c.after(watchTimeout, func() { follow(retryPause, read) })
	answer := func() {
		v, ok := s.newest()
		if !ok || v.index <= read || ended {
			return
		}
		e.c.after(s.delay(), func() {
			e.c.network.send(storeName, e.name, storeConnection, len(v.body)*base64Thirds/3, func() bool { return !ended && e.incarnation == incarnation }, func() {
				if ended || e.incarnation != incarnation {
					return
				}
				e.handle(dispatch.StoreAnswers(true))
				e.decode(frame.NewConfig(v.version.Number(), v.body[:len(v.body)/packedShare]))
				follow(0, v.index)
			})
		})
	}
	if v, ok := s.newest(); ok && v.index > read {
		answer()
		return
	}
	s.watchers = append(s.watchers, answer)
	e.c.after(time.Second, func() { follow(0, read) })
}

// decode passes a configuration to the dispatcher after the time that its decoding
// takes. The decoder handles one at a time.
func (e *simEntry) decode(c frame.Config) {
	incarnation := e.incarnation
	v, ok := e.c.store.byNumber[c.Number()]
	if !ok {
		e.c.t.Fatalf("configuration %d was never written", c.Number())
	}
	e.decoderFree = max(e.decoderFree, e.c.now) + time.Duration(len(v.body))*time.Second/decodeBytesPerSecond
	e.c.after(e.decoderFree-e.c.now, func() {
		if e.incarnation == incarnation {
			e.handle(dispatch.VersionReceived(v.version, c))
		}
	})
}

// simPeerLink is a connection between two entries.
type simPeerLink struct {
	c      *cluster
	number uint64
	a, b   *simEntry
	open   bool
}

// dialPeers opens connections to the entries of a higher name that have none.
func (e *simEntry) dialPeers(incarnation uint64) {
	if e.incarnation != incarnation {
		return
	}
	for _, o := range e.c.entries {
		if o.name > e.name && o.d != nil && !e.connectedTo(o) {
			e.c.session++
			l := &simPeerLink{
				c:      e.c,
				number: e.c.session,
				a:      e,
				b:      o,
				open:   true,
			}
			e.peerLinks[l.number] = l
			o.peerLinks[l.number] = l
			e.handle(dispatch.SessionOpened(l.number, frame.NewHello(o.name, o.incarnation, o.zone, o.name, frame.RoleEntry)))
			o.handle(dispatch.SessionOpened(l.number, frame.NewHello(e.name, e.incarnation, e.zone, e.name, frame.RoleEntry)))
		}
	}
	e.c.after(100*time.Millisecond, func() { e.dialPeers(incarnation) })
}

func (e *simEntry) connectedTo(o *simEntry) bool {
	for _, l := range e.peerLinks {
		if l.a == o || l.b == o {
			return true
		}
	}
	return false
}

func (e *simEntry) sortedPeerLinks() []*simPeerLink {
	var list []*simPeerLink
	for _, n := range slices.Sorted(maps.Keys(e.peerLinks)) {
		list = append(list, e.peerLinks[n])
	}
	return list
}

func (l *simPeerLink) send(from *simEntry, f frame.Frame) {
	to := l.a
	if from == l.a {
		to = l.b
	}
	deliver := func() {
		if l.open {
			to.handle(dispatch.FrameReceived(l.number, f))
		}
	}
	if l.c.network == nil {
		l.c.after(networkDelay, deliver)
		return
	}
	l.c.network.sendFrame(from.name, to.name, l.number, f, func() bool { return l.open }, deliver)
}

func (l *simPeerLink) close() {
	l.open = false
	for _, e := range []*simEntry{l.a, l.b} {
		delete(e.peerLinks, l.number)
		e.handle(dispatch.SessionClosed(l.number))
	}
}
