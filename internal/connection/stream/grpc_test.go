package stream_test

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
)

// TestServeEnds guards against a process that exceeds its grace period because a peer opened a connection and sent nothing.
func TestServeEnds(t *testing.T) {
	tests := map[string]bool{
		"no_connection":     false,
		"silent_connection": true,
	}
	for name, connect := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("serving ends within the stop limit", t, func() {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				So(err, ShouldBeNil)
				_, stop := stream.Serve(l, frame.NewHello("entry_1", 1, "zone", "", frame.RoleEntry), stream.Handlers{})
				if connect {
					c, err := net.Dial("tcp", l.Addr().String())
					So(err, ShouldBeNil)
					defer func() { _ = c.Close() }()
					time.Sleep(50 * time.Millisecond)
				}
				began := time.Now()
				stop()
				So(time.Since(began), ShouldBeLessThan, stream.StopLimit+200*time.Millisecond)
			})
		})
	}
}
