package gateway

import (
	"context"
	"fmt"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/gather"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
)

// sender sends one call to upstreams, over connections that can be cancelled. The gateway's lock
// guards conns and abandoned.
type sender struct {
	gateway *Gateway
	call    *Call
	// conns are the connections of the legs that run, by their number.
	conns []*conn
	// abandoned is set once nobody waits for answers any more.
	abandoned bool
}

// cancel breaks a leg off. The gateway's lock is held.
func (s *sender) cancel(number int) {
	if c := s.conns[number]; c != nil {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
}

// exchange sends the call to an upstream and says how that ended.
func (s *sender) exchange(number int, u *catalog.Upstream, deadline clock.Milli) (*Reply, gather.Result) {
	g := s.gateway
	c, err := s.connect(number, u, deadline)
	if err != nil {
		return nil, gather.Result{Run: reason.No, Reason: reason.Connection}
	}
	if !s.use(number, c) {
		g.pool.put(u.Key(), c)

		return nil, gather.Result{Run: reason.No, Reason: reason.Cancelled}
	}
	at := g.ports.Now()
	reply, keep, sent, err := c.exchange(g.ports.Now, &g.ports.Codec, s.call, u, deadline)
	s.release(number)
	if keep {
		g.pool.put(u.Key(), c)
	} else {
		_ = c.Close()
	}
	if err != nil {
		return nil, s.broken(u, at, sent, err)
	}

	result := s.judge(u, reply)
	if result.Good {
		g.passed(s.call, u.Service)
	}

	return reply, result
}

func (s *sender) connect(number int, u *catalog.Upstream, deadline clock.Milli) (*conn, error) {
	g := s.gateway
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
			Request: s.call.ID, Detail: fmt.Sprintf("leg %d: %v", number, err),
		})
	}

	return c, err
}

// use notes the connection of a leg, so that it can be cancelled. It reports false when the caller
// has left already.
func (s *sender) use(number int, c *conn) bool {
	g := s.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.abandoned {
		return false
	}
	s.conns[number] = c

	return true
}

// release forgets the connection of a leg, which others may use from then on.
func (s *sender) release(number int) {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.conns[number] = nil
}

// unwanted reports whether nobody waits for answers any more.
func (s *sender) unwanted() bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()

	return s.abandoned
}

// broken says what is known of a leg, begun at an instant, that brought no answer.
func (s *sender) broken(u *catalog.Upstream, at clock.Milli, sent bool, err error) gather.Result {
	run := reason.Unknown
	if !sent {
		run = reason.No
	}
	if s.unwanted() {
		// The connection was closed here.
		return gather.Result{Run: run, Reason: reason.Cancelled, Sent: sent}
	}
	s.gateway.ports.Record(event.Event{
		Kind: event.Connection, Reason: reason.Failed, Service: u.Service, Upstream: u.ID, Request: s.call.ID,
		Detail: err.Error(),
	})
	if sent && !isTimeout(err) {
		go s.gateway.examine(s.call, u, quarantine.Visit{Sent: at, Broken: s.gateway.ports.Now()})
	}

	return gather.Result{Run: run, Reason: reason.Failed, Sent: sent}
}

// judge says what an answer is worth.
func (s *sender) judge(u *catalog.Upstream, reply *Reply) gather.Result {
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
		s.gateway.ports.Record(event.Event{
			Kind: event.Upstream, Reason: result.Reason, Service: u.Service, Upstream: u.ID, Request: s.call.ID,
			Detail: fmt.Sprintf("status %d, run %s", reply.Status, result.Run),
		})
	}

	return result
}
