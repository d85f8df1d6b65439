package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jacinthferry/client"
	"jacinthferry/client/load"
	"jacinthferry/core/clock"
	"jacinthferry/standin/records"
	"jacinthferry/standin/upstream"
)

// Exit codes that only load uses.
const (
	exitIncomplete = 4
	exitViolation  = 5
)

// answerGrace is how long after its deadline a request still waits for an answer or refusal. A request
// without either by then counts as lost.
const answerGrace = 10 * clock.Second

// textsPerService is the number of different query texts per service.
const textsPerService = 200

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a fixed average rate and measure the responses",
		Description: "Arrival times are scheduled in advance (open-loop load), and latencies count from them. Responses\n" +
			"from the bundled sample records are compared with the expected documents.\n\n" +
			"Exit codes: 0 every request was answered completely; 4 some were refused or answered partially;\n" +
			"5 a response was lost, doubled or crossed, or the limits of an upstream were violated;\n" +
			"1 the run failed.\n\n" +
			"Example:\n  jacinthferry load --seed 10.0.0.1:7000 --services markers --rate 200 --duration 20s",
		Flags: callerFlags(
			&cli.StringSliceFlag{Name: "services", Value: []string{records.Markers}, Usage: "`NAMES` of the services"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "duration of the run"},
			&cli.FloatFlag{Name: "urgent", Value: 0.2, Usage: "fraction of urgent requests, 0 to 1"},
			&cli.FloatFlag{Name: "submits", Usage: "fraction of submits, 0 to 1"},
			&cli.StringFlag{Name: "submit-service", Usage: "`NAME` of the service that the submits go to"},
			&cli.DurationFlag{Name: deadlineFlag, Value: time.Second, Usage: "deadline of a request"},
			&cli.BoolFlag{Name: "partial", Usage: "accept responses that lack shards"},
			&cli.IntFlag{Name: "top", Value: 10, Usage: "maximum number of documents in a response"},
			&cli.IntFlag{Name: "flight", Value: 10000, Usage: "maximum number of requests in flight"},
			&cli.Uint64Flag{Name: "random", Value: 1, Usage: "random seed of the arrival times and texts"},
			&cli.StringSliceFlag{Name: "upstream", Usage: "command `ADDRESS` of a fake upstream, to read its counts"},
		),
		Action: runLoad,
	}
}

// loadReport is the JSON output of load.
type loadReport struct {
	load.Result
	// Upstreams is the sum of the fake upstreams' counts during the run.
	Upstreams *upstream.Counts `json:"upstreams,omitempty"`
}

func runLoad(ctx context.Context, c *cli.Command) error {
	queries, err := makeQueries(c.StringSlice("services"), c.Int("top"), c.Uint64("random"))
	if err != nil {
		return err
	}
	o := load.Options{
		Rate: c.Float("rate"), Duration: clock.FromDuration(c.Duration("duration")), Requests: queries,
		Seed:        c.Uint64("random"),
		UrgentShare: c.Float("urgent"), SubmitShare: c.Float("submits"), SubmitService: c.String("submit-service"),
		Top: c.Int("top"), Deadline: clock.FromDuration(c.Duration(deadlineFlag)), Partial: c.Bool("partial"),
		MaxInFlight: c.Int("flight"), Progress: func(r load.Result) { printProgress(c.Root().ErrWriter, r) },
	}
	if o.Rate <= 0 || o.Duration <= 0 || o.MaxInFlight <= 0 || o.Deadline <= 0 {
		return usageErrorf("--rate, --duration, --deadline and --flight: want values above 0")
	}
	caller, err := callerClient(c)
	if err != nil {
		return err
	}
	policy := client.DefaultPolicy()
	policy.Grace = answerGrace
	caller = caller.WithPolicy(policy)
	before, err := upstreamCounts(ctx, c.StringSlice("upstream"))
	if err != nil {
		return err
	}
	report := loadReport{Result: load.Run(ctx, caller, o)}
	if before != nil {
		after, err := upstreamCounts(ctx, c.StringSlice("upstream"))
		if err != nil {
			return err
		}
		counts := after.Sub(*before)
		report.Upstreams = &counts
	}
	if c.Bool(jsonFlag) {
		printJSON(c.Root().Writer, report)
	} else {
		printLoad(c.Root().Writer, report)
	}

	return loadError(report)
}

// makeQueries returns the queries for the services, with the expected documents for services of the
// bundled sample records.
func makeQueries(services []string, top int, seed uint64) ([]load.Request, error) {
	all, err := records.Load()
	if err != nil {
		return nil, err
	}
	var queries []load.Request
	for _, service := range services {
		texts := records.QueryTexts(all, service, textsPerService, seed)
		for _, text := range texts {
			queries = append(
				queries, load.Request{Service: service, Text: text, WantDocuments: records.Search(all, service, text, top)},
			)
		}
		if texts == nil {
			queries = append(queries, load.Request{Service: service, Text: "line"})
		}
	}

	return queries, nil
}

// upstreamCounts returns the sum of the fake upstreams' counts so far, or nil if there are no addresses.
func upstreamCounts(ctx context.Context, addresses []string) (*upstream.Counts, error) {
	if len(addresses) == 0 {
		return nil, nil //nolint:nilnil // There is nothing to count.
	}
	var sum upstream.Counts
	for _, address := range addresses {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/counts", http.NoBody)
		if err != nil {
			return nil, errors.Wrap(err, "invalid upstream address")
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, errors.Wrap(err, "cannot fetch the upstream counts")
		}
		var counts upstream.Counts
		err = json.NewDecoder(response.Body).Decode(&counts)
		_ = response.Body.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "cannot decode the counts of the upstream at %s", address)
		}
		sum = sum.Add(counts)
	}

	return &sum, nil
}

func printProgress(w io.Writer, r load.Result) {
	_, _ = fmt.Fprintf(w, "%5.1fs  sent %d  whole %d  partial %d  refused %d  lost %d  p50 %v  p99 %v\n",
		float64(r.Elapsed/clock.Second), r.Sent, r.FullCoverage+r.SubmitOutcomes, r.Partial, countRefusals(r),
		r.Unanswered+r.Unsent,
		r.All.P50, r.All.P99)
}

func countRefusals(r load.Result) int {
	n := 0
	for _, kind := range r.Refusals {
		n += kind.Count
	}

	return n
}

func printLoad(w io.Writer, r loadReport) {
	_, _ = fmt.Fprintf(w, "sent %d in %v: whole %d, partial %d, submits done %d, refused %d, lost %d, unsent %d\n",
		r.Sent, r.Elapsed, r.FullCoverage, r.Partial, r.SubmitOutcomes, countRefusals(r.Result), r.Unanswered, r.Unsent)
	_, _ = fmt.Fprintf(w, "doubled %d, crossed %d, coverage %.4f, extra legs %.2f%%\n",
		r.DuplicateDocuments, r.Mismatched, r.Coverage, 100*r.ExtraLegRatio)
	for _, class := range []struct {
		name    string
		latency load.Latency
	}{{"all", r.All}, {"urgent", r.Urgent}, {"routine", r.Routine}, {"submits", r.Submits}} {
		l := class.latency
		_, _ = fmt.Fprintf(w, "%-8s %7d  p50 %v  p90 %v  p99 %v  p99.9 %v  max %v\n",
			class.name, l.Count, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	for _, kind := range r.Refusals {
		_, _ = fmt.Fprintf(w, "refused %7d  %s, run: %s\n", kind.Count, kind.Reason, kind.Run)
	}
	if u := r.Upstreams; u != nil {
		_, _ = fmt.Fprintf(w, "upstreams: legs %d, shed %d, above the warm-up limit %d, ids executed twice %d, "+
			"legs after a drain %d, connections above the limit %d\n", u.Legs, u.Shed, u.AboveColdLimit, u.DuplicateSubmits,
			u.AfterDrain, u.ExcessConnections)
	}
}

// loadError returns an error with the exit code of the run, or nil if every request was answered
// completely.
func loadError(r loadReport) error {
	u := r.Upstreams
	if !r.Correct() || u != nil && u.AboveColdLimit+u.DuplicateSubmits+u.AfterDrain+u.ExcessConnections > 0 {
		return cli.Exit("a response was lost, doubled or crossed, or an upstream's limits were violated", exitViolation)
	}
	if !r.Complete() {
		return cli.Exit("not every request was answered completely", exitIncomplete)
	}

	return nil
}
