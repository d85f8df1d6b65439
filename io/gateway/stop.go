package gateway

import "jacinthferry/core/clock"

// Stop begins a planned stop, which ends all requests at an instant. Those that wait for an upstream and may outlast
// the stop are refused now, so that their callers can go to another daemon.
func (g *Gateway) Stop(at clock.Milli) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopAt = at
	now := g.options.Now()
	for p := range g.pending {
		p.perform(now, p.query.Stop(now, at))
	}
}
