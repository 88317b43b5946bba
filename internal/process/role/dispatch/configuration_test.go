package dispatch_test

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

// TestConfigurationFromPeers guards against an entry that cannot reach the store
// and stays on an old configuration although an agent has a newer one.
func TestConfigurationFromPeers(t *testing.T) {
	tests := map[string]struct {
		number int64
		want   int
	}{
		"newer": {number: 4, want: 1},
		"same":  {number: 3},
		"older": {number: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a newer configuration of an agent is fetched once", t, func() {
				fx := newFixture(t)
				fx.version(3, 1)
				fx.agent(1, "agent")
				body := bytes.Repeat([]byte("packed"), 4000)
				c := frame.NewConfig(tt.number, body)
				fx.frame(1, frame.Frame{
					ConfigVersion: tt.number,
					NewestAge:     ms,
				})
				for range 60 {
					fx.now += 20 * ms
					fx.frame(1, frame.Frame{})
					for len(fx.requests) > 0 {
						p := c.Piece(fx.requests[0].Offset(), 8<<10)
						fx.requests = fx.requests[1:]
						fx.frame(1, frame.Frame{
							ConfigPiece: &p,
						})
					}
				}
				got := fx.configs
				So(len(got), ShouldEqual, tt.want)
				for _, x := range got {
					So(x.Config().Number(), ShouldEqual, tt.number)
					So(bytes.Equal(x.Config().Body(), body), ShouldBeTrue)
					So(x.Arrival().Source(), ShouldEqual, "agent")
				}
			})
		})
	}
}
