package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"jacinthferry/core/config"
	"jacinthferry/core/reason"
	"jacinthferry/io/operator"
)

func zoneCommand() *cli.Command {
	return &cli.Command{
		Name:  "zone",
		Usage: "take an availability zone out, bring it back, or list the zones",
		Description: `A zone that is out gets no new work within seconds; what runs there finishes.

Examples:
  jacinthferry zone out --operator 10.0.0.1:7001 --note "flood warning" north
  jacinthferry zone in --operator 10.0.0.1:7001 north
  jacinthferry zone list --operator 10.0.0.1:7001`,
		Commands: []*cli.Command{
			setZoneCommand("out", "give a zone no new work", true),
			setZoneCommand("in", "give a zone work again", false),
			listZonesCommand(),
		},
	}
}

func setZoneCommand(name, usage string, out bool) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ZONE", Flags: changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageErrorf("want the name of one zone, see jacinthferry zone list")
			}

			return applyChange(ctx, c, func(ctx context.Context, o *operator.Client) (operator.Applied, *reason.Refusal) {
				return o.Zone(ctx, c.Args().First(), out, changeOptions(c))
			})
		},
	}
}

// zoneJSON is a zone with what lives in it.
type zoneJSON struct {
	Name      string `json:"name"`
	Out       bool   `json:"out"`
	Upstreams int    `json:"upstreams"`
	Slots     int    `json:"slots"`
}

func listZonesCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list the zones", Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			var cfg config.Config
			refusal, err := callOperator(ctx, c, func(ctx context.Context, o *operator.Client) (r *reason.Refusal) {
				cfg, _, r = o.Current(ctx)

				return r
			})
			if err == nil {
				err = refusalError(refusal)
			}
			if err != nil {
				return err
			}
			list := toZones(cfg)
			if c.Bool(jsonFlag) {
				printJSON(c.Root().Writer, list)

				return nil
			}
			t := newTable(c.Root().Writer, "ZONE", "STATE", "UPSTREAMS", "SLOTS")
			for _, z := range list {
				state := "in"
				if z.Out {
					state = "out"
				}
				t.row(z.Name, state, z.Upstreams, z.Slots)
			}

			return t.flush()
		},
	}
}

func toZones(c config.Config) []zoneJSON {
	list := make([]zoneJSON, 0, len(c.Zones))
	index := make(map[string]int)
	for _, z := range c.Zones {
		index[z.Name] = len(list)
		list = append(list, zoneJSON{Name: z.Name, Out: z.Out})
	}
	for _, s := range c.Services {
		for _, v := range s.Versions {
			for _, u := range v.Upstreams {
				if i, known := index[u.Zone]; known {
					list[i].Upstreams++
					list[i].Slots += u.Slots
				}
			}
		}
	}

	return list
}

// applyChange makes a change of the configuration at the first daemon that answers, and prints it.
func applyChange(
	ctx context.Context, c *cli.Command,
	call func(context.Context, *operator.Client) (operator.Applied, *reason.Refusal),
) error {
	var applied operator.Applied
	refusal, err := callOperator(ctx, c, func(ctx context.Context, o *operator.Client) (r *reason.Refusal) {
		applied, r = call(ctx, o)

		return r
	})
	if err == nil {
		err = changeError(refusal)
	}
	if err != nil {
		return err
	}
	printApplied(c, applied)

	return nil
}
