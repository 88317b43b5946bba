package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/platform"
)

// checkReport is the result of a check for programs.
type checkReport struct {
	Problems []checkProblem `json:"problems"`
	Changes  []string       `json:"changes"`
}

type checkProblem struct {
	Place  string `json:"place"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

func platformCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration of the platform before it is sent",
		ArgsUsage: "FILE",
		Description: "Lists all problems at once: parts that are invalid, entries that can never match, and\n" +
			"limits that contradict each other. Needs no process and no store.\n" +
			"Exit codes: 0 no problems; 1 problems; 2 a file could not be read or is not JSON.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "against",
				Usage: "`FILE` with the configuration in force, to list what differs, by route",
			},
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print the result as JSON",
			},
		},
		Action: checkPlatform,
	}
}

func checkPlatform(c *cli.Context) error {
	if c.NArg() != 1 {
		return usage(errors.New("want one argument, the FILE with a configuration; flags come before it"))
	}
	checked, err := checkFile(c.Args().First())
	if err != nil {
		return err
	}
	var changes []string
	if c.IsSet("against") {
		inForce, err := checkFile(c.String("against"))
		if err != nil {
			return err
		}
		changes = checked.Against(inForce)
	}
	if err := printCheck(c.App.Writer, c.Bool("json"), checked, changes); err != nil {
		return errors.Wrap(err, "print the result")
	}
	if n := len(checked.Problems()); n > 0 {
		return &exitError{
			code: exitFailed,
			err:  errors.Errorf("%d problems", n),
		}
	}
	return nil
}

func checkFile(path string) (*platform.CheckedConfiguration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usage(errors.Wrap(err, "read configuration"))
	}
	checked, err := platform.CheckConfiguration(data)
	if err != nil {
		return nil, usage(errors.Wrap(err, path))
	}
	return checked, nil
}

func printCheck(w io.Writer, asJSON bool, checked *platform.CheckedConfiguration, changes []string) error {
	if asJSON {
		r := checkReport{
			Problems: []checkProblem{},
			Changes:  append([]string{}, changes...),
		}
		for _, p := range checked.Problems() {
			r.Problems = append(r.Problems, checkProblem{
				Place:  p.Place(),
				Fault:  p.Fault(),
				Remedy: p.Remedy(),
			})
		}
		return json.NewEncoder(w).Encode(r)
	}
	for _, p := range checked.Problems() {
		fmt.Fprintln(w, p)
	}
	for _, line := range changes {
		fmt.Fprintln(w, line)
	}
	_, err := fmt.Fprintf(w, "%d routes, %d problems, %d changes\n", checked.Routes(), len(checked.Problems()), len(changes))
	return err
}
