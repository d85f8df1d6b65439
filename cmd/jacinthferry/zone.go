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
		Usage: "take availability zones out of service and back, or list them",
		Description: `A zone that is out gets no new requests within seconds; running requests finish.

Examples:
  jacinthferry zone out --operator 10.0.0.1:7001 --note "flood warning" north
  jacinthferry zone in --operator 10.0.0.1:7001 north
  jacinthferry zone list --operator 10.0.0.1:7001`,
		Commands: []*cli.Command{
			setZoneCommand("out", "stop sending new requests to a zone", true),
			setZoneCommand("in", "resume sending requests to a zone", false),
			listZonesCommand(),
		},
	}
}

func setZoneCommand(name, usage string, out bool) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ZONE", Flags: changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageErrorf("want the name of one zone; see jacinthferry zone list")
			}

			return applyChange(ctx, c, func(ctx context.Context, o *operator.Client) (operator.Applied, *reason.Refusal) {
				return o.SetZoneOut(ctx, c.Args().First(), out, changeOptions(c))
			})
		},
	}
}

// zoneJSON is the JSON output of zone list: a zone with the number of its upstreams and their slots.
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
				cfg, _, r = o.CurrentConfig(ctx)

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

// applyChange sends a configuration change with call to the first reachable daemon, and prints the result.
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
