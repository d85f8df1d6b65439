package gateway

import (
	"context"
	"fmt"
	"strings"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
)

// pending is one call while it is served. The gateway's lock guards it until done is closed.
type pending struct {
	gateway *Gateway
	call    *Call
	route   *catalog.Route
	config  *catalog.Config
	query   *gather.Query
	timer   *time.Timer
	// armed is when the timer fires.
	armed   clock.Milli
	replies []*Reply
	conns   []*conn
	left    bool
	answer  Answer
	done    chan struct{}
}

// start begins the query and sends its first legs.
func (p *pending) start(view *catalog.View) {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Now()
	// A caller that comes again has less time left than the route allows.
	spent := min(max(0, p.route.Timeout-p.call.Left), p.route.Objective)
	query, actions := g.desk.Begin(now, view, p.route, gather.Request{
		ID: p.call.ID, Arrived: p.call.Arrived, Began: p.call.Arrived - spent - p.call.Way,
		Deadline: p.call.Arrived + p.call.Left,
	})
	p.query = query
	p.carryOut(now, actions)
}

// carryOut does what the query wants done and sets the timer.
func (p *pending) carryOut(now clock.Milli, actions []gather.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case gather.Send:
			p.replies = append(p.replies, nil)
			p.conns = append(p.conns, nil)
			p.noteSend(a)
			go p.send(a.Number, a.Upstream, a.Deadline)
		case gather.Cancel:
			if c := p.conns[a.Number]; c != nil {
				_ = c.SetDeadline(time.Unix(1, 0))
			}
		case gather.Finish:
			p.finish(now, &a.Outcome)
		}
	}
	p.arm(now)
}

func (p *pending) arm(now clock.Milli) {
	if p.query.Done() {
		return
	}
	next := p.query.Next()
	if p.timer != nil && p.armed == next {
		return
	}
	p.armed = next
	wait := max(0, next-now).Duration()
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, p.due)

		return
	}
	p.timer.Reset(wait)
}

func (p *pending) due() {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.query.Done() {
		return
	}
	now := g.ports.Now()
	p.armed = 0
	p.carryOut(now, p.query.Due(now))
}

// send runs one leg.
func (p *pending) send(number int, u *catalog.Upstream, deadline clock.Milli) {
	reply, result := p.exchange(number, u, deadline)
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	p.replies[number], p.conns[number] = reply, nil
	now := g.ports.Now()
	if reply != nil && reply.Cold > 0 {
		g.fleet.Chill(now, now+reply.Cold, u)
	}
	p.carryOut(now, p.query.Answered(now, number, result))
}

// exchange sends the call to an upstream and says how that ended.
func (p *pending) exchange(number int, u *catalog.Upstream, deadline clock.Milli) (*Reply, gather.Result) {
	g := p.gateway
	c, err := p.connect(number, u, deadline)
	if err != nil {
		return nil, gather.Result{Run: reason.No, Reason: reason.Connection}
	}
	if !p.use(number, c) {
		g.pool.put(u.Key(), c)

		return nil, gather.Result{Run: reason.No, Reason: reason.Cancelled}
	}
	reply, keep, sent, err := c.exchange(g.ports.Now, &g.ports.Codec, p.call, u, deadline)
	if keep {
		g.pool.put(u.Key(), c)
	} else {
		_ = c.Close()
	}
	if err != nil {
		return nil, p.broken(u, sent, err)
	}

	return reply, p.judge(u, reply)
}

func (p *pending) connect(number int, u *catalog.Upstream, deadline clock.Milli) (*conn, error) {
	g := p.gateway
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
			Request: p.call.ID, Detail: fmt.Sprintf("leg %d: %v", number, err),
		})
	}

	return c, err
}

// use notes the connection of a leg, so that it can be cancelled. It reports false when the caller
// has left already.
func (p *pending) use(number int, c *conn) bool {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	p.conns[number] = c

	return !p.left
}

// abandoned reports whether the caller has left.
func (p *pending) abandoned() bool {
	p.gateway.mu.Lock()
	defer p.gateway.mu.Unlock()

	return p.left
}

// broken says what is known of a leg that brought no answer.
func (p *pending) broken(u *catalog.Upstream, sent bool, err error) gather.Result {
	run := reason.Unknown
	if !sent {
		run = reason.No
	}
	if p.abandoned() {
		// The connection was closed here.
		return gather.Result{Run: run, Reason: reason.Cancelled, Sent: sent}
	}
	p.gateway.ports.Record(event.Event{
		Kind: event.Connection, Reason: reason.Failed, Service: u.Service, Upstream: u.ID, Request: p.call.ID,
		Detail: err.Error(),
	})

	return gather.Result{Run: run, Reason: reason.Failed, Sent: sent}
}

// judge says what an answer is worth.
func (p *pending) judge(u *catalog.Upstream, reply *Reply) gather.Result {
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
		p.gateway.ports.Record(event.Event{
			Kind: event.Upstream, Reason: result.Reason, Service: u.Service, Upstream: u.ID, Request: p.call.ID,
			Detail: fmt.Sprintf("status %d, run %s", reply.Status, result.Run),
		})
	}

	return result
}

// finish builds the answer.
func (p *pending) finish(now clock.Milli, outcome *gather.Outcome) {
	defer close(p.done)
	p.gateway.ports.Observe(p.route.Name, now-p.call.Arrived, outcome.Refusal == nil)
	if outcome.Refusal != nil {
		p.answer = Answer{Refusal: outcome.Refusal, Retry: outcome.Retry}
		p.note(now, event.Refusal, outcome.Refusal.Reason, "run "+string(outcome.Refusal.Run))

		return
	}
	if !p.route.Gathers() {
		p.answer = Answer{Reply: p.replies[outcome.Legs[0]]}
		p.note(now, event.Answer, "", fmt.Sprintf("status %d", p.answer.Reply.Status))

		return
	}
	parts := make([][]byte, 0, len(outcome.Legs))
	stamps := make([]string, 0, len(outcome.Legs))
	for _, number := range outcome.Legs {
		parts = append(parts, p.replies[number].Body)
		stamps = append(stamps, p.replies[number].Stamp)
	}
	p.answer = Answer{Stamps: stamps, Missing: len(outcome.Missing), Body: gather.Top(parts, p.route.Top)}
	if len(outcome.Missing) > 0 {
		p.note(now, event.Partial, reason.Coverage, "without "+strings.Join(outcome.Missing, " "))

		return
	}
	p.note(now, event.Answer, "", "whole")
}

// note records how the call ended, with what that was decided on: the configuration and how long ago
// the store confirmed it.
func (p *pending) note(now clock.Milli, kind event.Kind, word reason.Word, detail string) {
	ports := &p.gateway.ports
	ports.Record(event.Event{
		Kind: kind, Reason: word, Service: p.route.Name, Request: p.call.ID, Revision: uint64(p.config.Revision),
		Detail: fmt.Sprintf("%s, after %.0f ms of %.0f, %d legs, configuration %d, store heard %.0f ms ago",
			detail, now-p.call.Arrived, p.call.Left, len(p.replies), p.config.Version, now-ports.Heard()),
	})
}

func (p *pending) noteSend(a *gather.Action) {
	if a.Extra == "" {
		return
	}
	kind := event.Retry
	if a.Extra == reason.Slow {
		kind = event.Hedge
	}
	p.gateway.ports.Record(event.Event{
		Kind: kind, Reason: a.Extra, Service: a.Service.Name, Upstream: a.Upstream.ID, Request: p.call.ID,
	})
}

// stop ends the timer.
func (p *pending) stop() {
	p.gateway.mu.Lock()
	defer p.gateway.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
	}
}

// abandon ends the query because the caller left.
func (p *pending) abandon() {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	p.left = true
	now := g.ports.Now()
	if !p.query.Done() {
		p.note(now, event.Refusal, reason.Cancelled, "the caller left")
	}
	p.carryOut(now, p.query.Abandon(now))
	if p.timer != nil {
		p.timer.Stop()
	}
}
