package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/reason"
	"jacinthferry/io/operator"
	"jacinthferry/io/schema"
)

// readConfig reads the base file and the overlays that the arguments name, merges and checks them, and
// returns the configuration with its JSON text.
func readConfig(c *cli.Command) (config.Config, []byte, error) {
	paths := c.Args().Slice()
	if len(paths) == 0 {
		return config.Config{}, nil, usageErrorf("want a base file and any number of overlay files")
	}
	var text []byte
	for i, path := range paths {
		read, err := os.ReadFile(path)
		if err != nil {
			return config.Config{}, nil, errors.Wrap(err, "cannot read the configuration")
		}
		if i == 0 {
			text = []byte("{}")
		}
		if text, err = config.Merge(text, read); err != nil {
			return config.Config{}, nil, errors.Wrap(err, path)
		}
	}
	cfg, found, err := schema.CheckConfig(text)
	if err != nil {
		return config.Config{}, nil, err
	}
	if len(found) > 0 {
		return config.Config{}, nil, &faultsError{found}
	}

	return cfg, text, nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration offline",
		ArgsUsage: "BASE [OVERLAY...]",
		Description: `Merges the overlays into the base in the given order, and reports every invalid field by its path.

Examples:
  jacinthferry check base.json
  jacinthferry check base.json site-north.json`,
		Flags: []cli.Flag{
			jsonOutput(),
			&cli.BoolFlag{Name: "print", Usage: "print the merged configuration"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			cfg, text, err := readConfig(c)
			if err != nil {
				return err
			}
			services, upstreams := len(cfg.Services), countUpstreams(cfg)
			switch w := c.Root().Writer; {
			case c.Bool("print"):
				_, err = fmt.Fprintf(w, "%s\n", text)
			case c.Bool(jsonFlag):
				printJSON(w, checkedJSON{len(cfg.Zones), services, upstreams})
			default:
				_, err = fmt.Fprintf(w, "valid: %d zones, %d services, %d upstreams\n", len(cfg.Zones), services, upstreams)
			}

			return errors.Wrap(err, "cannot print")
		},
	}
}

type checkedJSON struct {
	Zones     int `json:"zones"`
	Services  int `json:"services"`
	Upstreams int `json:"upstreams"`
}

func countUpstreams(c config.Config) int {
	n := 0
	for _, s := range c.Services {
		for _, v := range s.Versions {
			n += len(v.Upstreams)
		}
	}

	return n
}

// changeFlags returns the flags of the commands that change the configuration.
func changeFlags() []cli.Flag {
	return operatorFlags(
		&cli.StringFlag{
			Name: "who", Sources: cli.EnvVars(envPrefix+"WHO", "USER"), Usage: "`NAME` of the author in the history",
		},
		&cli.StringFlag{Name: "note", Usage: "`TEXT` of the note in the history"},
		&cli.Int64Flag{Name: "expect", Usage: "apply only if the latest revision is `REVISION`"},
		&cli.BoolFlag{Name: "force", Usage: "apply even if capacity is insufficient or the revision has changed"},
	)
}

func changeOptions(c *cli.Command) operator.ApplyOptions {
	return operator.ApplyOptions{
		Who: c.String("who"), Note: c.String("note"), Expect: c.Int64("expect"), Force: c.Bool("force"),
	}
}

func printApplied(c *cli.Command, a operator.Applied) {
	if c.Bool(jsonFlag) {
		printJSON(c.Root().Writer, appliedJSON(a))
	} else {
		_, _ = fmt.Fprintf(c.Root().Writer, "revision %d is accepted, after %d\n", a.Revision, a.Previous)
	}
}

type appliedJSON struct {
	Revision int64 `json:"revision"`
	Previous int64 `json:"previous"`
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a configuration",
		ArgsUsage: "BASE [OVERLAY...]",
		Description: `Merges and checks the files as check does, and sends the result. An accepted configuration takes
effect on every daemon within seconds.

Examples:
  jacinthferry apply --operator 10.0.0.1:7001 --note "more reprint slots" base.json site-north.json
  jacinthferry apply --operator 10.0.0.1:7001 --expect 57 base.json`,
		Flags: changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			_, text, err := readConfig(c)
			if err != nil {
				return err
			}

			return applyChange(ctx, c, func(ctx context.Context, o *operator.Client) (operator.Applied, *reason.Refusal) {
				return o.ApplyText(ctx, text, changeOptions(c))
			})
		},
	}
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print the current configuration",
		Description: `Prints JSON that apply accepts. If the configuration was merged from a base and overlays, edit those
files rather than this output.

Example:
  jacinthferry get --operator 10.0.0.1:7001 > now.json`,
		Flags: operatorFlags(&cli.BoolFlag{Name: "record", Usage: "also print the revision, time, author and note"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			var (
				cfg config.Config
				rec operator.RevisionInfo
			)
			refusal, err := callOperator(ctx, c, func(ctx context.Context, o *operator.Client) (r *reason.Refusal) {
				cfg, rec, r = o.CurrentConfig(ctx)

				return r
			})
			if err == nil {
				err = refusalError(refusal)
			}
			if err != nil {
				return err
			}
			if c.Bool("record") {
				printJSON(c.Root().Writer, currentJSON{toRecord(rec), cfg})
			} else {
				printJSON(c.Root().Writer, cfg)
			}

			return nil
		},
	}
}

type currentJSON struct {
	recordJSON
	Config config.Config `json:"config"`
}

type recordJSON struct {
	Revision int64  `json:"revision"`
	At       string `json:"at,omitempty"`
	Who      string `json:"who,omitempty"`
	Note     string `json:"note,omitempty"`
}

func toRecord(r operator.RevisionInfo) recordJSON {
	return recordJSON{Revision: r.Revision, At: formatTime(r.At), Who: r.Who, Note: r.Note}
}

// formatTime returns a time in RFC 3339, or "" for the zero value.
func formatTime(at clock.Milli) string {
	if at == 0 {
		return ""
	}

	return at.Time().Format(time.RFC3339)
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the configuration changes, newest first",
		Description: `Example:
  jacinthferry history --operator 10.0.0.1:7001 --limit 5`,
		Flags: operatorFlags(&cli.IntFlag{Name: "limit", Value: 20, Usage: "maximum number of changes to list, up to 1000"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			var list []operator.RevisionInfo
			refusal, err := callOperator(ctx, c, func(ctx context.Context, o *operator.Client) (r *reason.Refusal) {
				list, r = o.History(ctx, c.Int("limit"))

				return r
			})
			if err == nil {
				err = refusalError(refusal)
			}
			if err != nil {
				return err
			}
			out := []recordJSON{}
			for _, r := range list {
				out = append(out, toRecord(r))
			}
			if c.Bool(jsonFlag) {
				printJSON(c.Root().Writer, out)

				return nil
			}
			t := newTable(c.Root().Writer, "REVISION", "AT", "WHO", "NOTE")
			for _, r := range out {
				t.row(r.Revision, r.At, r.Who, r.Note)
			}

			return t.flush()
		},
	}
}
