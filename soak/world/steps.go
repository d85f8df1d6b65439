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

// restartPause is the time between the exit of a process and its restart.
const restartPause = 500 * clock.Millisecond

// runPlan carries out a plan and returns when all steps are done.
func (w *World) runPlan(ctx context.Context, plan []Step) {
	var all sync.WaitGroup
	start := w.now()
	for _, s := range plan {
		w.sleep(ctx, start+s.At-w.now())
		all.Go(func() {
			klog.InfoS("step", "at", w.now(), "kind", s.Kind, "target", s.Target, "span", s.Span)
			if err := w.runStep(ctx, s); err != nil {
				klog.ErrorS(err, "step failed", "kind", s.Kind)
			}
		})
	}
	all.Wait()
}

// runStep carries out a step and returns when it is done.
func (w *World) runStep(ctx context.Context, s Step) error {
	d := w.daemons[s.Target%len(w.daemons)]
	switch s.Kind {
	case Kill, Pause, Term, Away, Hup:
		return w.runProcessStep(ctx, s, d)
	case StoreCut, StoreOneWay, StoreRefuse, StoreSilence, StoreReset:
		w.runLinkStep(ctx, s, d, d.storeProxy)
	case FrontDelay, FrontReset, FrontSilence, FrontOneWay:
		w.runLinkStep(ctx, s, d, d.frontProxy)
	case StoreDown, StoreHang, StoreSlow, StoreLost:
		w.runStoreStep(ctx, s)
	case Config:
		return w.operator.update(ctx, func() { w.operator.alterRoutes(s.Target) })
	case Reshard:
		return w.reshard(ctx)
	case ZoneOut:
		return w.evacuateZone(ctx, s)
	case MoveGood, MoveBad:
		return w.runRollout(ctx, s)
	default:
		return w.runUpstreamStep(ctx, s)
	}

	return nil
}

// runProcessStep carries out a step that acts on the process of a daemon.
func (w *World) runProcessStep(ctx context.Context, s Step, d *daemon) error {
	d.stepMu.Lock()
	defer d.stepMu.Unlock()
	from := w.now()
	switch s.Kind {
	case Hup:
		w.sleep(ctx, d.startedAt+bootTime-from)
		d.settings.Keep = 500*clock.Millisecond + clock.Milli(s.Target)
		if err := d.writeSettings(); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP, false)

		return nil
	case Pause:
		d.signal(syscall.SIGSTOP, false)
		w.sleep(ctx, s.Span)
		d.signal(syscall.SIGCONT, false)
		w.recordDisturbance(d.settings.Name, s.Kind, from)

		return nil
	case Kill:
		d.kill()
		w.sleep(ctx, restartPause)
		defer w.recordDisturbance(d.settings.Name, s.Kind, from)

		return d.start()
	default:
		return w.restart(ctx, s, d)
	}
}

// minAbsence is the minimum downtime of a daemon that stays away for a while.
const minAbsence = 9 * clock.Second

// restart stops a daemon gracefully and starts it again after a pause.
func (w *World) restart(ctx context.Context, s Step, d *daemon) error {
	stop := d.stop()
	pause := restartPause
	if s.Kind == Away {
		pause = minAbsence + s.Span
	}
	w.sleep(ctx, pause)
	stop.Back = w.now()
	w.record(func(l *check.Log) { l.Stops = append(l.Stops, stop) })
	// Time bounds do not apply to a daemon that is starting.
	defer w.recordDisturbance(d.settings.Name, "start", stop.Back)

	return d.start()
}

// runLinkStep carries out a step that acts on the connections through a proxy of a daemon.
func (w *World) runLinkStep(ctx context.Context, s Step, d *daemon, p *proxy.Proxy) {
	from := w.now()
	defer w.recordDisturbance(d.settings.Name, s.Kind, from)
	switch s.Kind {
	case StoreReset, FrontReset:
		p.Reset()

		return
	case StoreSilence, FrontSilence:
		p.Silence()
		// The open connections stay silent; new ones work.
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
	// Open connections have lost the bytes that were dropped, so they can't be used any more.
	p.Reset()
}

// linkDelay is the delay of each chunk on a slow connection.
const linkDelay = 80 * clock.Millisecond

// runStoreStep carries out a step that acts on the store.
func (w *World) runStoreStep(ctx context.Context, s Step) {
	const delay, lostShare = 200 * clock.Millisecond, 0.3
	from := w.now()
	defer w.recordDisturbance("", s.Kind, from)
	switch s.Kind {
	case StoreDown:
		w.storeStandin.SetFaults(standin.Faults{Outage: standin.Cut})
	case StoreHang:
		w.storeStandin.SetFaults(standin.Faults{Outage: standin.Hang})
	case StoreSlow:
		w.storeStandin.SetFaults(standin.Faults{Slow: delay})
	default:
		w.storeStandin.SetFaults(standin.Faults{Lost: lostShare})
	}
	w.sleep(ctx, s.Span)
	w.storeStandin.SetFaults(standin.Faults{})
}
