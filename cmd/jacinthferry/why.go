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

// eventLimit is the maximum number of events to fetch from each daemon.
const eventLimit = 10000

// deadState is the state of a member that is not queried.
const deadState = "dead"

func whyCommand() *cli.Command {
	return &cli.Command{
		Name:  "why",
		Usage: "show the causes of refusals, retries, and partial or slow answers",
		Description: `Fetches the recorded events of all daemons, which it discovers through the given ones, counts them by
kind and reason, and lists the most frequent first, each with the upstream, zone or daemon that its events
name most often.

Examples:
  jacinthferry why --operator 10.0.0.1:7001 --service markers --since 30m
  jacinthferry why --operator 10.0.0.1:7001 --reason cold --json
  jacinthferry why --log daemon-1.log --log daemon-2.log --request 9c41d07be2a35f68
  cat *.log | jacinthferry why --log - --service r-1

With --log, reads the daemons' logs instead; no daemon needs to be running. With --request, explains one
request: its causes, the most likely first, and its events.`,
		Flags: daemonFlags(false,
			&cli.StringSliceFlag{Name: logFlag, Usage: "read events from log `FILE`, or standard input if -; may be repeated"},
			&cli.StringFlag{Name: requestFlag, Usage: "explain the request with this `ID`; needs --log"},
			&cli.StringFlag{Name: serviceFlag, Usage: "only events of this service, and events without a service"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this kind, such as refusal, retry, hedge or partial"},
			&cli.StringFlag{Name: "reason", Usage: "only events with this reason"},
			&cli.DurationFlag{Name: "since", Value: time.Hour, Usage: "maximum age of the events"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if len(c.StringSlice(logFlag)) > 0 {
				return whyFromLogs(c)
			}
			if c.String(requestFlag) != "" {
				return usageErrorf("--request requires --log")
			}
			if len(c.StringSlice(operatorFlag)) == 0 {
				return usageErrorf("want a daemon address in --operator or a log file in --log")
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

// whyJSON is the JSON output of why: the recorded events by cause.
type whyJSON struct {
	// Daemons lists the queried daemons, with the error of each that did not answer.
	Daemons []daemonJSON `json:"asked"`
	Causes  []*causeJSON `json:"causes"`
}

type daemonJSON struct {
	Operator string `json:"operator"`
	Events   int    `json:"events"`
	// Skipped is the number of older events beyond eventLimit.
	Skipped int    `json:"skipped,omitempty"`
	Error   string `json:"error,omitempty"`
}

type causeJSON struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason,omitempty"`
	Count  int    `json:"count"`
	// MostFrequent is the upstream, zone, service or daemon that the events name most often, with the number of
	// events, such as "upstream markers-3 (7)".
	MostFrequent string `json:"mostly,omitempty"`
	First        string `json:"first"`
	Last         string `json:"last"`
	// Detail is the detail of the last event.
	Detail string `json:"detail,omitempty"`

	first, last clock.Milli
	subjects    map[string]int
}

// operatorAddresses returns the named addresses, followed by those of the live members that the first
// answering daemon knows.
func operatorAddresses(ctx context.Context, named []string, e *secure.Credentials) []string {
	list := slices.Clone(named)
	for _, address := range named {
		s, refusal := operator.NewClient(address, rpc.NewClientWithCredentials(0, e)).Status(ctx)
		if refusal != nil {
			continue
		}
		for _, m := range s.Members {
			if m.OperatorAddress != "" && m.State != deadState && !slices.Contains(list, m.OperatorAddress) {
				list = append(list, m.OperatorAddress)
			}
		}

		break
	}

	return list
}

// collectCauses fetches the events of all daemons and groups them by cause. One answer suffices; the
// daemons that do not answer are listed with their errors.
func collectCauses(ctx context.Context, c *cli.Command) (whyJSON, error) {
	e, err := newCredentials(c)
	if err != nil {
		return whyJSON{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(timeoutFlag))
	defer cancel()
	filter := operator.Filter{
		Since: clock.FromDuration(c.Duration("since")), Service: c.String(serviceFlag), Kind: event.Kind(c.String("kind")),
		Reason: reason.Code(c.String("reason")), Limit: eventLimit,
	}
	found := whyJSON{Daemons: []daemonJSON{}, Causes: []*causeJSON{}}
	var all []event.Event
	var last *reason.Refusal
	answered := false
	for _, address := range operatorAddresses(ctx, c.StringSlice(operatorFlag), e) {
		list, skipped, refusal := operator.NewClient(address, rpc.NewClientWithCredentials(0, e)).Events(ctx, filter)
		daemon := daemonJSON{Operator: address, Events: len(list), Skipped: skipped}
		if refusal != nil {
			last, daemon.Error = refusal, refusal.Error()
		}
		answered = answered || refusal == nil
		found.Daemons = append(found.Daemons, daemon)
		all = append(all, list...)
	}
	if !answered {
		return whyJSON{}, refusalError(last)
	}
	found.Causes = groupByCause(all)

	return found, nil
}

// groupByCause counts events by kind and reason, the most frequent first.
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
		group.First, group.Last, group.MostFrequent = formatTime(group.first), formatTime(group.last),
			mostFrequent(group.subjects)
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

// mostFrequent returns the subject with the highest count, and the count, as text. Equal counts are
// ordered by name.
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
	for _, a := range found.Daemons {
		if a.Error != "" {
			_, _ = fmt.Fprintf(w, "%s did not answer: %s\n", a.Operator, a.Error)
		}
		if a.Skipped > 0 {
			_, _ = fmt.Fprintf(w, "%s has %d older events that are not counted\n", a.Operator, a.Skipped)
		}
	}
	if len(found.Causes) == 0 {
		_, _ = fmt.Fprintln(w, "no matching events in that time")

		return nil
	}
	t := newTable(w, "COUNT", "KIND", "REASON", "MOSTLY", "LAST", "DETAIL")
	for _, group := range found.Causes {
		t.row(group.Count, group.Kind, group.Reason, group.MostFrequent, group.Last, group.Detail)
	}

	return t.flush()
}
