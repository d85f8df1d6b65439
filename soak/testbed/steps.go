package testbed

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
func (tb *Testbed) runPlan(ctx context.Context, plan []Step) {
	var all sync.WaitGroup
	start := tb.now()
	for _, s := range plan {
		tb.sleep(ctx, start+s.At-tb.now())
		all.Go(func() {
			klog.InfoS("step", "at", tb.now(), "kind", s.Kind, "target", s.Target, "span", s.Duration)
			if err := tb.runStep(ctx, s); err != nil {
				klog.ErrorS(err, "step failed", "kind", s.Kind)
			}
		})
	}
	all.Wait()
}

// runStep carries out a step and returns when it is done.
func (tb *Testbed) runStep(ctx context.Context, s Step) error {
	d := tb.daemons[s.Target%len(tb.daemons)]
	switch s.Kind {
	case Kill, Pause, Term, Away, Hup:
		return tb.runProcessStep(ctx, s, d)
	case StoreCut, StoreOneWay, StoreRefuse, StoreSilence, StoreReset:
		tb.runLinkStep(ctx, s, d, d.storeProxy)
	case FrontDelay, FrontReset, FrontSilence, FrontOneWay:
		tb.runLinkStep(ctx, s, d, d.frontProxy)
	case StoreDown, StoreHang, StoreSlow, StoreLost:
		tb.runStoreStep(ctx, s)
	case Config:
		return tb.operator.update(ctx, func() { tb.operator.alterRoutes(s.Target) })
	case Reshard:
		return tb.reshard(ctx)
	case ZoneOut:
		return tb.evacuateZone(ctx, s)
	case MoveGood, MoveBad, MoveBack:
		return tb.runRollout(ctx, s)
	default:
		return tb.runUpstreamStep(ctx, s)
	}

	return nil
}

// runProcessStep carries out a step that acts on the process of a daemon.
func (tb *Testbed) runProcessStep(ctx context.Context, s Step, d *daemon) error {
	d.stepMu.Lock()
	defer d.stepMu.Unlock()
	from := tb.now()
	switch s.Kind {
	case Hup:
		tb.sleep(ctx, d.startedAt+bootTime-from)
		d.settings.DirectoryTTL = 500*clock.Millisecond + clock.Milli(s.Target)
		if err := d.writeSettings(); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP, false)

		return nil
	case Pause:
		d.signal(syscall.SIGSTOP, false)
		tb.sleep(ctx, s.Duration)
		d.signal(syscall.SIGCONT, false)
		tb.recordDisturbance(d.settings.Name, s.Kind, from)

		return nil
	case Kill:
		d.kill()
		tb.sleep(ctx, restartPause)
		defer tb.recordDisturbance(d.settings.Name, s.Kind, from)

		return d.start()
	default:
		return tb.restart(ctx, s, d)
	}
}

// minAbsence is the minimum downtime of a daemon that stays away for a while.
const minAbsence = 9 * clock.Second

// restart stops a daemon gracefully and starts it again after a pause.
func (tb *Testbed) restart(ctx context.Context, s Step, d *daemon) error {
	stop := d.stop()
	pause := restartPause
	if s.Kind == Away {
		pause = minAbsence + s.Duration
	}
	tb.sleep(ctx, pause)
	stop.RestartedAt = tb.now()
	tb.record(func(h *check.History) { h.Stops = append(h.Stops, stop) })
	// Time bounds do not apply to a daemon that is starting.
	defer tb.recordDisturbance(d.settings.Name, "start", stop.RestartedAt)

	return d.start()
}

// runLinkStep carries out a step that acts on the connections through a proxy of a daemon.
func (tb *Testbed) runLinkStep(ctx context.Context, s Step, d *daemon, p *proxy.Proxy) {
	from := tb.now()
	defer tb.recordDisturbance(d.settings.Name, s.Kind, from)
	switch s.Kind {
	case StoreReset, FrontReset:
		p.ResetConnections()

		return
	case StoreSilence, FrontSilence:
		p.Blackhole()
		// The open connections stay black-holed; new ones work.
		tb.sleep(ctx, s.Duration)

		return
	case StoreCut:
		p.SetMode(proxy.Mode{DropRequests: true, DropResponses: true})
	case StoreOneWay, FrontOneWay:
		p.SetMode(proxy.Mode{DropRequests: s.Target%2 == 0, DropResponses: s.Target%2 == 1})
	case StoreRefuse:
		p.SetMode(proxy.Mode{Refuse: true})
		p.ResetConnections()
	case FrontDelay:
		p.SetMode(proxy.Mode{Delay: linkDelay})
	default:
	}
	tb.sleep(ctx, s.Duration)
	p.SetMode(proxy.Mode{})
	// Open connections have lost the bytes that were dropped, so they can't be used any more.
	p.ResetConnections()
}

// linkDelay is the delay of each chunk on a slow connection.
const linkDelay = 80 * clock.Millisecond

// runStoreStep carries out a step that acts on the store.
func (tb *Testbed) runStoreStep(ctx context.Context, s Step) {
	const delay, lostShare = 200 * clock.Millisecond, 0.3
	from := tb.now()
	defer tb.recordDisturbance("", s.Kind, from)
	switch s.Kind {
	case StoreDown:
		tb.storeStandin.SetFaults(standin.Faults{Outage: standin.AbortConnections})
	case StoreHang:
		tb.storeStandin.SetFaults(standin.Faults{Outage: standin.HangCalls})
	case StoreSlow:
		tb.storeStandin.SetFaults(standin.Faults{Latency: delay})
	default:
		tb.storeStandin.SetFaults(standin.Faults{LostShare: lostShare})
	}
	tb.sleep(ctx, s.Duration)
	tb.storeStandin.SetFaults(standin.Faults{})
}
