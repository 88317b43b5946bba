package main

import (
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/standin/sizing"
)

func sizingCommand() *cli.Command {
	return &cli.Command{
		Name:  "sizing",
		Usage: "measure memory and message sizes, and their growth with the load",
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
		Usage: "fit a line to each series of points, read from standard input as name|unit|size|value",
		Action: func(c *cli.Context) error {
			rows, err := sizing.ReadPoints(c.App.Reader)
			if err != nil {
				return err
			}
			return sizing.Print(c.App.Writer, rows)
		},
	}
}
