package frame_test

import (
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

// TestStartsAreUnicode guards against a start whose payload reaches the target as another one,
// since the target is told by JSON.
func TestStartsAreUnicode(t *testing.T) {
	tests := map[string]struct {
		job   string
		spec  string
		valid bool
	}{
		"plain":      {job: "job", spec: "payload 😀 �", valid: true},
		"payload":    {job: "job", spec: "a\xff"},
		"half":       {job: "job", spec: "a\xed\xa0\xbd"},
		"job_is_not": {job: "\xff", spec: "payload"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a start that can't be passed on unchanged is malformed", t, func() {
				_, err := frame.Decode(frame.Encode(frame.Frame{
					Starts: []frame.Start{frame.NewStart(1, tt.job, 0, []int{0}, []int64{1}, tt.spec)},
				}))
				So(errors.Is(err, frame.ErrMalformed), ShouldEqual, !tt.valid)
			})
		})
	}
}
