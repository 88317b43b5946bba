package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/setting"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	settingsFlag = "settings"
	checkFlag    = "check"
)

// roleCommand returns a subcommand that runs a process with the settings of a table.
func roleCommand(t setting.Table, text string, run func(*cli.Context, *setting.Values) error) *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{
			Name:  settingsFlag,
			Usage: "INI `FILE` with the settings",
		},
		&cli.BoolFlag{
			Name:  checkFlag,
			Usage: "check the settings and exit",
		},
	}
	for _, s := range t.Settings() {
		flags = append(flags, &cli.StringFlag{
			Name:        s.Flag(),
			Usage:       s.Text() + " `VALUE`: " + s.Allowed() + ".",
			DefaultText: s.Default(),
			Category:    "Settings (" + s.Section() + ")",
		})
	}
	return &cli.Command{
		Name:        path.Base(strings.ReplaceAll(t.Role(), " ", "/")),
		Usage:       text,
		Description: "Settings come from a file, the environment and flags; see docs/settings.md.\n" + exitCodes,
		Flags:       flags,
		Action: func(c *cli.Context) error {
			v, err := load(c, t)
			if err != nil {
				return err
			}
			if c.Bool(checkFlag) {
				_, err := fmt.Fprintln(c.App.Writer, "the settings are allowed")
				return err
			}
			return run(c, v)
		},
	}
}

// settingsFile returns the path in the flag or, if the flag is not given, in the
// environment, which the platform sets.
func settingsFile(c *cli.Context) string {
	if file := c.String(settingsFlag); file != "" {
		return file
	}
	return os.Getenv(setting.FileVariable)
}

func load(c *cli.Context, t setting.Table) (*setting.Values, error) {
	flagValues := map[string]string{}
	for _, s := range t.Settings() {
		if c.IsSet(s.Flag()) {
			flagValues[s.Flag()] = c.String(s.Flag())
		}
	}
	return setting.Load(t, setting.NewSources(settingsFile(c), os.Environ(), flagValues))
}

func newLog(v *setting.Values) (*logrus.Entry, error) {
	return log.New(os.Stderr, v.Text("log", "format"), v.Text("log", "level"), v.Text("process", "name"))
}

func newCommon(v *setting.Values) (host.Common, func(), error) {
	l, err := newLog(v)
	if err != nil {
		return host.Common{}, nil, err
	}
	p, err := identity.NewProcess(v.Text("process", "name"), rand.Uint64()|1)
	if err != nil {
		return host.Common{}, nil, err
	}
	s, cleanup, err := store.New(v.Text("store", "url"), v.Milliseconds("store", "timeout_ms"))
	if err != nil {
		return host.Common{}, nil, err
	}
	c, err := host.NewCommon(p, int(v.Number("process", "region")), int(v.Number("process", "region_count")),
		int(v.Number("process", "shard_count")), v.Text("process", "availability_zone"),
		v.Text("listen", "link"), v.Text("listen", "http"), s, l)
	if err != nil {
		cleanup()
		return host.Common{}, nil, err
	}
	c, err = withCertificates(c.WithCell(v.Text("process", "cell"), int(v.Number("process", "cell_size"))), v, l)
	if err != nil {
		cleanup()
		return host.Common{}, nil, err
	}
	return c.WithSettings(v.Lines()), cleanup, nil
}

func agentCommand() *cli.Command {
	return roleCommand(setting.Agent(), "run the agent of targets and a worker", func(c *cli.Context, v *setting.Values) error {
		com, cleanup, err := newCommon(v)
		if err != nil {
			return err
		}
		defer cleanup()
		var w agent.Worker
		if v.Text("worker", "name") != "" {
			r, err := configuration.NewResources(v.Number("worker", "milli_cores"), v.Number("worker", "memory_bytes"), v.Number("worker", "accelerators"))
			if err != nil {
				return err
			}
			w = agent.NewWorker(v.Text("worker", "name"), v.Text("worker", "rack"), r)
		}
		a, cleanup, err := host.NewAgent(com, v.Text("worker", "pool_url"), w, rand.Uint64())
		if err != nil {
			return err
		}
		defer cleanup()
		return a.Run(c.Context)
	})
}

func entryCommand() *cli.Command {
	return roleCommand(setting.Entry(), "run the HTTP interface for callers and operators", func(c *cli.Context, v *setting.Values) error {
		com, cleanup, err := newCommon(v)
		if err != nil {
			return err
		}
		defer cleanup()
		com, err = com.WithAccess(v.Text("access", "mode"))
		if err != nil {
			return err
		}
		e, cleanup, err := host.NewEntry(com)
		if err != nil {
			return err
		}
		defer cleanup()
		return e.Run(c.Context)
	})
}
