package gateway

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
)

// fingerprint returns the fingerprint of a call, or of its part for one shard. It is the same whenever a caller repeats
// the call, and whichever service its route names then; shard is "" unless the route gathers.
func fingerprint(call *Call, shard string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(shard, call.Method, " ", call.Host, call.Target, "\n", string(call.Body))
}

// quarantined reports whether a call, or its part for a shard of the route, is in quarantine.
func (g *Gateway) quarantined(call *Call, route *catalog.Route) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.Empty() {
		return false
	}
	now := g.options.Now()
	if !route.Gathers() {
		return g.crashes.Quarantined(now, fingerprint(call, ""))
	}
	for _, shard := range route.Shards {
		if g.crashes.Quarantined(now, fingerprint(call, shard)) {
			return true
		}
	}

	return false
}

// recordAnswered records that an upstream has answered a call, which shows that the call does not crash upstreams.
func (g *Gateway) recordAnswered(call *Call, service string, p quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.RecordSuccess(g.options.Now(), p) {
		g.options.Record(event.Event{
			Kind: event.Quarantine, Service: service, Request: call.ID, Print: p.String(),
			Detail: "answered: no longer a suspect",
		})
	}
}

// MergeWarning merges what another daemon knows of a request that crashes upstreams.
func (g *Gateway) MergeWarning(w quarantine.Warning) {
	g.mu.Lock()
	change := g.crashes.Merge(g.options.Now(), w)
	g.mu.Unlock()
	if change == quarantine.Unchanged {
		return
	}
	g.options.Record(event.Event{
		Kind: event.Quarantine, Print: w.Fingerprint.String(), Detail: "crash seen by another daemon",
	})
	if change == quarantine.Quarantined {
		g.recordQuarantined(event.Event{Print: w.Fingerprint.String()})
	}
}

// checkCrash checks whether an upstream whose connection broke while it ran a call still accepts connections.
// If it does, the new connection goes to the pool; if not, the call is recorded as a suspect for the crash.
func (g *Gateway) checkCrash(call *Call, p quarantine.Fingerprint, u *catalog.Upstream, v quarantine.Attempt) {
	g.mu.Lock()
	due := g.crashes.ShouldProbe(g.options.Now(), u.Key())
	g.mu.Unlock()
	if !due {
		g.recordUnattributed(call, u, p, "another request probed the upstream")

		return
	}
	c, err := g.pool.dial(context.Background(), g.options.Now(), u)
	if err == nil {
		g.pool.put(u.Key(), c)

		return
	}
	if isTimeout(err) {
		g.recordUnattributed(call, u, p, "the probe timed out")

		return
	}
	g.mu.Lock()
	warning, change := g.crashes.RecordCrash(g.options.Now(), v, p, u.Key())
	g.mu.Unlock()
	e := event.Event{Service: u.Service, Upstream: u.ID, Request: call.ID, Print: p.String()}
	g.recordCrashed(e)
	if change == quarantine.Unchanged {
		return
	}
	if g.options.OnCrash != nil {
		g.options.OnCrash(warning)
	}
	if change == quarantine.Quarantined {
		g.recordQuarantined(e)
	}
}

// recordCrashed records that the upstream of an event crashed while it ran the request.
func (g *Gateway) recordCrashed(e event.Event) {
	e.Kind, e.Reason, e.Detail = event.Upstream, reason.Connection, "crashed while running the request"
	g.options.Record(e)
}

// recordQuarantined records that the request of an event is in quarantine from now on.
func (g *Gateway) recordQuarantined(e event.Event) {
	e.Kind, e.Reason = event.Quarantine, reason.Quarantine
	e.Detail = "second upstream that crashed while running the request"
	g.options.Record(e)
}

// recordUnattributed records that a connection broke and the request is not suspected, and why.
func (g *Gateway) recordUnattributed(call *Call, u *catalog.Upstream, p quarantine.Fingerprint, why string) {
	g.options.Record(event.Event{
		Kind: event.Upstream, Reason: reason.Connection, Service: u.Service, Upstream: u.ID, Request: call.ID,
		Print: p.String(), Detail: "broke the connection, not attributed to the request: " + why,
	})
}

// isTimeout reports whether an error is a timeout, which does not show that the peer has terminated.
func isTimeout(err error) bool {
	var timeout net.Error

	return errors.As(err, &timeout) && timeout.Timeout()
}
