// Package service runs the publisher's state machine against the store.
//
// One duty takes the changes from a ring, one at a time. Versions and the history
// are read directly from the store, without the duty.
package service

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	ringSize = 64
	// changeTimeout limits one change with all its retries in a store outage.
	changeTimeout = 20 * time.Second
)

// Service applies changes of the configuration and reads versions and history.
type Service struct {
	store   *store.Store
	now     func() time.Time
	ring    *ring.Ring[pendingChange]
	machine *publisher.Publisher
	wait    func(context.Context, time.Duration)
}

type pendingChange struct {
	event any
	reply *ring.Ring[publisher.Result]
}

// New returns a service that uses the store s and the clock now.
func New(s *store.Store, now func() time.Time) (*Service, error) {
	r, err := ring.New[pendingChange]("publisher", ringSize)
	if err != nil {
		return nil, err
	}
	return &Service{
		store:   s,
		now:     now,
		ring:    r,
		machine: publisher.New(),
		wait:    func(ctx context.Context, d time.Duration) { duty.Pause(ctx, d) },
	}, nil
}

// WithWait replaces the wait before a read of the head.
func (s *Service) WithWait(wait func(context.Context, time.Duration)) *Service {
	s.wait = wait
	return s
}

// Gauge returns the depth and the size of the ring of changes, and the number of
// changes that a full ring rejected.
func (s *Service) Gauge() (depth, size int, rejected int64) {
	return s.ring.Depth(), s.ring.Size(), s.ring.Rejected()
}

// Run carries out changes until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for {
		a, err := s.ring.Pop(ctx)
		if err != nil {
			return nil
		}
		r, err := s.Execute(ctx, a.event)
		if err != nil {
			return err
		}
		// The push cannot fail: a change has one result, and the ring has size 1.
		_ = a.reply.TryPush(r)
	}
}

// Submit passes a change to the duty and waits for its result. It fails if the
// ring is full or ctx ends.
func (s *Service) Submit(ctx context.Context, event any) (publisher.Result, error) {
	reply, err := ring.New[publisher.Result]("result", 1)
	if err != nil {
		return publisher.Result{}, err
	}
	err = s.ring.TryPush(pendingChange{
		event: event,
		reply: reply,
	})
	if err != nil {
		return publisher.Result{}, err
	}
	return reply.Pop(ctx)
}

// Execute carries out one change. Only the goroutine that owns the service may
// call it. While Run runs, use Submit.
func (s *Service) Execute(ctx context.Context, event any) (publisher.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	effects := s.machine.Handle(s.now(), event)
	for len(effects) == 1 {
		if r, ok := effects[0].(publisher.Reply); ok {
			return r.Result(), nil
		}
		next, err := s.perform(ctx, effects[0])
		if err != nil {
			return publisher.Result{}, err
		}
		effects = s.machine.Handle(s.now(), next)
	}
	return publisher.Result{}, errors.Errorf("publisher returned %d effects for %T, want 1", len(effects), event)
}

func (s *Service) perform(ctx context.Context, effect any) (any, error) {
	switch e := effect.(type) {
	case publisher.ReadHead:
		s.wait(ctx, e.Pause())
		return s.readHead(ctx), nil
	case publisher.ReadVersion:
		c, err := s.Version(ctx, e.Version())
		return publisher.NewVersionRead(outcomeOf(err), c), nil
	case publisher.CreateVersion:
		return publisher.NewWritten(s.createVersion(ctx, e.Content())), nil
	case publisher.MoveHead:
		return publisher.NewWritten(s.moveHead(ctx, e)), nil
	case publisher.ReadAudit:
		a, index, err := s.audit(ctx, auditKey)
		return publisher.NewAuditRead(outcomeOf(err), a, index), nil
	case publisher.Archive:
		data, err := encodeAudit(e.Audit())
		if err != nil {
			return publisher.NewWritten(publisher.Unavailable), nil
		}
		return publisher.NewWritten(s.create(ctx, segmentKey(e.Audit().Segment()), data)), nil
	case publisher.WriteAudit:
		return publisher.NewWritten(s.writeAudit(ctx, e)), nil
	case publisher.DeleteVersion:
		return publisher.NewWritten(outcomeOf(s.store.Delete(ctx, configuration.VersionKey(e.Version())))), nil
	case publisher.DeleteSegment:
		return publisher.NewWritten(outcomeOf(s.store.Delete(ctx, segmentKey(e.Segment())))), nil
	}
	return nil, errors.Errorf("publisher returned unknown effect %T", effect)
}

// outcomeOf maps an error of the store to an outcome.
func outcomeOf(err error) publisher.Outcome {
	switch {
	case err == nil:
		return publisher.Done
	case errors.Is(err, store.ErrNotFound):
		return publisher.NotFound
	case errors.Is(err, store.ErrUnknown):
		return publisher.Unknown
	}
	return publisher.Unavailable
}

// compareAndSwap writes a key if it still has the index. The outcome is Mismatch if
// the index differs.
func (s *Service) compareAndSwap(ctx context.Context, key string, value []byte, index uint64) publisher.Outcome {
	ok, err := s.store.CompareAndSwap(ctx, key, value, index)
	if err == nil && !ok {
		return publisher.Mismatch
	}
	return outcomeOf(err)
}

// create writes a key that must not exist. The outcome is AlreadyStored if the key
// has the value already.
func (s *Service) create(ctx context.Context, key string, value []byte) publisher.Outcome {
	o := s.compareAndSwap(ctx, key, value, 0)
	if o != publisher.Mismatch {
		return o
	}
	p, err := s.store.Read(ctx, key)
	switch {
	case err != nil:
		return publisher.Unknown
	case bytes.Equal(p.Value(), value):
		return publisher.AlreadyStored
	}
	return publisher.Mismatch
}

func (s *Service) createVersion(ctx context.Context, c *configuration.Configuration) publisher.Outcome {
	body, err := configuration.Encode(c)
	if err != nil {
		return publisher.Unavailable
	}
	return s.create(ctx, configuration.VersionKey(c.Version()), body)
}

func (s *Service) moveHead(ctx context.Context, m publisher.MoveHead) publisher.Outcome {
	body, err := configuration.Encode(m.Content())
	if err != nil {
		return publisher.Unavailable
	}
	h, err := configuration.NewHead(m.Content().Version(), body, m.ChangeKey())
	if err != nil {
		return publisher.Unavailable
	}
	value, err := configuration.EncodeHead(h.WithPrevious(m.Previous()))
	if err != nil {
		return publisher.Unavailable
	}
	return s.compareAndSwap(ctx, configuration.HeadKey, value, m.Index())
}

func (s *Service) writeAudit(ctx context.Context, w publisher.WriteAudit) publisher.Outcome {
	data, err := encodeAudit(w.Audit())
	if err != nil {
		return publisher.Unavailable
	}
	return s.compareAndSwap(ctx, auditKey, data, w.Index())
}

func (s *Service) readHead(ctx context.Context) publisher.HeadRead {
	p, err := s.store.Read(ctx, configuration.HeadKey)
	if err != nil {
		return publisher.NewHeadRead(outcomeOf(err), configuration.Head{}, 0)
	}
	h, err := configuration.DecodeHead(p.Value())
	return publisher.NewHeadRead(outcomeOf(err), h, p.Index())
}

func (s *Service) audit(ctx context.Context, key string) (publisher.Audit, uint64, error) {
	p, err := s.store.Read(ctx, key)
	if err != nil {
		return publisher.Audit{}, 0, err
	}
	a, err := decodeAudit(p.Value())
	return a, p.Index(), err
}
