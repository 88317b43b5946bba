// Command greengagedoor runs the processes of a dispatcher for sub-second tasks that
// many teams share, and the commands that callers and operators use with it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/setting"
)

// Exit codes. The description of each command documents them.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitJobFailed = 3
	exitRefused   = 4
	exitUndecided = 5
)

const exitCodes = "Exit codes: 0 success; 1 the command failed; 2 flags, arguments or settings\n" +
	"are invalid."

const answerCodes = "Exit codes: 0 the job is complete, or is running and the command does not wait;\n" +
	"1 the command failed; 2 flags or arguments are invalid; 3 the job failed; 4 the\n" +
	"request was refused; 5 no final answer was received in time, and the job may\n" +
	"still run."

// errUsage is the cause of errors about invalid flags or arguments.
var errUsage = errors.New("invalid usage")

func usage(err error) error {
	return errors.Wrap(errUsage, err.Error())
}

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (c *exitError) Error() string {
	return c.err.Error()
}

func exitCode(err error) int {
	var c *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &c):
		return c.code
	case errors.Is(err, errUsage), errors.Is(err, setting.ErrSettings):
		return exitUsage
	case strings.HasPrefix(err.Error(), "Required flag"):
		// The library's error about missing flags has no type, and the library does not
		// call OnUsageError for it.
		return exitUsage
	}
	return exitFailed
}

func newApp() *cli.App {
	app := &cli.App{
		Name:  "greengagedoor",
		Usage: "dispatch sub-second tasks that many teams share",
		Description: "Runs the processes of the system and calls their interfaces. For completion in a\n" +
			"shell, see 'greengagedoor completion --help'.\n" + exitCodes,
		Commands:             commands(),
		EnableBashCompletion: true,
		OnUsageError: func(_ *cli.Context, err error, _ bool) error {
			return usage(err)
		},
		// The library's default handler would exit the process.
		ExitErrHandler: func(*cli.Context, error) {},
	}
	setUsageError(app.Commands, app.OnUsageError)
	return app
}

func setUsageError(commands []*cli.Command, f cli.OnUsageErrorFunc) {
	for _, c := range commands {
		c.OnUsageError = f
		setUsageError(c.Subcommands, f)
	}
}

// documented sets the description of a command and its subcommands to the exit
// codes, unless they have one.
func documented(c *cli.Command) *cli.Command {
	if c.Description == "" {
		c.Description = exitCodes
	}
	for _, s := range c.Subcommands {
		documented(s)
	}
	return c
}

func commands() []*cli.Command {
	return []*cli.Command{
		agentCommand(),
		entryCommand(),
		localCommand(),
		platformCommand(),
		documented(configCommand()),
		documented(questionnaireCommand()),
		submitCommand(),
		statusCommand(),
		cancelCommand(),
		dumpCommand(),
		explainCommand(),
		lossesCommand(),
		keyCommand(),
		versionCommand(),
		completionCommand(),
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() {
		// A supervisor may repeat SIGTERM; only an operator's second interrupt ends the
		// process without waiting for requests in flight.
		signal.Ignore(syscall.SIGTERM)
		stop()
	})
	if err := newApp().RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "greengagedoor:", err)
		os.Exit(exitCode(err))
	}
}
