package service

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Head returns the head. Its version is 0 before the first change.
func (s *Service) Head(ctx context.Context) (configuration.Head, error) {
	p, err := s.store.Read(ctx, configuration.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return configuration.Head{}, nil
	}
	if err != nil {
		return configuration.Head{}, err
	}
	return configuration.DecodeHead(p.Value())
}

// Version returns version n. It fails with store.ErrNotFound if the store does not
// have it.
func (s *Service) Version(ctx context.Context, n uint64) (*configuration.Configuration, error) {
	p, err := s.store.Read(ctx, configuration.VersionKey(n))
	if err != nil {
		return nil, err
	}
	return configuration.Decode(p.Value())
}

// Current returns the active version. It fails with store.ErrNotFound if no version
// has been applied.
func (s *Service) Current(ctx context.Context) (*configuration.Configuration, error) {
	h, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	if h.Version() == 0 {
		return nil, errors.Wrap(store.ErrNotFound, "no version has been applied")
	}
	p, err := s.store.Read(ctx, h.Key())
	if err != nil {
		return nil, err
	}
	if err := h.Check(p.Value()); err != nil {
		return nil, err
	}
	return configuration.Decode(p.Value())
}

// History returns up to limit records, the latest first.
func (s *Service) History(ctx context.Context, limit int) ([]publisher.Record, error) {
	a, _, err := s.audit(ctx, auditKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	records := latestFirst(a)
	for n := a.Segment(); n > 0 && len(records) < limit; n-- {
		a, _, err := s.audit(ctx, segmentKey(n-1))
		if errors.Is(err, store.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		records = append(records, latestFirst(a)...)
	}
	return records[:min(limit, len(records))], nil
}

func latestFirst(a publisher.Audit) []publisher.Record {
	records := slices.Clone(a.Records())
	slices.Reverse(records)
	return records
}
