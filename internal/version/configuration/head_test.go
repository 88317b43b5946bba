package configuration_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// TestHead guards against a head that loses a field when it is encoded, and against
// a check that accepts another body than the head names.
func TestHead(t *testing.T) {
	Convey("a head decodes to the same fields and recognizes its body", t, func() {
		h, err := configuration.NewHead(7, []byte("body"), "mark")
		So(err, ShouldBeNil)
		data, err := configuration.EncodeHead(h)
		So(err, ShouldBeNil)
		back, err := configuration.DecodeHead(data)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, h)
		So(back.Key(), ShouldEqual, "config/version/7")
		So(back.Check([]byte("body")), ShouldBeNil)
		So(back.Check([]byte("other")), ShouldNotBeNil)
	})
}

// TestHeadRefused guards against a decoder that accepts a corrupt head.
func TestHeadRefused(t *testing.T) {
	tests := map[string]string{
		"empty":         "",
		"plain number":  "7",
		"no digest":     `{"version":7,"mark":"m"}`,
		"no version":    `{"sha256":"00","mark":"m"}`,
		"unknown field": `{"version":7,"more":1}`,
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("decoding fails", t, func() {
				_, err := configuration.DecodeHead([]byte(data))
				So(err, ShouldNotBeNil)
			})
		})
	}
}

// TestHeadPrior guards against a writer that cannot find its own write after later
// writes, and against a head that grows without bound.
func TestHeadPrior(t *testing.T) {
	Convey("the head names the latest 16 previous writes", t, func() {
		var h configuration.Head
		for n := range uint64(40) {
			h = must(configuration.NewHead(n+1, nil, fmt.Sprintf("m%d", n+1))).WithPrevious(h)
		}
		h = must(configuration.DecodeHead(must(configuration.EncodeHead(h))))
		So(h.Prior(), ShouldHaveLength, 16)
		n, ok := h.Find("m30")
		So(ok, ShouldBeTrue)
		So(n, ShouldEqual, 30)
		_, ok = h.Find("m5")
		So(ok, ShouldBeFalse)
		So(h.Covers(24), ShouldBeTrue)
		So(h.Covers(23), ShouldBeFalse)
	})
}
