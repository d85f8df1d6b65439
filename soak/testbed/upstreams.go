package testbed

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
func (tb *Testbed) pickEndpoint(n int) (*service, *endpoint) {
	names := tb.routedServices()
	tb.mu.Lock()
	s := tb.services[names[n%len(names)]]
	tb.mu.Unlock()
	endpoints := s.activeEndpoints()

	return s, endpoints[n/len(names)%len(endpoints)]
}

// routedServices returns the names of the services that the routes use.
func (tb *Testbed) routedServices() []string {
	tb.operator.mu.Lock()
	defer tb.operator.mu.Unlock()

	return append(slices.Clone(tb.operator.shards), ordersService)
}

// runUpstreamStep carries out a step that acts on an upstream or the connections to it.
func (tb *Testbed) runUpstreamStep(ctx context.Context, s Step) error {
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
		tb.sleep(ctx, s.Duration)
		thaw()
	case LinkReset:
		p.proxy.ResetConnections()
	case LinkSilence:
		p.proxy.Blackhole()
		tb.sleep(ctx, s.Duration)
	case LinkDelay:
		p.proxy.SetMode(proxy.Mode{Delay: linkDelay})
		tb.sleep(ctx, s.Duration)
		p.proxy.SetMode(proxy.Mode{})
	default:
		permanent := srv.versionFaults(u.Options().Version)
		faults := upstreamFaults(s.Kind)
		faults.ErrorShare = max(faults.ErrorShare, permanent.ErrorShare)
		u.SetFaults(faults)
		tb.sleep(ctx, s.Duration)
		u.SetFaults(permanent)
	}

	return nil
}

// upstreamFaults returns the faults that a step injects into an upstream.
func upstreamFaults(k StepKind) registered.Faults {
	const errorRate, endlessRate, slowdown = 0.3, 0.1, 10
	switch k {
	case Slow:
		return registered.Faults{SlowdownFactor: slowdown}
	case Fail:
		return registered.Faults{ErrorShare: errorRate}
	case Lose:
		return registered.Faults{LostShare: errorRate}
	default:
		return registered.Faults{TruncatedShare: errorRate, ExtraResponseShare: errorRate, EndlessShare: endlessRate}
	}
}

// crash crashes an upstream. Depending on the step, it restarts under a new ID or the same one, or
// its address is first reused by another service.
func (tb *Testbed) crash(ctx context.Context, s Step, srv *service, p *endpoint) error {
	u := p.currentUpstream()
	u.Crash()
	o := u.Options()
	if s.Kind == Reuse {
		return tb.reuseAddress(ctx, srv, p, o)
	}
	tb.sleep(ctx, s.Duration)
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
func (tb *Testbed) reuseAddress(ctx context.Context, srv *service, p *endpoint, o registered.Options) error {
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
func (tb *Testbed) replace(ctx context.Context, srv *service, p *endpoint) error {
	u := p.currentUpstream()
	if _, err := srv.addEndpoint(ctx, u.Options().Version); err != nil {
		return err
	}
	tb.sleep(ctx, clock.Second)

	return tb.drain(ctx, p)
}

// drain drains the upstream of an endpoint and removes it.
func (tb *Testbed) drain(ctx context.Context, p *endpoint) error {
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
	tb.record(func(h *check.History) {
		h.Removals = append(h.Removals, check.Removal{Upstream: u.Options().ID, At: at})
	})
	tb.sleep(ctx, drainDuration)

	return u.Stop(ctx) //nolint:wrapcheck // The stand-in says what is wrong.
}

// reshardPause is the time between the start of a new set of shards and the configuration that uses it.
const reshardPause = 2 * clock.Second

// reshard starts a new set of shards, switches the configuration to it, and drains the old set.
func (tb *Testbed) reshard(ctx context.Context) error {
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

// badVersionErrorRates are the shares of requests that bad versions fail.
var badVersionErrorRates = []float64{0.25, 0.6, 1}

// maxRolloutDuration is the time that a rollout may take.
const maxRolloutDuration = 22 * clock.Second

// orderBackDelay is the time after an order for a version at which the one that runs is ordered, if it is.
const orderBackDelay = clock.Second

// runRollout orders the rollout of another version and, at its end, removes the upstreams that are
// no longer needed, as operators do.
func (tb *Testbed) runRollout(ctx context.Context, s Step) error {
	srv, _ := tb.pickEndpoint(s.Target)
	old := srv.activeEndpoints()
	bad := s.Kind != MoveGood
	errorRate := 0.0
	if bad {
		errorRate = badVersionErrorRates[s.Target%len(badVersionErrorRates)]
	}
	srv.setErrorRate(nextVersion, errorRate)
	var canaries []*endpoint
	for range old {
		p, err := srv.addEndpoint(ctx, nextVersion)
		if err != nil {
			return err
		}
		canaries = append(canaries, p)
	}
	ro := check.Rollout{Service: srv.name, Version: nextVersion, Bad: bad, OrderedBack: s.Kind == MoveBack, At: tb.now()}
	ro.Deadline = ro.At + maxRolloutDuration
	if err := tb.orderRollout(ctx, srv.name, nextVersion); err != nil {
		return err
	}
	version, unneeded := nextVersion, old
	if ro.OrderedBack {
		tb.sleep(ctx, orderBackDelay)
		version, unneeded = firstVersion, canaries
		if err := tb.orderRollout(ctx, srv.name, version); err != nil {
			return err
		}
	}
	ro.Outcome = tb.awaitRollout(ctx, srv.name, version, ro.Deadline)
	tb.record(func(h *check.History) { h.Rollouts = append(h.Rollouts, ro) })
	switch ro.Outcome {
	case catalog.Completed:
		for _, p := range unneeded {
			_ = p.currentUpstream().Stop(ctx)
			p.mu.Lock()
			p.removed = true
			p.mu.Unlock()
		}
	case catalog.RolledBack:
		for _, p := range canaries {
			go func() { _ = tb.drain(ctx, p) }()
		}
		tb.sleep(ctx, drainDuration)
	default:
	}

	return nil
}

// orderRollout writes an order for a version of a service.
func (tb *Testbed) orderRollout(ctx context.Context, service, version string) error {
	key, text, err := platform.EncodeRolloutOrder(rollout.Order{
		Service: service, Version: version, MaxDuration: maxRolloutDuration,
	})
	if err != nil {
		return err //nolint:wrapcheck // The platform says what is wrong.
	}
	_, err = tb.store.Put(ctx, key, text, store.Any, "")

	return err //nolint:wrapcheck // It is a refusal of the store.
}

// awaitRollout polls the report to operators until the rollout of a version has ended or its deadline has
// passed. Without a final stage by then, it returns the canary stage.
func (tb *Testbed) awaitRollout(ctx context.Context, service, version string, deadline clock.Milli) catalog.Stage {
	for ctx.Err() == nil && tb.now() < deadline {
		if e, err := tb.store.Get(ctx, platform.RolloutReportKey(service)); err == nil {
			for _, stage := range []catalog.Stage{catalog.Completed, catalog.RolledBack} {
				_, text, err := platform.EncodeRolloutReport(service, catalog.Rollout{Version: version, Stage: stage})
				if err == nil && e.Value == text {
					return stage
				}
			}
		}
		tb.sleep(ctx, 100*clock.Millisecond)
	}

	return catalog.Canary
}
