package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/standin/local"
	"jacinthferry/standin/records"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete deployment in this process and query it",
		Description: "Starts a fake platform, twelve upstreams in three availability zones that serve the bundled sample\n" +
			"records (synthetic data), and three daemons, all on the loopback interface. Then applies a\n" +
			"configuration and runs queries. Exit code 0 means that every response covered all shards.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the responses as one JSON document"},
			&cli.BoolFlag{Name: "stay", Usage: "print the addresses and keep running until interrupted"},
		},
		Action: runDemo,
	}
}

// demoReport is the JSON output of demo.
type demoReport struct {
	Daemons      []demoDaemon `json:"daemons"`
	Platform     string       `json:"platform"`
	Upstreams    int          `json:"upstreams"`
	Answers      []demoAnswer `json:"answers"`
	FullCoverage bool         `json:"whole"`
}

type demoDaemon struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
}

type demoAnswer struct {
	Service   string         `json:"service"`
	Text      string         `json:"text"`
	Priority  leg.Priority   `json:"priority"`
	Latency   clock.Milli    `json:"latency"`
	Snapshot  string         `json:"snapshot"`
	Version   string         `json:"version"`
	Covered   int            `json:"covered"`
	Total     int            `json:"total"`
	Legs      int            `json:"legs"`
	Documents []demoDocument `json:"documents"`
}

type demoDocument struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Body  string  `json:"body"`
}

func runDemo(ctx context.Context, c *cli.Command) error {
	d, err := local.Start(ctx, local.Options{
		Daemons: 3, Zones: 3, Services: []string{records.Posters, records.Markers}, Upstreams: 6, Shards: 12, Replicas: 2,
		ServiceTime: 2 * clock.Millisecond,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.ApplyConfig(ctx); err != nil {
		return err
	}
	caller := client.New("zone-a", d.CallerAddresses()[:1])
	if err := awaitFullCoverage(ctx, caller); err != nil {
		return err
	}
	report := demoReport{Platform: d.StoreAddress(), Upstreams: len(d.Upstreams), FullCoverage: true}
	for i, address := range d.CallerAddresses() {
		report.Daemons = append(report.Daemons, demoDaemon{Caller: address, Operator: d.OperatorAddresses()[i]})
	}
	if err := runDemoQueries(ctx, caller, &report); err != nil {
		return err
	}
	if c.Bool(jsonFlag) {
		printJSON(c.Root().Writer, report)
	} else {
		printDemo(c.Root().Writer, report)
	}
	if c.Bool("stay") {
		waitForInterrupt(ctx, c.Root().ErrWriter, report)
	}
	if !report.FullCoverage {
		return errors.New("at least one response did not cover all shards")
	}

	return nil
}

// runDemoQueries queries both services and adds the responses to the report.
func runDemoQueries(ctx context.Context, caller *client.Client, report *demoReport) error {
	for _, request := range []query.Request{
		{Service: records.Posters, Text: "reprint ordered Kerkplein", Priority: leg.Routine},
		{Service: records.Posters, Text: "withdrawn after timetable change Limburg", Priority: leg.Routine},
		{Service: records.Markers, Text: "washed out cairn", Priority: leg.Urgent},
		{Service: records.Markers, Text: "hazard sign missing", Priority: leg.Urgent},
		{Service: records.Markers, Text: "struck by rockfall north crew", Priority: leg.Routine},
	} {
		start := time.Now()
		request.Top, request.Deadline, request.Partial = 3, caller.Deadline(clock.Second), true
		reply, err := caller.Query(ctx, request)
		if err != nil {
			return err
		}
		a := demoAnswer{
			Service: request.Service, Text: request.Text, Priority: request.Priority,
			Latency:  clock.FromDuration(time.Since(start)),
			Snapshot: reply.Snapshot, Version: reply.Version, Covered: reply.Covered, Total: reply.Total, Legs: reply.Legs,
		}
		for _, found := range reply.Documents {
			a.Documents = append(a.Documents, demoDocument(found))
		}
		report.Answers = append(report.Answers, a)
		report.FullCoverage = report.FullCoverage && reply.Covered == reply.Total
	}

	return nil
}

func printDemo(w io.Writer, r demoReport) {
	_, _ = fmt.Fprintf(w, "%d daemons, %d upstreams, synthetic sample records\n", len(r.Daemons), r.Upstreams)
	for _, a := range r.Answers {
		_, _ = fmt.Fprintf(w, "\n%s: %q (%s, %.1f ms)\n%d of %d shards, snapshot %s, version %s, %d legs\n",
			a.Service, a.Text, a.Priority, float64(a.Latency), a.Covered, a.Total, a.Snapshot, a.Version, a.Legs)
		for _, d := range a.Documents {
			_, _ = fmt.Fprintf(w, "  %5.1f  %s  %s\n", d.Score, d.ID, d.Body)
		}
	}
}

// waitForInterrupt prints the addresses and blocks until SIGINT, SIGTERM or the end of ctx.
func waitForInterrupt(ctx context.Context, w io.Writer, r demoReport) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, d := range r.Daemons {
		_, _ = fmt.Fprintf(w, "callers %s  operators %s\n", d.Caller, d.Operator)
	}
	_, _ = fmt.Fprintf(w, "platform %s\npress Ctrl-C to stop\n", r.Platform)
	<-ctx.Done()
}

// awaitFullCoverage waits until queries to both services cover all shards. It gives up after 100 attempts.
func awaitFullCoverage(ctx context.Context, c *client.Client) error {
	var last error
	for range 100 {
		last = nil
		for _, service := range []string{records.Posters, records.Markers} {
			request := query.Request{Service: service, Text: "line", Top: 1, Deadline: c.Deadline(clock.Second)}
			if _, err := c.Query(ctx, request); err != nil {
				last = err
			}
		}
		if last == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}

	return errors.Wrap(last, "demo services did not reach full coverage")
}
