package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/keyspace"
)

// TestRegistrationEnds guards against an entry that exceeds its grace period because the store does not answer.
func TestRegistrationEnds(t *testing.T) {
	tests := map[string]struct {
		silent   bool
		lingered bool
		within   time.Duration
	}{
		"stopped":             {within: revokeLimit},
		"stopped_store_away":  {silent: true, within: revokeLimit},
		"lingered":            {lingered: true, within: revokeLimit},
		"lingered_store_away": {lingered: true, silent: true, within: maxStoreBackoff},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				granted := make(chan struct{}, 1)
				revoked := make(chan struct{}, 1)
				s := keyspace.Store{
					Grant: func(context.Context, time.Duration) (int64, error) { return 1, nil },
					Apply: func(context.Context, keyspace.Write) error {
						granted <- struct{}{}
						return nil
					},
					Revoke: func(ctx context.Context, _ int64) error {
						revoked <- struct{}{}
						if tt.silent {
							<-ctx.Done()
						}
						return ctx.Err()
					},
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				lingered := make(chan struct{})
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_ = register(ctx, s, "entry_1", "address", lingered, func(event.Name, ...event.Field) {})
				}()
				<-granted
				began := time.Now()
				if tt.lingered {
					close(lingered)
				} else {
					cancel()
				}
				<-revoked
				<-ended
				took := time.Since(began)
				Convey("the key is removed, and the duty ends in time", t, func() {
					So(took, ShouldBeLessThanOrEqualTo, tt.within)
				})
			})
		})
	}
}
