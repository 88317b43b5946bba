// Command greengagedoor dispatches sub-second tasks that many teams share.
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

// The exit codes; every command documents them in its description.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitJobFailed = 3
	exitRefused   = 4
	exitUndecided = 5
)

const exitCodes = "Exit codes: 0 success; 1 the command could not do its work; 2 flags, arguments or\n" +
	"settings are not allowed."

const answerCodes = "Exit codes: 0 the job is complete, or runs and the command does not wait; 1 the\n" +
	"command could not do its work; 2 flags or arguments are not allowed; 3 the job\n" +
	"failed; 4 the request was refused; 5 no final answer came in time, and the job may\n" +
	"still run."

// errUsage reports flags or arguments that are not allowed.
var errUsage = errors.New("wrong use")

func usage(err error) error {
	return errors.Wrap(errUsage, err.Error())
}

// coded is an error with the exit code that it leads to.
type coded struct {
	code int
	err  error
}

// Error is the text of the error.
func (c *coded) Error() string {
	return c.err.Error()
}

func exitCode(err error) int {
	var c *coded
	switch {
	case err == nil:
		return 0
	case errors.As(err, &c):
		return c.code
	case errors.Is(err, errUsage), errors.Is(err, setting.ErrSettings):
		return exitUsage
	case strings.HasPrefix(err.Error(), "Required flag"):
		// The library's error about missing flags has no type and passes OnUsageError.
		return exitUsage
	}
	return exitFailed
}

func newApp() *cli.App {
	app := &cli.App{
		Name:  "greengagedoor",
		Usage: "dispatch sub-second tasks that many teams share",
		Description: "Runs the roles of the system and asks it. For completion in a shell, see\n" +
			"'greengagedoor completion --help'.\n" + exitCodes,
		Commands:             commands(),
		EnableBashCompletion: true,
		OnUsageError: func(_ *cli.Context, err error, _ bool) error {
			return usage(err)
		},
		// The library would end the process itself.
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

// documented adds the exit codes to the help of a command and its subcommands.
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
		keyCommand(),
		versionCommand(),
		completionCommand(),
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process without waiting for requests in flight.
	context.AfterFunc(ctx, stop)
	if err := newApp().RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "greengagedoor:", err)
		os.Exit(exitCode(err))
	}
}
