package main

import (
	"fmt"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:        "key",
		Usage:       "print a new idempotency key, a UUIDv7 with the current time",
		Description: exitCodes,
		Action: func(c *cli.Context) error {
			key, err := uuid.NewV7()
			if err != nil {
				return errors.Wrap(err, "create key")
			}
			_, err = fmt.Fprintln(c.App.Writer, key)
			return err
		},
	}
}
