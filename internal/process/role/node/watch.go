package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/keyspace"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// Decode reads a configuration as it is stored.
type Decode func([]byte) (*route.Version, error)

// The times of following the store.
const (
	// watchWait is how long a watch waits. A connection can go silent for good, so
	// it is short against the 2 s in which a configuration must be in force.
	watchWait = time.Second
	// storePause and maxStorePause bound the pause after a failed call.
	storePause    = 100 * time.Millisecond
	maxStorePause = 500 * time.Millisecond
	// entryLease is the life of an entry's own key.
	entryLease = 5 * time.Second
	// renewEvery is how often the lease is renewed.
	renewEvery = 1500 * time.Millisecond
	// listEvery is how often the list of entries is read.
	listEvery = 2 * time.Second
	// entriesPrefix begins the keys under which entries say where they are.
	entriesPrefix = "greengagedoor/entries/"
)

// storeHealth notes when the store is lost and regained.
type storeHealth struct {
	what string
	down bool
	note func(event.Name, ...event.Field)
}

func (h *storeHealth) observe(err error) {
	switch {
	case err != nil && !h.down:
		h.note(event.StoreLost, event.F("call", h.what), event.F("error", err.Error()))
	case err == nil && h.down:
		h.note(event.StoreRegained, event.F("call", h.what))
	}
	h.down = err != nil
}

// watchConfiguration follows the operators' configuration and hands on each
// version.
func watchConfiguration(ctx context.Context, s Dependencies, note func(event.Name, ...event.Field), found func(context.Context, []byte)) error {
	h := &storeHealth{
		what: "configuration",
		note: note,
	}
	wait := storePause
	after := int64(0)
	for ctx.Err() == nil {
		next, err := followConfiguration(ctx, s, after, found)
		h.observe(err)
		if err != nil {
			after = 0
			if !duty.Pause(ctx, wait) {
				break
			}
			wait = min(2*wait, maxStorePause)
			continue
		}
		wait = storePause
		after = next
	}
	return nil
}

// followConfiguration does one step: it reads the configuration if nothing is
// known, and waits for a change otherwise.
func followConfiguration(ctx context.Context, s Dependencies, after int64, found func(context.Context, []byte)) (int64, error) {
	if after == 0 {
		items, revision, err := s.Store.List(ctx, s.ConfigurationKey)
		for _, i := range items {
			if i.Key() == s.ConfigurationKey {
				found(ctx, i.Value())
			}
		}
		return revision, err
	}
	changes, revision, err := s.Store.Watch(ctx, s.ConfigurationKey, after, watchWait)
	if errors.Is(err, keyspace.ErrCompacted) {
		return 0, nil
	}
	for _, c := range changes {
		if c.Item().Key() == s.ConfigurationKey && !c.Deleted() {
			found(ctx, c.Item().Value())
		}
	}
	return revision, err
}

// register keeps the key under which other processes find this entry.
func register(ctx context.Context, s keyspace.Store, name, address string, note func(event.Name, ...event.Field)) error {
	h := &storeHealth{
		what: "registration",
		note: note,
	}
	lease := int64(0)
	for {
		var err error
		if lease == 0 {
			lease, err = announce(ctx, s, name, address)
		} else {
			err = s.Renew(ctx, lease)
		}
		if errors.Is(err, keyspace.ErrNoLease) {
			lease = 0
			continue
		}
		h.observe(err)
		d := renewEvery
		if err != nil {
			d = maxStorePause
		}
		if !duty.Pause(ctx, d) {
			break
		}
	}
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxStorePause)
	defer cancel()
	// The key ends with its lease if this does not arrive.
	h.observe(s.Revoke(ctx, lease))
	return nil
}

// announce writes the entry's key under a new lease, over what a former process
// of the same name left.
func announce(ctx context.Context, s keyspace.Store, name, address string) (int64, error) {
	lease, err := s.Grant(ctx, entryLease)
	if err != nil {
		return 0, err
	}
	key := entriesPrefix + name
	err = s.Apply(ctx, keyspace.NewWrite(nil, []keyspace.Item{keyspace.NewItem(key, []byte(address), 0)}, nil).WithLease(lease))
	if err != nil {
		return 0, err
	}
	return lease, nil
}

func peersOf(items []keyspace.Item) []frame.Peer {
	var peers []frame.Peer
	for _, i := range items {
		peers = append(peers, frame.NewPeer(i.Key()[len(entriesPrefix):], string(i.Value())))
	}
	return peers
}

// watchEntries reads where entries are, and hands the list on. While the
// store is away, what is known stays.
func watchEntries(ctx context.Context, s keyspace.Store, wanted func() bool, note func(event.Name, ...event.Field), found func([]frame.Peer)) error {
	h := &storeHealth{
		what: "entries",
		note: note,
	}
	for {
		if wanted() {
			items, _, err := s.List(ctx, entriesPrefix)
			h.observe(err)
			if err == nil {
				found(peersOf(items))
			}
		}
		if !duty.Pause(ctx, listEvery) {
			return nil
		}
	}
}
