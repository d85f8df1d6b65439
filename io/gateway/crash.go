package gateway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
)

// fingerprint returns the fingerprint of a call, or of its part for one shard. It is the same whenever a caller repeats
// the call, and whichever services its route names then; shard is "" for the whole call.
func fingerprint(call *Call, shard string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(shard, call.Method, " ", call.Host, call.Target, "\n", string(call.Body))
}

// quarantined reports whether a call with the fingerprint p, or its part for a shard of the route, is in quarantine.
func (g *Gateway) quarantined(call *Call, p quarantine.Fingerprint, route *catalog.Route) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.Empty() {
		return false
	}
	now := g.options.Now()
	if g.crashes.Quarantined(now, p) {
		return true
	}
	for _, shard := range route.Shards {
		if g.crashes.Quarantined(now, fingerprint(call, shard)) {
			return true
		}
	}

	return false
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
	g.recordVerdict(event.Event{Print: w.Fingerprint.String()}, change)
}

// checkCrash attributes a crash to a call whose connection broke while an upstream ran it, if the upstream no longer
// accepts connections.
func (g *Gateway) checkCrash(call *Call, p quarantine.Prints, u *catalog.Upstream, v quarantine.Attempt) {
	probe := g.probeUpstream(u)
	<-probe.done
	if probe.result == upstreamSilent {
		g.recordUnattributed(call, u, p.Request, "the probe timed out")
	}
	if probe.result != upstreamCrashed {
		return
	}
	g.mu.Lock()
	warning, change := g.crashes.RecordCrash(g.options.Now(), v, p, u)
	g.mu.Unlock()
	e := event.Event{Service: u.Service, Upstream: u.ID, Request: call.ID, Print: p.Request.String()}
	g.recordCrashed(e)
	if change == quarantine.Unchanged {
		return
	}
	if g.options.OnCrash != nil {
		g.options.OnCrash(warning)
	}
	g.recordVerdict(e, change)
}

// probeResult says what a new connection showed of an upstream that broke another one.
type probeResult int

const (
	upstreamAccepts probeResult = iota
	upstreamCrashed
	upstreamSilent
)

// crashProbe is a probe of an upstream that broke connections. All requests that it broke share it.
type crashProbe struct {
	// done is closed once result is set.
	done   chan struct{}
	result probeResult
}

func (p *crashProbe) finished() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// probeUpstream returns a probe of an upstream that has just broken a connection: the one that is going on or has shown
// a crash, or else a new one, which starts once the last one is long enough ago.
func (g *Gateway) probeUpstream(u *catalog.Upstream) *crashProbe {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.probes[u.Key()]; p != nil && (!p.finished() || p.result == upstreamCrashed) {
		return p
	}
	p := &crashProbe{done: make(chan struct{})}
	g.probes[u.Key()] = p
	now := g.options.Now()
	delay := g.crashes.NextProbe(now, u.Key()) - now
	time.AfterFunc(delay.Duration(), func() {
		p.result = g.probeNow(u)
		close(p.done)
	})

	return p
}

// probeNow opens a connection to an upstream. One that is accepted goes to the pool.
func (g *Gateway) probeNow(u *catalog.Upstream) probeResult {
	c, err := g.pool.dial(context.Background(), g.options.Now(), u)
	switch {
	case err == nil:
		g.pool.put(u.Key(), c)

		return upstreamAccepts
	case isTimeout(err):
		return upstreamSilent
	default:
		return upstreamCrashed
	}
}

// pruneProbes forgets the finished probes. The gateway's lock is held.
func (g *Gateway) pruneProbes() {
	for key, p := range g.probes {
		if p.finished() {
			delete(g.probes, key)
		}
	}
}

// recordCrashed records that the upstream of an event crashed while it ran the request.
func (g *Gateway) recordCrashed(e event.Event) {
	e.Kind, e.Reason, e.Detail = event.Upstream, reason.Connection, "crashed while running the request"
	g.options.Record(e)
}

// recordVerdict records whether a crash put the request of an event into quarantine.
func (g *Gateway) recordVerdict(e event.Event, change quarantine.Change) {
	if change != quarantine.Quarantined && change != quarantine.Displaced {
		return
	}
	e.Kind, e.Reason = event.Quarantine, reason.Quarantine
	e.Detail = "second upstream that crashed while running the request"
	g.options.Record(e)
	if change == quarantine.Displaced {
		g.options.Record(event.Event{
			Kind: event.Quarantine, Reason: reason.Size, Detail: "too many requests in quarantine: one left before its time",
		})
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
