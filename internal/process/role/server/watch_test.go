package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
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
					_ = register(ctx, s, frame.NewPeer("entry_1", "address"), lingered, func(event.Name, ...event.Field) {})
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

// TestWatchReadsOnce guards against a failed watch that costs a whole read of a large configuration, and against a watch that shows no newer version although others know of one.
func TestWatchReadsOnce(t *testing.T) {
	tests := map[string]struct {
		// watch has the outcome of each watch by its number; nil is an answer without change.
		watch  func(n int) error
		reread bool
		lists  int
	}{
		"no_change":        {watch: func(int) error { return nil }, lists: 1},
		"watches_fail":     {watch: func(int) error { return keyspace.ErrUnavailable }, lists: 1},
		"history_is_gone":  {watch: func(n int) error { return compactedOnce(n) }, lists: 2},
		"newer_is_known":   {watch: func(int) error { return nil }, reread: true, lists: 5},
		"each_second_fail": {watch: func(n int) error { return failEachSecond(n) }, lists: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lists, watches, answered := 0, 0, 0
				start := time.Now()
				w := configurationWatch{
					deps: Dependencies{
						ConfigurationKey: "op/config",
						Store: keyspace.Store{
							List: func(context.Context, string) ([]keyspace.Item, int64, error) {
								lists++
								return []keyspace.Item{keyspace.NewItem("op/config", []byte("stored"), 3)}, 7, nil
							},
							Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) ([]keyspace.Change, int64, error) {
								watches++
								if err := tt.watch(watches); err != nil {
									return nil, after, err
								}
								time.Sleep(wait)
								return nil, after, nil
							},
						},
					},
					clock:       func() time.Duration { return time.Since(start) + time.Second },
					log:         func(event.Note) {},
					read:        func(context.Context, undecoded) {},
					answers:     func(context.Context, bool) { answered++ },
					reread:      func() bool { return tt.reread },
					evacuations: newEvacuations(Dependencies{}, nil, nil),
				}
				ctx, cancel := context.WithTimeout(context.Background(), 4500*time.Millisecond)
				defer cancel()
				_ = w.run(ctx)
				Convey("the value is read whole only when it has to be", t, func() {
					So(lists, ShouldEqual, tt.lists)
					So(watches, ShouldBeGreaterThan, 3)
					So(answered, ShouldBeGreaterThan, 0)
				})
			})
		})
	}
}

func compactedOnce(n int) error {
	if n == 2 {
		return keyspace.ErrCompacted
	}
	return nil
}

func failEachSecond(n int) error {
	if n%2 == 0 {
		return keyspace.ErrUnavailable
	}
	return nil
}
