package service_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher/service"
	"greengagedoor.example/greengagedoor/internal/process/standin/keyvalue"
	"greengagedoor.example/greengagedoor/internal/process/store"
)

// TestApplyAfterFailedWrites guards against a reply that nothing was changed when
// the store answers with status 500 after it has made the change.
func TestApplyAfterFailedWrites(t *testing.T) {
	for name, failures := range map[string]int{
		"body":                 1,
		"body and head":        2,
		"body, head and audit": 3,
	} {
		Convey(name, t, func() {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			kv, err := keyvalue.New(time.Now)
			So(err, ShouldBeNil)
			go func() { _ = kv.Run(ctx) }()
			e := echo.New()
			kv.Register(e)
			server := httptest.NewServer(e)
			defer server.Close()
			st, cleanup, err := store.New(server.URL, 5*time.Second)
			So(err, ShouldBeNil)
			defer cleanup()
			s, err := service.New(st, time.Now)
			So(err, ShouldBeNil)
			So(kv.SetFaults(ctx, keyvalue.NewFaults(false, 0, 0).WithFailuresAfterCommit(failures)), ShouldBeNil)
			r := apply(t, s, "k1", 0, content(10))
			So(r.State(), ShouldEqual, publisher.Applied)
			So(r.Version(), ShouldEqual, 1)
			So(r.Audited(), ShouldBeTrue)
			h, err := s.History(ctx, 10)
			So(err, ShouldBeNil)
			So(h, ShouldHaveLength, 1)
			So(apply(t, s, "k2", 1, content(20)).Version(), ShouldEqual, 2)
		})
	}
}
