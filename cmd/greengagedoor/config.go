package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher/service"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
	"greengagedoor.example/greengagedoor/internal/version/questionnaire"
)

const defaultHistory = 20

const changeCodes = "Exit codes: 0 success, a change is in force; 1 the command failed, nothing was\n" +
	"changed; 2 flags or arguments are invalid; 4 the change was refused, nothing was\n" +
	"changed; 5 the store did not answer, and the change may have taken effect: retry it\n" +
	"with the same key."

func configCommand() *cli.Command {
	return withUsage(&cli.Command{
		Name:  "config",
		Usage: "show and change the configuration",
		Description: "Reads and writes the key-value store directly, without an entry or a token. Retry a\n" +
			"change with the same key.\n" + changeCodes,
		Subcommands: []*cli.Command{
			configShowCommand(),
			configCheckCommand(),
			configApplyCommand(),
			configHistoryCommand(),
			configDiffCommand(),
			configRollbackCommand(),
			configStatusCommand(),
		},
	})
}

// withUsage gives the subcommands the description of c and the exit code of invalid
// flags.
func withUsage(c *cli.Command) *cli.Command {
	for _, s := range c.Subcommands {
		s.Description = c.Description
		s.OnUsageError = func(_ *cli.Context, err error, _ bool) error {
			return usage(err)
		}
	}
	return c
}

func storeFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "store",
		Required: true,
		EnvVars:  []string{"GREENGAGEDOOR_STORE"},
		Usage:    "`URL` of the key-value store",
	}
}

func changeFlags(more ...cli.Flag) []cli.Flag {
	name := "unknown"
	if u, err := user.Current(); err == nil && u.Username != "" {
		name = u.Username
	}
	return append([]cli.Flag{
		storeFlag(),
		&cli.Uint64Flag{
			Name:     "base",
			Required: true,
			Usage:    "`NUMBER` of the version that the change is based on; 0 for the first",
		},
		&cli.StringFlag{
			Name:  "who",
			Value: name,
			Usage: "`NAME` of the operator in the history",
		},
		&cli.StringFlag{
			Name:  "key",
			Usage: "idempotency `KEY` of the change; a retry with the same key has the same result",
		},
	}, more...)
}

// withService runs f with the publisher service of the store in the flags.
func withService(c *cli.Context, f func(context.Context, *service.Service) error) error {
	s, cleanup, err := store.New(c.String("store"), host.StoreTimeout)
	if err != nil {
		return err
	}
	defer cleanup()
	svc, err := service.New(s, time.Now)
	if err != nil {
		return err
	}
	return f(c.Context, svc)
}

// readConfiguration reads an encoded configuration, or generates one from a file of
// answers, whose extension is .ini.
func readConfiguration(path string) (*configuration.Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	if filepath.Ext(path) == ".ini" {
		if err := questionnaire.Check(path, data); err != nil {
			return nil, err
		}
		a, err := questionnaire.Parse(path, data)
		if err != nil {
			return nil, err
		}
		cfg, _, err := questionnaire.Generate(a)
		return cfg, err
	}
	cfg, err := configuration.Decode(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return cfg, errors.Wrap(cfg.Check().Err(), path)
}

func configurationFromArgs(c *cli.Context) (*configuration.Configuration, error) {
	if c.NArg() != 1 {
		return nil, usage(errors.New("want one argument, the FILE: a configuration in JSON or answers in .ini"))
	}
	return readConfiguration(c.Args().First())
}

func configShowCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print a version, the one in force by default",
		Flags: []cli.Flag{
			storeFlag(),
			&cli.Uint64Flag{
				Name:  "version",
				Usage: "`NUMBER` of the version",
			},
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print the stored form, which apply accepts",
			},
		},
		Action: func(c *cli.Context) error {
			return withService(c, func(ctx context.Context, s *service.Service) error {
				cfg, err := readVersion(ctx, s, c.Uint64("version"))
				if err != nil {
					return err
				}
				if c.Bool("json") {
					data, err := configuration.Encode(cfg)
					fmt.Fprintln(c.App.Writer, string(data))
					return err
				}
				fmt.Fprintf(c.App.Writer, "version %d\n", cfg.Version())
				for _, l := range configuration.Show(cfg) {
					fmt.Fprintln(c.App.Writer, l)
				}
				return nil
			})
		},
	}
}

func readVersion(ctx context.Context, s *service.Service, n uint64) (*configuration.Configuration, error) {
	if n == 0 {
		return s.Current(ctx)
	}
	return s.Version(ctx, n)
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "list all contradictions of a configuration or of answers",
		ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			cfg, err := configurationFromArgs(c)
			if err == nil {
				fmt.Fprintf(c.App.Writer, "no contradictions: %d teams, %d kinds\n", len(cfg.Teams()), len(cfg.Kinds()))
			}
			return err
		},
	}
}

func configApplyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a configuration, or the one that answers give",
		ArgsUsage: "FILE",
		Flags:     changeFlags(),
		Action: func(c *cli.Context) error {
			cfg, err := configurationFromArgs(c)
			if err != nil {
				return err
			}
			return executeChange(c, func(key string) any {
				return publisher.NewApply(key, c.String("who"), c.Uint64("base"), cfg)
			})
		},
	}
}

func configRollbackCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollback",
		Usage: "apply the content of an older version as a new version",
		Flags: changeFlags(&cli.Uint64Flag{
			Name:     "to",
			Required: true,
			Usage:    "`NUMBER` of the older version",
		}),
		Action: func(c *cli.Context) error {
			return executeChange(c, func(key string) any {
				return publisher.NewRollback(key, c.String("who"), c.Uint64("base"), c.Uint64("to"))
			})
		},
	}
}

// executeChange executes a change and prints its result. All states except Applied
// are errors.
func executeChange(c *cli.Context, event func(key string) any) error {
	key := c.String("key")
	if key == "" {
		key = uuid.NewString()
	}
	return withService(c, func(ctx context.Context, s *service.Service) error {
		r, err := s.Execute(ctx, event(key))
		if err != nil {
			return err
		}
		for _, ch := range r.Changes() {
			fmt.Fprintln(c.App.Writer, ch)
		}
		if r.State() != publisher.Applied {
			err := errors.Errorf("%s (base %d, in force %d, key %s): %s", r.State(), r.Base(), r.Current(), key, r.Detail())
			if len(r.Problems()) > 0 {
				err = errors.Wrap(r.Problems(), err.Error())
			}
			return changeError(r.State(), err)
		}
		fmt.Fprintf(c.App.Writer, "version %d applied (key %s)%s\n", r.Version(), key, resultNote(r))
		return nil
	})
}

func changeError(s publisher.State, err error) error {
	code := exitRefused
	switch s {
	case publisher.Failed:
		code = exitFailed
	case publisher.Indeterminate:
		code = exitUndecided
	}
	return &exitError{
		code: code,
		err:  err,
	}
}

func resultNote(r publisher.Result) string {
	switch {
	case r.Repeated():
		return " by an earlier request with this key"
	case !r.Audited():
		return "; the history has no record of it, since the store did not take one"
	}
	return ""
}

func configHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the requested changes with operator and result, the latest first",
		Flags: []cli.Flag{
			storeFlag(),
			&cli.IntFlag{
				Name:  "limit",
				Value: defaultHistory,
				Usage: "`NUMBER` of records",
			},
		},
		Action: func(c *cli.Context) error {
			return withService(c, func(ctx context.Context, s *service.Service) error {
				records, err := s.History(ctx, max(c.Int("limit"), 0))
				if err != nil {
					return err
				}
				for _, r := range records {
					fmt.Fprintf(c.App.Writer, "%s %s: base %d, %s, version %d, key %s\n",
						r.EndedAt().UTC().Format(time.RFC3339), r.Operator(), r.Base(), r.State(), r.Version(), r.Key())
				}
				return nil
			})
		},
	}
}

func configDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "list the differences in behaviour between two versions or files",
		ArgsUsage: "BEFORE AFTER",
		Flags:     []cli.Flag{storeFlag()},
		Action: func(c *cli.Context) error {
			if c.NArg() != 2 {
				return usage(errors.New("want two arguments, each a version or a file"))
			}
			return withService(c, func(ctx context.Context, s *service.Service) error {
				var versions [2]*configuration.Configuration
				for i := range versions {
					var err error
					if versions[i], err = versionOrFile(ctx, s, c.Args().Get(i)); err != nil {
						return err
					}
				}
				for _, ch := range configuration.Diff(versions[0], versions[1]) {
					fmt.Fprintln(c.App.Writer, ch)
				}
				return nil
			})
		},
	}
}

func versionOrFile(ctx context.Context, s *service.Service, arg string) (*configuration.Configuration, error) {
	if n, err := strconv.ParseUint(arg, 10, 64); err == nil {
		return s.Version(ctx, n)
	}
	return readConfiguration(arg)
}

func configStatusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the version in force and the changes that wrote the latest ones",
		Flags: []cli.Flag{
			storeFlag(),
			&cli.StringFlag{
				Name:  "entry",
				Usage: "`URL` of an entry whose status is printed too",
			},
			tokenFlag(),
		},
		Action: func(c *cli.Context) error {
			if err := entryStatus(c); err != nil {
				return err
			}
			return withService(c, func(ctx context.Context, s *service.Service) error {
				h, err := s.Head(ctx)
				if err != nil {
					return err
				}
				if h.Version() == 0 {
					fmt.Fprintln(c.App.Writer, "no version has been applied; the base of the first is 0")
					return nil
				}
				fmt.Fprintf(c.App.Writer, "version %d, sha256 %x, key %s\n", h.Version(), h.Digest(), h.ChangeKey())
				for _, w := range h.Prior() {
					fmt.Fprintf(c.App.Writer, "before: version %d, key %s\n", w.Version(), w.ChangeKey())
				}
				_, err = s.Current(ctx)
				return errors.Wrap(err, "read the version in force")
			})
		},
	}
}

// entryStatus prints the status of the entry in the flags, if one is given.
func entryStatus(c *cli.Context) error {
	if c.String("entry") == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.Context, dumpTimeout)
	defer cancel()
	return printPage(ctx, c, strings.TrimSuffix(c.String("entry"), "/")+"/v1/admin/status")
}
