package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the events of a request from the logs of all processes",
		ArgsUsage: "ID [FILE...]",
		Description: "ID is a job ID or the caller's trace ID. Without files, standard input is read.\n" +
			"See docs/OPERATIONS.md.\n" + exitCodes,
		Action: explainID,
	}
}

func explainID(c *cli.Context) error {
	if c.NArg() < 1 {
		return usage(errors.New("want at least one argument, the ID of a job or request"))
	}
	l := explain.New()
	if c.NArg() == 1 {
		if err := l.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Args().Tail() {
		if err := readLog(l, name); err != nil {
			return err
		}
	}
	lines := l.Explain(c.Args().First())
	if len(lines) == 0 {
		return errors.Errorf("no log line contains ID %s", c.Args().First())
	}
	for _, s := range lines {
		if _, err := fmt.Fprintln(c.App.Writer, s); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

func readLog(l *explain.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return l.Read(f)
}
