package gateway

import (
	"context"
	"fmt"
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

// pruneInterval is the time between two removals of expired connections and unused state.
const pruneInterval = 2 * time.Second

// Options holds the settings and dependencies of a Gateway.
type Options struct {
	Now         func() clock.Milli
	View        func() *catalog.View
	DaemonCount func() int
	// StoreContact returns the time of the last response from the store.
	StoreContact func() clock.Milli
	Codec        Codec
	Record       func(event.Event)
	// Observe is called with the duration of a request on a route, and whether it was answered rather than
	// refused.
	Observe func(route string, span clock.Milli, answered bool)
	// Relay sends a group of legs through a daemon in the group's zone. It reports false if no daemon
	// takes the group. Results are passed to deliver in order of arrival, exactly one for each leg.
	// Cancel aborts the legs that are still open. Relay may be nil.
	Relay func(call *Call, group *gather.ZoneGroup, deliver func(RelayResponse)) (cancel func(), ok bool)
	// OnCrash is called with a warning for the other daemons when an upstream has crashed while it ran a request.
	// It may be nil.
	OnCrash func(quarantine.Warning)
	// Zone is the availability zone of this daemon.
	Zone   string
	Policy gather.Policy
	// ResponseMemory is how many bytes the large responses to all requests may hold together.
	ResponseMemory int
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	options Options
	pool    *pool
	memory  *responseMemory

	// mu guards the state that requests share: the coordinator, the balancer, the queries and the crashes.
	mu sync.Mutex
	// pending are the requests that have no answer yet, and stopAt is when a planned stop ends them, or 0.
	pending     map[*pendingRequest]struct{}
	stopAt      clock.Milli
	balancer    *balance.Balancer
	coordinator *gather.Coordinator
	crashes     *quarantine.CrashDetector
	// probes are the probes of upstreams that broke connections.
	probes map[catalog.Key]*crashProbe
}

// New returns a Gateway. Its Run method removes expired state.
func New(options Options) *Gateway {
	balancer := balance.New(balance.Options{
		Zone: options.Zone, Daemons: options.DaemonCount, Uniform: rand.Float64,
		OnLimit: func(u *catalog.Upstream, limit *balance.RateLimit) { options.Record(limitEvent(u, limit)) },
		OnLeaving: func(u *catalog.Upstream) {
			options.Record(event.Event{
				Kind: event.Upstream, Reason: reason.Draining, Service: u.Service, Upstream: u.ID,
				Detail: "announced its shutdown",
			})
		},
	})

	memory := newResponseMemory(options.ResponseMemory)

	return &Gateway{
		options: options, pool: newPool(memory), memory: memory, balancer: balancer, crashes: quarantine.NewCrashDetector(),
		pending: make(map[*pendingRequest]struct{}), probes: make(map[catalog.Key]*crashProbe),
		coordinator: gather.New(options.Policy, balancer, options.DaemonCount, rand.Float64),
	}
}

// limitEvent returns the event of an upstream that names another rate limit, or none any more if limit is nil.
func limitEvent(u *catalog.Upstream, limit *balance.RateLimit) event.Event {
	e := event.Event{
		Kind: event.Upstream, Reason: reason.Limit, Service: u.Service, Upstream: u.ID, Detail: "no rate limit any more",
	}
	if limit != nil {
		e.Detail = fmt.Sprintf("rate limit of %g requests a second for all daemons", *limit)
	}

	return e
}

// SetPolicy replaces the policy. The new one applies from now on, also to requests that are running.
func (g *Gateway) SetPolicy(p gather.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coordinator.SetPolicy(p)
}

// RolloutCounts returns the responses that this daemon has counted for a version move of a service, by route.
func (g *Gateway) RolloutCounts(service string, m catalog.Rollout) map[string]rollout.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.coordinator.RolloutCounts(service, m)
}

// Run removes expired connections and unused state at intervals until ctx is done.
func (g *Gateway) Run(ctx context.Context) { timer.Every(ctx, pruneInterval, g.prune) }

func (g *Gateway) prune() {
	view := g.options.View()
	if view == nil || view.Config == nil {
		return
	}
	now := g.options.Now()
	g.pool.prune(now, view.Registered)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coordinator.Prune(now, view)
	g.crashes.Prune(now)
	g.pruneProbes()
}

// Serve returns the response to a call, which must be released after use. It has neither an answer nor a refusal
// if ctx ends first, that is, if the caller left.
func (g *Gateway) Serve(ctx context.Context, call *Call) Response {
	view := g.options.View()
	if view == nil || view.Config == nil {
		return g.refuse(call, reason.Configuration)
	}
	route := view.Config.Match(call.Host, call.Path)
	if route == nil {
		return g.refuse(call, reason.Route)
	}
	if call.Timeout <= 0 {
		call.Timeout = route.Timeout
	}
	s := newSender(g, call, route.Top)
	if g.quarantined(call, s.fingerprint, route) {
		return g.refuseQuarantined(s, route)
	}
	p := &pendingRequest{sender: s, route: route, config: view.Config, done: make(chan struct{})}
	p.start(view)
	select {
	case <-p.done:
		p.stopTimer()
	case <-ctx.Done():
		p.abandon()
	}

	answer := p.answer
	answer.release = p.release

	return answer
}

const (
	// unconfiguredRetryRatio is the fraction of the caller's remaining time after which it may retry when this
	// daemon has no configuration: the longer it waits, the more likely a retry is to succeed.
	unconfiguredRetryRatio = 0.3
	// unconfiguredTimeout is the remaining time assumed of a caller that gave none.
	unconfiguredTimeout = clock.Second
)

func (g *Gateway) refuse(call *Call, word reason.Code) Response {
	g.options.Record(event.Event{Kind: event.Refusal, Reason: word, Request: call.ID})
	left := call.Timeout
	if left <= 0 {
		left = unconfiguredTimeout
	}

	return Response{
		Refusal: reason.NewRefusal(word, reason.NotExecuted, ""), RetryAfter: unconfiguredRetryRatio * left,
	}
}

// refuseQuarantined refuses a call that is in quarantine because it crashes upstreams.
func (g *Gateway) refuseQuarantined(s *sender, route *catalog.Route) Response {
	g.options.Record(event.Event{
		Kind: event.Refusal, Reason: reason.Quarantine, Service: route.Name, Request: s.call.ID,
		Print:  s.fingerprint.String(),
		Detail: "upstreams crashed while running the request, run no",
	})

	return Response{Refusal: reason.NewRefusal(reason.Quarantine, reason.NotExecuted, ""), RetryAfter: quarantine.Period}
}
