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
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// TestOvertime guards against a request that was read whole and is cut while there is time.
func TestOvertime(t *testing.T) {
	tests := map[string]struct {
		overtime time.Duration
		answered bool
	}{
		"none":   {},
		"enough": {overtime: time.Second, answered: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the request is answered if the overtime suffices", t, func() {
				l, address, err := web.Listen("127.0.0.1:0")
				So(err, ShouldBeNil)
				entered := make(chan struct{})
				d, cleanup, err := web.ServeUntil(l, web.Limits{}, web.Ending{
					Limit:    web.ConstantLimit(50 * time.Millisecond),
					Overtime: tt.overtime,
				}, "front", "Answers late.", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					close(entered)
					time.Sleep(200 * time.Millisecond)
				}))
				So(err, ShouldBeNil)
				defer cleanup()
				table, err := duty.NewTable(d)
				So(err, ShouldBeNil)
				_, stop := table.Start(context.Background())
				failed := make(chan error, 1)
				go func() {
					r, err := http.Get("http://" + address)
					if err == nil {
						_ = r.Body.Close()
					}
					failed <- err
				}()
				<-entered
				stop()
				So(<-failed == nil, ShouldEqual, tt.answered)
			})
		})
	}
}

// TestStopAnswersEveryRequest guards against a stopping server that closes a connection with a request that it has read.
func TestStopAnswersEveryRequest(t *testing.T) {
	const (
		get  = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
		gap  = 50 * time.Millisecond
	)
	tests := map[string]struct {
		// parts are written at intervals of gap; the server stops after the first.
		parts   []string
		answers int
	}{
		"one":                {parts: []string{get}, answers: 1},
		"pipelined_together": {parts: []string{get + post + get}, answers: 3},
		"pipelined_later":    {parts: []string{post, get, get}, answers: 3},
		"header_in_parts":    {parts: []string{get[:20], get[20:]}, answers: 1},
		"body_in_parts":      {parts: []string{post[:len(post)-2], post[len(post)-2:]}, answers: 1},
		"next_in_parts":      {parts: []string{get + post[:20], post[20:]}, answers: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("each request gets a whole answer, then the connection ends", t, func() {
				l, address, err := web.Listen("127.0.0.1:0")
				So(err, ShouldBeNil)
				d, cleanup, err := web.Serve(l, web.ConstantLimit(limit), "front", "Answers late.", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					b, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					time.Sleep(3 * gap)
					_, _ = w.Write(append([]byte("done "), b...))
				}))
				So(err, ShouldBeNil)
				defer cleanup()
				table, err := duty.NewTable(d)
				So(err, ShouldBeNil)
				_, stop := table.Start(context.Background())
				c, err := net.Dial("tcp", address)
				So(err, ShouldBeNil)
				defer func() { _ = c.Close() }()
				go func() {
					for _, p := range tt.parts {
						_, _ = io.WriteString(c, p)
						time.Sleep(gap)
					}
				}()
				time.Sleep(gap / 2)
				stopped := make(chan struct{})
				go func() {
					stop()
					close(stopped)
				}()
				answers := bufio.NewReader(c)
				for range tt.answers {
					w, err := http.ReadResponse(answers, nil)
					So(err, ShouldBeNil)
					_, err = io.ReadAll(w.Body)
					So(err, ShouldBeNil)
					So(w.StatusCode, ShouldEqual, http.StatusOK)
				}
				_, err = answers.ReadByte()
				So(err, ShouldEqual, io.EOF)
				<-stopped
			})
		})
	}
}

// TestCutEndsWithManyConnections guards against a server that never ends after it has cut more connections than its ring holds.
func TestCutEndsWithManyConnections(t *testing.T) {
	Convey("the server ends soon after its limit", t, func() {
		const connections = 600
		l, address, err := web.Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		d, cleanup, err := web.Serve(l, web.ConstantLimit(100*time.Millisecond), "front", "Answers.", http.NotFoundHandler())
		So(err, ShouldBeNil)
		table, err := duty.NewTable(d)
		So(err, ShouldBeNil)
		_, stop := table.Start(context.Background())
		for range connections {
			c, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
			So(err, ShouldBeNil)
		}
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			stop()
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(3 * time.Second):
			t.Error("the server has not ended")
		}
		cleanup()
	})
}
