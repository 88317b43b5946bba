package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/urfave/cli/v2"
)

// run runs the program with arguments and returns its standard output and exit code.
func run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	app := newApp()
	app.Writer = &out
	app.ErrWriter = &bytes.Buffer{}
	// The library's completion reads os.Args.
	defer func(old []string) { os.Args = old }(os.Args)
	os.Args = append([]string{"greengagedoor"}, args...)
	err := app.RunContext(t.Context(), os.Args)
	return out.String(), exitCode(err)
}

// TestExitCodes guards against a command whose exit code or output differs from its
// documentation.
func TestExitCodes(t *testing.T) {
	const key = "01a3185c-5000-7000-8000-000000000001"
	tests := map[string]struct {
		status int
		body   string
		args   []string
		code   int
		output string
	}{
		"complete": {
			body:   `{"state":"complete","results":["sold"]}`,
			args:   []string{"submit", "--team", "t", "--kind", "k", "1"},
			output: `{"state":"complete","results":["sold"]}`,
		},
		"failed": {
			body:   `{"state":"failed","reason":"cancelled","ran":"nothing"}`,
			args:   []string{"cancel", "--team", "t", "--key", key},
			code:   exitJobFailed,
			output: `{"state":"failed","reason":"cancelled","ran":"nothing"}`,
		},
		"refused": {
			status: 404,
			body:   `{"state":"refused","reason":"unknown_key"}`,
			args:   []string{"status", "--team", "t", "--key", key},
			code:   exitRefused,
			output: `{"state":"refused","reason":"unknown_key","not_run":false}`,
		},
		"running": {
			status: 202,
			body:   `{"state":"running"}`,
			args:   []string{"status", "--team", "t", "--key", key},
			output: `{"state":"running"}`,
		},
		"undecided": {
			status: 202,
			body:   `{"state":"running"}`,
			args:   []string{"status", "--wait", "--seconds", "1", "--team", "t", "--key", key},
			code:   exitUndecided,
			output: `{"state":"running"}`,
		},
		"dump": {
			body:   "duties\n",
			args:   []string{"dump"},
			output: "duties",
		},
		"dump_refused": {
			status: 404,
			args:   []string{"dump"},
			code:   exitFailed,
		},
		"task_is_not_json": {
			args: []string{"submit", "--team", "t", "--kind", "k", "{"},
			code: exitUsage,
		},
		"no_key": {
			args: []string{"cancel", "--team", "t"},
			code: exitUsage,
		},
		"subcommand_without_flag": {
			args: []string{"config", "apply", "x.ini"},
			code: exitUsage,
		},
		"subcommand_with_unknown_flag": {
			args: []string{"config", "apply", "--colour", "red"},
			code: exitUsage,
		},
		"no_tasks": {
			args: []string{"submit", "--team", "t", "--kind", "k"},
			code: exitUsage,
		},
		"unknown_flag": {
			args: []string{"submit", "--colour", "red"},
			code: exitUsage,
		},
		"wrong_settings": {
			args: []string{"entry", "--check", "--name", "a b"},
			code: exitUsage,
		},
		"sample_entry": {
			args:   []string{"entry", "--check", "--settings", "../../samples/entry.ini"},
			output: "the settings are allowed",
		},
		"sample_agent": {
			args:   []string{"agent", "--check", "--settings", "../../samples/agent.ini"},
			output: "the settings are allowed",
		},
		"missing_settings_file": {
			args: []string{"agent", "--check", "--settings", "no-such-file.ini"},
			code: exitUsage,
		},
		"version": {
			args:   []string{"version"},
			output: "greengagedoor",
		},
		"completion": {
			args:   []string{"completion", "bash"},
			output: "complete -F _greengagedoor greengagedoor",
		},
		"completion_of_unknown_shell": {
			args: []string{"completion", "csh"},
			code: exitUsage,
		},
		"commands_are_completed": {
			args:   []string{"--generate-bash-completion"},
			output: "submit",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the command has the documented exit code and output", t, func() {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if tt.status != 0 {
						w.WriteHeader(tt.status)
					}
					_, _ = fmt.Fprint(w, tt.body)
				}))
				defer server.Close()
				args := append([]string(nil), tt.args...)
				switch tt.args[0] {
				case "submit", "status", "cancel":
					args = append([]string{args[0], "--entry", server.URL}, args[1:]...)
				case "dump":
					args = append(args, "--process", server.URL)
				}
				output, code := run(t, args...)
				So(code, ShouldEqual, tt.code)
				So(output, ShouldContainSubstring, tt.output)
			})
		})
	}
}

// TestHelp guards against a command without help or without documented exit codes.
func TestHelp(t *testing.T) {
	Convey("every command has help with its exit codes", t, func() {
		for _, c := range newApp().Commands {
			output, code := run(t, c.Name, "--help")
			So(code, ShouldEqual, 0)
			So(output, ShouldContainSubstring, c.Usage)
			So(output, ShouldContainSubstring, "Exit code")
		}
	})
}

// TestReadme guards against commands in the README whose flags are invalid.
func TestReadme(t *testing.T) {
	page, err := os.ReadFile("../../README.md")
	Convey("the commands of the roles pass the check", t, func() {
		So(err, ShouldBeNil)
		n := 0
		for _, l := range strings.Split(string(page), "\n") {
			args := strings.Fields(strings.TrimSuffix(l, "&"))
			if len(args) < 2 || args[0] != "bin/greengagedoor" || (args[1] != "agent" && args[1] != "entry") {
				continue
			}
			n++
			_, code := run(t, append([]string{args[1], "--check"}, args[2:]...)...)
			So(code, ShouldEqual, 0)
		}
		So(n, ShouldEqual, 3)
	})
}

// TestCommandVariables guards against a role that rejects the environment variable of
// another command as an unknown setting.
func TestCommandVariables(t *testing.T) {
	Convey("roles ignore the variables of commands", t, func() {
		n := 0
		var visit func([]*cli.Command)
		visit = func(commands []*cli.Command) {
			for _, c := range commands {
				for _, f := range c.Flags {
					if d, ok := f.(cli.DocGenerationFlag); ok {
						for _, name := range d.GetEnvVars() {
							n++
							t.Setenv(name, "x")
						}
					}
				}
				visit(c.Subcommands)
			}
		}
		visit(newApp().Commands)
		So(n, ShouldBeGreaterThan, 0)
		_, code := run(t, "entry", "--check", "--settings", "../../samples/entry.ini")
		So(code, ShouldEqual, 0)
	})
}
