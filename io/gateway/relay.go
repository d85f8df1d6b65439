package gateway

import (
	"context"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
)

// Part is how a leg ended that another daemon sent.
type Part struct {
	Number int
	Result gather.Result
	Stamp  string
	// Cold is how much longer the upstream stays cold.
	Cold clock.Milli
}

// Delivery is what another daemon returns of a group. Body holds the greatest records of all parts that
// are good, together.
type Delivery struct {
	Parts []Part
	Body  []byte
}

// handOver gives legs to daemons of other zones and returns the actions that are left.
func (p *pending) handOver(actions []gather.Action) []gather.Action {
	if p.gateway.ports.Relay == nil || len(actions) == 0 {
		return actions
	}
	groups, rest := p.query.Groups(actions, p.gateway.ports.Zone)
	for i := range groups {
		cancel, ok := p.gateway.ports.Relay(p.call, &groups[i], p.deliver)
		if !ok {
			rest = append(rest, groups[i].Legs...)

			continue
		}
		p.cancels = append(p.cancels, cancel)
	}

	return rest
}

// deliver takes what came of a group.
func (p *pending) deliver(d Delivery) {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Now()
	parts := make([]gather.Part, 0, len(d.Parts))
	body := d.Body
	for _, part := range d.Parts {
		if part.Cold > 0 {
			g.fleet.Chill(now, now+part.Cold, p.query.Upstream(part.Number))
		}
		if part.Result.Good {
			// The first one holds the records of all.
			p.replies[part.Number] = &Reply{Stamp: part.Stamp, Body: body}
			body = nil
		}
		parts = append(parts, gather.Part{Number: part.Number, Result: part.Result})
	}
	p.carryOut(now, p.query.Merged(now, parts))
}

// RelayLeg is a leg that this daemon sends for another one.
type RelayLeg struct {
	Number int
	// Upstream is what the other daemon knows of it.
	Upstream catalog.Upstream
	// Left is how long the upstream may work on it.
	Left clock.Milli
}

// outcome is how a leg ended, and when.
type outcome struct {
	part Part
	body []byte
	at   clock.Milli
}

// SendLegs sends legs for another daemon until ctx ends. Failures are sent back at once; good answers are
// merged into one that holds the greatest top records of those that come within wait, and later ones are
// sent each alone: an answer that is merged cannot be used without the others in it.
func (g *Gateway) SendLegs(
	ctx context.Context, call *Call, legs []RelayLeg, wait clock.Milli, top int, send func(Delivery),
) {
	s := &sender{gateway: g, call: call, conns: make([]*conn, len(legs))}
	defer context.AfterFunc(ctx, s.cancelAll)()
	outcomes := make(chan outcome, len(legs))
	for i := range legs {
		go func() { outcomes <- g.run(s, i, &legs[i]) }()
	}
	var flush <-chan time.Time
	if wait > 0 {
		flush = time.After(wait.Duration())
	}
	var merged []outcome
	for open := len(legs); open > 0; {
		select {
		case o := <-outcomes:
			open--
			if o.part.Result.Good && flush != nil {
				merged = append(merged, o)
			} else {
				send(Delivery{Parts: []Part{o.part}, Body: o.body})
			}
		case <-flush:
			flush = nil
			if len(merged) == 0 {
				// The other daemon learns that this one is at work.
				send(Delivery{})
			}
		}
		if (open == 0 || flush == nil) && len(merged) > 0 {
			send(g.merge(merged, top))
			merged = nil
		}
	}
}

// merge puts good answers together.
func (g *Gateway) merge(list []outcome, top int) Delivery {
	now := g.ports.Now()
	d := Delivery{Parts: make([]Part, 0, len(list))}
	bodies := make([][]byte, 0, len(list))
	for _, o := range list {
		o.part.Result.Held = now - o.at
		d.Parts = append(d.Parts, o.part)
		bodies = append(bodies, o.body)
	}
	d.Body = gather.Top(bodies, top)

	return d
}

// reachable returns the upstream as this daemon knows it, or as the other one does, or nil if this one
// knows that it takes no new requests.
func (g *Gateway) reachable(u *catalog.Upstream) *catalog.Upstream {
	view := g.ports.View()
	if view == nil || !view.Has(u.Key()) {
		return u
	}

	return view.Find(u.Key())
}

// run sends one leg for another daemon.
func (g *Gateway) run(s *sender, number int, leg *RelayLeg) outcome {
	u := g.reachable(&leg.Upstream)
	if u == nil {
		return outcome{part: Part{Number: leg.Number, Result: gather.Result{Run: reason.No, Reason: reason.Draining}}}
	}
	sent := g.ports.Now()
	deadline := sent + leg.Left
	g.mu.Lock()
	g.fleet.Sent(sent, catalog.Service{}, u)
	g.mu.Unlock()
	reply, result := s.exchange(number, u, deadline)
	o := outcome{part: Part{Number: leg.Number, Result: result}, at: g.ports.Now()}
	if reply != nil {
		o.part.Stamp, o.part.Cold = reply.Stamp, reply.Cold
		if result.Good {
			o.body = reply.Body
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.part.Cold > 0 {
		g.fleet.Chill(o.at, o.at+o.part.Cold, u)
	}
	gather.Report(g.fleet, o.at, sent, deadline, u, result)

	return o
}

// cancelAll breaks all legs off.
func (s *sender) cancelAll() {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.abandoned = true
	for number := range s.conns {
		s.cancel(number)
	}
}
