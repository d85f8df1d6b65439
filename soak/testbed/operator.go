package testbed

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/io/store"
	"jacinthferry/platform"
	"jacinthferry/soak/check"
)

// host is the host of all routes.
const host = "soak.example"

// operator maintains the configuration.
type operator struct {
	testbed *Testbed
	mu      sync.Mutex
	version int64
	shards  []string
	// extraRoutes holds the numbers of the additional routes in force, and addedCount how many were ever added.
	extraRoutes []int
	addedCount  int
	// timeout applies to the routes to a single service.
	timeout clock.Milli
}

func newOperator(tb *Testbed) *operator {
	return &operator{testbed: tb, shards: shardNames("s"), timeout: 1500 * clock.Millisecond}
}

// routes returns the routes of the latest configuration. The mutex must be held.
func (o *operator) routes() []catalog.Route {
	single := catalog.Route{
		Host: host, Service: ordersService, Timeout: o.timeout, Objective: 100 * clock.Millisecond, Attempts: 2,
		Idempotent: true, Priority: 1,
	}
	look, write := single, single
	look.Name, look.Prefix = "look", "/look/"
	write.Name, write.Prefix, write.Idempotent = "write", "/write/", false
	list := []catalog.Route{
		{
			Name: "search", Prefix: "/search/", Host: host, Shards: slices.Clone(o.shards), Idempotent: true,
			Timeout: 800 * clock.Millisecond, Objective: 120 * clock.Millisecond, Attempts: 2, Top: 5, MinCoverage: 0.6,
		},
		look, write,
	}
	for _, n := range o.extraRoutes {
		extra := look
		extra.Name, extra.Prefix = extraRoute(n)
		list = append(list, extra)
	}

	return list
}

func extraRoute(n int) (name, prefix string) {
	return fmt.Sprintf("extra-%d", n), fmt.Sprintf("/extra-%d/", n)
}

// update changes the configuration and writes it to the store.
func (o *operator) update(ctx context.Context, change func()) error {
	o.mu.Lock()
	change()
	o.mu.Unlock()

	return o.writeConfig(ctx)
}

// alterRoutes adds or removes a route, or changes a timeout. The mutex must be held.
func (o *operator) alterRoutes(n int) {
	switch {
	case n%3 == 0 && len(o.extraRoutes) > 0:
		o.extraRoutes = o.extraRoutes[1:]
	case n%3 == 1:
		o.timeout = clock.Milli(1000 + 100*(n%10))
	default:
		o.addedCount++
		o.extraRoutes = append(slices.Clone(o.extraRoutes), o.addedCount)
	}
}

// writeConfig writes the configuration to the store. It is recorded once the store has accepted it,
// with the time before the write.
func (o *operator) writeConfig(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 3
	routes := o.routes()
	services := []catalog.Service{{Name: ordersService, MaxConnections: 50}}
	for _, name := range o.shards {
		services = append(services, catalog.Service{Name: name, MaxConnections: 50})
	}
	limits := catalog.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, IdleTimeout: 10 * clock.Second}
	text, err := platform.EncodeConfig(o.version, routes, services, limits)
	if err != nil {
		return err //nolint:wrapcheck // The platform says what is wrong.
	}
	tb := o.testbed
	at := tb.now()
	if _, err := tb.store.Put(ctx, platform.ConfigKey, text, store.Any, ""); err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	tb.record(func(h *check.History) { h.Configs = append(h.Configs, check.Config{At: at, Routes: routes}) })

	return nil
}

// chooseRoute returns a route for a request: one in force, or an additional one that may have been removed.
func (o *operator) chooseRoute(n int) catalog.Route {
	o.mu.Lock()
	defer o.mu.Unlock()
	routes := o.routes()
	if n%20 == 0 && o.addedCount > 0 {
		name, prefix := extraRoute(1 + n/20%o.addedCount)

		return catalog.Route{
			Name: name, Prefix: prefix, Host: host, Service: ordersService, Attempts: 2, Idempotent: true, Timeout: o.timeout,
		}
	}

	return routes[n%3]
}
