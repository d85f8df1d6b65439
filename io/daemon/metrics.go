package daemon

import (
	"context"
	"fmt"
	"io"

	"jacinthferry/core/clock"
	"jacinthferry/core/query"
	"jacinthferry/core/submit"

	"github.com/VictoriaMetrics/metrics"
)

// Values of the result label in the metrics of queries and submits.
const (
	doneResult    = "done"
	wholeResult   = "whole"
	partialResult = "partial"
	refusedResult = "refused"
)

type queryFunc func(context.Context, query.Request) (*query.Reply, error)

// measureQuery wraps run and records its latency, coverage and legs per service.
func (d *Daemon) measureQuery(run queryFunc) queryFunc {
	set := d.journal.Metrics()

	return func(ctx context.Context, r query.Request) (*query.Reply, error) {
		start := d.now()
		reply, err := run(ctx, r)
		service := d.serviceLabel(r.Service)
		result := refusedResult
		if err == nil {
			result = wholeResult
			if reply.Covered < reply.Total {
				result = partialResult
			}
			addCounter(set, "jacinthferry_shards_total", service, "state", "covered", reply.Covered)
			addCounter(set, "jacinthferry_shards_total", service, "state", "missing", reply.Total-reply.Covered)
			addCounter(set, "jacinthferry_legs_total", service, "result", result, reply.Legs)
		}
		name := fmt.Sprintf("jacinthferry_query_seconds{service=%q,priority=%q,result=%q}", service, r.Priority, result)
		set.GetOrCreateHistogram(name).Update(float64((d.now() - start) / clock.Second))

		return reply, err
	}
}

type submitFunc func(context.Context, submit.Request) (string, error)

// measureSubmit wraps run and records its latency per service.
func (d *Daemon) measureSubmit(run submitFunc) submitFunc {
	set := d.journal.Metrics()

	return func(ctx context.Context, r submit.Request) (string, error) {
		start := d.now()
		outcome, err := run(ctx, r)
		result := doneResult
		if err != nil {
			result = refusedResult
		}
		name := fmt.Sprintf("jacinthferry_submit_seconds{service=%q,priority=%q,result=%q}",
			d.serviceLabel(r.Service), r.Priority, result)
		set.GetOrCreateHistogram(name).Update(float64((d.now() - start) / clock.Second))

		return outcome, err
	}
}

func addCounter(set *metrics.Set, name, service, label, value string, n int) {
	set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,%s=%q}", name, service, label, value)).Add(n)
}

// serviceLabel returns the service, or "unknown" if none is configured under that name, so that
// callers cannot create metric series.
func (d *Daemon) serviceLabel(service string) string {
	if t := d.table.Load(); t != nil {
		if _, known := t.Service(service); known {
			return service
		}
	}

	return "unknown"
}

func (d *Daemon) writeMetrics(w io.Writer) {
	d.journal.WriteMetrics(w)
	ready, revision := 0, uint64(0)
	if t := d.table.Load(); t != nil {
		ready, revision = 1, t.Revision
	}
	metrics.WriteGaugeUint64(w, "jacinthferry_ready", uint64(ready))
	metrics.WriteGaugeUint64(w, "jacinthferry_revision", revision)
	metrics.WriteProcessMetrics(w)
}
