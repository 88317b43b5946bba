// Command greengagedoor dispatches sub-second tasks that many teams share.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

func main() {
	app := &cli.App{
		Name:  "greengagedoor",
		Usage: "dispatch sub-second tasks that many teams share",
		Commands: []*cli.Command{
			agentCommand(),
			entryCommand(),
			localCommand(),
			keyCommand(),
		},
		EnableBashCompletion: true,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process without waiting for requests in flight.
	context.AfterFunc(ctx, stop)
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "greengagedoor:", err)
		os.Exit(exitCode(err))
	}
}

// The exit codes other than 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errUsage reports flags or settings that are not allowed.
var errUsage = errors.New("wrong use")

func usage(err error) error {
	return errors.Wrap(errUsage, err.Error())
}

func exitCode(err error) int {
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:     "name",
			Required: true,
			Usage:    "`NAME` of the process",
		},
		&cli.StringFlag{
			Name:  "zone",
			Value: "a",
			Usage: "availability `ZONE`",
		},
		&cli.StringFlag{
			Name:     "link",
			Required: true,
			Usage:    "`ADDRESS` for other processes",
		},
		&cli.StringFlag{
			Name:     "http",
			Required: true,
			Usage:    "`ADDRESS` for HTTP",
		},
		&cli.StringFlag{
			Name:     "store",
			Required: true,
			Usage:    "`URL` of the key-value service",
		},
		&cli.IntFlag{
			Name:  "shards",
			Value: 64,
			Usage: "`NUMBER` of shards",
		},
		&cli.StringFlag{
			Name:  "log-format",
			Value: "text",
			Usage: "json or text",
		},
		&cli.StringFlag{
			Name:  "log-level",
			Value: "info",
			Usage: "`LEVEL` of the log",
		},
	}
}

func common(c *cli.Context) (host.Common, func(), error) {
	l, err := log.New(os.Stderr, c.String("log-format"), c.String("log-level"), c.String("name"))
	if err != nil {
		return host.Common{}, nil, err
	}
	p, err := identity.NewProcess(c.String("name"), rand.Uint64()|1)
	if err != nil {
		return host.Common{}, nil, err
	}
	s, cleanup, err := store.New(c.String("store"), host.StoreTimeout)
	if err != nil {
		return host.Common{}, nil, err
	}
	com, err := host.NewCommon(p, 0, 1, c.Int("shards"), c.String("zone"), c.String("link"), c.String("http"), s, l)
	return com, cleanup, err
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run the process beside targets and worker",
		Flags: append(commonFlags(),
			&cli.StringFlag{
				Name:  "pool",
				Usage: "`URL` of the worker pool",
			},
			&cli.StringFlag{
				Name:  "worker",
				Usage: "`NAME` of this node's worker",
			},
		),
		Action: func(c *cli.Context) error {
			com, cleanup, err := common(c)
			if err != nil {
				return err
			}
			defer cleanup()
			var w agent.Worker
			if c.String("worker") != "" {
				r, err := configuration.NewResources(16_000, 32<<30, 2)
				if err != nil {
					return err
				}
				w = agent.NewWorker(c.String("worker"), "r1", r)
			}
			a, cleanup, err := host.NewAgent(com, c.String("pool"), w, rand.Uint64())
			if err != nil {
				return err
			}
			defer cleanup()
			return a.Run(c.Context)
		},
	}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the HTTP interface of callers and operators",
		Flags: commonFlags(),
		Action: func(c *cli.Context) error {
			com, cleanup, err := common(c)
			if err != nil {
				return err
			}
			defer cleanup()
			e, cleanup, err := host.NewEntry(com)
			if err != nil {
				return err
			}
			defer cleanup()
			return e.Run(c.Context)
		},
	}
}
