package host

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/directory"
	"greengagedoor.example/greengagedoor/internal/process/role/member"
	"greengagedoor.example/greengagedoor/internal/process/role/wire"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	// leaseTimeout is shorter than the session TTL, so that a slow renewal can be
	// retried before the session expires.
	leaseTimeout = time.Second
	// watchWait is how long the store may wait for a change before it answers a watch.
	watchWait = 30 * time.Second
	// watchPause limits how often a watch lists the fleet while it changes rapidly.
	watchPause = 100 * time.Millisecond
	// watchRetry is the delay after a failed watch.
	watchRetry = 500 * time.Millisecond
)

// health logs when the store calls of one purpose start to fail and when they
// succeed again, but no failures in between. Only one duty uses it.
type health struct {
	log     *logrus.Entry
	purpose string
	failing bool
}

func (h *health) record(err error) {
	if failing := err != nil; failing != h.failing {
		h.failing = failing
		if failing {
			h.log.WithError(err).WithField("purpose", h.purpose).Warn("store call failed")
		} else {
			h.log.WithField("purpose", h.purpose).Info("store answers again")
		}
	}
}

// stores runs the duties that call the store. Each purpose has its own duty, so that
// it has at most one call in flight and a slow call delays no other purpose.
type stores struct {
	common         Common
	member         *role
	directory      *role
	lookups        *ring.Ring[member.Lookup]
	leases         *ring.Ring[any]
	writes         *ring.Ring[directory.WriteFleet]
	configurations *ring.Ring[directory.ReadConfiguration]
	fleetWatch     *ring.Ring[directory.Watch]
	headWatch      *ring.Ring[directory.Watch]
	health         [6]health
}

// Purposes of store calls, as indexes of stores.health.
const (
	lookupPurpose = iota
	leasePurpose
	writePurpose
	configurationPurpose
	fleetPurpose
	headPurpose
)

func newStores(c Common, m, d *role) (*stores, error) {
	s := &stores{
		common:    c,
		member:    m,
		directory: d,
	}
	for i, purpose := range []string{"look", "lease", "fleet", "configuration", "watch_fleet", "watch_configuration"} {
		s.health[i] = health{
			log:     c.log,
			purpose: purpose,
		}
	}
	var err error
	if s.lookups, err = ring.New[member.Lookup]("store_look", storeRingSize); err != nil {
		return nil, err
	}
	if s.leases, err = ring.New[any]("store_lease", storeRingSize); err != nil {
		return nil, err
	}
	if s.writes, err = ring.New[directory.WriteFleet]("store_fleet", storeRingSize); err != nil {
		return nil, err
	}
	if s.configurations, err = ring.New[directory.ReadConfiguration]("store_configuration", storeRingSize); err != nil {
		return nil, err
	}
	if s.fleetWatch, err = ring.New[directory.Watch]("watch_fleet", storeRingSize); err != nil {
		return nil, err
	}
	s.headWatch, err = ring.New[directory.Watch]("watch_configuration", storeRingSize)
	return s, err
}

func (s *stores) duties() ([]duty.Duty, error) {
	type row struct {
		name    string
		purpose string
		gauge   duty.Gauge
		run     func(context.Context) error
	}
	rows := []row{
		{
			name:    "store_look",
			purpose: "Reads the cells while no directory acknowledges heartbeats.",
			gauge:   gauge(s.lookups),
			run:     func(ctx context.Context) error { return consume(ctx, s.lookups, s.lookup) },
		},
	}
	if s.directory != nil {
		rows = append(rows,
			row{
				name:    "store_lease",
				purpose: "Maintains the session and the leases of cells.",
				gauge:   gauge(s.leases),
				run:     func(ctx context.Context) error { return consume(ctx, s.leases, s.lease) },
			},
			row{
				name:    "store_fleet",
				purpose: "Writes member lists and shard groups.",
				gauge:   gauge(s.writes),
				run:     func(ctx context.Context) error { return consume(ctx, s.writes, s.writeFleet) },
			},
			row{
				name:    "store_configuration",
				purpose: "Reads configuration versions.",
				gauge:   gauge(s.configurations),
				run:     func(ctx context.Context) error { return consume(ctx, s.configurations, s.readConfiguration) },
			},
			row{
				name:    "watch_fleet",
				purpose: "Watches member lists and shard groups while this process holds a cell.",
				gauge:   gauge(s.fleetWatch),
				run: func(ctx context.Context) error {
					return s.watch(ctx, s.fleetWatch, wire.FleetPrefix, fleetPurpose, s.fleetChanged)
				},
			},
			row{
				name:    "watch_configuration",
				purpose: "Watches the head of the configuration while this process holds a cell.",
				gauge:   gauge(s.headWatch),
				run: func(ctx context.Context) error {
					return s.watch(ctx, s.headWatch, configuration.HeadKey, headPurpose, s.headChanged)
				},
			})
	}
	var all []duty.Duty
	for _, r := range rows {
		d, err := duty.New(r.name, r.purpose, r.gauge, r.run)
		if err != nil {
			return nil, err
		}
		all = append(all, d)
	}
	return all, nil
}

func consume[T any](ctx context.Context, r *ring.Ring[T], do func(context.Context, T)) error {
	for {
		v, err := r.Pop(ctx)
		if err != nil {
			return nil
		}
		do(ctx, v)
	}
}

// post passes a store call of the directory to the duty of its purpose.
func (s *stores) post(effect any) {
	var err error
	switch e := effect.(type) {
	case directory.OpenSession, directory.AcquireLease, directory.RenewSession, directory.ReleaseLease, directory.CloseSession:
		err = s.leases.TryPush(e)
	case directory.WriteFleet:
		err = s.writes.TryPush(e)
	case directory.ReadConfiguration:
		err = s.configurations.TryPush(e)
	case directory.Watch:
		err = s.fleetWatch.TryPush(e)
		if err == nil {
			err = s.headWatch.TryPush(e)
		}
	default:
		err = errors.Errorf("effect of type %T is not a store call", e)
	}
	if err != nil {
		s.common.log.WithError(err).Error("could not post store call of the directory")
	}
}

func (s *stores) list(ctx context.Context) (membership.Fleet, error) {
	pairs, index, err := s.common.store.List(ctx, wire.FleetPrefix)
	if err != nil {
		return membership.Fleet{}, err
	}
	return wire.DecodeFleet(pairs, index)
}

func (s *stores) lookup(ctx context.Context, _ member.Lookup) {
	f, err := s.list(ctx)
	s.health[lookupPurpose].record(err)
	_ = s.member.ring.Push(ctx, member.NewLookupResult(f, err == nil))
}

// outcomeOf classifies the result of a store call.
func outcomeOf(ok bool, err error) directory.Outcome {
	switch {
	case err == nil && ok:
		return directory.Done
	case err == nil, errors.Is(err, store.ErrSession):
		return directory.Refused
	case errors.Is(err, store.ErrUnavailable):
		return directory.Failed
	}
	return directory.Unknown
}

func (s *stores) lease(ctx context.Context, effect any) {
	bounded, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	session, ok, err := s.call(bounded, effect)
	s.health[leasePurpose].record(err)
	_ = s.directory.ring.Push(ctx, directory.NewLeaseResult(outcomeOf(ok, err), session))
}

func (s *stores) call(ctx context.Context, effect any) (session string, ok bool, err error) {
	switch e := effect.(type) {
	case directory.OpenSession:
		session, err = s.common.store.Open(ctx, directory.SessionTTL)
		return session, true, err
	case directory.RenewSession:
		return "", true, s.common.store.Renew(ctx, e.Session())
	case directory.AcquireLease:
		value, err := wire.EncodeHolder(e.Holder())
		if err != nil {
			return "", false, err
		}
		ok, err = s.common.store.Acquire(ctx, wire.LeaseKey(e.Cell()), value, e.Session())
		return "", ok, err
	case directory.ReleaseLease:
		ok, err = s.common.store.Release(ctx, wire.LeaseKey(e.Cell()), e.Session())
		return "", ok, err
	case directory.CloseSession:
		return "", true, s.common.store.Close(ctx, e.Session())
	}
	return "", false, errors.Errorf("effect of type %T is not a lease call", effect)
}

// writeFleet writes each value with compare-and-swap. It then lists the fleet, which
// shows the writes that took effect.
func (s *stores) writeFleet(ctx context.Context, w directory.WriteFleet) {
	for _, c := range w.Cells() {
		value, err := wire.EncodeMemberList(c)
		s.compareAndSwap(ctx, wire.MemberListKey(c.Name()), value, c.Index(), err)
	}
	for _, g := range w.Groups() {
		value, err := wire.EncodeGroup(g)
		s.compareAndSwap(ctx, wire.GroupKey(g.Number()), value, g.Index(), err)
	}
	f, err := s.list(ctx)
	s.health[writePurpose].record(err)
	_ = s.directory.ring.Push(ctx, directory.NewWriteResult(w.Number(), f, err == nil))
}

func (s *stores) compareAndSwap(ctx context.Context, key string, value []byte, index uint64, err error) {
	if err == nil {
		_, err = s.common.store.CompareAndSwap(ctx, key, value, index)
	}
	if err != nil {
		s.common.log.WithError(err).WithField("key", key).Debug("directory write failed")
	}
}

// readConfiguration reads the body that the head refers to. A body that does not
// match the head's digest is discarded.
func (s *stores) readConfiguration(ctx context.Context, _ directory.ReadConfiguration) {
	h, err := s.head(ctx)
	if err == nil {
		var body store.Pair
		if body, err = s.common.store.Read(ctx, h.Key()); err == nil {
			err = h.Check(body.Value())
		}
		if err == nil {
			_ = s.directory.ring.Push(ctx, directory.NewConfiguration(h.Version(), body.Value()))
		}
	}
	s.health[configurationPurpose].record(err)
}

func (s *stores) head(ctx context.Context) (configuration.Head, error) {
	p, err := s.common.store.Read(ctx, configuration.HeadKey)
	if err != nil {
		return configuration.Head{}, err
	}
	return configuration.DecodeHead(p.Value())
}

// watch waits for changes of a prefix while the directory has the watch enabled.
func (s *stores) watch(ctx context.Context, requests *ring.Ring[directory.Watch], prefix string, purpose int, handle func(context.Context, []store.Pair, uint64)) error {
	enabled := false
	var index uint64
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var due <-chan time.Time
		if enabled {
			due = timer.C
		}
		select {
		case f := <-requests.Out():
			enabled = f.Enabled()
			index = 0
			timer.Reset(0)
		case <-due:
			pairs, newest, err := s.common.store.Watch(ctx, prefix, index, watchWait)
			if ctx.Err() != nil {
				return nil
			}
			s.health[purpose].record(err)
			if err != nil {
				timer.Reset(watchRetry)
				continue
			}
			// An index that decreased comes from a recreated store or a stale answer. The
			// watch must restart.
			if newest < index {
				newest = 0
			}
			index = newest
			handle(ctx, pairs, newest)
			timer.Reset(watchPause)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *stores) fleetChanged(ctx context.Context, pairs []store.Pair, index uint64) {
	f, err := wire.DecodeFleet(pairs, index)
	if err != nil {
		s.common.log.WithError(err).Error("cannot decode fleet from watch")
		return
	}
	_ = s.directory.ring.Push(ctx, directory.NewFleetUpdate(f))
}

func (s *stores) headChanged(ctx context.Context, pairs []store.Pair, _ uint64) {
	for _, p := range pairs {
		h, err := configuration.DecodeHead(p.Value())
		if err != nil {
			s.common.log.WithError(err).Error("cannot decode head of the configuration")
			continue
		}
		_ = s.directory.ring.Push(ctx, directory.NewLatestVersion(h.Version()))
	}
}
