package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/gather"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"
	"jacinthferry/io/timer"
)

// pruneEvery is the time between two looks for connections and beliefs that nothing needs.
const pruneEvery = 2 * time.Second

// Ports are what a Gateway needs.
type Ports struct {
	Now     func() clock.Milli
	View    func() *catalog.View
	Daemons func() int
	// Heard returns when the store was heard last.
	Heard  func() clock.Milli
	Codec  Codec
	Record func(event.Event)
	// Observe takes how long a request on a route took, and whether it was answered.
	Observe func(route string, span clock.Milli, answered bool)
	// Relay sends a group of legs by a daemon of its zone, or reports false. What comes back is
	// delivered in the order in which it comes, and every leg has a result once. Cancel gives up on the
	// legs that are still open. Relay may be nil.
	Relay func(call *Call, group *gather.Group, deliver func(Delivery)) (cancel func(), ok bool)
	// Quarantined takes the fingerprint of a request that this daemon found to crash upstreams. It may be
	// nil.
	Quarantined func(quarantine.Print)
	// Zone is the availability zone of this daemon.
	Zone   string
	Policy gather.Policy
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	ports Ports
	pool  *pool

	// mu guards what the requests share: the desk, the fleet, the queries and the crashes.
	mu      sync.Mutex
	fleet   *balance.Fleet
	desk    *gather.Desk
	crashes *quarantine.Crashes
}

// New returns a gateway.
func New(ports Ports) *Gateway {
	fleet := balance.New(balance.Rules{Zone: ports.Zone, Daemons: ports.Daemons, Uniform: rand.Float64})

	return &Gateway{
		ports: ports, pool: newPool(), fleet: fleet, crashes: quarantine.NewCrashes(),
		desk: gather.New(ports.Policy, fleet, ports.Daemons, rand.Float64),
	}
}

// SetPolicy changes the limits of the requests that begin from now on.
func (g *Gateway) SetPolicy(p gather.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.desk.SetPolicy(p)
}

// Counts returns what this daemon has counted for a move, by route.
func (g *Gateway) Counts(service string, m catalog.Move) map[string]rollout.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.desk.Counts(service, m)
}

// Run drops what nothing needs any more until ctx ends.
func (g *Gateway) Run(ctx context.Context) { timer.Every(ctx, pruneEvery, g.prune) }

func (g *Gateway) prune() {
	view := g.ports.View()
	if view == nil || view.Config == nil {
		return
	}
	now := g.ports.Now()
	g.pool.prune(now, view.Has)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.desk.Keep(now, view)
	g.crashes.Keep(now)
}

// Serve answers a call. It returns an answer with neither reply nor refusal when the caller left.
func (g *Gateway) Serve(ctx context.Context, call *Call) Answer {
	view := g.ports.View()
	if view == nil || view.Config == nil {
		return g.refuse(call, reason.Configuration)
	}
	route := view.Config.Match(call.Host, call.Path)
	if route == nil {
		return g.refuse(call, reason.Route)
	}
	if call.Left <= 0 {
		call.Left = route.Timeout
	}
	if service := g.quarantined(call, route); service != "" {
		return g.refuseCrashing(call, route, service)
	}
	p := &pending{sender: &sender{gateway: g, call: call}, route: route, config: view.Config, done: make(chan struct{})}
	p.start(view)
	select {
	case <-p.done:
		p.stop()
	case <-ctx.Done():
		p.abandon()
	}

	return p.answer
}

// unconfigured is the part of its time left after which a caller may come back when this daemon has
// no configuration: the longer the wait, the likelier is an answer.
const unconfigured = 0.3

func (g *Gateway) refuse(call *Call, word reason.Word) Answer {
	g.ports.Record(event.Event{Kind: event.Refusal, Reason: word, Request: call.ID})

	return Answer{Refusal: reason.New(word, reason.No, ""), Retry: unconfigured * call.Left}
}

// refuseCrashing refuses a call that crashes the upstreams of a service.
func (g *Gateway) refuseCrashing(call *Call, route *catalog.Route, service string) Answer {
	g.ports.Record(event.Event{
		Kind: event.Refusal, Reason: reason.Quarantine, Service: route.Name, Request: call.ID,
		Detail: "upstreams of " + service + " crashed that ran it, run no",
	})

	return Answer{Refusal: reason.New(reason.Quarantine, reason.No, ""), Retry: quarantine.Span}
}
