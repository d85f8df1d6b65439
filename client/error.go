package client

import (
	"fmt"

	"github.com/pkg/errors"

	"jacinthferry/core/reason"
	"jacinthferry/io/caller"
)

// Error is the error of every request that got no answer.
type Error struct {
	// ID is the request's id; a submit may be resent under it.
	ID string
	// Entry is the address that was asked last, or "" if none was.
	Entry string
	// Attempts is how many daemons were asked.
	Attempts int
	// Unanswered is set when the last attempt brought no word from a daemon.
	Unanswered bool
	// Refusal says why there is no answer and whether the request was run.
	Refusal *reason.Refusal
}

// Error returns the refusal with the number of attempts and the last address.
func (e *Error) Error() string {
	return fmt.Sprintf("client: %v, after %d attempts, last at %q", e.Refusal, e.Attempts, e.Entry)
}

// Unwrap returns the refusal.
func (e *Error) Unwrap() error { return e.Refusal }

// refusal returns the refusal that err wraps.
func refusal(err error) *reason.Refusal {
	var r *reason.Refusal
	if !errors.As(err, &r) {
		r = reason.NewRefusal(reason.Internal, reason.ExecutionUnknown, err.Error())
	}

	return r
}

func unanswered(err error) bool {
	var u *caller.Unanswered

	return errors.As(err, &u)
}

// verdict says what may follow on a failed attempt.
type verdict struct {
	// again allows another attempt, and charge counts it against the budget.
	again  bool
	charge bool
	// avoid puts the daemon last for a while.
	avoid bool
}

// judge returns what may follow on the error of an attempt.
func judge(err error) verdict {
	var u *caller.Unanswered
	if errors.As(err, &u) {
		return verdict{again: true, charge: u.Refusal.Run != reason.NotExecuted, avoid: true}
	}
	r := refusal(err)
	switch r.Reason {
	case reason.Draining, reason.Configuration:
		return verdict{again: r.Run == reason.NotExecuted, avoid: true}
	case reason.Cancelled:
		// The daemon gave up though the caller did not: it is stopping.
		return verdict{again: true, charge: true, avoid: true}
	case reason.Internal, reason.Mismatch:
		return verdict{again: true, charge: true}
	default:
		return verdict{}
	}
}

// with returns the error after one more attempt failed with err.
func (e *Error) with(address string, err error) *Error {
	r := refusal(err)
	next := &Error{ID: e.ID, Entry: address, Attempts: e.Attempts, Refusal: r, Unanswered: unanswered(err)}
	if address != "" {
		next.Attempts++
	}
	if e.Refusal != nil {
		next.Refusal = reason.NewRefusal(r.Reason, both(e.Refusal.Run, r.Run), r.Detail)
	}

	return next
}

// both returns what is known of a request after two attempts at it.
func both(a, b reason.Execution) reason.Execution {
	for _, r := range []reason.Execution{reason.Executed, reason.ExecutionUnknown} {
		if a == r || b == r {
			return r
		}
	}

	return reason.NotExecuted
}
