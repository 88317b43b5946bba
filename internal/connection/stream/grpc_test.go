package stream_test

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/intake"
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

// TestLimit guards against connections beyond the limit, and against ended ones that count
// towards it for ever.
func TestLimit(t *testing.T) {
	Convey("a connection beyond the limit is closed, and one after an end is accepted", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		refused := make(chan bool, 10)
		// Three sixteenths of the descriptors make one connection.
		limited := stream.Limit(l, intake.NewAccount(intake.NewResources(0, 6).Links()), func() { refused <- true })
		accepted := make(chan net.Conn)
		go func() {
			for {
				c, err := limited.Accept()
				if err != nil {
					return
				}
				accepted <- c
			}
		}()
		var all []net.Conn
		dial := func() net.Conn {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			all = append(all, c)
			return c
		}
		defer func() {
			for _, c := range all {
				_ = c.Close()
			}
		}()
		dial()
		first := <-accepted
		beyond := dial()
		So(<-refused, ShouldBeTrue)
		_, err = beyond.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
		So(first.Close(), ShouldBeNil)
		So(first.Close(), ShouldNotBeNil)
		dial()
		So((<-accepted).Close(), ShouldBeNil)
	})
}
