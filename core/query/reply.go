package query

import (
	"fmt"

	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// Missing says why a shard is not covered.
type Missing struct {
	Shard  int
	Reason reason.Code
}

// Reply is what the caller gets: an answer with its coverage, or a refusal.
type Reply struct {
	Refusal   *reason.Refusal
	Snapshot  string
	Version   string
	Covered   int
	Total     int
	Missing   []Missing
	Documents []leg.Document
	// Legs is how many legs were sent.
	Legs int
}

// reply returns what the pinned snapshot gave.
func (q *Query) reply() *Reply {
	r := &Reply{
		Snapshot: q.snapshot.Name, Version: q.snapshot.Version, Covered: q.covered, Total: len(q.shards),
		Documents: q.merged.documents(),
	}
	for i := range q.shards {
		if !q.shards[i].covered {
			r.Missing = append(r.Missing, Missing{Shard: i, Reason: q.shards[i].why})
		}
	}

	return r
}

// Reason returns the reason that most of the missing shards have, or "" if none is missing.
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

func (r *Reply) coverage() string {
	return fmt.Sprintf("%d of %d shards of %s answered", r.Covered, r.Total, r.Snapshot)
}

// better returns the one of two replies, of which a may be nil, that covers the larger part.
func better(a, b *Reply) *Reply {
	if a != nil && a.Covered*b.Total > b.Covered*a.Total {
		return a
	}

	return b
}
