package world

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
	// Span is the period in which steps begin.
	Span    clock.Milli
	Daemons int
	// Clients is the number of callers, and Rate their total number of requests per second.
	Clients int
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
)

// World is the state of one run. It is safe for concurrent use.
type World struct {
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
	history check.Log
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", n%zoneCount) }

// Run carries out a plan and returns what callers and upstreams recorded.
func Run(ctx context.Context, o Options, plan []Step) (*check.Log, error) {
	w := &World{options: o, services: make(map[string]*service)}
	absolute := timer.New()
	w.startedAt = absolute()
	w.now = func() clock.Milli { return absolute() - w.startedAt }
	w.history.Bounds = check.Usual()
	ports := reservePorts(o.Seed)
	defer ports.release()
	w.lastPort = ports.first()
	if err := w.setUp(ctx); err != nil {
		w.close()

		return nil, err
	}
	defer w.close()
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	callers := w.startCallers(callersCtx)
	w.sleep(ctx, warmupDuration)
	w.runPlan(ctx, plan)
	w.record(func(l *check.Log) { l.Healed = w.now() })
	w.sleep(ctx, w.history.Bounds.Recovery+trailingDuration)
	stop()
	callers.Wait()
	w.stopDaemons()

	return &w.history, errors.Wrap(ctx.Err(), "world: run interrupted")
}

// setUp starts the store, the upstreams and the daemons, and writes the initial configuration.
func (w *World) setUp(ctx context.Context) error {
	if err := os.MkdirAll(w.options.Directory, 0o750); err != nil {
		return errors.Wrap(err, "world: cannot create the directory of settings and logs")
	}
	limits := standin.Usual()
	limits.Kept, limits.Seed = watchRevisions, w.options.Seed
	w.storeStandin = standin.NewLimited(timer.New(), limits)
	w.store = w.storeStandin.Platform()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "world: cannot listen for the store")
	}
	w.storeAddress = listener.Addr().String()
	w.storeServer = &http.Server{Handler: w.storeStandin.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.storeServer.Serve(listener) }()
	if err := w.startServices(ctx); err != nil {
		return err
	}
	w.operator = newOperator(w)
	if err := w.operator.writeConfig(ctx); err != nil {
		return err
	}
	for n := range w.options.Daemons {
		d, err := newDaemon(ctx, w, n)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}

	return nil
}

// stopDaemons stops the daemons gracefully and records how they exit.
func (w *World) stopDaemons() {
	w.record(func(l *check.Log) { l.End = w.now() })
	var all sync.WaitGroup
	for _, d := range w.daemons {
		all.Go(func() {
			s := d.stop()
			w.record(func(l *check.Log) { l.Stops = append(l.Stops, s) })
		})
	}
	all.Wait()
}

// close kills the daemons and closes the proxies, the upstreams and the store.
func (w *World) close() {
	for _, d := range w.daemons {
		d.kill()
		d.frontProxy.Close()
		d.storeProxy.Close()
	}
	for _, s := range w.services {
		s.close()
	}
	if w.storeServer != nil {
		_ = w.storeServer.Close()
	}
}

// record modifies the log under the mutex.
func (w *World) record(add func(*check.Log)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	add(&w.history)
}

// recordDisturbance records a period that ends now, in which a daemon, or all of them if daemon is
// empty, was disturbed.
func (w *World) recordDisturbance(daemon string, kind Kind, from clock.Milli) {
	t := check.Trouble{Daemon: daemon, What: string(kind), From: from, To: w.now()}
	w.record(func(l *check.Log) { l.Troubles = append(l.Troubles, t) })
}

// recordUpstreamDisturbance records a period that ends now, in which upstreams were faulty.
func (w *World) recordUpstreamDisturbance(kind Kind, from clock.Milli) {
	t := check.Trouble{What: string(kind), From: from, To: w.now()}
	w.record(func(l *check.Log) { l.Upsets = append(l.Upsets, t) })
}

// sleep waits for a duration or until ctx is cancelled.
func (w *World) sleep(ctx context.Context, span clock.Milli) {
	select {
	case <-ctx.Done():
	case <-time.After(max(0, span).Duration()):
	}
}
