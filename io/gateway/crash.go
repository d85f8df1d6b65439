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

// printOf returns the fingerprint of a call to a service, the same each time a caller sends it.
func printOf(call *Call, service string) quarantine.Print {
	return quarantine.Of(service, call.Method+" "+call.Host+call.Target+"\n"+string(call.Body))
}

// quarantined returns the service of a route that the call is not sent to because it crashes upstreams,
// or nothing.
func (g *Gateway) quarantined(call *Call, route *catalog.Route) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.Empty() {
		return ""
	}
	now := g.ports.Now()
	for _, service := range route.Services() {
		if g.crashes.Held(now, printOf(call, service)) {
			return service
		}
	}

	return ""
}

// passed clears a call of an earlier crash, as an upstream answered it.
func (g *Gateway) passed(call *Call, service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.crashes.Empty() {
		g.crashes.Passed(printOf(call, service))
	}
}

// Quarantine refuses a request for a while that another daemon found to crash upstreams.
func (g *Gateway) Quarantine(p quarantine.Print) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Hold(g.ports.Now(), p)
}

// examine looks whether an upstream is still there that broke a connection while it ran a call. If not, the
// crash is tied to the call; else the connection is kept for the next request.
func (g *Gateway) examine(call *Call, u *catalog.Upstream, v quarantine.Visit) {
	g.mu.Lock()
	due := g.crashes.Due(g.ports.Now(), u.Key())
	g.mu.Unlock()
	if !due {
		return
	}
	c, err := g.pool.dial(context.Background(), g.ports.Now(), u)
	if err == nil {
		g.pool.put(u.Key(), c)

		return
	}
	if isTimeout(err) {
		return
	}
	p := printOf(call, u.Service)
	g.mu.Lock()
	held := g.crashes.Tie(g.ports.Now(), v, p, u.Key())
	g.mu.Unlock()
	g.ports.Record(event.Event{
		Kind: event.Upstream, Reason: reason.Connection, Service: u.Service, Upstream: u.ID, Request: call.ID,
		Detail: "gone while it ran the request",
	})
	if !held {
		return
	}
	g.ports.Record(event.Event{
		Kind: event.Quarantine, Reason: reason.Quarantine, Service: u.Service, Upstream: u.ID, Request: call.ID,
		Detail: "the second upstream that is gone after it ran the request",
	})
	if g.ports.Quarantined != nil {
		g.ports.Quarantined(p)
	}
}

// isTimeout reports whether an error is a timeout, which does not tell that the other side has ended.
func isTimeout(err error) bool {
	var timeout net.Error

	return errors.As(err, &timeout) && timeout.Timeout()
}
