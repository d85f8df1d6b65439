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

// sender sends one call to upstreams and can cancel the exchanges. The gateway's lock guards conns and
// abandoned.
type sender struct {
	gateway *Gateway
	call    *Call
	// fingerprint is the fingerprint of the call.
	fingerprint quarantine.Fingerprint
	// top is how many records the answer takes of each response, or 0 for a request to one upstream, whose
	// response is forwarded.
	top int
	// conns are the connections of the running legs, by their number. Other elements are nil.
	conns []*conn
	// abandoned is set once no one waits for responses any more.
	abandoned bool
}

func newSender(g *Gateway, call *Call, top int) *sender {
	return &sender{gateway: g, call: call, fingerprint: fingerprint(call, ""), top: top}
}

// cancelLeg aborts a running leg by a deadline in the past. The gateway's lock is held.
func (s *sender) cancelLeg(number int) {
	if c := s.conns[number]; c != nil {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
}

// exchange sends the call to an upstream and returns the reply, if any, and the result of the leg.
func (s *sender) exchange(number int, u *catalog.Upstream, deadline clock.Milli) (*UpstreamResponse, gather.Result) {
	g := s.gateway
	c, err := s.connect(number, u, deadline)
	if err != nil {
		return nil, gather.Result{Run: reason.NotExecuted, Reason: reason.Connection}
	}
	if !s.attach(number, c) {
		g.pool.put(u.Key(), c)

		return nil, gather.Result{Run: reason.NotExecuted, Reason: reason.Cancelled}
	}
	sentAt := g.options.Now()
	reply, keep, sent, err := c.exchange(g.options.Now, &g.options.Codec, s.call, u, deadline, s.bodyLimit())
	s.detach(number)
	s.recordDropped(u, c)
	if err != nil {
		_ = c.Close()

		return nil, s.handleError(u, c, sentAt, sent, err)
	}

	if s.top > 0 {
		g.memory.reduce(reply, s.top)
	}
	result := s.handleResponse(u, c, reply)
	if keep {
		g.pool.put(u.Key(), c)
	} else {
		_ = c.Close()
	}
	if result.OK {
		g.mu.Lock()
		s.recordAnswered(u.Service)
		g.mu.Unlock()
	}

	return reply, result
}

// prints returns the fingerprints of what is sent to a service.
func (s *sender) prints(service string) quarantine.Prints {
	p := quarantine.Prints{Request: s.fingerprint}
	if s.top > 0 {
		p.Part = fingerprint(s.call, service)
	}

	return p
}

// recordAnswered records that an upstream of a service has answered the call, which shows that the call does not crash
// each upstream that runs it. The gateway's lock is held.
func (s *sender) recordAnswered(service string) {
	g := s.gateway
	p := quarantine.Prints{Request: s.fingerprint}
	if !g.crashes.Empty() {
		p = s.prints(service)
	}
	if g.crashes.RecordSuccess(g.options.Now(), p) {
		g.options.Record(event.Event{
			Kind: event.Quarantine, Service: service, Request: s.call.ID, Print: p.Request.String(),
			Detail: "answered: no longer a suspect",
		})
	}
}

// bodyLimit returns how many bytes the body of a response may have.
func (s *sender) bodyLimit() int {
	if s.top > 0 {
		return partLimit
	}

	return responseLimit
}

func (s *sender) connect(number int, u *catalog.Upstream, deadline clock.Milli) (*conn, error) {
	g := s.gateway
	now := g.options.Now()
	if c := g.pool.take(now, u.Key(), s.call.ID); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), (deadline - now).Duration())
	defer cancel()
	c, err := g.pool.dial(ctx, now, u)
	if err != nil {
		g.options.Record(event.Event{
			Kind: event.Connection, Reason: reason.Connection, Service: u.Service, Upstream: u.ID,
			Request: s.call.ID, Detail: fmt.Sprintf("leg %d: %v", number, err),
		})
	}

	return c, err
}

// attach sets the connection of a leg, so that the leg can be cancelled. It reports false if the caller has
// already left.
func (s *sender) attach(number int, c *conn) bool {
	g := s.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.abandoned {
		return false
	}
	s.conns[number] = c

	return true
}

// detach clears the connection of a leg, as other requests may use the connection from now on.
func (s *sender) detach(number int) {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.conns[number] = nil
}

func (s *sender) isAbandoned() bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()

	return s.abandoned
}

// handleError returns the result of a leg that failed with err on c, where sent reports whether bytes of the request
// may have been sent. It records the failure and, if the upstream may have crashed, starts a check.
func (s *sender) handleError(
	u *catalog.Upstream, c *conn, sentAt clock.Milli, sent bool, err error,
) gather.Result {
	run := reason.ExecutionUnknown
	if !sent {
		run = reason.NotExecuted
	}
	if s.isAbandoned() && isTimeout(err) {
		// The leg was cancelled by a deadline in the past.
		return gather.Result{Run: run, Reason: reason.Cancelled, Sent: sent}
	}
	word := reason.Failed
	if isTooLarge(err) {
		word = reason.Size
	}
	s.gateway.options.Record(event.Event{
		Kind: event.Connection, Reason: word, Service: u.Service, Upstream: u.ID, Request: s.call.ID,
		Detail: fmt.Sprintf("%v, %v", err, c),
	})
	if sent && word == reason.Failed && !isTimeout(err) {
		attempt := quarantine.Attempt{Sent: sentAt, Broken: s.gateway.options.Now()}
		go s.gateway.checkCrash(s.call, s.prints(u.Service), u, attempt)
	}

	return gather.Result{Run: run, Reason: word, Sent: sent}
}

// recordDropped records that responses to other requests came on the connection of a leg.
func (s *sender) recordDropped(u *catalog.Upstream, c *conn) {
	if c.dropped == 0 {
		return
	}
	s.gateway.options.Record(event.Event{
		Kind: event.Connection, Reason: reason.Mismatch, Service: u.Service, Upstream: u.ID, Request: s.call.ID,
		Detail: fmt.Sprintf("dropped %d responses to other requests, %v", c.dropped, c),
	})
}

// handleResponse returns the result of a leg that got a response on c, and records one that is not good.
func (s *sender) handleResponse(u *catalog.Upstream, c *conn, reply *UpstreamResponse) gather.Result {
	result := gather.Result{
		Sent: true, Run: reason.Executed, Load: reply.Load, Limit: reply.Limit, Leaving: reply.Leaving, Pause: reply.Pause,
		Reason: reason.Failed,
	}
	switch {
	case reply.NotRun && reply.Misdirected:
		// Another process answered.
		result.Run, result.Reason, result.Limit = reason.NotExecuted, reason.Incarnation, nil
		result.Leaving, result.Pause = false, 0
	case reply.NotRun:
		result.Run, result.Reason = reason.NotExecuted, reason.Overload
	case reply.Stamp == "":
		result.Reason = reason.Mismatch
	case reply.Status >= 200 && reply.Status < 300:
		result.OK, result.Reason = true, ""
	default:
		result.Forwardable = !reply.ImpliesNotRun
	}
	if !result.OK {
		s.gateway.options.Record(event.Event{
			Kind: event.Upstream, Reason: result.Reason, Service: u.Service, Upstream: u.ID, Request: s.call.ID,
			Detail: fmt.Sprintf("status %d, run %s, %v", reply.Status, result.Run, c),
		})
	}

	return result
}
