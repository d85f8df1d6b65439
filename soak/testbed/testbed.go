package testbed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/io/store"
	"jacinthferry/io/timer"
	"jacinthferry/soak/check"
	standin "jacinthferry/standin/platform"
)

// Options configure a run.
type Options struct {
	// Binary is the path of the program. Directory receives settings and logs.
	Binary    string
	Directory string
	Seed      uint64
	// StepPeriod is the period in which steps begin.
	StepPeriod clock.Milli
	Daemons    int
	// SmallDaemons is the number of further daemons, which stand by while there are two others in their zone.
	SmallDaemons int
	// Callers is the number of callers, and Rate their total number of requests per second.
	Callers int
	Rate    float64
}

const (
	// watchRevisions is the number of past revisions from which watches of the store may start. It
	// is small, so that daemons that were disconnected have to read everything again.
	watchRevisions = 100
	// warmupDuration is how long callers run before the first step.
	warmupDuration = 3 * clock.Second
	// trailingDuration is how long callers continue after the recovery bound has passed.
	trailingDuration = 2 * clock.Second
	zoneCount        = 3
	// smallShare is the part of a core that a small daemon may use.
	smallShare = 0.1
)

// Testbed is the state of one run. It is safe for concurrent use.
type Testbed struct {
	options   Options
	now       func() clock.Milli
	startedAt clock.Milli
	// lastPort is the port that was tried last for a daemon.
	lastPort     int
	storeStandin *standin.Store
	store        store.Store
	storeServer  *http.Server
	storeAddress string
	daemons      []*daemon
	services     map[string]*service
	operator     *operator

	mu      sync.Mutex
	history check.History

	// zonesMu guards removedZones, the zones out of service by name.
	zonesMu      sync.Mutex
	removedZones map[string]*zoneRemoval
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", n%zoneCount) }

// Run carries out a plan and returns what callers and upstreams recorded.
func Run(ctx context.Context, o Options, plan []Step) (*check.History, error) {
	tb := &Testbed{options: o, services: make(map[string]*service), removedZones: make(map[string]*zoneRemoval)}
	absolute := timer.NewClock()
	tb.startedAt = absolute()
	tb.now = func() clock.Milli { return absolute() - tb.startedAt }
	tb.history.Bounds = check.DefaultBounds()
	ports := reservePorts(o.Seed)
	defer ports.release()
	tb.lastPort = ports.first()
	if err := tb.setUp(ctx); err != nil {
		tb.close()

		return nil, err
	}
	defer tb.close()
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	callers := tb.startCallers(callersCtx)
	tb.sleep(ctx, warmupDuration)
	tb.runPlan(ctx, plan)
	tb.record(func(h *check.History) { h.FaultsEnded = tb.now() })
	tb.sleep(ctx, tb.history.Bounds.Recovery+trailingDuration)
	stop()
	callers.Wait()
	tb.stopDaemons()

	return &tb.history, errors.Wrap(ctx.Err(), "testbed: run interrupted")
}

// setUp starts the store, the upstreams and the daemons, and writes the initial configuration.
func (tb *Testbed) setUp(ctx context.Context) error {
	if err := os.MkdirAll(tb.options.Directory, 0o750); err != nil {
		return errors.Wrap(err, "testbed: cannot create the directory of settings and logs")
	}
	limits := standin.DefaultLimits()
	limits.KeptRevisions, limits.Seed = watchRevisions, tb.options.Seed
	tb.storeStandin = standin.NewWithLimits(timer.NewClock(), limits)
	tb.store = tb.storeStandin.Operations()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "testbed: cannot listen for the store")
	}
	tb.storeAddress = listener.Addr().String()
	tb.storeServer = &http.Server{Handler: tb.storeStandin.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = tb.storeServer.Serve(listener) }()
	if err := tb.startServices(ctx); err != nil {
		return err
	}
	tb.operator = newOperator(tb)
	if err := tb.operator.writeConfig(ctx); err != nil {
		return err
	}
	for n := range tb.options.Daemons + tb.options.SmallDaemons {
		d, err := newDaemon(ctx, tb, n)
		if err != nil {
			return err
		}
		if n >= tb.options.Daemons {
			d.settings.CPUShare = smallShare
		}
		tb.daemons = append(tb.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}

	return nil
}

// stopDaemons stops the daemons gracefully and records how they exit.
func (tb *Testbed) stopDaemons() {
	tb.record(func(h *check.History) { h.End = tb.now() })
	var all sync.WaitGroup
	for _, d := range tb.daemons {
		all.Go(func() {
			s := d.stop()
			tb.record(func(h *check.History) { h.Stops = append(h.Stops, s) })
		})
	}
	all.Wait()
}

// close kills the daemons and closes the proxies, the upstreams and the store.
func (tb *Testbed) close() {
	for _, d := range tb.daemons {
		d.kill()
		d.frontProxy.Close()
		d.storeProxy.Close()
	}
	for _, s := range tb.services {
		s.close()
	}
	if tb.storeServer != nil {
		_ = tb.storeServer.Close()
	}
}

// record modifies the history under the mutex.
func (tb *Testbed) record(add func(*check.History)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	add(&tb.history)
}

// recordDisturbance records a period that ends now, in which a daemon, or all of them if daemon is
// empty, was disturbed.
func (tb *Testbed) recordDisturbance(daemon string, kind StepKind, from clock.Milli) {
	d := check.Disturbance{Daemon: daemon, Cause: string(kind), From: from, To: tb.now()}
	tb.record(func(h *check.History) { h.DaemonDisturbances = append(h.DaemonDisturbances, d) })
}

// recordUpstreamDisturbance records a period that ends now, in which upstreams were faulty.
func (tb *Testbed) recordUpstreamDisturbance(kind StepKind, from clock.Milli) {
	d := check.Disturbance{Cause: string(kind), From: from, To: tb.now()}
	tb.record(func(h *check.History) { h.UpstreamDisturbances = append(h.UpstreamDisturbances, d) })
}

// sleep waits for a duration or until ctx is cancelled.
func (tb *Testbed) sleep(ctx context.Context, duration clock.Milli) {
	select {
	case <-ctx.Done():
	case <-time.After(max(0, duration).Duration()):
	}
}
