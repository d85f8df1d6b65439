package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
)

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "query a service",
		ArgsUsage: "TEXT",
		Description: `Prints the documents with the highest scores, their snapshot and the number of shards that answered.

Example:
  jacinthferry query --seed 10.0.0.1:7000 --service markers washed out cairn`,
		Flags: callerFlags(
			&cli.StringFlag{Name: serviceFlag, Required: true, Usage: "`NAME` of the service"},
			&cli.IntFlag{Name: "top", Value: 5, Usage: "maximum number of documents to return"},
			&cli.DurationFlag{Name: deadlineFlag, Value: clock.Second.Duration(), Usage: "deadline of the query"},
			&cli.StringFlag{Name: priorityFlag, Value: string(leg.Routine), Usage: "priority: urgent or routine"},
			&cli.BoolFlag{Name: "partial", Usage: "accept a response that lacks shards"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return usageErrorf("want the text to search for, for example: jacinthferry query --service markers cairn")
			}
			priority := leg.Priority(c.String(priorityFlag))
			if !priority.Valid() {
				return usageErrorf("--priority is %q, want urgent or routine", priority)
			}
			caller, err := callerClient(c)
			if err != nil {
				return err
			}
			request := query.Request{
				ID: client.NewID(), Service: c.String(serviceFlag), Text: strings.Join(c.Args().Slice(), " "),
				Top: c.Int("top"), Priority: priority, Partial: c.Bool("partial"),
				Deadline: caller.Deadline(clock.FromDuration(c.Duration(deadlineFlag))),
			}
			start := time.Now()
			reply, err := caller.Query(ctx, request)
			if err != nil {
				return err
			}
			if c.Bool(jsonFlag) {
				printJSON(c.Root().Writer, toReply(request.ID, reply, clock.FromDuration(time.Since(start))))
			} else {
				printReply(c.Root().Writer, reply)
			}

			return nil
		},
	}
}

func printReply(w io.Writer, r query.Reply) {
	_, _ = fmt.Fprintf(w, "%d of %d shards, snapshot %s, version %s\n", r.Covered, r.Total, r.Snapshot, r.Version)
	for _, m := range r.Missing {
		_, _ = fmt.Fprintf(w, "  shard %d is missing: %s\n", m.Shard, m.Reason)
	}
	for _, d := range r.Documents {
		_, _ = fmt.Fprintf(w, "  %5.1f  %s  %s\n", d.Score, d.ID, d.Body)
	}
}

// replyJSON is the JSON output of query.
type replyJSON struct {
	ID        string         `json:"id"`
	Snapshot  string         `json:"snapshot"`
	Version   string         `json:"version"`
	Covered   int            `json:"covered"`
	Total     int            `json:"total"`
	Missing   []missingJSON  `json:"missing,omitempty"`
	Documents []documentJSON `json:"documents"`
	Legs      int            `json:"legs"`
	Latency   clock.Milli    `json:"latency"`
}

type missingJSON struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

type documentJSON struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Body  string  `json:"body"`
}

func toReply(id string, r query.Reply, latency clock.Milli) replyJSON {
	out := replyJSON{
		ID: id, Snapshot: r.Snapshot, Version: r.Version, Covered: r.Covered, Total: r.Total, Legs: r.Legs,
		Latency: latency, Documents: []documentJSON{},
	}
	for _, m := range r.Missing {
		out.Missing = append(out.Missing, missingJSON{m.Shard, string(m.Reason)})
	}
	for _, d := range r.Documents {
		out.Documents = append(out.Documents, documentJSON(d))
	}

	return out
}
