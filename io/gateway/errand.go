package gateway

import (
	"context"
	"fmt"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
)

// errand sends one call to upstreams, over connections that can be cancelled. The gateway's lock
// guards conns and left.
type errand struct {
	gateway *Gateway
	call    *Call
	// conns are the connections of the legs that run, by their number.
	conns []*conn
	// left is set once nobody waits for answers any more.
	left bool
}

// cancel breaks a leg off. The gateway's lock is held.
func (e *errand) cancel(number int) {
	if c := e.conns[number]; c != nil {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
}

// exchange sends the call to an upstream and says how that ended.
func (e *errand) exchange(number int, u *catalog.Upstream, deadline clock.Milli) (*Reply, gather.Result) {
	g := e.gateway
	c, err := e.connect(number, u, deadline)
	if err != nil {
		return nil, gather.Result{Run: reason.No, Reason: reason.Connection}
	}
	if !e.use(number, c) {
		g.pool.put(u.Key(), c)

		return nil, gather.Result{Run: reason.No, Reason: reason.Cancelled}
	}
	reply, keep, sent, err := c.exchange(g.ports.Now, &g.ports.Codec, e.call, u, deadline)
	if keep {
		g.pool.put(u.Key(), c)
	} else {
		_ = c.Close()
	}
	if err != nil {
		return nil, e.broken(u, sent, err)
	}

	return reply, e.judge(u, reply)
}

func (e *errand) connect(number int, u *catalog.Upstream, deadline clock.Milli) (*conn, error) {
	g := e.gateway
	now := g.ports.Now()
	if c := g.pool.take(now, u.Key()); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), (deadline - now).Duration())
	defer cancel()
	c, err := g.pool.dial(ctx, now, u)
	if err != nil {
		g.ports.Record(event.Event{
			Kind: event.Connection, Reason: reason.Connection, Service: u.Service, Upstream: u.ID,
			Request: e.call.ID, Detail: fmt.Sprintf("leg %d: %v", number, err),
		})
	}

	return c, err
}

// use notes the connection of a leg, so that it can be cancelled. It reports false when the caller
// has left already.
func (e *errand) use(number int, c *conn) bool {
	g := e.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	e.conns[number] = c

	return !e.left
}

// abandoned reports whether the caller has left.
func (e *errand) abandoned() bool {
	e.gateway.mu.Lock()
	defer e.gateway.mu.Unlock()

	return e.left
}

// broken says what is known of a leg that brought no answer.
func (e *errand) broken(u *catalog.Upstream, sent bool, err error) gather.Result {
	run := reason.Unknown
	if !sent {
		run = reason.No
	}
	if e.abandoned() {
		// The connection was closed here.
		return gather.Result{Run: run, Reason: reason.Cancelled, Sent: sent}
	}
	e.gateway.ports.Record(event.Event{
		Kind: event.Connection, Reason: reason.Failed, Service: u.Service, Upstream: u.ID, Request: e.call.ID,
		Detail: err.Error(),
	})

	return gather.Result{Run: run, Reason: reason.Failed, Sent: sent}
}

// judge says what an answer is worth.
func (e *errand) judge(u *catalog.Upstream, reply *Reply) gather.Result {
	result := gather.Result{Sent: true, Run: reason.Yes, Load: reply.Load, Reason: reason.Failed}
	switch {
	case reply.NotRun && reply.Other:
		result.Run, result.Reason = reason.No, reason.Incarnation
	case reply.NotRun:
		result.Run, result.Reason = reason.No, reason.Overload
	case reply.Stamp == "":
		result.Reason = reason.Mismatch
	case reply.Status >= 200 && reply.Status < 300:
		result.Good, result.Reason = true, ""
	default:
		result.Reply = !reply.Promise
	}
	if !result.Good {
		e.gateway.ports.Record(event.Event{
			Kind: event.Upstream, Reason: result.Reason, Service: u.Service, Upstream: u.ID, Request: e.call.ID,
			Detail: fmt.Sprintf("status %d, run %s", reply.Status, result.Run),
		})
	}

	return result
}
