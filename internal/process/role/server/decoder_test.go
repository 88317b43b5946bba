package server

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/transfer"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// TestDecodingStallsNoRequest guards against a large configuration whose decoding holds up the answers of an entry.
func TestDecodingStallsNoRequest(t *testing.T) {
	tests := map[string]func(*Entry, []byte){
		"from_the_store": func(e *Entry, stored []byte) {
			_ = e.decoder.ring.TryPush(undecoded{
				stored: stored,
			})
		},
		"from_another_process": func(e *Entry, stored []byte) {
			packed, _ := transfer.Pack(stored)
			_ = e.decoder.ring.TryPush(undecoded{
				packed: frame.NewConfig(2, packed),
			})
		},
	}
	for name, push := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("requests are answered while a configuration is decoded", t, func() {
				began, release := make(chan struct{}), make(chan struct{})
				defer close(release)
				s, err := NewSettings("entry_1", "zone", "127.0.0.1:0", "", nil)
				So(err, ShouldBeNil)
				e, cleanup, err := NewEntry(s, Dependencies{
					Decode: func([]byte) (*route.Version, error) {
						close(began)
						<-release
						return nil, errors.New("not decoded")
					},
				})
				So(err, ShouldBeNil)
				defer cleanup()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				go func() { _ = e.run(ctx) }()
				go func() { _ = e.decoder.run(ctx) }()
				push(e, []byte("stored"))
				<-began
				a, err := e.Query(ctx, "host", "/a/1")
				So(err, ShouldBeNil)
				So(a.State(), ShouldEqual, dispatch.StateRefused)
			})
		})
	}
}

// TestDecoder guards against a configuration that is decoded again or passed on wrongly.
func TestDecoder(t *testing.T) {
	v, err := route.NewVersion(3, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	packed, err := transfer.Pack([]byte("stored"))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		input   []undecoded
		decoded int
		passed  int
	}{
		"once":                {input: []undecoded{{stored: []byte("stored")}}, decoded: 1, passed: 1},
		"unchanged":           {input: []undecoded{{stored: []byte("stored")}, {stored: []byte("stored")}}, decoded: 1, passed: 1},
		"packed_then_stored":  {input: []undecoded{{packed: frame.NewConfig(3, packed)}, {stored: []byte("stored")}}, decoded: 1, passed: 1},
		"read_of_the_store":   {input: []undecoded{{stored: []byte("stored"), readBegan: time.Second}}, decoded: 1, passed: 2},
		"invalid":             {input: []undecoded{{stored: []byte("invalid")}}, decoded: 1},
		"unreadable_of_peer":  {input: []undecoded{{packed: frame.NewConfig(3, []byte("unreadable"))}}, passed: 1},
		"changed_and_changed": {input: []undecoded{{stored: []byte("stored")}, {stored: []byte("stored 2")}}, decoded: 2, passed: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("each content is decoded once, and the dispatcher learns the outcome", t, func() {
				decoded, passed := 0, 0
				s, err := NewSettings("entry_1", "zone", "127.0.0.1:0", "", nil)
				So(err, ShouldBeNil)
				b, err := newBase(s, Dependencies{
					Decode: func(stored []byte) (*route.Version, error) {
						decoded++
						if string(stored) == "invalid" {
							return nil, errors.New("invalid")
						}
						return v, nil
					},
				}, frame.RoleEntry, "")
				So(err, ShouldBeNil)
				d, err := newDecoder(b, func(context.Context, dispatch.Event) { passed++ })
				So(err, ShouldBeNil)
				for _, u := range tt.input {
					d.handle(context.Background(), u)
				}
				So(decoded, ShouldEqual, tt.decoded)
				So(passed, ShouldEqual, tt.passed)
			})
		})
	}
}
