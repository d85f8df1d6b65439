package testbed

import (
	"context"
	"fmt"
	"sync"

	"jacinthferry/core/clock"
	"jacinthferry/platform"
	"jacinthferry/soak/check"
	"jacinthferry/soak/proxy"
	"jacinthferry/standin/registered"
)

const (
	shardCount    = 6
	shardReplicas = 2
	// ordersReplicas is the number of upstreams of the service without shards.
	ordersReplicas = 3
	ordersService  = "orders"
	// upstreamServiceTime is the mean time that an upstream works on a request.
	upstreamServiceTime = 4 * clock.Millisecond
	upstreamSlots       = 2
	upstreamQueue       = 8
	// registrationPoll is the time between two looks for an upstream's entry.
	registrationPoll = 10 * clock.Millisecond
	firstVersion     = "v1"
	nextVersion      = "v2"
)

// service is a service and its upstreams.
type service struct {
	testbed    *Testbed
	name       string
	mu         sync.Mutex
	lastNumber int
	endpoints  []*endpoint
	// errorRates holds the shares of requests that the upstreams of bad versions fail, by version.
	errorRates map[string]float64
}

// endpoint is a proxy with an upstream behind it. The upstream may be replaced.
type endpoint struct {
	proxy    *proxy.Proxy
	mu       sync.Mutex
	upstream *registered.Upstream
	// removed is set once the upstream has left for good or its address belongs to another service.
	removed bool
}

// shardNames returns the names of the services of a set of shards, such as s or t.
func shardNames(set string) []string {
	var names []string
	for i := range shardCount {
		names = append(names, fmt.Sprintf("%s%d", set, i))
	}

	return names
}

// startServices starts the first set of shards and the service without shards.
func (tb *Testbed) startServices(ctx context.Context) error {
	for _, name := range shardNames("s") {
		if err := tb.startService(ctx, name, shardReplicas); err != nil {
			return err
		}
	}

	if err := tb.startService(ctx, ordersService, ordersReplicas); err != nil {
		return err
	}

	return tb.awaitRegistration(ctx)
}

// awaitRegistration waits until all upstreams are in the store. A daemon that starts before may learn of the others a
// second later, and refuses requests to them until then.
func (tb *Testbed) awaitRegistration(ctx context.Context) error {
	for _, s := range tb.services {
		for _, p := range s.activeEndpoints() {
			key := platform.UpstreamKey(p.currentUpstream().Options().ID)
			for {
				e, err := tb.store.Get(ctx, key)
				if err != nil {
					return err //nolint:wrapcheck // It is a refusal of the store.
				}
				if e.Revision != 0 {
					break
				}
				tb.sleep(ctx, registrationPoll)
			}
		}
	}

	return nil
}

func (tb *Testbed) startService(ctx context.Context, name string, count int) error {
	s := &service{testbed: tb, name: name, errorRates: make(map[string]float64)}
	tb.mu.Lock()
	tb.services[name] = s
	tb.mu.Unlock()
	for range count {
		if _, err := s.addEndpoint(ctx, firstVersion); err != nil {
			return err
		}
	}

	return nil
}

// addEndpoint starts another upstream behind a proxy of its own.
func (s *service) addEndpoint(ctx context.Context, version string) (*endpoint, error) {
	p := &endpoint{}
	var err error
	// The target is set once the upstream listens.
	if p.proxy, err = proxy.New(ctx, ""); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.lastNumber++
	n := s.lastNumber
	s.endpoints = append(s.endpoints, p)
	s.mu.Unlock()

	return p, s.startUpstream(ctx, p, fmt.Sprintf("%s-%d", s.name, n), zoneName(n), version)
}

// startUpstream starts an upstream behind the proxy of an endpoint.
func (s *service) startUpstream(ctx context.Context, p *endpoint, id, zone, version string) error {
	tb := s.testbed
	u, err := registered.Start(ctx, registered.Options{
		ID: id, Service: s.name, Zone: zone, Version: version, Slots: upstreamSlots, MaxQueued: upstreamQueue,
		ServiceTime: upstreamServiceTime, Address: "127.0.0.1:0", AdvertisedAddress: p.proxy.Address(), Now: tb.now,
		Store:     tb.store,
		OnRequest: func(r registered.Request) { tb.record(func(h *check.History) { h.Runs = append(h.Runs, r) }) },
	})
	if err != nil {
		return err //nolint:wrapcheck // The stand-in says what is wrong.
	}
	u.SetFaults(s.versionFaults(version))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = u
	p.proxy.SetTarget(u.Address())

	return nil
}

// setErrorRate sets the share of requests that upstreams of a version fail which start from now on.
func (s *service) setErrorRate(version string, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errorRates[version] = rate
}

// versionFaults returns the faults that every upstream of a version has.
func (s *service) versionFaults(version string) registered.Faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return registered.Faults{ErrorShare: s.errorRates[version]}
}

// currentUpstream returns the upstream of an endpoint, or nil.
func (p *endpoint) currentUpstream() *registered.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.upstream
}

// activeEndpoints returns the endpoints that have not been removed.
func (s *service) activeEndpoints() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*endpoint
	for _, p := range s.endpoints {
		p.mu.Lock()
		if !p.removed {
			list = append(list, p)
		}
		p.mu.Unlock()
	}

	return list
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.endpoints {
		if u := p.currentUpstream(); u != nil {
			u.Crash()
		}
		p.proxy.Close()
	}
}
