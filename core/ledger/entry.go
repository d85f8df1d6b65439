package ledger

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// Entry is the state of one id in a page.
type Entry struct {
	ID string
	// RequestHash is a hash of the request. It distinguishes a resend from another request with the same id.
	RequestHash string
	// Owner identifies the page state machine that wrote the entry; only it may run the request.
	Owner string
	// Done is set once the outcome is known.
	Done bool
	// Outcome is the body of the upstream's answer.
	Outcome string
	// Reason is set when the request ran and failed.
	Reason reason.Code
}

// result returns the result of a request that is done.
func (e Entry) result() leg.Result {
	if e.Reason != "" {
		return leg.Refused(e.Reason, reason.Executed, "the request ran and failed")
	}

	return leg.Result{Answer: leg.Answer{Request: e.ID, Body: []byte(e.Outcome)}}
}

// Request is a non-idempotent request that is submitted to its page.
type Request struct {
	// WaiterID identifies the waiting caller.
	WaiterID    uint64
	ID          string
	RequestHash string
	Deadline    clock.Milli
	// Resend reports whether the caller has sent the id before. If so, only the store can tell
	// that it did not run.
	Resend bool
}

// executionIfNotStarted returns whether a request that was not started here was executed: a first
// attempt was not, while a resend may have been started by another state machine.
func (r Request) executionIfNotStarted() reason.Execution {
	if r.Resend {
		return reason.ExecutionUnknown
	}

	return reason.NotExecuted
}

// phase is the state of a request in this state machine.
type phase int

const (
	// pending means that the id has yet to be written.
	pending phase = iota
	// running means that the request was passed on to be run.
	running
	// terminal means that the request is done, or that its outcome can never be known.
	terminal
	// notRun means that the request did not run and will not, unless it is sent again.
	notRun
	// remote means that another state machine started the request.
	remote
)

// record is what a state machine knows about one id.
type record struct {
	entry   Entry
	phase   phase
	waiting []Request
	// stored is set while the store's page holds the entry.
	stored bool
	// included is set while a write that adds the entry is in progress.
	included bool
}

// latestDeadline returns the latest deadline of the waiting requests, or 0 if there are none.
func (r *record) latestDeadline() clock.Milli {
	var last clock.Milli
	for _, w := range r.waiting {
		last = max(last, w.Deadline)
	}

	return last
}

// earliestDeadline returns the earliest deadline of the waiting requests. There must be at least one.
func (r *record) earliestDeadline() clock.Milli {
	first := r.waiting[0].Deadline
	for _, w := range r.waiting {
		first = min(first, w.Deadline)
	}

	return first
}
