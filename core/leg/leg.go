package leg

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// Priority orders work that competes for an upstream's slots.
type Priority string

// The priority classes.
const (
	Urgent  Priority = "urgent"
	Routine Priority = "routine"
)

// Known reports whether p is one of the priority classes.
func (p Priority) Known() bool {
	return p == Urgent || p == Routine
}

// Leg asks one upstream for one shard of one snapshot.
type Leg struct {
	// Request is the id of the query or submit that the leg belongs to.
	Request  string
	Service  string
	Version  string
	Upstream string
	Snapshot string
	Shard    int
	// Text is the search text of a query.
	Text string
	// Top is how many documents the answer holds at most.
	Top int
	// Deadline is the instant after which nobody waits for the answer.
	Deadline clock.Milli
	// Attempt counts from 0 over all legs of the request for this shard.
	Attempt  int
	Priority Priority
	// Submit marks a non-idempotent leg, which carries Body in place of Text.
	Submit bool
	Body   []byte
}

// Document is one hit.
type Document struct {
	ID    string
	Score float64
	Body  string
}

// Load is what an upstream says about itself. It can lag or be wrong.
type Load struct {
	// Running is how many legs it runs now.
	Running int
	// Slots is how many it can run at once.
	Slots int
	// Cold is set while it starts, and Bears is how many legs it bears until then.
	Cold  bool
	Bears int
	// Draining is set once it wants no new work.
	Draining bool
}

// Answer is what an upstream gave for a leg.
type Answer struct {
	Request     string
	Shard       int
	Snapshot    string
	Version     string
	Incarnation string
	Load        Load
	Documents   []Document
	// Body is the outcome of a submit.
	Body []byte
}

// Matches reports whether a answers l: the same request, shard and snapshot.
func (a Answer) Matches(l Leg) bool {
	return a.Request == l.Request && a.Shard == l.Shard && a.Snapshot == l.Snapshot
}

// Result is an answer, or the refusal that came in its place.
type Result struct {
	Answer  Answer
	Refusal *reason.Refusal
}

// Refused returns a Result without an answer.
func Refused(word reason.Code, run reason.Execution, detail string) Result {
	return Result{Refusal: reason.NewRefusal(word, run, detail)}
}
