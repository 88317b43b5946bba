package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/role/local"
)

func localCommand() *cli.Command {
	return &cli.Command{
		Name:  "local",
		Usage: "run the whole system in one process on loopback and submit sample jobs",
		Description: "Starts stand-ins for the platform, three agents and two entries on free ports,\n" +
			"submits sample jobs of two teams, some of them twice, and compares the answers\n" +
			"with the starts that targets and workers counted. The last line is JSON.\n" +
			"Exit code 0: all guarantees held. 1: a guarantee was violated, or the run timed out.",
		Flags: []cli.Flag{
			&cli.IntFlag{
				Name:  "jobs",
				Value: 200,
				Usage: "`NUMBER` of sample jobs",
			},
			&cli.IntFlag{
				Name:  "seconds",
				Value: 25,
				Usage: "`SECONDS` after which the run ends; with --keep, only if the flag is given",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Value: 1,
				Usage: "`SEED` of all random choices",
			},
			&cli.BoolFlag{
				Name:  "keep",
				Usage: "keep the system running after the sample jobs",
			},
			&cli.StringFlag{
				Name:  "log-level",
				Value: "warn",
				Usage: "`LEVEL` of the log",
			},
		},
		Action: runLocal,
	}
}

func runLocal(c *cli.Context) error {
	if c.Int("jobs") < 0 || c.Int("seconds") < 1 {
		return usage(errors.Errorf("--jobs is %d, want at least 0; --seconds is %d, want at least 1", c.Int("jobs"), c.Int("seconds")))
	}
	l, err := log.New(os.Stderr, "text", c.String("log-level"), "local")
	if err != nil {
		return usage(err)
	}
	s, cleanup, err := local.New(c.Uint64("seed"), l)
	if err != nil {
		return err
	}
	defer cleanup()
	limit := time.Duration(c.Int("seconds")) * time.Second
	ctx, cancel := context.WithTimeout(c.Context, limit)
	defer cancel()
	failed, stop, err := s.Start(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	defer stop()
	if err := runUntilFailure(ctx, failed, func(ctx context.Context) error { return runSample(ctx, c, s, c.App.Writer) }); err != nil {
		return err
	}
	if !c.Bool("keep") {
		return nil
	}
	if !c.IsSet("seconds") {
		ctx = c.Context
	}
	if err := printAddresses(c.App.Writer, s); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// runUntilFailure runs f until it returns or a part of the system fails. It returns
// the error of f or that of the failed part.
func runUntilFailure(ctx context.Context, failed <-chan error, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	select {
	case err := <-done:
		return err
	case err := <-failed:
		cancel()
		<-done
		return err
	}
}

func runSample(ctx context.Context, c *cli.Context, s *local.System, w io.Writer) error {
	cfg, err := local.SampleConfiguration()
	if err != nil {
		return err
	}
	if err := s.Apply(ctx, cfg); err != nil {
		return err
	}
	if err := s.Ready(ctx); err != nil {
		return err
	}
	summary, err := s.RunSample(ctx, c.Uint64("seed"), c.Int("jobs"))
	if werr := summary.Write(w); err == nil {
		err = werr
	}
	if err == nil {
		err = summary.Err()
	}
	return err
}

// printAddresses prints the addresses of the running system and a curl command that
// submits a job. The key in the command is new and valid for the retention.
func printAddresses(w io.Writer, s *local.System) error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "create key")
	}
	for _, e := range s.Entries() {
		fmt.Fprintln(w, "entry:", e)
	}
	fmt.Fprintln(w, "store:", s.StoreURL())
	_, err = fmt.Fprintf(w, "curl -s '%s/v1/teams/tegnestuen/jobs?wait_ms=5000' -H 'Content-Type: application/json' "+
		"-d '{\"key\":\"%s\",\"kind\":\"log_sale\",\"tasks\":[{\"echo\":\"sold\"}]}'\n", s.Entries()[0], key)
	return errors.Wrap(err, "write addresses")
}
