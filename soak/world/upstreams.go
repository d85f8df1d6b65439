package world

import (
	"context"
	"fmt"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/rollout"
	"jacinthferry/io/store"
	"jacinthferry/platform"
	"jacinthferry/soak/check"
	"jacinthferry/soak/proxy"
	"jacinthferry/standin/registered"
)

// pickEndpoint returns a service that is in use and one of its active endpoints.
func (tb *World) pickEndpoint(n int) (*service, *endpoint) {
	names := tb.routedServices()
	tb.mu.Lock()
	s := tb.services[names[n%len(names)]]
	tb.mu.Unlock()
	endpoints := s.activeEndpoints()

	return s, endpoints[n/len(names)%len(endpoints)]
}

// routedServices returns the names of the services that the routes use.
func (tb *World) routedServices() []string {
	tb.operator.mu.Lock()
	defer tb.operator.mu.Unlock()

	return append(slices.Clone(tb.operator.shards), ordersService)
}

// runUpstreamStep carries out a step that acts on an upstream or the connections to it.
func (tb *World) runUpstreamStep(ctx context.Context, s Step) error {
	srv, p := tb.pickEndpoint(s.Target)
	u := p.currentUpstream()
	if u == nil {
		return nil
	}
	from := tb.now()
	defer tb.recordUpstreamDisturbance(s.Kind, from)
	switch s.Kind {
	case Crash, Reborn, Reuse:
		return tb.crash(ctx, s, srv, p)
	case Replace:
		return tb.replace(ctx, srv, p)
	case Freeze:
		thaw := u.Freeze()
		tb.sleep(ctx, s.Span)
		thaw()
	case LinkReset:
		p.proxy.Reset()
	case LinkSilence:
		p.proxy.Silence()
		tb.sleep(ctx, s.Span)
	case LinkDelay:
		p.proxy.Set(proxy.Mode{Delay: linkDelay})
		tb.sleep(ctx, s.Span)
		p.proxy.Set(proxy.Mode{})
	default:
		u.SetFaults(upstreamFaults(s.Kind))
		tb.sleep(ctx, s.Span)
		u.SetFaults(registered.Faults{})
	}

	return nil
}

// upstreamFaults returns the faults that a step injects into an upstream.
func upstreamFaults(k Kind) registered.Faults {
	const errorRate, slowdown = 0.3, 10
	switch k {
	case Slow:
		return registered.Faults{Times: slowdown}
	case Fail:
		return registered.Faults{Fail: errorRate}
	case Lose:
		return registered.Faults{Lose: errorRate}
	default:
		return registered.Faults{Cut: errorRate, Extra: errorRate}
	}
}

// crash crashes an upstream. Depending on the step, it restarts under a new ID or the same one, or
// its address is first reused by another service.
func (tb *World) crash(ctx context.Context, s Step, srv *service, p *endpoint) error {
	u := p.currentUpstream()
	u.Crash()
	o := u.Options()
	if s.Kind == Reuse {
		return tb.reuseAddress(ctx, srv, p, o)
	}
	tb.sleep(ctx, s.Span)
	id := o.ID
	if s.Kind == Crash {
		id = fmt.Sprintf("%s-at-%.0f", srv.name, float64(tb.now()))
	}

	return srv.startUpstream(ctx, p, id, o.Zone, o.Version)
}

// reuseDelay is the time between the end of an upstream and the reuse of its address.
const reuseDelay = 2 * clock.Second

// reuseAddress gives the address of an upstream to an upstream of another service, and starts a
// replacement at a new address.
func (tb *World) reuseAddress(ctx context.Context, srv *service, p *endpoint, o registered.Options) error {
	p.mu.Lock()
	p.removed = true
	p.mu.Unlock()
	if _, err := srv.addEndpoint(ctx, o.Version); err != nil {
		return err
	}
	tb.sleep(ctx, reuseDelay)
	other, _ := tb.pickEndpoint(len(srv.name) + int(tb.now()))

	return other.startUpstream(ctx, p, fmt.Sprintf("%s-reuse-%.0f", other.name, float64(tb.now())), o.Zone, firstVersion)
}

// drainDuration is how long a draining upstream continues to serve.
const drainDuration = 3*clock.Second + 500*clock.Millisecond

// replace starts an upstream and then drains the one that it replaces.
func (tb *World) replace(ctx context.Context, srv *service, p *endpoint) error {
	u := p.currentUpstream()
	if _, err := srv.addEndpoint(ctx, u.Options().Version); err != nil {
		return err
	}
	tb.sleep(ctx, clock.Second)

	return tb.drain(ctx, p)
}

// drain drains the upstream of an endpoint and removes it.
func (tb *World) drain(ctx context.Context, p *endpoint) error {
	p.mu.Lock()
	u, removed := p.upstream, p.removed
	p.removed = true
	p.mu.Unlock()
	if removed || u == nil {
		return nil
	}
	if err := u.Drain(ctx); err != nil {
		return err //nolint:wrapcheck // The stand-in says what is wrong.
	}
	at := tb.now()
	tb.record(func(h *check.Log) { h.Outs = append(h.Outs, check.Out{Upstream: u.Options().ID, At: at}) })
	tb.sleep(ctx, drainDuration)

	return u.Leave(ctx) //nolint:wrapcheck // The stand-in says what is wrong.
}

// reshardPause is the time between the start of a new set of shards and the configuration that uses it.
const reshardPause = 2 * clock.Second

// reshard starts a new set of shards, switches the configuration to it, and drains the old set.
func (tb *World) reshard(ctx context.Context) error {
	for _, name := range shardNames("t") {
		if err := tb.startService(ctx, name, shardReplicas); err != nil {
			return err
		}
	}
	tb.sleep(ctx, reshardPause)
	if err := tb.operator.update(ctx, func() { tb.operator.shards = shardNames("t") }); err != nil {
		return err
	}
	tb.sleep(ctx, tb.history.Bounds.Apply)
	for _, name := range shardNames("s") {
		tb.mu.Lock()
		s := tb.services[name]
		tb.mu.Unlock()
		for _, p := range s.activeEndpoints() {
			go func() { _ = tb.drain(ctx, p) }()
		}
	}
	tb.sleep(ctx, drainDuration)

	return nil
}

// evacuateZone takes an availability zone out of service and returns it to service later.
func (tb *World) evacuateZone(ctx context.Context, s Step) error {
	name := zoneName(s.Target)
	done, err := tb.store.Put(ctx, platform.ZoneOutKey(name), "{}", store.Any, "")
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	removal := check.Out{Zone: name, At: tb.now()}
	defer tb.recordUpstreamDisturbance(s.Kind, removal.At)
	tb.sleep(ctx, tb.history.Bounds.Evacuate+s.Span)
	removal.Until = tb.now()
	tb.record(func(h *check.Log) { h.Outs = append(h.Outs, removal) })
	_, err = tb.store.Delete(ctx, platform.ZoneOutKey(name), done.Revision)

	return err //nolint:wrapcheck // It is a refusal of the store.
}

// badVersionErrorRates are the shares of requests that bad versions fail.
var badVersionErrorRates = []float64{0.25, 0.6, 1}

// maxRolloutDuration is the time that a rollout may take.
const maxRolloutDuration = 22 * clock.Second

// runRollout orders the rollout of another version and, at its end, removes the upstreams that are
// no longer needed, as operators do.
func (tb *World) runRollout(ctx context.Context, s Step) error {
	srv, _ := tb.pickEndpoint(s.Target)
	old := srv.activeEndpoints()
	var canaries []*endpoint
	for range old {
		p, err := srv.addEndpoint(ctx, nextVersion)
		if err != nil {
			return err
		}
		if s.Kind == MoveBad {
			p.currentUpstream().SetFaults(registered.Faults{Fail: badVersionErrorRates[s.Target%len(badVersionErrorRates)]})
		}
		canaries = append(canaries, p)
	}
	order := rollout.Order{Service: srv.name, Version: nextVersion, Span: maxRolloutDuration}
	key, text, err := platform.EncodeOrder(order)
	if err != nil {
		return err //nolint:wrapcheck // The platform says what is wrong.
	}
	ro := check.Move{Service: srv.name, Version: nextVersion, Bad: s.Kind == MoveBad, At: tb.now()}
	if _, err := tb.store.Put(ctx, key, text, store.Any, ""); err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	ro.Deadline = ro.At + maxRolloutDuration
	ro.Outcome = tb.awaitRollout(ctx, srv.name, ro.Deadline)
	tb.record(func(h *check.Log) { h.Moves = append(h.Moves, ro) })
	switch ro.Outcome {
	case catalog.Completed:
		for _, p := range old {
			_ = p.currentUpstream().Leave(ctx)
			p.mu.Lock()
			p.removed = true
			p.mu.Unlock()
		}
	case catalog.Back:
		for _, p := range canaries {
			go func() { _ = tb.drain(ctx, p) }()
		}
		tb.sleep(ctx, drainDuration)
	default:
	}

	return nil
}

// awaitRollout polls the report to operators until the rollout has ended or its deadline has
// passed. Without a final stage by then, it returns the canary stage.
func (tb *World) awaitRollout(ctx context.Context, service string, deadline clock.Milli) catalog.Stage {
	for ctx.Err() == nil && tb.now() < deadline {
		e, err := tb.store.Get(ctx, platform.ReportKey(service))
		if err == nil && e.Value != "" {
			if stage, err := platform.DecodeReport(e.Value); err == nil && stage.Final() {
				return stage
			}
		}
		tb.sleep(ctx, 100*clock.Millisecond)
	}

	return catalog.Trial
}
