package gateway

import (
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
	*sender
	route  *catalog.Route
	config *catalog.Config
	query  *gather.Query
	timer  *time.Timer
	// armed is when the timer fires.
	armed   clock.Milli
	replies []*Reply
	// cancels give up on the legs that other daemons send.
	cancels []func()
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

// reserve makes room for a leg.
func (p *pending) reserve(number int) {
	for len(p.replies) <= number {
		p.replies = append(p.replies, nil)
		p.conns = append(p.conns, nil)
	}
}

// carryOut does what the query wants done and sets the timer.
func (p *pending) carryOut(now clock.Milli, actions []gather.Action) {
	for i := range actions {
		if a := &actions[i]; a.Kind == gather.Send {
			p.reserve(a.Number)
			p.noteSend(a)
		}
	}
	actions = p.handOver(actions)
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case gather.Send:
			go p.send(a.Number, a.Upstream, a.Deadline)
		case gather.Cancel:
			p.cancel(a.Number)
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
	p.replies[number] = reply
	now := g.ports.Now()
	if reply != nil && reply.Cold > 0 {
		g.fleet.Chill(now, now+reply.Cold, u)
	}
	p.carryOut(now, p.query.Answered(now, number, result))
}

// finish builds the answer.
func (p *pending) finish(now clock.Milli, outcome *gather.Outcome) {
	defer close(p.done)
	p.gateway.ports.Observe(p.route.Name, now-p.call.Arrived, outcome.Refusal == nil)
	if outcome.Refusal != nil {
		p.answer = Answer{Refusal: outcome.Refusal, Retry: outcome.Retry}
		detail := "run " + string(outcome.Refusal.Run)
		if outcome.Refusal.Detail != "" {
			detail = outcome.Refusal.Detail + ", " + detail
		}
		if len(outcome.Missing) > 0 {
			detail = without(outcome.Missing) + ", " + detail
		}
		p.note(now, event.Refusal, outcome.Refusal.Reason, detail)

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
		p.note(now, event.Partial, reason.Coverage, without(outcome.Missing)+unasked(outcome.Unasked))

		return
	}
	p.note(now, event.Answer, "", "whole")
}

// namesLimit is how many services a line names at most.
const namesLimit = 8

// without names services for a line of the log.
func without(services []string) string {
	more := ""
	if extra := len(services) - namesLimit; extra > 0 {
		services, more = services[:namesLimit], fmt.Sprintf(" and %d more", extra)
	}

	return "without " + strings.Join(services, " ") + more
}

// unasked says how many of the missing services were not asked.
func unasked(n int) string {
	if n == 0 {
		return ""
	}

	return fmt.Sprintf(" (%d not asked, as too slow)", n)
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
	p.abandoned = true
	for _, cancel := range p.cancels {
		cancel()
	}
	now := g.ports.Now()
	if !p.query.Done() {
		p.note(now, event.Refusal, reason.Cancelled, "the caller left")
	}
	p.carryOut(now, p.query.Abandon(now))
	if p.timer != nil {
		p.timer.Stop()
	}
}
