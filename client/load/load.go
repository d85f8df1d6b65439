package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
)

// Request is a request that a run may send.
type Request struct {
	Service string
	Text    string
	// WantDocuments holds the documents of the answer with full coverage, best first. It is nil if they are not
	// known; then they are not checked.
	WantDocuments []leg.Document
}

// Options configure a run.
type Options struct {
	// Rate is the mean number of requests that arrive in a second, during Duration.
	Rate     float64
	Duration clock.Milli
	// Requests are chosen at random. Seed makes the choice and the arrival times reproducible.
	Requests []Request
	Seed     uint64
	// UrgentShare is the share of urgent requests, and SubmitShare that of submits, which are sent to SubmitService.
	UrgentShare   float64
	SubmitShare   float64
	SubmitService string
	// Top and Partial are set in each query. Deadline is the time allowed for each request from its
	// arrival.
	Top      int
	Deadline clock.Milli
	Partial  bool
	// MaxInFlight is the maximum number of requests in flight. A request that arrives above it is not sent.
	MaxInFlight int
	// Progress, if set, is called every second with the counts so far.
	Progress func(Result)
}

// arrival is one request of a run.
type arrival struct {
	at      clock.Milli
	request Request
	submit  bool
	urgent  bool
}

// planArrivals returns all arrivals of a run: a Poisson process, the same for the same seed.
func planArrivals(o Options) []arrival {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	var list []arrival
	for at := clock.Milli(0); ; {
		at += clock.Milli(random.ExpFloat64()/o.Rate) * clock.Second
		if at >= o.Duration {
			return list
		}
		list = append(list, arrival{
			at: at, request: o.Requests[random.IntN(len(o.Requests))], submit: random.Float64() < o.SubmitShare,
			urgent: random.Float64() < o.UrgentShare,
		})
	}
}

// progressInterval is the time between two progress reports.
const progressInterval = time.Second

// Run sends the requests through c and waits for all of them. It ends early when ctx is done; requests
// not sent by then are not counted.
func Run(ctx context.Context, c *client.Client, o Options) Result {
	r := &runner{client: c, options: o, collector: newCollector(), start: c.Deadline(0)}
	done := make(chan struct{})
	go r.reportProgress(done)
	var all sync.WaitGroup
	inFlight := make(chan struct{}, o.MaxInFlight)
	for _, a := range planArrivals(o) {
		if !r.waitUntil(ctx, a.at) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			r.collector.recordUnsent()

			continue
		}
		all.Go(func() {
			defer func() { <-inFlight }()
			r.send(ctx, a)
		})
	}
	all.Wait()
	close(done)

	return r.collector.result(c.Deadline(0) - r.start)
}

type runner struct {
	client    *client.Client
	options   Options
	collector *collector
	start     clock.Milli
}

// waitUntil waits until at, as counted from the start of the run, and reports whether ctx is not done.
func (r *runner) waitUntil(ctx context.Context, at clock.Milli) bool {
	delay := r.start + at - r.client.Deadline(0)
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) reportProgress(done <-chan struct{}) {
	if r.options.Progress == nil {
		return
	}
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.options.Progress(r.collector.result(r.client.Deadline(0) - r.start))
		case <-done:
			return
		}
	}
}

// send sends one request and records its result.
func (r *runner) send(ctx context.Context, a arrival) {
	priority := leg.Routine
	if a.urgent {
		priority = leg.Urgent
	}
	arrived := r.start + a.at
	if a.submit {
		s := client.Submit{
			ID: client.NewID(), Service: r.options.SubmitService, Body: a.request.Text,
			Deadline: arrived + r.options.Deadline, Priority: priority,
		}
		outcome, err := r.client.Submit(ctx, s)
		r.collector.recordSubmit(s.ID, outcome, err, r.client.Deadline(0)-arrived)

		return
	}
	reply, err := r.client.Query(ctx, query.Request{
		Service: a.request.Service, Text: a.request.Text, Top: r.options.Top, Deadline: arrived + r.options.Deadline,
		Priority: priority, Partial: r.options.Partial,
	})
	r.collector.recordQuery(a, reply, err, r.client.Deadline(0)-arrived)
}
