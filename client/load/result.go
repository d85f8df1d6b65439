package load

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
)

// Result holds the counts and measurements of a run.
type Result struct {
	Elapsed clock.Milli `json:"elapsed"`
	// Sent is the number of requests, those over the limit in flight included. Each is counted as
	// whole, partial, done, refused, lost or unsent.
	Sent         int `json:"sent"`
	FullCoverage int `json:"whole"`
	Partial      int `json:"partial"`
	// SubmitOutcomes is the number of submits that returned an outcome.
	SubmitOutcomes int            `json:"done"`
	Refusals       []RefusalCount `json:"refused,omitempty"`
	// Unanswered is the number of requests that got no response from any daemon, and Unsent that of requests
	// over the limit on requests in flight.
	Unanswered int `json:"lost"`
	Unsent     int `json:"unsent"`
	// DuplicateDocuments is the number of answers that held a document twice, and Mismatched that of answers that did
	// not match the request.
	DuplicateDocuments int `json:"doubled"`
	Mismatched         int `json:"crossed"`
	// Coverage is the fraction of all shards that the answers covered.
	Coverage float64 `json:"coverage"`
	// Legs is the number of legs that the answers took, and ExtraLegRatio the legs beyond one a shard, as a
	// fraction of the shards.
	Legs          int     `json:"legs"`
	ExtraLegRatio float64 `json:"extra"`
	// The latencies are those of the answers, measured from the arrival times fixed in advance.
	All     Latency `json:"all"`
	Urgent  Latency `json:"urgent"`
	Routine Latency `json:"routine"`
	Submits Latency `json:"submits"`
}

// RefusalCount counts the refusals with one reason and execution state.
type RefusalCount struct {
	Reason reason.Code      `json:"reason"`
	Run    reason.Execution `json:"run"`
	Count  int              `json:"count"`
}

// Latency holds percentiles of the latency and the number of values.
type Latency struct {
	Count int         `json:"count"`
	P50   clock.Milli `json:"p50"`
	P90   clock.Milli `json:"p90"`
	P99   clock.Milli `json:"p99"`
	P999  clock.Milli `json:"p999"`
	Max   clock.Milli `json:"max"`
}

// Correct reports whether no request was lost or left unsent, and no answer held a document twice or
// failed to match its request.
func (r Result) Correct() bool { return r.Unanswered+r.Unsent+r.DuplicateDocuments+r.Mismatched == 0 }

// Complete reports whether r is sound and every request was answered with full coverage.
func (r Result) Complete() bool { return r.Correct() && r.FullCoverage+r.SubmitOutcomes == r.Sent }

// collector counts the results of requests. It is safe for concurrent use.
type collector struct {
	mu            sync.Mutex
	counts        Result
	totalShards   int
	coveredShards int
	refused       map[RefusalCount]int
	all           *hdrhistogram.Histogram
	urgent        *hdrhistogram.Histogram
	routine       *hdrhistogram.Histogram
	submits       *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		refused: make(map[RefusalCount]int), all: newHistogram(), urgent: newHistogram(), routine: newHistogram(),
		submits: newHistogram(),
	}
}

// Histograms count microseconds up to latencyLimit with latencyDigits significant digits. Reported times
// are rounded to 1/roundingSteps of a millisecond.
const (
	microsecond   = clock.Millisecond / 1000
	latencyLimit  = 10 * clock.Minute
	latencyDigits = 3
	roundingSteps = 100
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(latencyLimit/microsecond), latencyDigits)
}

func recordLatency(h *hdrhistogram.Histogram, latency clock.Milli) {
	_ = h.RecordValue(int64(min(max(latency, microsecond), latencyLimit) / microsecond))
}

func (c *collector) recordUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Sent++
	c.counts.Unsent++
}

// recordQuery counts the result of a query.
func (c *collector) recordQuery(a arrival, reply query.Reply, err error, latency clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Sent++
	if err != nil {
		c.recordError(err)

		return
	}
	c.counts.Legs += reply.Legs
	c.totalShards += reply.Total
	c.coveredShards += reply.Covered
	if reply.Covered < reply.Total {
		c.counts.Partial++
	} else {
		c.counts.FullCoverage++
	}
	if hasDuplicates(reply.Documents) {
		c.counts.DuplicateDocuments++
	}
	if a.request.WantDocuments != nil && reply.Covered == reply.Total &&
		!slices.EqualFunc(reply.Documents, a.request.WantDocuments, sameDocument) {
		c.counts.Mismatched++
	}
	recordLatency(c.all, latency)
	if a.urgent {
		recordLatency(c.urgent, latency)
	} else {
		recordLatency(c.routine, latency)
	}
}

// recordSubmit counts the result of a submit, whose outcome must contain its id.
func (c *collector) recordSubmit(id, outcome string, err error, latency clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Sent++
	if err != nil {
		c.recordError(err)

		return
	}
	c.counts.SubmitOutcomes++
	if !strings.Contains(outcome, id) {
		c.counts.Mismatched++
	}
	recordLatency(c.submits, latency)
}

// recordError counts a request that failed. The caller holds mu.
func (c *collector) recordError(err error) {
	var e *client.Error
	if !errors.As(err, &e) || e.Unanswered {
		c.counts.Unanswered++

		return
	}
	if e.Refusal.Reason == reason.Mismatch {
		c.counts.Mismatched++
	}
	c.refused[RefusalCount{Reason: e.Refusal.Reason, Run: e.Refusal.Run}]++
}

// hasDuplicates reports whether a document is in the list twice.
func hasDuplicates(list []leg.Document) bool {
	seen := make(map[string]bool, len(list))
	for _, d := range list {
		if seen[d.ID] {
			return true
		}
		seen[d.ID] = true
	}

	return false
}

func sameDocument(a, b leg.Document) bool { return a == b }

// result returns the counts so far.
func (c *collector) result(elapsed clock.Milli) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.counts
	r.Elapsed = round(elapsed)
	for kind, n := range c.refused {
		r.Refusals = append(r.Refusals, RefusalCount{Reason: kind.Reason, Run: kind.Run, Count: n})
	}
	slices.SortFunc(r.Refusals, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Run, b.Run))
	})
	if c.totalShards > 0 {
		r.Coverage = float64(c.coveredShards) / float64(c.totalShards)
		r.ExtraLegRatio = float64(r.Legs)/float64(c.totalShards) - 1
	}
	r.All, r.Urgent, r.Routine, r.Submits = latencyOf(c.all), latencyOf(c.urgent),
		latencyOf(c.routine), latencyOf(c.submits)

	return r
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) clock.Milli { return round(clock.Milli(h.ValueAtQuantile(q)) * microsecond) }

	return Latency{
		Count: int(h.TotalCount()), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: round(clock.Milli(h.Max()) * microsecond),
	}
}

func round(m clock.Milli) clock.Milli {
	return clock.Milli(math.Round(float64(m)*roundingSteps) / roundingSteps)
}
