package store_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/standin/keyvalue"
	"greengagedoor.example/greengagedoor/internal/process/store"
)

func newStore(t *testing.T) (*keyvalue.Store, *store.Store) {
	t.Helper()
	kv, err := keyvalue.New(time.Now)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = kv.Run(ctx) }()
	e := echo.New()
	kv.Register(e)
	server := httptest.NewServer(e)
	s, cleanup, err := store.New(server.URL, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cleanup()
		server.Close()
		stop()
	})
	return kv, s
}

// TestFailedWrites guards against a write that took effect but is reported as not
// done, because the store responded with status 500.
func TestFailedWrites(t *testing.T) {
	ctx := context.Background()
	writes := map[string]func(s *store.Store, session string) error{
		"swap": func(s *store.Store, _ string) error {
			_, err := s.CompareAndSwap(ctx, "new", []byte("v"), 0)
			return err
		},
		"delete": func(s *store.Store, _ string) error { return s.Delete(ctx, "held") },
		"open": func(s *store.Store, _ string) error {
			_, err := s.Open(ctx, time.Minute)
			return err
		},
		"renew": func(s *store.Store, session string) error { return s.Renew(ctx, session) },
		"close": func(s *store.Store, session string) error { return s.Close(ctx, session) },
		"acquire": func(s *store.Store, session string) error {
			_, err := s.Acquire(ctx, "new", []byte("v"), session)
			return err
		},
		"release": func(s *store.Store, session string) error {
			_, err := s.Release(ctx, "held", session)
			return err
		},
	}
	faults := map[string]keyvalue.Faults{
		"after the change":  keyvalue.NewFaults(false, 0, 0).WithFailuresAfterCommit(1),
		"before the change": keyvalue.NewFaults(true, 0, 0),
	}
	for name, write := range writes {
		for when, f := range faults {
			Convey(name+" fails "+when, t, func() {
				kv, s := newStore(t)
				session, err := s.Open(ctx, time.Minute)
				So(err, ShouldBeNil)
				ok, err := s.Acquire(ctx, "held", []byte("v"), session)
				So(ok, ShouldBeTrue)
				So(err, ShouldBeNil)
				before, _, err := s.List(ctx, "")
				So(err, ShouldBeNil)
				So(kv.SetFaults(ctx, f), ShouldBeNil)
				So(errors.Is(write(s, session), store.ErrUnknown), ShouldBeTrue)
				So(kv.SetFaults(ctx, keyvalue.NewFaults(false, 0, 0)), ShouldBeNil)
				after, _, err := s.List(ctx, "")
				So(err, ShouldBeNil)
				if when == "after the change" && name != "open" && name != "renew" {
					So(after, ShouldNotResemble, before)
				} else {
					So(after, ShouldResemble, before)
				}
			})
		}
	}
}
