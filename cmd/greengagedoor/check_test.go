package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPlatformCheck guards against a configuration with problems that passes the check
// before it is sent, and against output that programs can't read.
func TestPlatformCheck(t *testing.T) {
	const good = `{"version":2,"routes":[{"name":"r","prefix":"/r/","service":"s","maxAttempts":1,"slackFactor":1}]}`
	const bad = `{"version":1,"routes":[{"name":"r","prefix":"/r/","service":"s","maxAttempts":0,"slackFactor":1}]}`
	tests := map[string]struct {
		file    string
		against string
		flags   []string
		code    int
		output  string
	}{
		"no_problems":   {file: good, output: "1 routes, 0 problems, 0 changes\n"},
		"problems":      {file: bad, code: exitFailed, output: "routes[0] r: maxAttempts 0 counts as 1; set it to 1 or more\n"},
		"compared":      {file: good, against: bad, output: "route r: maxAttempts 0 -> 1\n"},
		"older":         {file: bad, against: good, code: exitFailed, output: "version: 1 is not above version 2 in force"},
		"for_programs":  {file: bad, flags: []string{"--json"}, code: exitFailed, output: `{"problems":[{"place":"routes[0] r","fault":"maxAttempts 0 counts as 1","remedy":"set it to 1 or more"}],"changes":[]}`},
		"not_json":      {file: "routes:", code: exitUsage},
		"against_wrong": {file: good, against: "routes:", code: exitUsage},
		"missing_file":  {code: exitUsage},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the check has the documented exit code and output", t, func() {
				dir := t.TempDir()
				write := func(name, text string) string {
					path := filepath.Join(dir, name)
					if text != "" {
						So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
					}
					return path
				}
				args := append([]string{"platform", "check"}, tt.flags...)
				if tt.against != "" {
					args = append(args, "--against", write("in_force.json", tt.against))
				}
				output, code := run(t, append(args, write("next.json", tt.file))...)
				So(code, ShouldEqual, tt.code)
				So(output, ShouldContainSubstring, tt.output)
			})
		})
	}
}
