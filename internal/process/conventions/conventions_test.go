package conventions_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/conventions"
)

// TestSource guards against code that breaks the layout or conventions of the design
// page.
func TestSource(t *testing.T) {
	found, err := conventions.Check("../../..")
	Convey("the source follows every rule", t, func() {
		So(err, ShouldBeNil)
		for _, v := range found {
			t.Log(v)
		}
		So(found, ShouldBeEmpty)
	})
}

// TestRules guards against a rule that no longer reports what it forbids.
func TestRules(t *testing.T) {
	tests := map[string]struct {
		path   string
		source string
	}{
		"import_direction": {
			path:   "internal/process/x/x.go",
			source: "package x\nimport _ \"greengagedoor.example/greengagedoor/internal/request/job\"\n",
		},
		"no_mutex": {
			path:   "x.go",
			source: "package x\nimport \"sync\"\nvar mu sync.Mutex\n",
		},
		"no_sleep": {
			path:   "x.go",
			source: "package x\nimport \"time\"\nfunc f() { time.Sleep(1) }\n",
		},
		"no_interface": {
			path:   "x.go",
			source: "package x\ntype Doer interface{ Do() }\n",
		},
		"named_fields": {
			path:   "x.go",
			source: "package x\ntype p struct{ a int }\nvar v = p{1}\n",
		},
		"one_field_a_line": {
			path:   "x.go",
			source: "package x\ntype p struct{ a, b int }\nvar v = p{\n\ta: 1, b: 2,\n}\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the rule reports the source", t, func() {
				dir := t.TempDir()
				path := filepath.Join(dir, filepath.FromSlash(tt.path))
				So(os.MkdirAll(filepath.Dir(path), 0o700), ShouldBeNil)
				So(os.WriteFile(path, []byte(tt.source), 0o600), ShouldBeNil)
				found, err := conventions.Check(dir)
				So(err, ShouldBeNil)
				So(found, ShouldHaveLength, 1)
				So(found[0].String(), ShouldContainSubstring, name)
			})
		})
	}
}
