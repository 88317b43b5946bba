package dump_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/dump"
)

// TestWrite guards against a dump that exceeds its limits, has another order, or
// has a line that looks like the start of a section.
func TestWrite(t *testing.T) {
	tests := map[string]struct {
		lines []string
		want  string
	}{
		"none": {
			want: "[first] What it is.\n",
		},
		"short": {
			lines: []string{"a = 1", "b = 2"},
			want:  "[first] What it is.\n  a = 1\n  b = 2\n",
		},
		"long_line": {
			lines: []string{strings.Repeat("x", dump.MaxLineBytes+1)},
			want:  "[first] What it is.\n  " + strings.Repeat("x", dump.MaxLineBytes) + "...\n",
		},
		"many_lines": {
			lines: make([]string, dump.MaxLines+3),
			want:  "[first] What it is.\n" + strings.Repeat("  \n", dump.MaxLines) + "  (3 more lines)\n",
		},
		"line_break": {
			lines: []string{"a\n[second]"},
			want:  "[first] What it is.\n  a [second]\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the section is printed within its limits", t, func() {
				first, err := dump.NewSection("first", "What it is.", func() []string { return tt.lines })
				So(err, ShouldBeNil)
				last, err := dump.NewSection("last", "The end.", func() []string { return nil })
				So(err, ShouldBeNil)
				d, err := dump.New(first, last)
				So(err, ShouldBeNil)
				var out bytes.Buffer
				So(d.Write(&out), ShouldBeNil)
				So(out.String(), ShouldEqual, tt.want+"[last] The end.\n")
				_, err = dump.New(first, first)
				So(err, ShouldNotBeNil)
			})
		})
	}
}
