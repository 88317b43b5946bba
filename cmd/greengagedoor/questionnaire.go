package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
	"greengagedoor.example/greengagedoor/internal/version/questionnaire"
)

const answersMode = 0o600

func questionnaireCommand() *cli.Command {
	return withUsage(&cli.Command{
		Name:  "questionnaire",
		Usage: "turn answers about requests into a configuration",
		Description: "Works on files. The questions are listed in docs/questionnaire.md.\n" +
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
		Usage:     "put the questions at the terminal and write the answers",
		ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			if c.NArg() != 1 {
				return usage(errors.New("one FILE for the answers is needed"))
			}
			path := c.Args().First()
			a, err := questionnaire.Ask(c.App.Reader, c.App.Writer)
			if err != nil {
				return err
			}
			if err := os.WriteFile(path, a.Encode(), answersMode); err != nil {
				return errors.Wrap(err, "write the answers")
			}
			// The answers are kept even if they contradict each other, so that the
			// operator can correct the file.
			return questionnaire.Check(path, a.Encode())
		},
	}
}

// readAnswers reads a file and reports all that is wrong with it.
func readAnswers(path string) (questionnaire.Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return questionnaire.Answers{}, errors.Wrap(err, "read the answers")
	}
	if err := questionnaire.Check(path, data); err != nil {
		return questionnaire.Answers{}, err
	}
	return questionnaire.Parse(path, data)
}

func answersOf(c *cli.Context, n int) ([]questionnaire.Answers, error) {
	if c.NArg() != n {
		return nil, usage(errors.Errorf("%d file(s) with answers are needed", n))
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
		Usage:     "report all that is wrong with the answers",
		ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			_, err := answersOf(c, 1)
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
				Usage: "print which answers each value came from",
			},
		},
		Action: func(c *cli.Context) error {
			a, err := answersOf(c, 1)
			if err != nil {
				return err
			}
			cfg, why, err := questionnaire.Generate(a[0])
			if err != nil {
				return err
			}
			data, err := configuration.Encode(cfg)
			if err != nil {
				return err
			}
			if c.Bool("explain") {
				for _, e := range why {
					fmt.Fprintln(c.App.Writer, e)
				}
			}
			switch {
			case c.String("output") != "":
				return errors.Wrap(os.WriteFile(c.String("output"), data, answersMode), "write the configuration")
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
		Usage:     "tell what changes in behaviour between two files of answers",
		ArgsUsage: "BEFORE AFTER",
		Action: func(c *cli.Context) error {
			a, err := answersOf(c, 2)
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
