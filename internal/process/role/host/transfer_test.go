package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/metric"
)

const testTransferTimeout = 100 * time.Millisecond

// connect serves a router with a short transfer timeout and returns a connection to it.
func connect(t *testing.T, routes func(Common, *echo.Echo)) net.Conn {
	t.Helper()
	l := logrus.New()
	l.SetOutput(io.Discard)
	c := Common{
		log:             logrus.NewEntry(l),
		metrics:         metric.NewSet(),
		transferTimeout: testTransferTimeout,
	}
	e := c.newEcho(func() bool { return true })
	routes(c, e)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestSlowBody guards against a caller that occupies a connection because it never
// sends the rest of a body.
func TestSlowBody(t *testing.T) {
	Convey("the request is refused", t, func() {
		conn := connect(t, func(c Common, e *echo.Echo) {
			e.POST(jobsPath, func(ctx echo.Context) error {
				_, err := c.readOrder(ctx)
				return err
			})
		})
		_, err := fmt.Fprint(conn, "POST /v1/teams/t/jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{\"key\":")
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusRequestTimeout)
		So(string(body), ShouldContainSubstring, `"field":"body"`)
	})
}

// TestReusedConnection guards against a write deadline that ends a later answer on the
// same connection.
func TestReusedConnection(t *testing.T) {
	Convey("the second request is answered", t, func() {
		conn := connect(t, func(Common, *echo.Echo) {})
		reader := bufio.NewReader(conn)
		for range 2 {
			_, err := fmt.Fprint(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "ok\n")
			time.Sleep(2 * testTransferTimeout)
		}
	})
}
