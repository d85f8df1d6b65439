package world

import (
	"context"
	"fmt"
	"sync"

	"jacinthferry/core/clock"
	"jacinthferry/soak/check"
	"jacinthferry/soak/proxy"
	"jacinthferry/standin/registered"
)

const (
	shards   = 6
	replicas = 2
	// ordersCount is how many upstreams the single service has.
	ordersCount   = 3
	ordersService = "orders"
	// upstreamWork is how long an upstream works on a request on average.
	upstreamWork  = 4 * clock.Millisecond
	upstreamSlots = 2
	upstreamQueue = 8
	firstVersion  = "v1"
	nextVersion   = "v2"
)

// service is a service with its upstreams.
type service struct {
	world *World
	name  string
	mu    sync.Mutex
	count int
	list  []*place
}

// place is an upstream behind a proxy. The process behind it may change.
type place struct {
	proxy    *proxy.Proxy
	mu       sync.Mutex
	upstream *registered.Upstream
	// gone is set when it left for good.
	gone bool
}

// shardNames returns the services of the first or second set of shards.
func shardNames(set string) []string {
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("%s%d", set, i))
	}

	return names
}

// openServices starts the first set of shards and the single service.
func (w *World) openServices(ctx context.Context) error {
	for _, name := range shardNames("s") {
		if err := w.openService(ctx, name, replicas); err != nil {
			return err
		}
	}

	return w.openService(ctx, ordersService, ordersCount)
}

func (w *World) openService(ctx context.Context, name string, count int) error {
	s := &service{world: w, name: name}
	w.mu.Lock()
	w.services[name] = s
	w.mu.Unlock()
	for range count {
		if _, err := s.add(ctx, firstVersion); err != nil {
			return err
		}
	}

	return nil
}

// add starts one more upstream.
func (s *service) add(ctx context.Context, version string) (*place, error) {
	p := &place{}
	var err error
	// The target follows once the upstream listens.
	if p.proxy, err = proxy.New(ctx, ""); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.count++
	n := s.count
	s.list = append(s.list, p)
	s.mu.Unlock()

	return p, s.start(ctx, p, fmt.Sprintf("%s-%d", s.name, n), zone(n), version)
}

// start starts an upstream at a place.
func (s *service) start(ctx context.Context, p *place, id, zone, version string) error {
	w := s.world
	u, err := registered.Start(ctx, registered.Options{
		ID: id, Service: s.name, Zone: zone, Version: version, Slots: upstreamSlots, MaxQueued: upstreamQueue,
		ServiceTime: upstreamWork, Address: "127.0.0.1:0", AdvertisedAddress: p.proxy.Address(), Now: w.now, Store: w.store,
		OnRequest: func(r registered.Request) { w.note(func(l *check.Log) { l.Runs = append(l.Runs, r) }) },
	})
	if err != nil {
		return err //nolint:wrapcheck // The stand-in says what is wrong.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = u
	p.proxy.Retarget(u.Address())

	return nil
}

// current returns the upstream at a place, or nil.
func (p *place) current() *registered.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.upstream
}

// places returns the places that are not gone.
func (s *service) places() []*place {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*place
	for _, p := range s.list {
		p.mu.Lock()
		if !p.gone {
			list = append(list, p)
		}
		p.mu.Unlock()
	}

	return list
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.list {
		if u := p.current(); u != nil {
			u.Crash()
		}
		p.proxy.Close()
	}
}
