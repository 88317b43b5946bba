package web_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/event"
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

// TestEndingStages guards against a leaving server that keeps callers on their connections, and against counts that miss requests.
func TestEndingStages(t *testing.T) {
	Convey("connections end at their stages, and the counts are right", t, func() {
		l, address, err := web.Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		leaving, lingered := make(chan struct{}), make(chan struct{})
		notes := make(chan event.Note, 10)
		counted := make(chan web.Counter, 10)
		d, cleanup, err := web.ServeUntil(l, web.Limits{}, web.Ending{
			Leaving:  leaving,
			Lingered: lingered,
			Limit:    web.ConstantLimit(100 * time.Millisecond),
			Note:     func(n event.Note) { notes <- n },
			Count:    func(c web.Counter) { counted <- c },
		}, "front", "Answers.", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/refused":
				w.WriteHeader(http.StatusServiceUnavailable)
			case "/long":
				<-r.Context().Done()
			}
		}))
		So(err, ShouldBeNil)
		defer cleanup()
		table, err := duty.NewTable(d)
		So(err, ShouldBeNil)
		_, stop := table.Start(context.Background())
		defer stop()
		dial := func() (net.Conn, *bufio.Reader) {
			c, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			So(c.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			return c, bufio.NewReader(c)
		}
		send := func(c net.Conn, path string) {
			_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
			So(err, ShouldBeNil)
		}
		used, usedAnswers := dial()
		defer func() { _ = used.Close() }()
		send(used, "/")
		w, err := http.ReadResponse(usedAnswers, nil)
		So(err, ShouldBeNil)
		So(w.Close, ShouldBeFalse)
		other, answers := dial()
		defer func() { _ = other.Close() }()
		long, longAnswers := dial()
		defer func() { _ = long.Close() }()

		close(leaving)
		So(stage(<-notes), ShouldEqual, "leaving")
		send(other, "/refused")
		w, err = http.ReadResponse(answers, nil)
		So(err, ShouldBeNil)
		So(w.Close, ShouldBeTrue)
		_, err = answers.ReadByte()
		So(err, ShouldEqual, io.EOF)
		So([]web.Counter{<-counted, <-counted}, ShouldResemble, []web.Counter{web.RequestsTaken, web.RequestsRefused})

		close(lingered)
		So(stage(<-notes), ShouldEqual, "lingered")
		_, err = usedAnswers.ReadByte()
		So(err, ShouldEqual, io.EOF)
		send(long, "/long")
		So(<-counted, ShouldEqual, web.RequestsTaken)

		go stop()
		So(stage(<-notes), ShouldEqual, "stopping")
		So(stage(<-notes), ShouldEqual, "cut")
		So(<-counted, ShouldEqual, web.RequestsUnanswered)
		_, err = longAnswers.ReadByte()
		So(err, ShouldNotBeNil)
	})
}

func stage(n event.Note) any {
	for _, f := range n.Fields() {
		if f.Key() == "stage" {
			return f.Value()
		}
	}
	return nil
}
