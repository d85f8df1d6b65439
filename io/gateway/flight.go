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

// flight is one call while it is served. The gateway's lock guards it until done is closed.
type flight struct {
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
func (f *flight) start(view *catalog.View) {
	g := f.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Now()
	// A caller that comes again has less time left than the route allows.
	spent := min(max(0, f.route.Timeout-f.call.Left), f.route.Objective)
	query, actions := g.desk.Begin(now, view, f.route, gather.Request{
		ID: f.call.ID, Arrived: f.call.Arrived, Began: f.call.Arrived - spent - f.call.Way,
		Deadline: f.call.Arrived + f.call.Left,
	})
	f.query = query
	f.carryOut(now, actions)
}

// carryOut does what the query wants done and sets the timer.
func (f *flight) carryOut(now clock.Milli, actions []gather.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case gather.Send:
			f.replies = append(f.replies, nil)
			f.conns = append(f.conns, nil)
			f.noteSend(a)
			go f.send(a.Number, a.Upstream, a.Deadline)
		case gather.Cancel:
			if c := f.conns[a.Number]; c != nil {
				_ = c.SetDeadline(time.Unix(1, 0))
			}
		case gather.Finish:
			f.finish(now, &a.Outcome)
		}
	}
	f.arm(now)
}

func (f *flight) arm(now clock.Milli) {
	if f.query.Done() {
		return
	}
	next := f.query.Next()
	if f.timer != nil && f.armed == next {
		return
	}
	f.armed = next
	wait := max(0, next-now).Duration()
	if f.timer == nil {
		f.timer = time.AfterFunc(wait, f.due)

		return
	}
	f.timer.Reset(wait)
}

func (f *flight) due() {
	g := f.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.query.Done() {
		return
	}
	now := g.ports.Now()
	f.armed = 0
	f.carryOut(now, f.query.Due(now))
}

// send runs one leg.
func (f *flight) send(number int, u *catalog.Upstream, deadline clock.Milli) {
	reply, result := f.exchange(number, u, deadline)
	g := f.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	f.replies[number], f.conns[number] = reply, nil
	now := g.ports.Now()
	if reply != nil && reply.Cold > 0 {
		g.fleet.Chill(now, now+reply.Cold, u)
	}
	f.carryOut(now, f.query.Answered(now, number, result))
}

// exchange sends the call to an upstream and says how that ended.
func (f *flight) exchange(number int, u *catalog.Upstream, deadline clock.Milli) (*Reply, gather.Result) {
	g := f.gateway
	c, err := f.connect(number, u, deadline)
	if err != nil {
		return nil, gather.Result{Run: reason.No, Reason: reason.Connection}
	}
	if !f.use(number, c) {
		g.pool.put(u.Key(), c)

		return nil, gather.Result{Run: reason.No, Reason: reason.Cancelled}
	}
	reply, keep, sent, err := c.exchange(g.ports.Now, &g.ports.Codec, f.call, u, deadline)
	if keep {
		g.pool.put(u.Key(), c)
	} else {
		_ = c.Close()
	}
	if err != nil {
		return nil, f.broken(u, sent, err)
	}

	return reply, f.judge(u, reply)
}

func (f *flight) connect(number int, u *catalog.Upstream, deadline clock.Milli) (*conn, error) {
	g := f.gateway
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
			Request: f.call.ID, Detail: fmt.Sprintf("leg %d: %v", number, err),
		})
	}

	return c, err
}

// use notes the connection of a leg, so that it can be cancelled. It reports false when the caller
// has left already.
func (f *flight) use(number int, c *conn) bool {
	g := f.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	f.conns[number] = c

	return !f.left
}

// broken says what is known of a leg that brought no answer.
func (f *flight) broken(u *catalog.Upstream, sent bool, err error) gather.Result {
	run := reason.Unknown
	if !sent {
		run = reason.No
	}
	f.gateway.ports.Record(event.Event{
		Kind: event.Connection, Reason: reason.Failed, Service: u.Service, Upstream: u.ID, Request: f.call.ID,
		Detail: err.Error(),
	})

	return gather.Result{Run: run, Reason: reason.Failed, Sent: sent}
}

// judge says what an answer is worth.
func (f *flight) judge(u *catalog.Upstream, reply *Reply) gather.Result {
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
		f.gateway.ports.Record(event.Event{
			Kind: event.Upstream, Reason: result.Reason, Service: u.Service, Upstream: u.ID, Request: f.call.ID,
			Detail: fmt.Sprintf("status %d, run %s", reply.Status, result.Run),
		})
	}

	return result
}

// finish builds the answer.
func (f *flight) finish(now clock.Milli, outcome *gather.Outcome) {
	defer close(f.done)
	if outcome.Refusal != nil {
		f.answer = Answer{Refusal: outcome.Refusal, Retry: outcome.Retry}
		f.note(now, event.Refusal, outcome.Refusal.Reason, "run "+string(outcome.Refusal.Run))

		return
	}
	if !f.route.Gathers() {
		f.answer = Answer{Reply: f.replies[outcome.Legs[0]]}

		return
	}
	parts := make([][]byte, 0, len(outcome.Legs))
	stamps := make([]string, 0, len(outcome.Legs))
	for _, number := range outcome.Legs {
		parts = append(parts, f.replies[number].Body)
		stamps = append(stamps, f.replies[number].Stamp)
	}
	f.answer = Answer{Stamps: stamps, Missing: len(outcome.Missing), Body: gather.Top(parts, f.route.Top)}
	if len(outcome.Missing) > 0 {
		f.note(now, event.Partial, reason.Coverage, "without "+strings.Join(outcome.Missing, " "))
	}
}

// note records how the call ended, with what that was decided on: the configuration and how long ago
// the store confirmed it.
func (f *flight) note(now clock.Milli, kind event.Kind, word reason.Word, detail string) {
	ports := &f.gateway.ports
	ports.Record(event.Event{
		Kind: kind, Reason: word, Service: f.route.Name, Request: f.call.ID, Revision: uint64(f.config.Revision),
		Detail: fmt.Sprintf("%s, after %.0f ms of %.0f, %d legs, configuration %d, store heard %.0f ms ago",
			detail, now-f.call.Arrived, f.call.Left, len(f.replies), f.config.Version, now-ports.Heard()),
	})
}

func (f *flight) noteSend(a *gather.Action) {
	if a.Extra == "" {
		return
	}
	kind := event.Retry
	if a.Extra == reason.Slow {
		kind = event.Hedge
	}
	f.gateway.ports.Record(event.Event{
		Kind: kind, Reason: a.Extra, Service: a.Service.Name, Upstream: a.Upstream.ID, Request: f.call.ID,
	})
}

// stop ends the timer.
func (f *flight) stop() {
	f.gateway.mu.Lock()
	defer f.gateway.mu.Unlock()
	if f.timer != nil {
		f.timer.Stop()
	}
}

// abandon ends the query because the caller left.
func (f *flight) abandon() {
	g := f.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	f.left = true
	now := g.ports.Now()
	if !f.query.Done() {
		f.note(now, event.Refusal, reason.Cancelled, "the caller left")
	}
	f.carryOut(now, f.query.Abandon(now))
	if f.timer != nil {
		f.timer.Stop()
	}
}
