package web_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/intake"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// TestLimits guards against a request beyond the limits that runs, and against one within
// them that does not.
func TestLimits(t *testing.T) {
	const (
		headBytes = 4096
		bodyBytes = 4 << 20
		post      = "POST / HTTP/1.1\r\nHost: a\r\n"
		get       = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		none      = 0
	)
	tests := map[string]struct {
		text string
		// statuses are those of the answers, after which the connection is closed.
		statuses []int
	}{
		"within":               {text: post + "Connection: close\r\nContent-Length: 4\r\n\r\nbody", statuses: []int{200}},
		"head_too_long":        {text: post + "X: " + strings.Repeat("x", headBytes) + "\r\n\r\n", statuses: []int{431}},
		"long_after_answer":    {text: get + post + "X: " + strings.Repeat("x", 3*headBytes), statuses: []int{200, 431}},
		"fields_within":        {text: post + strings.Repeat("a:\r\n", web.MaxHeadFields-2) + "Connection: close\r\n\r\n", statuses: []int{200}},
		"many_fields":          {text: post + strings.Repeat("a:\r\n", web.MaxHeadFields), statuses: []int{431}},
		"many_fields_whole":    {text: post + strings.Repeat("a:\r\n", web.MaxHeadFields) + "\r\n", statuses: []int{431}},
		"many_fields_behind":   {text: get + post + strings.Repeat("a:\r\n", web.MaxHeadFields) + "\r\n", statuses: []int{200, 431}},
		"long_whole_behind":    {text: get + post + "X: " + strings.Repeat("x", headBytes) + "\r\n\r\n", statuses: []int{200, 431}},
		"empty_lines":          {text: strings.Repeat("\r\n", 100) + get, statuses: []int{400}},
		"empty_lines_and_post": {text: post + "Content-Length: 1\r\n\r\nx" + strings.Repeat("\r\n", 100) + get, statuses: []int{200, 400}},
		"body_beyond_memory":   {text: post + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes-1)), statuses: []int{503}},
		"chunk_is_no_number":   {text: post + "Transfer-Encoding: chunked\r\n\r\nx\r\n", statuses: []int{400}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the request is answered or refused", t, func() {
				ran := make(chan bool, 10)
				address := serveLimited(t, web.Limits{
					// The least memory that a listener has.
					Account: intake.NewAccount(intake.NewResources(1, 0).Main()),
					Request: func() web.RequestLimits {
						return web.RequestLimits{
							HeadBytes: headBytes,
						}
					},
				}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if !web.Fits(r.Context(), r.ContentLength) {
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					_, err := io.ReadAll(r.Body)
					switch {
					case err != nil:
						w.WriteHeader(http.StatusBadRequest)
					default:
						ran <- true
					}
				}))
				c, err := net.Dial("tcp", address)
				So(err, ShouldBeNil)
				defer func() { _ = c.Close() }()
				So(c.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
				go func() { _, _ = io.WriteString(c, tt.text) }()
				answers := bufio.NewReader(c)
				whole := none
				for _, status := range tt.statuses {
					w, err := http.ReadResponse(answers, nil)
					So(err, ShouldBeNil)
					So(w.StatusCode, ShouldEqual, status)
					_, err = io.Copy(io.Discard, w.Body)
					So(err, ShouldBeNil)
					if status == http.StatusOK {
						whole++
					}
				}
				_, err = answers.ReadByte()
				So(err, ShouldNotBeNil)
				So(errors.Is(err, io.EOF) || !isTimeout(err), ShouldBeTrue)
				So(ran, ShouldHaveLength, whole)
			})
		})
	}
}

// TestFullListener guards against a listener that closes a connection whose request was
// read whole to make room for another one, or that makes no room at all.
func TestFullListener(t *testing.T) {
	Convey("the unused connection goes", t, func() {
		entered, end := make(chan struct{}), make(chan struct{})
		address := serveLimited(t, web.Limits{
			Account: intake.NewAccount(intake.NewResources(0, 4).Main()),
		}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				close(entered)
				<-end
			}
		}))
		dial := func(text string) *bufio.Reader {
			c, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			t.Cleanup(func() { _ = c.Close() })
			So(c.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
			_, err = io.WriteString(c, text)
			So(err, ShouldBeNil)
			return bufio.NewReader(c)
		}
		long := dial("GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		<-entered
		unused := dial("")
		short := dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		w, err := http.ReadResponse(short, nil)
		So(err, ShouldBeNil)
		So(w.StatusCode, ShouldEqual, http.StatusOK)
		_, err = unused.ReadByte()
		So(err, ShouldNotBeNil)
		So(isTimeout(err), ShouldBeFalse)
		close(end)
		w, err = http.ReadResponse(long, nil)
		So(err, ShouldBeNil)
		So(w.StatusCode, ShouldEqual, http.StatusOK)
	})
}

// TestPinnedConnections guards against connections that count as answering for good after
// their answer, so that a full listener can't close any of them for a new client.
func TestPinnedConnections(t *testing.T) {
	tests := map[string]struct {
		request string
		// then is sent after the answer.
		then string
	}{
		"nothing_more":  {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"},
		"line_feed":     {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", then: "\r\n"},
		"options":       {request: "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"},
		"partial_again": {request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", then: "GET /"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a new client is served", t, func() {
				address := serveLimited(t, web.Limits{
					Account: intake.NewAccount(intake.NewResources(0, 4).Main()),
				}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
				for range 6 {
					c, err := net.Dial("tcp", address)
					So(err, ShouldBeNil)
					defer func() { _ = c.Close() }()
					So(c.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
					_, err = io.WriteString(c, tt.request)
					So(err, ShouldBeNil)
					_, err = http.ReadResponse(bufio.NewReader(c), nil)
					So(err, ShouldBeNil)
					_, err = io.WriteString(c, tt.then)
					So(err, ShouldBeNil)
				}
			})
		})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// serveLimited serves h until the end of the test and returns its address.
func serveLimited(t *testing.T, l web.Limits, h http.Handler) string {
	listener, address, err := web.Listen("127.0.0.1:0")
	So(err, ShouldBeNil)
	d, cleanup, err := web.ServeUntil(listener, l, web.Ending{
		Limit: web.ConstantLimit(0),
	}, "front", "Answers.", h)
	So(err, ShouldBeNil)
	table, err := duty.NewTable(d)
	So(err, ShouldBeNil)
	_, stop := table.Start(context.Background())
	t.Cleanup(func() {
		stop()
		cleanup()
	})
	return address
}
