package target_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/standin/record"
	"greengagedoor.example/greengagedoor/internal/process/standin/target"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// TestFaults guards against fault tests that pass because the fault is not injected.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault   string
		status  int
		started int64
		atLeast time.Duration
	}{
		"none": {
			fault:   `{}`,
			status:  200,
			started: 1,
		},
		"slow": {
			fault:   `{"slowness":10}`,
			status:  200,
			started: 1,
			atLeast: 100 * time.Millisecond,
		},
		"fails all": {
			fault:   `{"fail_all":true}`,
			status:  500,
			started: 1,
		},
		"refuses all": {
			fault:  `{"refuse":true}`,
			status: 503,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a task meets the fault", t, func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				rec := must(record.New())
				go func() { _ = rec.Run(ctx) }()
				log := logrus.New()
				log.SetOutput(io.Discard)
				e := echo.New()
				server := httptest.NewServer(e)
				defer server.Close()
				a := must(announcement.New("t", server.URL+"/task", []string{"s"}, 1, 1, false))
				must(target.New(a, server.URL, 1, rec, logrus.NewEntry(log))).Register(e)
				So(post(server.URL+"/standin/faults", tt.fault), ShouldEqual, http.StatusNoContent)
				began := time.Now()
				So(post(server.URL+"/task", `{"run_ms":10}`), ShouldEqual, tt.status)
				So(time.Since(began), ShouldBeGreaterThanOrEqualTo, tt.atLeast)
				So(must(rec.Counts(ctx)).Started(), ShouldEqual, tt.started)
			})
		})
	}
	Convey("a silent target stops announcing itself, but announces at the end that it is leaving", t, func() {
		var announced, left atomic.Int64
		e := echo.New()
		e.POST("/v1/announce", func(c echo.Context) error {
			n := must(announcement.Decode(c.Request().Body))
			announced.Add(1)
			if n.Leaving() {
				left.Add(1)
			}
			return c.NoContent(http.StatusNoContent)
		})
		server := httptest.NewServer(e)
		defer server.Close()
		log := logrus.New()
		log.SetOutput(io.Discard)
		a := must(announcement.New("t", server.URL+"/task", []string{"s"}, 1, 1, false))
		tgt := must(target.New(a, server.URL, 1, must(record.New()), logrus.NewEntry(log)))
		tgt.Register(e)
		So(post(server.URL+"/standin/faults", `{"silent":true}`), ShouldEqual, http.StatusNoContent)
		ctx, cancel := context.WithTimeout(context.Background(), 2*announcement.Interval+announcement.Interval/2)
		defer cancel()
		So(tgt.Run(ctx), ShouldBeNil)
		So(announced.Load(), ShouldEqual, 2)
		So(left.Load(), ShouldEqual, 1)
	})
}

func post(url, body string) int {
	resp := must(http.Post(url, "application/json", strings.NewReader(body)))
	_ = resp.Body.Close()
	return resp.StatusCode
}
