package duty_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/duty"
)

// TestPause guards against a wait that outlasts its context.
func TestPause(t *testing.T) {
	tests := map[string]struct {
		pause    time.Duration
		canceled bool
		complete bool
	}{
		"whole":              {pause: time.Millisecond, complete: true},
		"none":               {complete: true},
		"none_after_the_end": {canceled: true},
		"cut_short":          {pause: time.Hour, canceled: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("it reports whether the wait was complete", t, func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if tt.canceled {
					cancel()
				}
				So(duty.Pause(ctx, tt.pause), ShouldEqual, tt.complete)
			})
		})
	}
}
