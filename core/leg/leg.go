package leg

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// Priority is the class of a leg in the competition for an upstream's slots.
type Priority string

// The priority classes.
const (
	Urgent  Priority = "urgent"
	Routine Priority = "routine"
)

// Valid reports whether p is one of the priority classes.
func (p Priority) Valid() bool {
	return p == Urgent || p == Routine
}

// Leg is a sub-request to one upstream for one shard of one snapshot.
type Leg struct {
	// Request is the ID of the query or submit that the leg belongs to.
	Request  string
	Service  string
	Version  string
	Upstream string
	Snapshot string
	Shard    int
	// Text is the search text of a query.
	Text string
	// Top is the maximum number of documents in the answer.
	Top int
	// Deadline is the time after which the answer is no longer used.
	Deadline clock.Milli
	// Attempt counts from 0 over all legs of the request for this shard.
	Attempt  int
	Priority Priority
	// Submit is set for a non-idempotent leg, which has a Body instead of a Text.
	Submit bool
	Body   []byte
}

// Document is a search hit.
type Document struct {
	ID    string
	Score float64
	Body  string
}

// Load is the load that an upstream reports. It can be outdated or wrong.
type Load struct {
	// Running is the number of legs in execution.
	Running int
	// Slots is the maximum number of concurrent legs.
	Slots int
	// Cold is set during the warm-up after a start, and ColdLimit is the maximum number of concurrent legs
	// until its end.
	Cold      bool
	ColdLimit int
	// Draining is set once the upstream accepts no new work.
	Draining bool
}

// Answer is the answer of an upstream to a leg.
type Answer struct {
	Request     string
	Shard       int
	Snapshot    string
	Version     string
	Incarnation string
	Load        Load
	Documents   []Document
	// Body is the result of a submit.
	Body []byte
}

// Matches reports whether a is an answer to l: it has the same request, shard and snapshot.
func (a Answer) Matches(l Leg) bool {
	return a.Request == l.Request && a.Shard == l.Shard && a.Snapshot == l.Snapshot
}

// Result is the result of a leg: an answer, or a refusal if Refusal is not nil.
type Result struct {
	Answer  Answer
	Refusal *reason.Refusal
}

// Refused returns a Result with a refusal.
func Refused(word reason.Code, run reason.Execution, detail string) Result {
	return Result{Refusal: reason.NewRefusal(word, run, detail)}
}
