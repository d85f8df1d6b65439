package client

import (
	"fmt"

	"github.com/pkg/errors"

	"jacinthferry/core/reason"
	"jacinthferry/io/caller"
)

// Error is the error of every request that failed.
type Error struct {
	// ID is the request's id; a submit may be resent under it.
	ID string
	// Entry is the address of the last daemon that was tried, or "" if there was none.
	Entry string
	// Attempts is the number of daemons that were tried.
	Attempts int
	// Unanswered is set when the last attempt got no response from a daemon.
	Unanswered bool
	// Refusal says why the request failed and whether it was run.
	Refusal *reason.Refusal
}

// Error returns the text of the refusal with the number of attempts and the last address.
func (e *Error) Error() string {
	return fmt.Sprintf("client: %v, after %d attempts, last daemon address %q", e.Refusal, e.Attempts, e.Entry)
}

// Unwrap returns the refusal.
func (e *Error) Unwrap() error { return e.Refusal }

// refusalOf returns the refusal that err wraps, or an internal one if it wraps none.
func refusalOf(err error) *reason.Refusal {
	var r *reason.Refusal
	if !errors.As(err, &r) {
		r = reason.NewRefusal(reason.Internal, reason.ExecutionUnknown, err.Error())
	}

	return r
}

func isUnanswered(err error) bool {
	var u *caller.UnansweredError

	return errors.As(err, &u)
}

// retryDecision says what to do after a failed attempt.
type retryDecision struct {
	// retry allows another attempt, and chargeBudget counts it against the retry budget.
	retry        bool
	chargeBudget bool
	// avoid makes the daemon the last choice until it answers again.
	avoid bool
}

// decideRetry returns the decision for the error of an attempt.
func decideRetry(err error) retryDecision {
	var u *caller.UnansweredError
	if errors.As(err, &u) {
		return retryDecision{retry: true, chargeBudget: u.Refusal.Run != reason.NotExecuted, avoid: true}
	}
	r := refusalOf(err)
	switch r.Reason {
	case reason.Draining, reason.Configuration:
		return retryDecision{retry: r.Run == reason.NotExecuted, avoid: true}
	case reason.Cancelled:
		// The daemon cancelled the request though the caller did not: the daemon is stopping.
		return retryDecision{retry: true, chargeBudget: true, avoid: true}
	case reason.Internal, reason.Mismatch:
		return retryDecision{retry: true, chargeBudget: true}
	default:
		return retryDecision{}
	}
}

// withAttempt returns the error after one more attempt, which failed with err. An empty address means
// that no daemon was tried.
func (e *Error) withAttempt(address string, err error) *Error {
	r := refusalOf(err)
	next := &Error{ID: e.ID, Entry: address, Attempts: e.Attempts, Refusal: r, Unanswered: isUnanswered(err)}
	if address != "" {
		next.Attempts++
	}
	if e.Refusal != nil {
		next.Refusal = reason.NewRefusal(r.Reason, combineRuns(e.Refusal.Run, r.Run), r.Detail)
	}

	return next
}

// combineRuns returns whether a request was run, given what is known from each of two attempts.
func combineRuns(a, b reason.Execution) reason.Execution {
	for _, r := range []reason.Execution{reason.Executed, reason.ExecutionUnknown} {
		if a == r || b == r {
			return r
		}
	}

	return reason.NotExecuted
}
