package client

import (
	"context"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
)

// outcome is what one attempt brought.
type outcome struct {
	entry *entry
	reply query.Reply
	text  string
	err   error
}

// course is the course of one request over its attempts.
type course struct {
	client   *Client
	deadline clock.Milli
	send     func(context.Context, *entry) outcome
	turn     uint64
	tried    []*entry
	// started is the start of the last attempt, since that or a later look at which the daemon was
	// heard, and probed is set once it was not and a probe was sent.
	started  clock.Milli
	since    clock.Milli
	probed   bool
	open     int
	outcomes chan outcome
	failed   *Error
}

// try sends a request to one daemon after the other until one answers or refuses it for good.
func (c *Client) try(
	ctx context.Context, id string, deadline clock.Milli, send func(context.Context, *entry) outcome,
) outcome {
	left := deadline - c.now()
	if left <= 0 {
		return outcome{err: &Error{ID: id, Refusal: reason.NewRefusal(reason.Deadline, reason.NotExecuted, "is in the past")}}
	}
	ctx, cancel := context.WithTimeout(ctx, (left + c.policy.Grace).Duration())
	defer cancel()
	c.budget.earn()
	r := &course{
		client: c, deadline: deadline, send: send, turn: c.turn.Add(1),
		outcomes: make(chan outcome, c.policy.Attempts), failed: &Error{ID: id},
	}
	r.next(ctx, false)
	silence := time.NewTimer(r.patience())
	defer silence.Stop()
	for r.open > 0 {
		select {
		case o := <-r.outcomes:
			r.open--
			if o.err == nil {
				o.entry.work(c.now())

				return o
			}
			r.fail(ctx, o)
		case <-silence.C:
			r.suspect(ctx)
			silence.Reset(r.patience())
		}
	}

	return outcome{err: r.failed}
}

// The looks at a silent daemon lie patienceFloor apart at least, and looks of them fit into the time
// left.
const (
	patienceFloor = 5 * clock.Millisecond
	looks         = 4
)

// patience returns the time to the next look at a silent daemon.
func (r *course) patience() time.Duration {
	left := r.deadline - r.client.now()

	return max(patienceFloor, min(r.client.policy.Patience, left/looks)).Duration()
}

// next sends the request to one more daemon, if there is one and the budget allows what is charged.
func (r *course) next(ctx context.Context, charge bool) {
	c := r.client
	if len(r.tried) >= c.policy.Attempts {
		return
	}
	v, err := c.current(ctx)
	if err != nil {
		r.failed = r.failed.with("", err)

		return
	}
	e := v.pick(r.turn, c.now(), r.tried, func(e *entry) { c.probe(ctx, e) })
	if e == nil || charge && !c.budget.spend() {
		return
	}
	r.tried = append(r.tried, e)
	r.started, r.since, r.probed = c.now(), c.now(), false
	r.open++
	go func() {
		o := r.send(ctx, e)
		o.entry = e
		r.outcomes <- o
	}()
}

// fail takes a failed attempt, and makes another one if that is allowed.
func (r *course) fail(ctx context.Context, o outcome) {
	c := r.client
	v := judge(o.err)
	r.failed = r.failed.with(o.entry.Address, o.err)
	if !v.avoid {
		o.entry.work(c.now())
	}
	if ctx.Err() != nil {
		return
	}
	if v.avoid {
		o.entry.avoid(c.now(), c.policy.Avoid)
	}
	if v.again {
		r.next(ctx, v.charge)
	}
}

// suspect looks at the daemon asked last. If it has been silent it is probed, and if it has not
// answered the probe by the next look, another daemon is asked too. So it is when half of the time is
// over and the daemon, though heard, has answered no request.
func (r *course) suspect(ctx context.Context) {
	c, now := r.client, r.client.now()
	e := r.tried[len(r.tried)-1]
	switch {
	case e.isSilent(r.since) && r.probed, e.isStuck(r.started) && now > (r.started+r.deadline)/2:
		e.avoid(now, c.policy.Avoid)
		r.next(ctx, true)
	case e.isSilent(r.since):
		r.probed = true
		c.probe(ctx, e)
	default:
		r.since, r.probed = now, false
	}
}
