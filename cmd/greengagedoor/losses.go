package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/losses"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "count served and lost jobs in the logs of all processes, and those that no target could end in time",
		ArgsUsage: "[FILE...]",
		Description: "Without files, standard input is read. Times are in ms, seconds count from the\n" +
			"first job. See docs/OPERATIONS.md.\n" + exitCodes,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "by",
				Value: "kind,size",
				Usage: "`DIMENSIONS` of the table: second, kind, zone, entry, size, separated by commas",
			},
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print one JSON object",
			},
		},
		Action: printLosses,
	}
}

func printLosses(c *cli.Context) error {
	by, err := losses.ParseDimensions(c.String("by"))
	if err != nil {
		return usage(err)
	}
	l := losses.New()
	if c.NArg() == 0 {
		if err := l.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Args().Slice() {
		if err := readLossLog(l, name); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		data, err := l.JSON(by)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.App.Writer, string(data))
		return errors.Wrap(err, "print")
	}
	_, err = fmt.Fprint(c.App.Writer, l.Text(by))
	return errors.Wrap(err, "print")
}

func readLossLog(l *losses.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return l.Read(f)
}
