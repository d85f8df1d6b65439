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

// Result is what a run found.
type Result struct {
	Elapsed clock.Milli `json:"elapsed"`
	// Sent is how many requests were sent. Each is whole, partial, done, refused or lost.
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Partial int `json:"partial"`
	// Done is how many submits brought an outcome.
	Done    int       `json:"done"`
	Refused []Refused `json:"refused,omitempty"`
	// Lost is how many got no word from any daemon, and Unsent how many were over the bound on
	// requests in flight.
	Lost   int `json:"lost"`
	Unsent int `json:"unsent"`
	// Doubled is how many answers held a document twice, and Crossed how many were not the answer to
	// what was asked.
	Doubled int `json:"doubled"`
	Crossed int `json:"crossed"`
	// Coverage is the part of all shards that the answers covered.
	Coverage float64 `json:"coverage"`
	// Legs is how many legs the answers took, and Extra by how much that exceeds one a shard.
	Legs  int     `json:"legs"`
	Extra float64 `json:"extra"`
	// The latencies are those of the answers, counted from the arrival times fixed beforehand.
	All     Latency `json:"all"`
	Urgent  Latency `json:"urgent"`
	Routine Latency `json:"routine"`
	Submits Latency `json:"submits"`
}

// Refused counts the refusals of one kind.
type Refused struct {
	Reason reason.Code      `json:"reason"`
	Run    reason.Execution `json:"run"`
	Count  int              `json:"count"`
}

// Latency holds percentiles.
type Latency struct {
	Count int         `json:"count"`
	P50   clock.Milli `json:"p50"`
	P90   clock.Milli `json:"p90"`
	P99   clock.Milli `json:"p99"`
	P999  clock.Milli `json:"p999"`
	Max   clock.Milli `json:"max"`
}

// Sound reports whether no answer was lost, doubled or crossed.
func (r Result) Sound() bool { return r.Lost+r.Unsent+r.Doubled+r.Crossed == 0 }

// Complete reports whether every request was answered in whole.
func (r Result) Complete() bool { return r.Sound() && r.Whole+r.Done == r.Sent }

// tally counts what comes back.
type tally struct {
	mu      sync.Mutex
	counts  Result
	shards  int
	covered int
	refused map[Refused]int
	all     *hdrhistogram.Histogram
	urgent  *hdrhistogram.Histogram
	routine *hdrhistogram.Histogram
	submits *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		refused: make(map[Refused]int), all: newHistogram(), urgent: newHistogram(), routine: newHistogram(),
		submits: newHistogram(),
	}
}

// Histograms count microseconds, up to a limit, to so many digits.
const (
	micro          = clock.Millisecond / 1000
	latencyLimit   = 10 * clock.Minute
	latencyDigits  = 3
	milliPrecision = 100
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(latencyLimit/micro), latencyDigits)
}

func record(h *hdrhistogram.Histogram, span clock.Milli) {
	_ = h.RecordValue(int64(min(max(span, micro), latencyLimit) / micro))
}

func (t *tally) unsent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Sent++
	t.counts.Unsent++
}

// answered counts what a query brought.
func (t *tally) answered(a arrival, reply query.Reply, err error, took clock.Milli) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Sent++
	if err != nil {
		t.failed(err)

		return
	}
	t.counts.Legs += reply.Legs
	t.shards += reply.Total
	t.covered += reply.Covered
	if reply.Covered < reply.Total {
		t.counts.Partial++
	} else {
		t.counts.Whole++
	}
	if twice(reply.Documents) {
		t.counts.Doubled++
	}
	if a.ask.Want != nil && reply.Covered == reply.Total && !slices.EqualFunc(reply.Documents, a.ask.Want, same) {
		t.counts.Crossed++
	}
	record(t.all, took)
	if a.urgent {
		record(t.urgent, took)
	} else {
		record(t.routine, took)
	}
}

// submitted counts what a submit brought. Its outcome names its id.
func (t *tally) submitted(id, outcome string, err error, took clock.Milli) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Sent++
	if err != nil {
		t.failed(err)

		return
	}
	t.counts.Done++
	if !strings.Contains(outcome, id) {
		t.counts.Crossed++
	}
	record(t.submits, took)
}

// failed counts a request that got no answer.
func (t *tally) failed(err error) {
	var e *client.Error
	if !errors.As(err, &e) || e.Unanswered {
		t.counts.Lost++

		return
	}
	if e.Refusal.Reason == reason.Mismatch {
		t.counts.Crossed++
	}
	t.refused[Refused{Reason: e.Refusal.Reason, Run: e.Refusal.Run}]++
}

// twice reports whether a document is in the list twice.
func twice(list []leg.Document) bool {
	seen := make(map[string]bool, len(list))
	for _, d := range list {
		if seen[d.ID] {
			return true
		}
		seen[d.ID] = true
	}

	return false
}

func same(a, b leg.Document) bool { return a == b }

// report returns the counts so far.
func (t *tally) report(elapsed clock.Milli) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.counts
	r.Elapsed = round(elapsed)
	for kind, n := range t.refused {
		r.Refused = append(r.Refused, Refused{Reason: kind.Reason, Run: kind.Run, Count: n})
	}
	slices.SortFunc(r.Refused, func(a, b Refused) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Run, b.Run))
	})
	if t.shards > 0 {
		r.Coverage = float64(t.covered) / float64(t.shards)
		r.Extra = float64(r.Legs)/float64(t.shards) - 1
	}
	r.All, r.Urgent, r.Routine, r.Submits = latency(t.all), latency(t.urgent), latency(t.routine), latency(t.submits)

	return r
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) clock.Milli { return round(clock.Milli(h.ValueAtQuantile(q)) * micro) }

	return Latency{
		Count: int(h.TotalCount()), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: round(clock.Milli(h.Max()) * micro),
	}
}

func round(m clock.Milli) clock.Milli {
	return clock.Milli(math.Round(float64(m)*milliPrecision) / milliPrecision)
}
