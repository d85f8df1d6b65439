package gateway

import (
	"context"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
)

// RelayResult is the result of one leg that another daemon sent.
type RelayResult struct {
	Number int
	Result gather.Result
	Stamp  string
	// Warmup is how much longer the upstream needs to warm up.
	Warmup clock.Milli
}

// RelayResponse is a message with results of the legs that another daemon sends for this one. Body holds the
// greatest records of all good parts, merged. A RelayResponse without parts shows that the other daemon is alive.
type RelayResponse struct {
	Results []RelayResult
	Body    []byte
}

// relayLegs hands legs for upstreams in other zones to daemons there, and returns the actions that this
// daemon has to perform itself.
func (p *pendingRequest) relayLegs(actions []gather.Action) []gather.Action {
	if p.gateway.options.Relay == nil || len(actions) == 0 {
		return actions
	}
	groups, rest := p.query.GroupByZone(actions, p.gateway.options.Zone)
	for i := range groups {
		cancel, ok := p.gateway.options.Relay(p.call, &groups[i], p.handleRelayed)
		if !ok {
			rest = append(rest, groups[i].Legs...)

			continue
		}
		p.cancels = append(p.cancels, cancel)
	}

	return rest
}

// handleRelayed passes results from another daemon to the query.
func (p *pendingRequest) handleRelayed(d RelayResponse) {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	parts := make([]gather.LegResult, 0, len(d.Results))
	body := d.Body
	for _, part := range d.Results {
		if part.Warmup > 0 {
			g.balancer.ExtendWarmup(now, now+part.Warmup, p.query.Upstream(part.Number))
		}
		if part.Result.OK {
			// The reply to the first good leg holds the merged records of all.
			p.replies[part.Number] = &UpstreamResponse{Stamp: part.Stamp, Body: body}
			body = nil
			p.recordAnswered(p.query.Upstream(part.Number).Service)
		}
		parts = append(parts, gather.LegResult{Number: part.Number, Result: part.Result})
	}
	p.perform(now, p.query.HandleResults(now, parts))
}

// RelayLeg is a leg that this daemon sends on behalf of another one.
type RelayLeg struct {
	Number int
	// Upstream is the upstream as the other daemon knows it.
	Upstream catalog.Upstream
	// Timeout is how long the upstream may work on the request.
	Timeout clock.Milli
}

// relayedLeg is the result of a leg sent for another daemon, with the response body if it is good, and when
// the leg ended.
type relayedLeg struct {
	leg   RelayResult
	body  []byte
	ended clock.Milli
	// held is how many bytes of the memory for responses the body holds.
	held int
}

// SendLegs sends legs for another daemon and passes their results to send. It returns once all legs have
// ended; when ctx ends, the open ones are cancelled. Failures are passed on at once. Good responses that
// arrive within wait are merged into one that holds their top greatest records. Later ones are passed on
// one by one, since a merged response cannot be used without all of the legs in it.
func (g *Gateway) SendLegs(
	ctx context.Context, call *Call, legs []RelayLeg, wait clock.Milli, top int, send func(RelayResponse),
) {
	s := newSender(g, call, top)
	s.conns = make([]*conn, len(legs))
	defer context.AfterFunc(ctx, s.cancelAll)()
	relayed := make(chan relayedLeg, len(legs))
	for i := range legs {
		go func() { relayed <- g.sendRelayLeg(s, i, &legs[i]) }()
	}
	var flush <-chan time.Time
	if wait > 0 {
		flush = time.After(wait.Duration())
	}
	var merged []relayedLeg
	for open := len(legs); open > 0; {
		select {
		case r := <-relayed:
			open--
			if r.leg.Result.OK && flush != nil {
				merged = append(merged, r)
			} else {
				send(RelayResponse{Results: []RelayResult{r.leg}, Body: r.body})
				g.memory.Release(r.held)
			}
		case <-flush:
			flush = nil
			if len(merged) == 0 {
				// Shows the other daemon that this one is alive.
				send(RelayResponse{})
			}
		}
		if (open == 0 || flush == nil) && len(merged) > 0 {
			send(g.merge(merged, top))
			for i := range merged {
				g.memory.Release(merged[i].held)
			}
			merged = nil
		}
	}
}

// merge combines good responses into one with the top greatest records.
func (g *Gateway) merge(list []relayedLeg, top int) RelayResponse {
	now := g.options.Now()
	d := RelayResponse{Results: make([]RelayResult, 0, len(list))}
	bodies := make([][]byte, 0, len(list))
	for _, r := range list {
		r.leg.Result.MergeDelay = now - r.ended
		d.Results = append(d.Results, r.leg)
		bodies = append(bodies, r.body)
	}
	d.Body = gather.TopRecords(bodies, top)

	return d
}

// resolve returns this daemon's entry for the upstream, or the other daemon's if this one has none. It
// returns nil if this daemon knows that the upstream takes no new requests.
func (g *Gateway) resolve(u *catalog.Upstream) *catalog.Upstream {
	view := g.options.View()
	if view == nil || !view.Registered(u.Key()) {
		return u
	}

	return view.Find(u.Key())
}

// refuseRelayLeg returns why a leg for another daemon is not sent to u, which is nil if that upstream takes no new
// requests, or reports that it may be sent.
func (g *Gateway) refuseRelayLeg(s *sender, u *catalog.Upstream) (gather.Result, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	refused := gather.Result{Run: reason.NotExecuted}
	switch {
	case g.crashes.Quarantined(now, s.fingerprint):
		refused.Reason = reason.Quarantine
	case u == nil:
		refused.Reason = reason.Draining
	case g.balancer.Leaving(u):
		refused.Reason, refused.Leaving = reason.Draining, true
	case g.balancer.PauseLeft(now, u) > 0:
		refused.Reason, refused.Pause = reason.Overload, g.balancer.PauseLeft(now, u)
	default:
		return refused, true
	}

	return refused, false
}

// sendRelayLeg sends one leg for another daemon.
func (g *Gateway) sendRelayLeg(s *sender, number int, leg *RelayLeg) relayedLeg {
	u := g.resolve(&leg.Upstream)
	if refused, ok := g.refuseRelayLeg(s, u); !ok {
		return relayedLeg{leg: RelayResult{Number: leg.Number, Result: refused}}
	}
	sent := g.options.Now()
	deadline := sent + leg.Timeout
	g.mu.Lock()
	g.balancer.SentForOther(sent, u)
	g.mu.Unlock()
	reply, result := s.exchange(number, u, deadline)
	r := relayedLeg{leg: RelayResult{Number: leg.Number, Result: result}, ended: g.options.Now()}
	if reply != nil {
		r.leg.Stamp, r.leg.Warmup = reply.Stamp, reply.Warmup
		if result.OK {
			r.body, r.held = reply.Body, reply.held
		} else {
			g.memory.Release(reply.held)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.leg.Warmup > 0 {
		g.balancer.ExtendWarmup(r.ended, r.ended+r.leg.Warmup, u)
	}
	gather.UpdateBalancer(g.balancer, r.ended, sent, deadline, u, result)

	return r
}

// cancelAll aborts all legs.
func (s *sender) cancelAll() {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.abandoned = true
	for number := range s.conns {
		s.cancelLeg(number)
	}
}
