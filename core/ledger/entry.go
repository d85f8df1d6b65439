package ledger

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// Entry is one id as it stands in a page.
type Entry struct {
	ID string
	// Sum is a hash of the request, which tells a resend from another request under the same id.
	Sum string
	// Owner names the page machine that wrote the entry and alone may run the request.
	Owner string
	// Done is set once the outcome is known.
	Done bool
	// Outcome is what the upstream answered.
	Outcome string
	// Reason is set when the request ran and failed.
	Reason reason.Code
}

// result returns what the caller of a request that is done gets.
func (e Entry) result() leg.Result {
	if e.Reason != "" {
		return leg.Refused(e.Reason, reason.Executed, "ran and failed")
	}

	return leg.Result{Answer: leg.Answer{Request: e.ID, Body: []byte(e.Outcome)}}
}

// Request is a non-idempotent request that reached its page.
type Request struct {
	// Ticket names the waiting caller.
	Ticket   uint64
	ID       string
	Sum      string
	Deadline clock.Milli
	// Resend says that the caller sent the id before. Then only the store can tell that it did
	// not run.
	Resend bool
}

// unrun returns what can be said when the request was not begun here: a first sending did not run,
// while a resend may have been begun by another machine.
func (r Request) unrun() reason.Execution {
	if r.Resend {
		return reason.ExecutionUnknown
	}

	return reason.NotExecuted
}

// phase is how far a request has come on this machine.
type phase int

const (
	// wanted waits for its id to be written.
	wanted phase = iota
	// running was handed out to run.
	running
	// settled is done, or can never be told.
	settled
	// free did not run and will not, unless it is sent again.
	free
	// foreign was begun by another machine.
	foreign
)

// record is what a machine knows of one id.
type record struct {
	entry   Entry
	phase   phase
	waiting []Request
	// stored is set while the store's page holds the entry.
	stored bool
	// included is set while a write that brings the entry in is under way.
	included bool
}

// latest returns the last instant at which somebody still waits.
func (r *record) latest() clock.Milli {
	var last clock.Milli
	for _, w := range r.waiting {
		last = max(last, w.Deadline)
	}

	return last
}

// earliest returns the first instant at which somebody stops waiting. Somebody must wait.
func (r *record) earliest() clock.Milli {
	first := r.waiting[0].Deadline
	for _, w := range r.waiting {
		first = min(first, w.Deadline)
	}

	return first
}
