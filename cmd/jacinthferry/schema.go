package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"jacinthferry/io/schema"
	"jacinthferry/io/settings"
)

func schemaCommand() *cli.Command {
	return &cli.Command{
		Name:      "schema",
		Usage:     "print the JSON Schema of a file",
		ArgsUsage: "config|settings|entry",
		Description: `Example:
  jacinthferry schema settings > settings.schema.json`,
		Action: func(_ context.Context, c *cli.Command) error {
			schemas := map[string]func() (*schema.Schema, error){
				"config": schema.ForConfig, "settings": settings.Schema, "entry": settings.EntrySchema,
			}
			get := schemas[c.Args().First()]
			if get == nil {
				return usageErrorf("there is no schema %q; want config, settings or entry", c.Args().First())
			}
			s, err := get()
			if err != nil {
				return err
			}
			_, err = c.Root().Writer.Write(s.Text())

			return err
		},
	}
}
