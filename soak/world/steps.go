package world

import (
	"context"
	"sync"
	"syscall"

	"k8s.io/klog/v2"

	"jacinthferry/core/clock"
	"jacinthferry/soak/check"
	"jacinthferry/soak/proxy"
	standin "jacinthferry/standin/platform"
)

// restartPause is the time between the end of a process and its next start.
const restartPause = 500 * clock.Millisecond

// carryOut carries out a plan and returns when every step is over.
func (w *World) carryOut(ctx context.Context, plan []Step) {
	var all sync.WaitGroup
	start := w.now()
	for _, s := range plan {
		w.sleep(ctx, start+s.At-w.now())
		all.Go(func() {
			klog.InfoS("step", "at", w.now(), "kind", s.Kind, "target", s.Target, "span", s.Span)
			if err := w.step(ctx, s); err != nil {
				klog.ErrorS(err, "step failed", "kind", s.Kind)
			}
		})
	}
	all.Wait()
}

// step carries out one step and returns when it is over.
func (w *World) step(ctx context.Context, s Step) error {
	d := w.daemons[s.Target%len(w.daemons)]
	switch s.Kind {
	case Kill, Pause, Term, Away, Hup:
		return w.atProcess(ctx, s, d)
	case StoreCut, StoreOneWay, StoreRefuse, StoreSilence, StoreReset:
		w.atLink(ctx, s, d, d.store)
	case FrontDelay, FrontReset, FrontSilence, FrontOneWay:
		w.atLink(ctx, s, d, d.front)
	case StoreDown, StoreHang, StoreSlow, StoreLost:
		w.atStore(ctx, s)
	case Config:
		return w.operator.change(ctx, func() { w.operator.alter(s.Target) })
	case Reshard:
		return w.reshard(ctx)
	case ZoneOut:
		return w.zoneOut(ctx, s)
	case MoveGood, MoveBad:
		return w.move(ctx, s)
	default:
		return w.atUpstream(ctx, s)
	}

	return nil
}

// atProcess does something to a daemon's process.
func (w *World) atProcess(ctx context.Context, s Step, d *daemon) error {
	d.busy.Lock()
	defer d.busy.Unlock()
	from := w.now()
	switch s.Kind {
	case Hup:
		w.sleep(ctx, d.began+bootSpan-from)
		d.settings.DirectoryTTL = 500*clock.Millisecond + clock.Milli(s.Target)
		if err := d.write(); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP, false)

		return nil
	case Pause:
		d.signal(syscall.SIGSTOP, false)
		w.sleep(ctx, s.Span)
		d.signal(syscall.SIGCONT, false)
		w.trouble(d.settings.Name, s.Kind, from)

		return nil
	case Kill:
		d.kill()
		w.sleep(ctx, restartPause)
		defer w.trouble(d.settings.Name, s.Kind, from)

		return d.start()
	default:
		return w.planned(ctx, s, d)
	}
}

// awaySpan is how long a daemon that leaves for a while is away at least.
const awaySpan = 9 * clock.Second

// planned stops a daemon in an orderly way and starts it again.
func (w *World) planned(ctx context.Context, s Step, d *daemon) error {
	stop := d.stop()
	pause := restartPause
	if s.Kind == Away {
		pause = awaySpan + s.Span
	}
	w.sleep(ctx, pause)
	stop.Back = w.now()
	w.note(func(l *check.Log) { l.Stops = append(l.Stops, stop) })
	// It is not held to bounds in time while it starts.
	defer w.trouble(d.settings.Name, "start", stop.Back)

	return d.start()
}

// atLink does something to a link of a daemon.
func (w *World) atLink(ctx context.Context, s Step, d *daemon, p *proxy.Proxy) {
	from := w.now()
	defer w.trouble(d.settings.Name, s.Kind, from)
	switch s.Kind {
	case StoreReset, FrontReset:
		p.Reset()

		return
	case StoreSilence, FrontSilence:
		p.Silence()
		// A link that went silent does not come back; new ones work.
		w.sleep(ctx, s.Span)

		return
	case StoreCut:
		p.Set(proxy.Mode{NoRequests: true, NoAnswers: true})
	case StoreOneWay, FrontOneWay:
		p.Set(proxy.Mode{NoRequests: s.Target%2 == 0, NoAnswers: s.Target%2 == 1})
	case StoreRefuse:
		p.Set(proxy.Mode{Refuse: true})
		p.Reset()
	case FrontDelay:
		p.Set(proxy.Mode{Delay: linkDelay})
	default:
	}
	w.sleep(ctx, s.Span)
	p.Set(proxy.Mode{})
	// What was dropped is missing from the connections that were open.
	p.Reset()
}

// linkDelay is how much later pieces arrive over a slow link.
const linkDelay = 80 * clock.Millisecond

// atStore does something to the store.
func (w *World) atStore(ctx context.Context, s Step) {
	const slow, lost = 200 * clock.Millisecond, 0.3
	from := w.now()
	defer w.trouble("", s.Kind, from)
	switch s.Kind {
	case StoreDown:
		w.state.SetFaults(standin.Faults{Outage: standin.AbortConnections})
	case StoreHang:
		w.state.SetFaults(standin.Faults{Outage: standin.HangCalls})
	case StoreSlow:
		w.state.SetFaults(standin.Faults{Latency: slow})
	default:
		w.state.SetFaults(standin.Faults{LostShare: lost})
	}
	w.sleep(ctx, s.Span)
	w.state.SetFaults(standin.Faults{})
}
