package server

import (
	"cmp"
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/address"
	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/keyspace"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// Decode decodes a stored configuration.
type Decode func([]byte) (*route.Version, error)

// The times of store calls.
const (
	// watchWait is how long a watch call waits for a change. A connection can stop
	// answering without an error, so the wait is well below the 2 s in which a new
	// configuration must be active.
	watchWait = time.Second
	// minStoreBackoff and maxStoreBackoff bound the backoff after a failed call.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 500 * time.Millisecond
	// entryLeaseTTL is the lifetime of an entry's key without a renewal.
	entryLeaseTTL = 5 * time.Second
	// renewInterval is how often the lease of an entry's key is renewed.
	renewInterval = 1500 * time.Millisecond
	// listInterval is how often the list of entries is read.
	listInterval = 2 * time.Second
	// entriesPrefix is the prefix of the keys that hold the entries' addresses.
	entriesPrefix = "greengagedoor/entries/"
	// maxPeers bounds the entries that are followed, far above the number of hosts. The
	// list must fit into a frame.
	maxPeers = 1024
	// maxZoneBytes bounds the name of an availability zone.
	maxZoneBytes = 128
)

// storeHealth logs when a kind of store call starts to fail and when it recovers.
type storeHealth struct {
	call     string
	down     bool
	logEvent func(event.Name, ...event.Field)
}

func (h *storeHealth) update(err error) {
	switch {
	case err != nil && !h.down:
		h.logEvent(event.StoreLost, event.F("call", h.call), event.F("error", err.Error()))
	case err == nil && h.down:
		h.logEvent(event.StoreRegained, event.F("call", h.call))
	}
	h.down = err != nil
}

// configurationWatch is the duty that watches the operators' configuration.
type configurationWatch struct {
	deps  Dependencies
	clock func() time.Duration
	log   func(event.Note)
	// read receives each configuration, and answers whether the store answers.
	read    func(context.Context, undecoded)
	answers func(context.Context, bool)
	// evacuations follows the requests to evacuate availability zones.
	evacuations *evacuations
	// reread reports whether the store has to be read anew, since others know of a newer
	// version than the watch has shown.
	reread func() bool
}

func (w configurationWatch) run(ctx context.Context) error {
	h := &storeHealth{
		call:     "configuration",
		logEvent: func(n event.Name, f ...event.Field) { w.log(event.New(n, f...)) },
	}
	backoff := minStoreBackoff
	answered := false
	after := int64(0)
	lastList := time.Duration(0)
	for ctx.Err() == nil {
		began := w.clock()
		if (w.reread() || w.evacuations.unsure) && began-lastList >= watchWait {
			after = 0
		}
		whole := after == 0
		if whole {
			lastList = began
		}
		changes, next, err := pollOperators(ctx, w.deps, after)
		if err == nil {
			w.evacuations.apply(ctx, changes, next, whole)
		}
		for _, c := range changes {
			w.pass(ctx, c, began, whole)
		}
		h.update(err)
		if (err == nil) != answered {
			answered = err == nil
			w.answers(ctx, answered)
		}
		if err != nil {
			// The changes since the last revision are still to be had, so the value that is
			// known is not read again.
			if !duty.Pause(ctx, backoff) {
				break
			}
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = minStoreBackoff
		after = next
	}
	return nil
}

// pass passes a configuration on. Whole is set if the read shows the newest version.
func (w configurationWatch) pass(ctx context.Context, c keyspace.Change, began time.Duration, whole bool) {
	i := c.Item()
	switch {
	case c.Deleted():
	case i.Invalid() != nil:
		w.log(invalidItem(i, i.Invalid()))
	case i.Key() == w.deps.ConfigurationKey:
		now := w.clock()
		u := undecoded{
			stored:  i.Value(),
			arrival: dispatch.NewArrival(dispatch.StoreSource, now-began, 0),
			at:      now,
		}
		if whole {
			u.readBegan = began
		}
		w.read(ctx, u)
	}
}

// pollOperators reads what the operators have written if after is 0, and otherwise waits
// for a change after that revision. It returns the revision for the next call.
func pollOperators(ctx context.Context, s Dependencies, after int64) ([]keyspace.Change, int64, error) {
	prefix := cmp.Or(s.OperatorsPrefix, s.ConfigurationKey)
	if after > 0 {
		changes, revision, err := s.Store.Watch(ctx, prefix, after, watchWait)
		if errors.Is(err, keyspace.ErrCompacted) {
			return nil, 0, nil
		}
		return changes, revision, err
	}
	items, revision, err := s.Store.List(ctx, prefix)
	var changes []keyspace.Change
	for _, i := range items {
		changes = append(changes, keyspace.NewChange(i, false))
	}
	return changes, revision, err
}

// register keeps the store key with this entry's address and removes it when the
// process has lingered or ctx ends.
func register(ctx context.Context, s keyspace.Store, p frame.Peer, lingered <-chan struct{}, logEvent func(event.Name, ...event.Field)) error {
	h := &storeHealth{
		call:     "registration",
		logEvent: logEvent,
	}
	lease := int64(0)
	for {
		var err error
		if lease == 0 {
			lease, err = createRegistration(ctx, s, p)
		} else {
			err = s.Renew(ctx, lease)
		}
		if errors.Is(err, keyspace.ErrNoLease) {
			lease = 0
			continue
		}
		h.update(err)
		d := renewInterval
		if err != nil {
			d = maxStoreBackoff
		}
		if !pauseUntil(ctx, d, lingered) {
			break
		}
	}
	if lease == 0 {
		return nil
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxStoreBackoff)
	defer cancel()
	// Once the process ends, less time is left than the backoff.
	defer context.AfterFunc(ctx, func() { time.AfterFunc(revokeLimit, cancel) })()
	// If the call fails, the key expires with its lease.
	h.update(s.Revoke(end, lease))
	return nil
}

// pauseUntil waits for d. It returns false if ctx ends or stop is closed before.
func pauseUntil(ctx context.Context, d time.Duration, stop <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	case <-ctx.Done():
		return false
	}
}

// createRegistration writes the entry's key under a new lease. It overwrites a key
// that a previous process of the same name left.
func createRegistration(ctx context.Context, s keyspace.Store, p frame.Peer) (int64, error) {
	lease, err := s.Grant(ctx, entryLeaseTTL)
	if err != nil {
		return 0, err
	}
	err = s.Apply(ctx, keyspace.NewWrite(nil, []keyspace.Item{itemFromPeer(p)}, nil).WithLease(lease))
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// peersFromItems returns the entries with their addresses. It leaves out the items
// that can't be used, and logs each of them.
func peersFromItems(items []keyspace.Item, logState func(event.Note)) []frame.Peer {
	var peers []frame.Peer
	for _, i := range items {
		p, err := peerFromItem(i)
		if err == nil && len(peers) >= maxPeers {
			err = errors.Errorf("more than %d entries", maxPeers)
		}
		if err != nil {
			logState(invalidItem(i, err))
			continue
		}
		peers = append(peers, p)
	}
	return peers
}

// itemFromPeer returns the store item of an entry. Its value is the address and the
// availability zone, separated by a space.
func itemFromPeer(p frame.Peer) keyspace.Item {
	return keyspace.NewItem(entriesPrefix+p.Name(), []byte(strings.TrimSpace(p.Address()+" "+p.Zone())), 0)
}

// peerFromItem returns the entry of a store item. The zone may be missing, since a
// previous version of the program did not write it.
func peerFromItem(i keyspace.Item) (frame.Peer, error) {
	if i.Invalid() != nil {
		return frame.Peer{}, i.Invalid()
	}
	name, ok := strings.CutPrefix(i.Key(), entriesPrefix)
	if !ok || name == "" {
		return frame.Peer{}, errors.Errorf("key %q names no entry", i.Key())
	}
	text, zone, _ := strings.Cut(string(i.Value()), " ")
	a, err := address.Parse(text)
	if err != nil {
		return frame.Peer{}, err
	}
	if len(zone) > maxZoneBytes {
		return frame.Peer{}, errors.Errorf("availability zone has %d bytes, want at most %d", len(zone), maxZoneBytes)
	}
	return frame.NewPeer(name, a).InZone(zone), nil
}

func invalidItem(i keyspace.Item, err error) event.Note {
	return event.New(event.ValueInvalid, event.F("key", i.Key()), event.F("error", err.Error())).About("key " + i.Key())
}

// watchEntries reads the entries' addresses at each interval while enabled reports
// true, and passes the list to onRead. While the store is unavailable, the previous
// list stays valid.
func watchEntries(ctx context.Context, b *base, enabled func() bool, onRead func([]frame.Peer)) error {
	h := &storeHealth{
		call:     "entries",
		logEvent: b.logEvent,
	}
	for {
		if enabled() {
			items, _, err := b.deps.Store.List(ctx, entriesPrefix)
			h.update(err)
			if err == nil {
				onRead(peersFromItems(items, b.log))
			}
		}
		if !duty.Pause(ctx, listInterval) {
			return nil
		}
	}
}
