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
func (w *World) pickEndpoint(n int) (*service, *endpoint) {
	names := w.routedServices()
	w.mu.Lock()
	s := w.services[names[n%len(names)]]
	w.mu.Unlock()
	endpoints := s.activeEndpoints()

	return s, endpoints[n/len(names)%len(endpoints)]
}

// routedServices returns the names of the services that the routes use.
func (w *World) routedServices() []string {
	w.operator.mu.Lock()
	defer w.operator.mu.Unlock()

	return append(slices.Clone(w.operator.shards), ordersService)
}

// runUpstreamStep carries out a step that acts on an upstream or the connections to it.
func (w *World) runUpstreamStep(ctx context.Context, s Step) error {
	srv, p := w.pickEndpoint(s.Target)
	u := p.currentUpstream()
	if u == nil {
		return nil
	}
	from := w.now()
	defer w.recordUpstreamDisturbance(s.Kind, from)
	switch s.Kind {
	case Crash, Reborn, Reuse:
		return w.crash(ctx, s, srv, p)
	case Replace:
		return w.replace(ctx, srv, p)
	case Freeze:
		thaw := u.Freeze()
		w.sleep(ctx, s.Span)
		thaw()
	case LinkReset:
		p.proxy.Reset()
	case LinkSilence:
		p.proxy.Silence()
		w.sleep(ctx, s.Span)
	case LinkDelay:
		p.proxy.Set(proxy.Mode{Delay: linkDelay})
		w.sleep(ctx, s.Span)
		p.proxy.Set(proxy.Mode{})
	default:
		u.SetFaults(upstreamFaults(s.Kind))
		w.sleep(ctx, s.Span)
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
func (w *World) crash(ctx context.Context, s Step, srv *service, p *endpoint) error {
	u := p.currentUpstream()
	u.Crash()
	o := u.Options()
	if s.Kind == Reuse {
		return w.reuseAddress(ctx, srv, p, o)
	}
	w.sleep(ctx, s.Span)
	id := o.ID
	if s.Kind == Crash {
		id = fmt.Sprintf("%s-at-%.0f", srv.name, float64(w.now()))
	}

	return srv.startUpstream(ctx, p, id, o.Zone, o.Version)
}

// reuseDelay is the time between the end of an upstream and the reuse of its address.
const reuseDelay = 2 * clock.Second

// reuseAddress gives the address of an upstream to an upstream of another service, and starts a
// replacement at a new address.
func (w *World) reuseAddress(ctx context.Context, srv *service, p *endpoint, o registered.Options) error {
	p.mu.Lock()
	p.removed = true
	p.mu.Unlock()
	if _, err := srv.addEndpoint(ctx, o.Version); err != nil {
		return err
	}
	w.sleep(ctx, reuseDelay)
	other, _ := w.pickEndpoint(len(srv.name) + int(w.now()))

	return other.startUpstream(ctx, p, fmt.Sprintf("%s-reuse-%.0f", other.name, float64(w.now())), o.Zone, firstVersion)
}

// drainDuration is how long a draining upstream continues to serve.
const drainDuration = 3*clock.Second + 500*clock.Millisecond

// replace starts an upstream and then drains the one that it replaces.
func (w *World) replace(ctx context.Context, srv *service, p *endpoint) error {
	u := p.currentUpstream()
	if _, err := srv.addEndpoint(ctx, u.Options().Version); err != nil {
		return err
	}
	w.sleep(ctx, clock.Second)

	return w.drain(ctx, p)
}

// drain drains the upstream of an endpoint and removes it.
func (w *World) drain(ctx context.Context, p *endpoint) error {
	p.mu.Lock()
	u, gone := p.upstream, p.removed
	p.removed = true
	p.mu.Unlock()
	if gone || u == nil {
		return nil
	}
	if err := u.Drain(ctx); err != nil {
		return err //nolint:wrapcheck // The stand-in says what is wrong.
	}
	at := w.now()
	w.record(func(l *check.Log) { l.Outs = append(l.Outs, check.Out{Upstream: u.Options().ID, At: at}) })
	w.sleep(ctx, drainDuration)

	return u.Leave(ctx) //nolint:wrapcheck // The stand-in says what is wrong.
}

// reshardPause is the time between the start of a new set of shards and the configuration that uses
// it.
const reshardPause = 2 * clock.Second

// reshard starts a new set of shards, switches the configuration to it, and drains the old set.
func (w *World) reshard(ctx context.Context) error {
	for _, name := range shardNames("t") {
		if err := w.startService(ctx, name, shardReplicas); err != nil {
			return err
		}
	}
	w.sleep(ctx, reshardPause)
	if err := w.operator.update(ctx, func() { w.operator.shards = shardNames("t") }); err != nil {
		return err
	}
	w.sleep(ctx, w.history.Bounds.Apply)
	for _, name := range shardNames("s") {
		w.mu.Lock()
		s := w.services[name]
		w.mu.Unlock()
		for _, p := range s.activeEndpoints() {
			go func() { _ = w.drain(ctx, p) }()
		}
	}
	w.sleep(ctx, drainDuration)

	return nil
}

// evacuateZone takes an availability zone out of service and returns it to service later.
func (w *World) evacuateZone(ctx context.Context, s Step) error {
	name := zoneName(s.Target)
	done, err := w.store.Put(ctx, platform.ZoneOutKey(name), "{}", store.Any, "")
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	out := check.Out{Zone: name, At: w.now()}
	defer w.recordUpstreamDisturbance(s.Kind, out.At)
	w.sleep(ctx, w.history.Bounds.Evacuate+s.Span)
	out.Until = w.now()
	w.record(func(l *check.Log) { l.Outs = append(l.Outs, out) })
	_, err = w.store.Delete(ctx, platform.ZoneOutKey(name), done.Revision)

	return err //nolint:wrapcheck // It is a refusal of the store.
}

// badVersionErrorRates are the shares of requests that a bad version may fail.
var badVersionErrorRates = []float64{0.25, 0.6, 1}

// maxRolloutDuration is the time that a rollout may take.
const maxRolloutDuration = 22 * clock.Second

// runRollout orders the rollout of another version and, at its end, removes the upstreams that are
// no longer needed, as operators do.
func (w *World) runRollout(ctx context.Context, s Step) error {
	srv, _ := w.pickEndpoint(s.Target)
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
	m := check.Move{Service: srv.name, Version: nextVersion, Bad: s.Kind == MoveBad, At: w.now()}
	if _, err := w.store.Put(ctx, key, text, store.Any, ""); err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	m.Deadline = m.At + maxRolloutDuration
	m.Outcome = w.awaitRollout(ctx, srv.name, m.Deadline)
	w.record(func(l *check.Log) { l.Moves = append(l.Moves, m) })
	switch m.Outcome {
	case catalog.Completed:
		for _, p := range old {
			_ = p.currentUpstream().Leave(ctx)
			p.mu.Lock()
			p.removed = true
			p.mu.Unlock()
		}
	case catalog.Back:
		for _, p := range canaries {
			go func() { _ = w.drain(ctx, p) }()
		}
		w.sleep(ctx, drainDuration)
	default:
	}

	return nil
}

// awaitRollout polls the report to operators until the rollout has ended or its deadline has
// passed. Without a final stage by then, it returns the canary stage.
func (w *World) awaitRollout(ctx context.Context, service string, deadline clock.Milli) catalog.Stage {
	for ctx.Err() == nil && w.now() < deadline {
		e, err := w.store.Get(ctx, platform.ReportKey(service))
		if err == nil && e.Value != "" {
			if stage, err := platform.DecodeReport(e.Value); err == nil && stage.Final() {
				return stage
			}
		}
		w.sleep(ctx, 100*clock.Millisecond)
	}

	return catalog.Trial
}
