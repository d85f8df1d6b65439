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

// pendingRequest is the state of a call that is being served. The gateway's lock guards it until done is closed.
type pendingRequest struct {
	*sender
	route  *catalog.Route
	config *catalog.Config
	query  *gather.Query
	timer  *time.Timer
	// timerAt is when the timer fires next.
	timerAt clock.Milli
	// replies are the responses to the legs, by their number.
	replies []*UpstreamResponse
	// cancels abort the groups of legs that other daemons send.
	cancels []func()
	answer  Response
	done    chan struct{}
	// released is set once no body of a response is used any more.
	released bool
}

// start begins the query and sends its first legs.
func (p *pendingRequest) start(view *catalog.View) {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	// A caller that retries has less time left than the route allows.
	spent := min(max(0, p.route.Timeout-p.call.Timeout), p.route.Objective)
	query, actions := g.coordinator.Begin(now, view, p.route, gather.Request{
		ID: p.call.ID, Arrived: p.call.Arrived, FirstSent: p.call.Arrived - spent - p.call.NetworkDelay,
		Deadline: p.call.Arrived + p.call.Timeout, StopAt: g.stopAt, Quarantined: p.inQuarantine, View: g.options.View,
	})
	p.query = query
	g.pending[p] = struct{}{}
	p.perform(now, actions)
}

// inQuarantine reports whether the call has been put into quarantine since it was accepted. The gateway's lock is held.
func (p *pendingRequest) inQuarantine() bool {
	return p.gateway.crashes.Quarantined(p.gateway.options.Now(), p.fingerprint)
}

// growTo extends replies and conns so that they have an element for the leg with the given number.
func (p *pendingRequest) growTo(number int) {
	for len(p.replies) <= number {
		p.replies = append(p.replies, nil)
		p.conns = append(p.conns, nil)
	}
}

// perform carries out actions of the query and resets the timer. The gateway's lock is held.
func (p *pendingRequest) perform(now clock.Milli, actions []gather.Action) {
	for i := range actions {
		if a := &actions[i]; a.Kind == gather.Send {
			p.growTo(a.Number)
			p.recordExtraSend(a)
		}
	}
	actions = p.relayLegs(actions)
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case gather.Send:
			go p.sendLeg(a.Number, a.Upstream, a.Deadline)
		case gather.Cancel:
			p.cancelLeg(a.Number)
		case gather.Finish:
			p.finish(now, &a.Outcome)
		}
	}
	p.resetTimer(now)
}

func (p *pendingRequest) resetTimer(now clock.Milli) {
	if p.query.Done() {
		return
	}
	next := p.query.NextTimeout()
	if p.timer != nil && p.timerAt == next {
		return
	}
	p.timerAt = next
	wait := max(0, next-now).Duration()
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, p.onTimer)

		return
	}
	p.timer.Reset(wait)
}

func (p *pendingRequest) onTimer() {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.query.Done() {
		return
	}
	now := g.options.Now()
	p.timerAt = 0
	p.perform(now, p.query.HandleTimeout(now))
}

// sendLeg sends one leg and passes its result to the query.
func (p *pendingRequest) sendLeg(number int, u *catalog.Upstream, deadline clock.Milli) {
	reply, result := p.exchange(number, u, deadline)
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	p.replies[number] = reply
	if p.released {
		p.releaseReply(reply)
	}
	now := g.options.Now()
	if reply != nil && reply.Warmup > 0 {
		g.balancer.ExtendWarmup(now, now+reply.Warmup, u)
	}
	p.perform(now, p.query.HandleResult(now, number, result))
}

// release returns the memory of all bodies, also of those that are still to come.
func (p *pendingRequest) release() {
	p.gateway.mu.Lock()
	defer p.gateway.mu.Unlock()
	p.released = true
	for _, reply := range p.replies {
		p.releaseReply(reply)
	}
}

func (p *pendingRequest) releaseReply(reply *UpstreamResponse) {
	if reply == nil {
		return
	}
	p.gateway.memory.Release(reply.held)
	reply.held = 0
}

// finish sets the answer from the outcome of the query, records the outcome, and closes done.
func (p *pendingRequest) finish(now clock.Milli, outcome *gather.Outcome) {
	defer close(p.done)
	delete(p.gateway.pending, p)
	p.gateway.options.Observe(p.route.Name, now-p.call.Arrived, outcome.Refusal == nil)
	if outcome.Refusal != nil {
		p.answer = Response{Refusal: outcome.Refusal, RetryAfter: outcome.RetryAfter}
		detail := "run " + string(outcome.Refusal.Run)
		if outcome.Refusal.Detail != "" {
			detail = outcome.Refusal.Detail + ", " + detail
		}
		if len(outcome.Missing) > 0 {
			detail = missingDetail(outcome.Missing) + ", " + detail
		}
		p.recordOutcome(now, event.Refusal, outcome.Refusal.Reason, detail)

		return
	}
	if !p.route.Gathers() {
		p.answer = Response{Forwarded: p.replies[outcome.Legs[0]]}
		p.recordOutcome(now, event.Answer, "", fmt.Sprintf("status %d", p.answer.Forwarded.Status))

		return
	}
	parts := make([][]byte, 0, len(outcome.Legs))
	stamps := make([]string, 0, len(outcome.Legs))
	for _, number := range outcome.Legs {
		parts = append(parts, p.replies[number].Body)
		stamps = append(stamps, p.replies[number].Stamp)
	}
	p.answer = Response{Stamps: stamps, Missing: len(outcome.Missing), Body: gather.TopRecords(parts, p.route.Top)}
	if len(outcome.Missing) > 0 {
		p.recordOutcome(now, event.Partial, reason.Coverage, missingDetail(outcome.Missing)+unaskedDetail(outcome.Skipped))

		return
	}
	p.recordOutcome(now, event.Answer, "", "whole")
}

// missingNamesLimit is the largest number of missing services that an event names.
const missingNamesLimit = 8

// missingDetail returns the part of an event's detail that names the missing services.
func missingDetail(services []string) string {
	more := ""
	if extra := len(services) - missingNamesLimit; extra > 0 {
		services, more = services[:missingNamesLimit], fmt.Sprintf(" and %d more", extra)
	}

	return "without " + strings.Join(services, " ") + more
}

// unaskedDetail returns the part of an event's detail that says how many of the missing services were not
// sent the request.
func unaskedDetail(n int) string {
	if n == 0 {
		return ""
	}

	return fmt.Sprintf(" (%d not asked, expected to be too slow)", n)
}

// recordOutcome records how the call ended, with the configuration that the decision is based on and the time
// since the store last confirmed it.
func (p *pendingRequest) recordOutcome(now clock.Milli, kind event.Kind, word reason.Code, detail string) {
	options := &p.gateway.options
	options.Record(event.Event{
		Kind: kind, Reason: word, Service: p.route.Name, Request: p.call.ID, Revision: uint64(p.config.Revision),
		Detail: fmt.Sprintf("%s, after %.0f ms of %.0f, %d legs, configuration %d, last store response %.0f ms ago",
			detail, now-p.call.Arrived, p.call.Timeout, len(p.replies), p.config.Version, now-options.StoreContact()),
	})
}

func (p *pendingRequest) recordExtraSend(a *gather.Action) {
	if a.RetryReason == "" {
		return
	}
	kind := event.Retry
	if a.RetryReason == reason.Slow {
		kind = event.Hedge
	}
	p.gateway.options.Record(event.Event{
		Kind: kind, Reason: a.RetryReason, Service: a.Service.Name, Upstream: a.Upstream.ID, Request: p.call.ID,
	})
}

func (p *pendingRequest) stopTimer() {
	p.gateway.mu.Lock()
	defer p.gateway.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
	}
}

// abandon ends the query because the caller left.
func (p *pendingRequest) abandon() {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	p.abandoned = true
	delete(g.pending, p)
	for _, cancel := range p.cancels {
		cancel()
	}
	now := g.options.Now()
	if !p.query.Done() {
		p.recordOutcome(now, event.Refusal, reason.Cancelled, "the caller left")
	}
	p.perform(now, p.query.Abandon(now))
	if p.timer != nil {
		p.timer.Stop()
	}
}
