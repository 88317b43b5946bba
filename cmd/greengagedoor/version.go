package main

import (
	"fmt"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version of the program",
		Description: exitCodes,
		Action: func(c *cli.Context) error {
			_, err := fmt.Fprintln(c.App.Writer, versionLine())
			return errors.Wrap(err, "write version")
		},
	}
}

// versionLine returns the version from the build information that the Go tool embeds.
func versionLine() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "greengagedoor (unknown version)"
	}
	revision, changed := "unknown revision", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed"
		}
	}
	return fmt.Sprintf("greengagedoor %s (%s%s, %s)", info.Main.Version, revision, changed, info.GoVersion)
}

// completions contains the completion script of each shell.
var completions = map[string]string{
	"bash": `_greengagedoor() {
  local words=("${COMP_WORDS[@]:0:$COMP_CWORD}")
  local current="${COMP_WORDS[$COMP_CWORD]}"
  if [[ "$current" == -* ]]; then words+=("$current"); fi
  COMPREPLY=($(compgen -W "$("${words[@]}" --generate-bash-completion)" -- "$current"))
}
complete -F _greengagedoor greengagedoor
`,
	"zsh": `#compdef greengagedoor
_greengagedoor() {
  local -a found
  if [[ "${words[CURRENT]}" == -* ]]; then
    found=("${(@f)$(${words[1,CURRENT]} --generate-bash-completion)}")
  else
    found=("${(@f)$(${words[1,CURRENT-1]} --generate-bash-completion)}")
  fi
  _describe 'values' found
}
compdef _greengagedoor greengagedoor
`,
}

func completionCommand() *cli.Command {
	return &cli.Command{
		Name:        "completion",
		Usage:       "print the completion script of a shell",
		ArgsUsage:   "bash|zsh",
		Description: "Use: source <(greengagedoor completion bash)\n" + exitCodes,
		Action: func(c *cli.Context) error {
			text, ok := completions[c.Args().First()]
			if !ok {
				return usage(errors.Errorf("shell is %q, want bash or zsh", c.Args().First()))
			}
			_, err := fmt.Fprint(c.App.Writer, text)
			return errors.Wrap(err, "write completion")
		},
	}
}
