package address_test

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/address"
)

// TestParse guards against a text that is dialed although it is no address, and
// against two spellings of one address that are dialed as two.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"plain":             {text: "10.0.0.1:7400", want: "10.0.0.1:7400"},
		"version_6":         {text: "[fd00::1]:7400", want: "[fd00::1]:7400"},
		"mapped":            {text: "[::ffff:10.0.0.1]:7400", want: "10.0.0.1:7400"},
		"largest_port":      {text: "10.0.0.1:65535", want: "10.0.0.1:65535"},
		"port_out_of_range": {text: "10.0.0.1:65536"},
		"port_too_large":    {text: "10.0.0.1:99999999999999999999"},
		"port_zero":         {text: "10.0.0.1:0"},
		"port_negative":     {text: "10.0.0.1:-1"},
		"port_name":         {text: "10.0.0.1:http"},
		"no_port":           {text: "10.0.0.1"},
		"name":              {text: "localhost:7400"},
		"unspecified":       {text: "0.0.0.0:7400"},
		"multicast":         {text: "224.0.0.1:7400"},
		"with_path":         {text: "10.0.0.1:7400/x"},
		"blank":             {text: " 10.0.0.1:7400"},
		"no_utf_8":          {text: "\xff\xfe:1"},
		"zero_byte":         {text: "10.0.0.1:7400\x00"},
		"nested":            {text: strings.Repeat("[", 20000)},
		"huge":              {text: strings.Repeat("9", 1<<20)},
		"empty":             {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the address has one spelling or is refused", t, func() {
				got, err := address.Parse(tt.text)
				So(got, ShouldEqual, tt.want)
				So(errors.Is(err, address.ErrInvalid), ShouldEqual, tt.want == "")
				if err != nil {
					So(len(err.Error()), ShouldBeLessThan, 300)
				}
			})
		})
	}
}

// FuzzParse guards against a text that crashes a process, or whose spelling changes
// when it is read again.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"10.0.0.1:7400", "10.0.0.1:70000", "[::ffff:10.0.0.1]:1", "[fe80::1%eth0]:1", "[[[["} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		a, err := address.Parse(text)
		if err != nil {
			return
		}
		if b, err := address.Parse(a); err != nil || b != a {
			t.Errorf("%q is read as %q, then as %q with error %v", text, a, b, err)
		}
	})
}
