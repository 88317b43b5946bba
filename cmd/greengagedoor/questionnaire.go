package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
	"greengagedoor.example/greengagedoor/internal/version/questionnaire"
)

const outputMode = 0o600

func questionnaireCommand() *cli.Command {
	return withUsage(&cli.Command{
		Name:  "questionnaire",
		Usage: "derive a configuration from answers about requests",
		Description: "Reads and writes files. docs/questionnaire.md lists the questions.\n" +
			exitCodes,
		Subcommands: []*cli.Command{
			askCommand(),
			checkCommand(),
			generateCommand(),
			answersDiffCommand(),
		},
	})
}

func askCommand() *cli.Command {
	return &cli.Command{
		Name:      "ask",
		Usage:     "ask the questions at the terminal and write the answers to a file",
		ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			if c.NArg() != 1 {
				return usage(errors.New("want one argument, the FILE for the answers"))
			}
			path := c.Args().First()
			a, err := questionnaire.Ask(c.App.Reader, c.App.Writer)
			if err != nil {
				return err
			}
			if err := os.WriteFile(path, a.Encode(), outputMode); err != nil {
				return errors.Wrap(err, "write answers")
			}
			// The answers are stored even if they contradict each other, so that the
			// operator can correct the file.
			return questionnaire.Check(path, a.Encode())
		},
	}
}

// readAnswers reads a file of answers. Its error lists all invalid answers and all
// contradictions.
func readAnswers(path string) (questionnaire.Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return questionnaire.Answers{}, errors.Wrap(err, "read answers")
	}
	if err := questionnaire.Check(path, data); err != nil {
		return questionnaire.Answers{}, err
	}
	return questionnaire.Parse(path, data)
}

func answersFromArgs(c *cli.Context, n int) ([]questionnaire.Answers, error) {
	if c.NArg() != n {
		return nil, usage(errors.Errorf("want %d argument(s), the file(s) with answers", n))
	}
	var all []questionnaire.Answers
	for _, path := range c.Args().Slice() {
		a, err := readAnswers(path)
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "list all invalid answers and contradictions",
		ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			_, err := answersFromArgs(c, 1)
			if err == nil {
				fmt.Fprintln(c.App.Writer, "no contradictions")
			}
			return err
		},
	}
}

func generateCommand() *cli.Command {
	return &cli.Command{
		Name:      "generate",
		Usage:     "derive the configuration and explain each value",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "output",
				Usage: "`FILE` for the configuration; printed if left out",
			},
			&cli.BoolFlag{
				Name:  "explain",
				Usage: "print the answers that each value comes from",
			},
		},
		Action: func(c *cli.Context) error {
			a, err := answersFromArgs(c, 1)
			if err != nil {
				return err
			}
			cfg, explanations, err := questionnaire.Generate(a[0])
			if err != nil {
				return err
			}
			data, err := configuration.Encode(cfg)
			if err != nil {
				return err
			}
			if c.Bool("explain") {
				for _, e := range explanations {
					fmt.Fprintln(c.App.Writer, e)
				}
			}
			switch {
			case c.String("output") != "":
				return errors.Wrap(os.WriteFile(c.String("output"), data, outputMode), "write configuration")
			case !c.Bool("explain"):
				fmt.Fprintln(c.App.Writer, string(data))
			}
			return nil
		},
	}
}

func answersDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "list the differences in behaviour between two files of answers",
		ArgsUsage: "BEFORE AFTER",
		Action: func(c *cli.Context) error {
			a, err := answersFromArgs(c, 2)
			if err != nil {
				return err
			}
			changes, err := questionnaire.Diff(a[0], a[1])
			for _, ch := range changes {
				fmt.Fprintln(c.App.Writer, ch)
			}
			return err
		},
	}
}
