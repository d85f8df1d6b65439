package query

import (
	"fmt"

	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// Missing is a shard that is not covered, and the reason.
type Missing struct {
	Shard  int
	Reason reason.Code
}

// Reply is the response to the caller: documents with their coverage, or a refusal.
type Reply struct {
	Refusal   *reason.Refusal
	Snapshot  string
	Version   string
	Covered   int
	Total     int
	Missing   []Missing
	Documents []leg.Document
	// Legs is the number of legs that were sent.
	Legs int
}

// response returns the response from the pinned snapshot.
func (q *Query) response() *Reply {
	r := &Reply{
		Snapshot: q.snapshot.Name, Version: q.snapshot.Version, Covered: q.covered, Total: len(q.shards),
		Documents: q.merged.documents(),
	}
	for i := range q.shards {
		if !q.shards[i].covered {
			r.Missing = append(r.Missing, Missing{Shard: i, Reason: q.shards[i].reason})
		}
	}

	return r
}

// Reason returns the most frequent reason of the missing shards, or "" if none is missing. Of equally
// frequent reasons it returns the first in alphabetical order.
func (r *Reply) Reason() reason.Code {
	counts := make(map[reason.Code]int)
	var best reason.Code
	for _, m := range r.Missing {
		counts[m.Reason]++
		n := counts[m.Reason]
		if n > counts[best] || (n == counts[best] && m.Reason < best) || best == "" {
			best = m.Reason
		}
	}

	return best
}

func (r *Reply) coverageText() string {
	return fmt.Sprintf("%d of %d shards of %s answered", r.Covered, r.Total, r.Snapshot)
}

// betterCoverage returns the one of two responses that covers the larger share of its shards. a may be
// nil.
func betterCoverage(a, b *Reply) *Reply {
	if a != nil && a.Covered*b.Total > b.Covered*a.Total {
		return a
	}

	return b
}
