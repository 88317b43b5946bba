package log_test

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/log"
)

// TestLine guards against lines that are not JSON or lose a value.
func TestLine(t *testing.T) {
	tests := map[string]struct {
		value any
		want  any
	}{
		"text":           {value: "side-a-1", want: "side-a-1"},
		"quote":          {value: `a "b" \c`, want: `a "b" \c`},
		"line_feed":      {value: "a\nb", want: "a\nb"},
		"other_alphabet": {value: "å<&>", want: "å<&>"},
		"invalid_utf8":   {value: "a\xff", want: "a\ufffd"},
		"int":            {value: 3, want: 3.0},
		"int64":          {value: int64(-5), want: -5.0},
		"uint64":         {value: uint64(7), want: 7.0},
		"bool":           {value: true, want: true},
		"list":           {value: []string{"a", "b"}, want: []any{"a", "b"}},
		"no_json":        {value: func() {}, want: nil},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the line has the value", t, func() {
				var out bytes.Buffer
				at := time.Date(2026, 2, 25, 2, 16, 32, 676e6, time.UTC)
				j, err := log.NewJournal(&out, "entry_1", func() time.Time { return at })
				So(err, ShouldBeNil)
				j.Note(event.New(event.JobEnded, event.F("key", x.value)))
				j.Note(event.New(event.JobLeft))
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				So(j.Run(ctx), ShouldBeNil)
				lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
				So(len(lines), ShouldEqual, 2)
				var got map[string]any
				So(json.Unmarshal(lines[0], &got), ShouldBeNil)
				So(got, ShouldResemble, map[string]any{
					"time":    "2026-02-25T02:16:32.676Z",
					"level":   "info",
					"process": "entry_1",
					"event":   "job_ended",
					"key":     x.want,
				})
			})
		})
	}
}

// TestStop guards against lines that are lost when a process stops.
func TestStop(t *testing.T) {
	Convey("all queued lines are written", t, func() {
		const lines = 2000
		var out bytes.Buffer
		at := time.Date(2026, 2, 25, 2, 16, 32, 0, time.UTC)
		j, err := log.NewJournal(&out, "entry_1", func() time.Time { return at })
		So(err, ShouldBeNil)
		for range lines {
			j.Note(event.New(event.JobLeft))
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(j.Run(ctx), ShouldBeNil)
		So(bytes.Count(out.Bytes(), []byte("\n")), ShouldEqual, lines)
	})
}

// writes records each call of Write.
type writes struct {
	calls [][]byte
}

func (w *writes) Write(b []byte) (int, error) {
	w.calls = append(w.calls, bytes.Clone(b))
	return len(b), nil
}

// TestWrite guards against lines that a pipe or its reader cuts, because too many are
// written together.
func TestWrite(t *testing.T) {
	tests := map[string]struct {
		lines  int
		fields int
		length int
		writes int
	}{
		"none":             {},
		"one":              {lines: 1, fields: 1, length: 10, writes: 1},
		"some":             {lines: 20, fields: 1, length: 10, writes: 1},
		"many":             {lines: 100, fields: 1, length: 200, writes: 8},
		"longer_than_pipe": {lines: 3, fields: 5, length: 1000, writes: 3},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("each write has whole lines and fits a pipe", t, func() {
				var w writes
				at := time.Date(2026, 2, 25, 2, 16, 32, 0, time.UTC)
				j, err := log.NewJournal(&w, "entry_1", func() time.Time { return at })
				So(err, ShouldBeNil)
				fields := slices.Repeat([]event.Field{event.F("job", strings.Repeat("x", x.length))}, x.fields)
				for range x.lines {
					j.Note(event.New(event.JobLeft, fields...))
				}
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				So(j.Run(ctx), ShouldBeNil)
				So(len(w.calls), ShouldEqual, x.writes)
				for _, b := range w.calls {
					So(b[len(b)-1], ShouldEqual, '\n')
					So(len(b) <= 4096 || bytes.Count(b, []byte("\n")) == 1, ShouldBeTrue)
				}
			})
		})
	}
}
