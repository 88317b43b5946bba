package host

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"

	"greengagedoor.example/greengagedoor/internal/process/duty"
)

// TestLinksEnd guards against a process that does not end because a peer opened a connection and sent nothing.
func TestLinksEnd(t *testing.T) {
	Convey("the duty that serves links ends soon", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		d, cleanup, err := Common{}.serveLinks(l, func(*grpc.Server) {})
		So(err, ShouldBeNil)
		table, err := duty.NewTable(d)
		So(err, ShouldBeNil)
		_, stop := table.Start(context.Background())
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		time.Sleep(50 * time.Millisecond)
		ended := make(chan struct{})
		go func() {
			stop()
			cleanup()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(2 * time.Second):
			t.Fatal("the duty has not ended after 2 s")
		}
	})
}
