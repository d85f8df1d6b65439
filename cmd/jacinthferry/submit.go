package main

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// maxBodyBytes is the maximum size of a body that daemons accept.
const maxBodyBytes = 64 << 10

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a request that is executed at most once",
		ArgsUsage: "BODY|-",
		Description: `Sends the argument as the body, or standard input if the argument is "-". To retry a request that got no
answer, use the same --id and --resend; it is executed at most once.

Examples:
  jacinthferry submit --seed 10.0.0.1:7000 --service upkeep '{"cairn":"K-17","state":"repaired"}'
  ID=$(jacinthferry id)
  jacinthferry submit --seed 10.0.0.1:7000 --service upkeep --id $ID - < entry.json
  jacinthferry submit --seed 10.0.0.1:7000 --service upkeep --id $ID --resend - < entry.json`,
		Flags: callerFlags(
			&cli.StringFlag{Name: serviceFlag, Required: true, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the request; generated and printed if not set"},
			&cli.BoolFlag{Name: "resend", Usage: "resend a request whose id was sent before"},
			&cli.DurationFlag{Name: deadlineFlag, Value: (10 * clock.Second).Duration(), Usage: "deadline of the request"},
			&cli.StringFlag{Name: priorityFlag, Value: string(leg.Routine), Usage: "priority: urgent or routine"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageErrorf(`want one body, or "-" to read it from standard input`)
			}
			priority := leg.Priority(c.String(priorityFlag))
			if !priority.Valid() {
				return usageErrorf("--priority is %q, want urgent or routine", priority)
			}
			body := c.Args().First()
			if body == "-" {
				text, err := io.ReadAll(io.LimitReader(c.Root().Reader, maxBodyBytes+1))
				if err != nil {
					return errors.Wrap(err, "cannot read standard input")
				}
				if len(text) > maxBodyBytes {
					return errors.Errorf("standard input exceeds the limit of %d bytes for a body", maxBodyBytes)
				}
				body = string(text)
			}
			caller, err := callerClient(c)
			if err != nil {
				return err
			}
			id := c.String("id")
			if id == "" {
				id = client.NewID()
			}
			outcome, err := caller.Submit(ctx, client.Submit{
				ID: id, Service: c.String(serviceFlag), Body: body, Priority: priority, Resend: c.Bool("resend"),
				Deadline: caller.Deadline(clock.FromDuration(c.Duration(deadlineFlag))),
			})
			if err != nil {
				return submitError(id, err)
			}
			if c.Bool(jsonFlag) {
				printJSON(c.Root().Writer, outcomeJSON{id, outcome})
			} else {
				_, _ = fmt.Fprintf(c.Root().Writer, "id %s\n%s\n", id, outcome)
			}

			return nil
		},
	}
}

func idCommand() *cli.Command {
	return &cli.Command{
		Name:  "id",
		Usage: "print an id for a submit",
		Description: `The id contains its time of issue, so use it soon. Use the same id for retries.

Example:
  ID=$(jacinthferry id)`,
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, client.NewID())

			return errors.Wrap(err, "cannot print")
		},
	}
}

type outcomeJSON struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
}

// submitError adds the id to the error of a submit. A refusal that does not rule out the execution becomes
// an unknownOutcomeError.
func submitError(id string, err error) error {
	var r *reason.Refusal
	if errors.As(err, &r) && r.Run != reason.NotExecuted {
		return errors.Wrapf(&unknownOutcomeError{r}, "id %s", id)
	}

	return errors.Wrapf(err, "id %s", id)
}

func entriesCommand() *cli.Command {
	return &cli.Command{
		Name:  "entries",
		Usage: "list the caller addresses of the daemons, nearest first",
		Description: `Example:
  jacinthferry entries --seed 10.0.0.1:7000 --zone north`,
		Flags: callerFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			caller, err := callerClient(c)
			if err != nil {
				return err
			}
			list, err := caller.Entries(ctx)
			if err != nil {
				return err
			}
			out := []entryJSON{}
			for _, e := range list {
				out = append(out, entryJSON(e))
			}
			if c.Bool(jsonFlag) {
				printJSON(c.Root().Writer, out)

				return nil
			}
			t := newTable(c.Root().Writer, "ADDRESS", "ZONE")
			for _, e := range out {
				t.row(e.Address, e.Zone)
			}

			return t.flush()
		},
	}
}

type entryJSON struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}
