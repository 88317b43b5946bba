package main

import (
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/standin/sizing"
)

func sizingCommand() *cli.Command {
	return &cli.Command{
		Name:  "sizing",
		Usage: "measure memory and message sizes with their slopes",
		Action: func(c *cli.Context) error {
			rows, err := sizing.Rows()
			if err != nil {
				return err
			}
			return sizing.Print(c.App.Writer, rows)
		},
	}
}

func fitCommand() *cli.Command {
	return &cli.Command{
		Name:  "fit",
		Usage: "fit lines to points read from standard input as name|unit|size|value",
		Action: func(c *cli.Context) error {
			rows, err := sizing.ReadPoints(c.App.Reader)
			if err != nil {
				return err
			}
			return sizing.Print(c.App.Writer, rows)
		},
	}
}
