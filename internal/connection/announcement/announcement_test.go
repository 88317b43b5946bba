package announcement_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
)

// FuzzDecode guards against input that makes the decoder panic, against accepted fields
// outside their limits, and against an encoding that does not round-trip.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"target":"t","url":"http://h:1/task","services":["s"],"slots":8,"connections":64}`))
	f.Add([]byte(`{"target":"t","url":"http://h","services":["s","s"],"slots":1,"connections":1,"leaving":true}`))
	f.Add([]byte(`{"slots":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := announcement.Decode(bytes.NewReader(data))
		if err != nil {
			return
		}
		if a.Target() == "" || len(a.Services()) == 0 || a.Slots() < 1 || a.Slots() > announcement.MaxSlots || a.Connections() < 1 {
			t.Fatalf("accepted an invalid announcement: %+v", a)
		}
		body, err := a.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := announcement.Decode(bytes.NewReader(body))
		if err != nil {
			t.Fatalf("decode %s again: %v", body, err)
		}
		if second, _ := again.Encode(); !bytes.Equal(body, second) {
			t.Fatalf("round trip of %s gave %s", body, second)
		}
	})
}

// TestNew guards against announcements that are accepted though the agent cannot use
// them or they need unbounded memory.
func TestNew(t *testing.T) {
	tests := map[string]struct {
		body string
		want string
	}{
		"no target": {
			body: `{}`,
			want: "target",
		},
		"long target": {
			body: `{"target":"` + strings.Repeat("t", 129) + `"}`,
			want: "target",
		},
		"other scheme": {
			body: `{"target":"t","url":"ftp://h"}`,
			want: "url",
		},
		"no services": {
			body: `{"target":"t","url":"http://h"}`,
			want: "services",
		},
		"empty service": {
			body: `{"target":"t","url":"http://h","services":[""]}`,
			want: "services",
		},
		"no slots": {
			body: `{"target":"t","url":"http://h","services":["s"]}`,
			want: "slots",
		},
		"too many slots": {
			body: `{"target":"t","url":"http://h","services":["s"],"slots":10001}`,
			want: "slots",
		},
		"no connections": {
			body: `{"target":"t","url":"http://h","services":["s"],"slots":1}`,
			want: "connections",
		},
		"misspelt field": {
			body: `{"taget":"t"}`,
			want: "taget",
		},
		"not an object": {
			body: `[]`,
			want: "decode",
		},
		"slots as a string": {
			body: `{"slots":"8"}`,
			want: "decode",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the error names the field", t, func() {
				_, err := announcement.Decode(strings.NewReader(tt.body))
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, tt.want)
			})
		})
	}
}
