package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/io/secure"
)

// eventLimit is how many events each daemon is asked for at most.
const eventLimit = 10000

// deadState is the state of a member that is not asked.
const deadState = "dead"

func whyCommand() *cli.Command {
	return &cli.Command{
		Name:  "why",
		Usage: "name the causes of refusals, retries, partial answers and slow ones",
		Description: `Asks every daemon, found through those that are named, for the decisions that it kept, counts them by
kind and reason, and lists the most frequent first, each with the upstream, zone or daemon that it names most often.

Examples:
  jacinthferry why --operator 10.0.0.1:7001 --service markers --since 30m
  jacinthferry why --operator 10.0.0.1:7001 --reason cold --json
  jacinthferry why --log daemon-1.log --log daemon-2.log --request 9c41d07be2a35f68
  cat *.log | jacinthferry why --log - --service r-1

With --log it reads the log lines of daemons instead, of which none need run any more; with --request it
explains one request: its causes, the likeliest first, and its lines.`,
		Flags: daemonFlags(false,
			&cli.StringSliceFlag{Name: logFlag, Usage: "read this log `FILE`, or standard input if -; may be repeated"},
			&cli.StringFlag{Name: requestFlag, Usage: "explain the request with this `ID`; needs --log"},
			&cli.StringFlag{Name: serviceFlag, Usage: "only this service, and what concerns all of them"},
			&cli.StringFlag{Name: "kind", Usage: "only this kind, such as refusal, retry, hedge or partial"},
			&cli.StringFlag{Name: "reason", Usage: "only this reason"},
			&cli.DurationFlag{Name: "since", Value: time.Hour, Usage: "how far to look back"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if len(c.StringSlice(logFlag)) > 0 {
				return whyFromLogs(c)
			}
			if c.String(requestFlag) != "" {
				return usageErrorf("--request needs --log")
			}
			if len(c.StringSlice(operatorFlag)) == 0 {
				return usageErrorf("name a daemon with --operator, or logs with --log")
			}
			found, err := collectCauses(ctx, c)
			if err != nil {
				return err
			}
			if c.Bool(jsonFlag) {
				printJSON(c.Root().Writer, found)

				return nil
			}

			return printCauses(c, found)
		},
	}
}

// whyJSON is what the daemons kept, by cause.
type whyJSON struct {
	// Asked lists each daemon with why it did not answer.
	Asked  []daemonJSON `json:"asked"`
	Causes []*causeJSON `json:"causes"`
}

type daemonJSON struct {
	Operator string `json:"operator"`
	Events   int    `json:"events"`
	// Skipped is how many more there were than a daemon is asked for.
	Skipped int    `json:"skipped,omitempty"`
	Error   string `json:"error,omitempty"`
}

type causeJSON struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason,omitempty"`
	Count  int    `json:"count"`
	// Mostly is what the events name most often, such as "upstream markers-3".
	Mostly string `json:"mostly,omitempty"`
	First  string `json:"first"`
	Last   string `json:"last"`
	// Detail is that of the last event.
	Detail string `json:"detail,omitempty"`

	first, last clock.Milli
	subjects    map[string]int
}

// operatorAddresses returns the addresses that are named and those of the daemons known to the first of
// them that answers, without the dead ones.
func operatorAddresses(ctx context.Context, named []string, e *secure.Edge) []string {
	list := slices.Clone(named)
	for _, address := range named {
		s, refusal := operator.New(address, rpc.SecureClient(0, e)).Status(ctx)
		if refusal != nil {
			continue
		}
		for _, m := range s.Members {
			if m.Operator != "" && m.State != deadState && !slices.Contains(list, m.Operator) {
				list = append(list, m.Operator)
			}
		}

		break
	}

	return list
}

// collectCauses asks every daemon.
func collectCauses(ctx context.Context, c *cli.Command) (whyJSON, error) {
	e, err := newEdge(c)
	if err != nil {
		return whyJSON{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(timeoutFlag))
	defer cancel()
	filter := operator.Filter{
		Since: clock.From(c.Duration("since")), Service: c.String(serviceFlag), Kind: event.Kind(c.String("kind")),
		Reason: reason.Word(c.String("reason")), Limit: eventLimit,
	}
	found := whyJSON{Asked: []daemonJSON{}, Causes: []*causeJSON{}}
	var all []event.Event
	var last *reason.Refusal
	answered := false
	for _, address := range operatorAddresses(ctx, c.StringSlice(operatorFlag), e) {
		list, skipped, refusal := operator.New(address, rpc.SecureClient(0, e)).Events(ctx, filter)
		daemon := daemonJSON{Operator: address, Events: len(list), Skipped: skipped}
		if refusal != nil {
			last, daemon.Error = refusal, refusal.Error()
		}
		answered = answered || refusal == nil
		found.Asked = append(found.Asked, daemon)
		all = append(all, list...)
	}
	if !answered {
		return whyJSON{}, refusalError(last)
	}
	found.Causes = groupByCause(all)

	return found, nil
}

// groupByCause counts events by kind and reason, most frequent first.
func groupByCause(events []event.Event) []*causeJSON {
	list := []*causeJSON{}
	index := make(map[[2]string]*causeJSON)
	for _, e := range events {
		key := [2]string{string(e.Kind), string(e.Reason)}
		group := index[key]
		if group == nil {
			group = &causeJSON{Kind: key[0], Reason: key[1], first: e.At, subjects: make(map[string]int)}
			index[key] = group
			list = append(list, group)
		}
		group.add(e)
	}
	for _, group := range list {
		group.First, group.Last, group.Mostly = formatTime(group.first), formatTime(group.last), mostFrequent(group.subjects)
	}
	slices.SortStableFunc(list, func(a, b *causeJSON) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})

	return list
}

func (c *causeJSON) add(e event.Event) {
	c.Count++
	c.first = min(c.first, e.At)
	if e.At >= c.last {
		c.last, c.Detail = e.At, e.Detail
	}
	for _, subject := range []struct{ kind, name string }{
		{"upstream", e.Upstream}, {"zone", e.Zone}, {"service", e.Service}, {"daemon", e.Daemon},
	} {
		if subject.name != "" {
			c.subjects[subject.kind+" "+subject.name]++

			return
		}
	}
}

// mostFrequent returns the name that stands mostFrequent often, with its count.
func mostFrequent(subjects map[string]int) string {
	best := ""
	for name, n := range subjects {
		if best == "" || n > subjects[best] || n == subjects[best] && name < best {
			best = name
		}
	}
	if best == "" {
		return ""
	}

	return fmt.Sprintf("%s (%d)", best, subjects[best])
}

func printCauses(c *cli.Command, found whyJSON) error {
	w := c.Root().Writer
	for _, a := range found.Asked {
		if a.Error != "" {
			_, _ = fmt.Fprintf(w, "%s did not answer: %s\n", a.Operator, a.Error)
		}
		if a.Skipped > 0 {
			_, _ = fmt.Fprintf(w, "%s has %d older events that are not counted here\n", a.Operator, a.Skipped)
		}
	}
	if len(found.Causes) == 0 {
		_, _ = fmt.Fprintln(w, "nothing was refused, repeated or changed in that time")

		return nil
	}
	t := newTable(w, "COUNT", "KIND", "REASON", "MOSTLY", "LAST", "DETAIL")
	for _, group := range found.Causes {
		t.row(group.Count, group.Kind, group.Reason, group.Mostly, group.Last, group.Detail)
	}

	return t.flush()
}
