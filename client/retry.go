package client

import (
	"context"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	entry         *entry
	reply         query.Reply
	submitOutcome string
	err           error
}

// requestState is the state of one request across its attempts.
type requestState struct {
	client   *Client
	deadline clock.Milli
	send     func(context.Context, *entry) attemptResult
	offset   uint64
	tried    []*entry
	// started is the start of the last attempt. silentSince is the same time, or that of the latest
	// check by which the daemon had answered. probed is set once a check has sent a probe.
	started     clock.Milli
	silentSince clock.Milli
	probed      bool
	inFlight    int
	results     chan attemptResult
	err         *Error
}

// sendWithRetries sends a request to one daemon after another until one answers or refuses it in a way
// that allows no retry.
func (c *Client) sendWithRetries(
	ctx context.Context, id string, deadline clock.Milli, send func(context.Context, *entry) attemptResult,
) attemptResult {
	left := deadline - c.now()
	if left <= 0 {
		return attemptResult{
			err: &Error{ID: id, Refusal: reason.NewRefusal(reason.Deadline, reason.NotExecuted, "deadline is in the past")},
		}
	}
	ctx, cancel := context.WithTimeout(ctx, (left + c.policy.Grace).Duration())
	defer cancel()
	c.budget.deposit()
	r := &requestState{
		client: c, deadline: deadline, send: send, offset: c.nextOffset.Add(1),
		results: make(chan attemptResult, c.policy.Attempts), err: &Error{ID: id},
	}
	r.sendNext(ctx, false)
	checkTimer := time.NewTimer(r.checkInterval())
	defer checkTimer.Stop()
	for r.inFlight > 0 {
		select {
		case o := <-r.results:
			r.inFlight--
			if o.err == nil {
				o.entry.recordAnswer(c.now())

				return o
			}
			r.handleFailure(ctx, o)
		case <-checkTimer.C:
			r.checkProgress(ctx)
			checkTimer.Reset(r.checkInterval())
		}
	}

	return attemptResult{err: r.err}
}

// Checks of a daemon are at least minCheckInterval apart, and apart from that at least minChecks of them
// fit into the time left.
const (
	minCheckInterval = 5 * clock.Millisecond
	minChecks        = 4
)

// checkInterval returns the time until the next check of the daemon that was tried last.
func (r *requestState) checkInterval() time.Duration {
	left := r.deadline - r.client.now()

	return max(minCheckInterval, min(r.client.policy.Patience, left/minChecks)).Duration()
}

// sendNext sends the request to one more daemon if there is one and, where the attempt is charged, the
// retry budget allows it.
func (r *requestState) sendNext(ctx context.Context, chargeBudget bool) {
	c := r.client
	if len(r.tried) >= c.policy.Attempts {
		return
	}
	v, err := c.current(ctx)
	if err != nil {
		r.err = r.err.withAttempt("", err)

		return
	}
	e := v.pick(r.offset, c.now(), r.tried, func(e *entry) { c.probe(ctx, e) })
	if e == nil || chargeBudget && !c.budget.spend() {
		return
	}
	r.tried = append(r.tried, e)
	r.started, r.silentSince, r.probed = c.now(), c.now(), false
	r.inFlight++
	go func() {
		o := r.send(ctx, e)
		o.entry = e
		r.results <- o
	}()
}

// handleFailure records a failed attempt and starts another one if that is allowed.
func (r *requestState) handleFailure(ctx context.Context, o attemptResult) {
	c := r.client
	v := decideRetry(o.err)
	r.err = r.err.withAttempt(o.entry.Address, o.err)
	if !v.avoid {
		o.entry.recordAnswer(c.now())
	}
	if ctx.Err() != nil {
		return
	}
	if v.avoid {
		o.entry.markAvoided(c.now(), c.policy.Avoid)
	}
	if v.retry {
		r.sendNext(ctx, v.chargeBudget)
	}
}

// checkProgress checks the daemon that was tried last. A silent daemon is probed; if it has not answered
// by the next check, the request is sent to another daemon too. The same happens when half of the time
// is over and the daemon, though it answers probes, has answered no request since the attempt started.
func (r *requestState) checkProgress(ctx context.Context) {
	c, now := r.client, r.client.now()
	e := r.tried[len(r.tried)-1]
	switch {
	case e.isSilent(r.silentSince) && r.probed, e.isStuck(r.started) && now > (r.started+r.deadline)/2:
		e.markAvoided(now, c.policy.Avoid)
		r.sendNext(ctx, true)
	case e.isSilent(r.silentSince):
		r.probed = true
		c.probe(ctx, e)
	default:
		r.silentSince, r.probed = now, false
	}
}
