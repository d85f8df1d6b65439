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

// pick returns a service that is in use and one of its places.
func (w *World) pick(n int) (*service, *place) {
	names := w.serving()
	w.mu.Lock()
	s := w.services[names[n%len(names)]]
	w.mu.Unlock()
	places := s.places()

	return s, places[n/len(names)%len(places)]
}

// serving returns the services that routes name.
func (w *World) serving() []string {
	w.operator.mu.Lock()
	defer w.operator.mu.Unlock()

	return append(slices.Clone(w.operator.shards), ordersService)
}

// atUpstream does something to an upstream or the links to it.
func (w *World) atUpstream(ctx context.Context, s Step) error {
	srv, p := w.pick(s.Target)
	u := p.current()
	if u == nil {
		return nil
	}
	from := w.now()
	defer w.upset(s.Kind, from)
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
		u.SetFaults(faultsOf(s.Kind))
		w.sleep(ctx, s.Span)
		u.SetFaults(registered.Faults{})
	}

	return nil
}

// faultsOf returns what an upstream does wrong in a step.
func faultsOf(k Kind) registered.Faults {
	const share, times = 0.3, 10
	switch k {
	case Slow:
		return registered.Faults{SlowdownFactor: times}
	case Fail:
		return registered.Faults{ErrorShare: share}
	case Lose:
		return registered.Faults{LostShare: share}
	default:
		return registered.Faults{TruncatedShare: share, ExtraResponseShare: share}
	}
}

// crash ends an upstream at once. It comes back under another name, under the same, or the address
// goes to another service first.
func (w *World) crash(ctx context.Context, s Step, srv *service, p *place) error {
	u := p.current()
	u.Crash()
	o := u.Options()
	if s.Kind == Reuse {
		return w.reuse(ctx, srv, p, o)
	}
	w.sleep(ctx, s.Span)
	id := o.ID
	if s.Kind == Crash {
		id = fmt.Sprintf("%s-at-%.0f", srv.name, float64(w.now()))
	}

	return srv.start(ctx, p, id, o.Zone, o.Version)
}

// reuseAfter is how long after the end of an upstream its address may go to another.
const reuseAfter = 2 * clock.Second

// reuse gives an address to an upstream of another service, and starts a new one elsewhere.
func (w *World) reuse(ctx context.Context, srv *service, p *place, o registered.Options) error {
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	if _, err := srv.add(ctx, o.Version); err != nil {
		return err
	}
	w.sleep(ctx, reuseAfter)
	other, _ := w.pick(len(srv.name) + int(w.now()))

	return other.start(ctx, p, fmt.Sprintf("%s-reuse-%.0f", other.name, float64(w.now())), o.Zone, firstVersion)
}

// drainSpan is how long an upstream that leaves goes on serving.
const drainSpan = 3*clock.Second + 500*clock.Millisecond

// replace starts another upstream in the place of one, which drains.
func (w *World) replace(ctx context.Context, srv *service, p *place) error {
	u := p.current()
	if _, err := srv.add(ctx, u.Options().Version); err != nil {
		return err
	}
	w.sleep(ctx, clock.Second)

	return w.drain(ctx, p)
}

// drain makes the upstream at a place leave for good.
func (w *World) drain(ctx context.Context, p *place) error {
	p.mu.Lock()
	u, gone := p.upstream, p.gone
	p.gone = true
	p.mu.Unlock()
	if gone || u == nil {
		return nil
	}
	if err := u.Drain(ctx); err != nil {
		return err //nolint:wrapcheck // The stand-in says what is wrong.
	}
	at := w.now()
	w.note(func(l *check.Log) { l.Outs = append(l.Outs, check.Out{Upstream: u.Options().ID, At: at}) })
	w.sleep(ctx, drainSpan)

	return u.Stop(ctx) //nolint:wrapcheck // The stand-in says what is wrong.
}

// reshardPause is the time from the start of another set of shards to the configuration that names it.
const reshardPause = 2 * clock.Second

// reshard starts another set of shards, names it in the configuration, and takes the old one away.
func (w *World) reshard(ctx context.Context) error {
	for _, name := range shardNames("t") {
		if err := w.openService(ctx, name, replicas); err != nil {
			return err
		}
	}
	w.sleep(ctx, reshardPause)
	if err := w.operator.change(ctx, func() { w.operator.shards = shardNames("t") }); err != nil {
		return err
	}
	w.sleep(ctx, w.log.Bounds.Apply)
	for _, name := range shardNames("s") {
		w.mu.Lock()
		s := w.services[name]
		w.mu.Unlock()
		for _, p := range s.places() {
			go func() { _ = w.drain(ctx, p) }()
		}
	}
	w.sleep(ctx, drainSpan)

	return nil
}

// zoneOut takes an availability zone out and brings it back.
func (w *World) zoneOut(ctx context.Context, s Step) error {
	name := zone(s.Target)
	done, err := w.store.Put(ctx, platform.EvacuationKey(name), "{}", store.Any, "")
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	out := check.Out{Zone: name, At: w.now()}
	defer w.upset(s.Kind, out.At)
	w.sleep(ctx, w.log.Bounds.Evacuate+s.Span)
	out.Until = w.now()
	w.note(func(l *check.Log) { l.Outs = append(l.Outs, out) })
	_, err = w.store.Delete(ctx, platform.EvacuationKey(name), done.Revision)

	return err //nolint:wrapcheck // It is a refusal of the store.
}

// badShares are the shares of requests that bad versions fail.
var badShares = []float64{0.25, 0.6, 1}

// moveSpan is how long a version move may take.
const moveSpan = 22 * clock.Second

// move orders a service to move to another version, and does what operators do at its end.
func (w *World) move(ctx context.Context, s Step) error {
	srv, _ := w.pick(s.Target)
	old := srv.places()
	var next []*place
	for range old {
		p, err := srv.add(ctx, nextVersion)
		if err != nil {
			return err
		}
		if s.Kind == MoveBad {
			p.current().SetFaults(registered.Faults{ErrorShare: badShares[s.Target%len(badShares)]})
		}
		next = append(next, p)
	}
	order := rollout.Order{Service: srv.name, Version: nextVersion, MaxDuration: moveSpan}
	key, text, err := platform.EncodeRolloutOrder(order)
	if err != nil {
		return err //nolint:wrapcheck // The platform says what is wrong.
	}
	m := check.Move{Service: srv.name, Version: nextVersion, Bad: s.Kind == MoveBad, At: w.now()}
	if _, err := w.store.Put(ctx, key, text, store.Any, ""); err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	m.Deadline = m.At + moveSpan
	m.Outcome = w.outcome(ctx, srv.name, m.Deadline)
	w.note(func(l *check.Log) { l.Moves = append(l.Moves, m) })
	switch m.Outcome {
	case catalog.Completed:
		for _, p := range old {
			_ = p.current().Stop(ctx)
			p.mu.Lock()
			p.gone = true
			p.mu.Unlock()
		}
	case catalog.RolledBack:
		for _, p := range next {
			go func() { _ = w.drain(ctx, p) }()
		}
		w.sleep(ctx, drainSpan)
	default:
	}

	return nil
}

// outcome waits until the operators are told that a move is over, or until its deadline.
func (w *World) outcome(ctx context.Context, service string, deadline clock.Milli) catalog.Stage {
	for ctx.Err() == nil && w.now() < deadline {
		e, err := w.store.Get(ctx, platform.RolloutReportKey(service))
		if err == nil && e.Value != "" {
			if stage, err := platform.DecodeRolloutReport(e.Value); err == nil && stage.Final() {
				return stage
			}
		}
		w.sleep(ctx, 100*clock.Millisecond)
	}

	return catalog.Canary
}
