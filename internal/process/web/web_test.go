package web_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

const (
	limit        = 3 * time.Second
	responseTime = 700 * time.Millisecond
)

// TestServe guards against a stopping server that aborts a request in flight, and
// against one that waits for connections without a request.
func TestServe(t *testing.T) {
	tests := map[string]struct {
		request bool
		unused  bool
		within  time.Duration
	}{
		"nothing":            {within: 500 * time.Millisecond},
		"unused_connection":  {unused: true, within: 600 * time.Millisecond},
		"request_in_flight":  {request: true, within: limit},
		"request_and_unused": {request: true, unused: true, within: limit - time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("requests are answered and the server stops in time", t, func() {
				l, address, err := web.Listen("127.0.0.1:0")
				So(err, ShouldBeNil)
				received := make(chan struct{}, 1)
				d, cleanup, err := web.Serve(l, func() time.Duration { return limit }, "front", "Answers late.", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					received <- struct{}{}
					time.Sleep(responseTime)
					_, _ = io.WriteString(w, "done")
				}))
				So(err, ShouldBeNil)
				defer cleanup()
				table, err := duty.NewTable(d)
				So(err, ShouldBeNil)
				_, stop := table.Start(context.Background())
				if tt.unused {
					c, err := net.Dial("tcp", address)
					So(err, ShouldBeNil)
					defer func() { _ = c.Close() }()
					time.Sleep(50 * time.Millisecond)
				}
				status := make(chan int, 1)
				if tt.request {
					go func() {
						r, err := http.Get("http://" + address + "/")
						if err != nil {
							status <- 0
							return
						}
						defer func() { _ = r.Body.Close() }()
						status <- r.StatusCode
					}()
					<-received
				}
				stopTime := time.Now()
				stop()
				So(time.Since(stopTime), ShouldBeLessThan, tt.within)
				if tt.request {
					So(<-status, ShouldEqual, http.StatusOK)
				}
			})
		})
	}
}
