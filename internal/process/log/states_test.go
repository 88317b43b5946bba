package log_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/log"
)

// TestStates guards against an odd value that fills the log, since it is read again
// and again, and against one that is logged only the first time it appears.
func TestStates(t *testing.T) {
	note := func(subject, cause string) event.Note {
		return event.New(event.ValueInvalid, event.F("key", subject), event.F("error", cause)).About(subject)
	}
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	type observed struct {
		at   time.Duration
		note event.Note
	}
	var many, changing []observed
	for i := range 5000 {
		many = append(many, observed{at: time.Duration(i) * time.Millisecond, note: note(fmt.Sprint(i), "odd")})
		changing = append(changing, observed{at: time.Duration(i) * time.Millisecond, note: note("a", fmt.Sprint(i))})
	}
	tests := map[string]struct {
		notes []observed
		lines int
	}{
		"again":         {notes: []observed{{0, note("a", "odd")}, {second(2), note("a", "odd")}, {second(50), note("a", "odd")}, {second(100), note("a", "odd")}}, lines: 1},
		"two_subjects":  {notes: []observed{{0, note("a", "odd")}, {0, note("b", "odd")}}, lines: 2},
		"changed":       {notes: []observed{{0, note("a", "odd")}, {second(11), note("a", "other")}}, lines: 2},
		"comes_back":    {notes: []observed{{0, note("a", "odd")}, {second(80), note("a", "odd")}}, lines: 2},
		"changes_often": {notes: changing, lines: 1},
		"many_subjects": {notes: many, lines: 1024},
		"long_text":     {notes: []observed{{0, note("a", strings.Repeat("x", 1<<20))}}, lines: 1},
		"no_subject":    {notes: []observed{{0, event.New(event.ProcessStarted)}, {0, event.New(event.ProcessStarted)}}, lines: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a state is logged when it appears or changes", t, func() {
				var out bytes.Buffer
				now := time.Unix(1000, 0)
				j, err := log.NewJournal(&out, "process", func() time.Time { return now })
				So(err, ShouldBeNil)
				ended, cancel := context.WithCancel(context.Background())
				cancel()
				for _, n := range tt.notes {
					now = time.Unix(1000, 0).Add(n.at)
					j.Note(n.note)
					So(j.Run(ended), ShouldBeNil)
				}
				So(strings.Count(out.String(), "\n"), ShouldEqual, tt.lines)
				So(out.Len(), ShouldBeLessThan, 2000*(tt.lines+1))
			})
		})
	}
}
