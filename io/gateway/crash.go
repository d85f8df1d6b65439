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

// fingerprint returns the fingerprint of a call to a service. It is the same whenever a caller repeats the call.
func fingerprint(call *Call, service string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(service, call.Method+" "+call.Host+call.Target+"\n"+string(call.Body))
}

// quarantinedService returns the service of a route whose upstreams the call crashes, so that it must not be
// sent there, or "" if there is none.
func (g *Gateway) quarantinedService(call *Call, route *catalog.Route) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.Empty() {
		return ""
	}
	now := g.options.Now()
	for _, service := range route.Services() {
		if g.crashes.Quarantined(now, fingerprint(call, service)) {
			return service
		}
	}

	return ""
}

// clearCrash removes the suspicion of an earlier crash from a call because an upstream has responded to it.
func (g *Gateway) clearCrash(call *Call, service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.Empty() {
		return
	}
	p := fingerprint(call, service)
	if g.crashes.Suspected(g.options.Now(), p) {
		g.options.Record(event.Event{
			Kind: event.Quarantine, Service: service, Request: call.ID, Print: p.String(),
			Detail: "answered: no longer a suspect",
		})
	}
	g.crashes.RecordSuccess(p)
}

// Quarantine puts a request that another daemon has found to crash upstreams into quarantine, in which the
// gateway refuses it.
func (g *Gateway) Quarantine(p quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.Record(event.Event{Kind: event.Quarantine, Print: p.String(), Detail: "learned from another daemon"})
	g.crashes.Quarantine(g.options.Now(), p)
}

// checkCrash checks whether an upstream whose connection broke while it ran a call still accepts connections.
// If it does, the new connection goes to the pool; if not, the call is recorded as a suspect for the crash.
func (g *Gateway) checkCrash(call *Call, u *catalog.Upstream, v quarantine.Attempt) {
	g.mu.Lock()
	due := g.crashes.ShouldProbe(g.options.Now(), u.Key())
	g.mu.Unlock()
	p := fingerprint(call, u.Service)
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
	quarantined := g.crashes.RecordCrash(g.options.Now(), v, p, u.Key())
	g.mu.Unlock()
	g.options.Record(event.Event{
		Kind: event.Upstream, Reason: reason.Connection, Service: u.Service, Upstream: u.ID, Request: call.ID,
		Print: p.String(), Detail: "crashed while running the request",
	})
	if !quarantined {
		return
	}
	g.options.Record(event.Event{
		Kind: event.Quarantine, Reason: reason.Quarantine, Service: u.Service, Upstream: u.ID, Request: call.ID,
		Print: p.String(), Detail: "second upstream that crashed while running the request",
	})
	if g.options.OnQuarantine != nil {
		g.options.OnQuarantine(p)
	}
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
