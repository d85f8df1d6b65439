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
	tb := &World{options: o, services: make(map[string]*service)}
	absolute := timer.New()
	tb.startedAt = absolute()
	tb.now = func() clock.Milli { return absolute() - tb.startedAt }
	tb.history.Bounds = check.Usual()
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
	tb.record(func(h *check.Log) { h.Healed = tb.now() })
	tb.sleep(ctx, tb.history.Bounds.Recovery+trailingDuration)
	stop()
	callers.Wait()
	tb.stopDaemons()

	return &tb.history, errors.Wrap(ctx.Err(), "testbed: run interrupted")
}

// setUp starts the store, the upstreams and the daemons, and writes the initial configuration.
func (tb *World) setUp(ctx context.Context) error {
	if err := os.MkdirAll(tb.options.Directory, 0o750); err != nil {
		return errors.Wrap(err, "testbed: cannot create the directory of settings and logs")
	}
	limits := standin.Usual()
	limits.Kept, limits.Seed = watchRevisions, tb.options.Seed
	tb.storeStandin = standin.NewLimited(timer.New(), limits)
	tb.store = tb.storeStandin.Platform()
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
	for n := range tb.options.Daemons {
		d, err := newDaemon(ctx, tb, n)
		if err != nil {
			return err
		}
		tb.daemons = append(tb.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}

	return nil
}

// stopDaemons stops the daemons gracefully and records how they exit.
func (tb *World) stopDaemons() {
	tb.record(func(h *check.Log) { h.End = tb.now() })
	var all sync.WaitGroup
	for _, d := range tb.daemons {
		all.Go(func() {
			s := d.stop()
			tb.record(func(h *check.Log) { h.Stops = append(h.Stops, s) })
		})
	}
	all.Wait()
}

// close kills the daemons and closes the proxies, the upstreams and the store.
func (tb *World) close() {
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
func (tb *World) record(add func(*check.Log)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	add(&tb.history)
}

// recordDisturbance records a period that ends now, in which a daemon, or all of them if daemon is
// empty, was disturbed.
func (tb *World) recordDisturbance(daemon string, kind Kind, from clock.Milli) {
	d := check.Trouble{Daemon: daemon, What: string(kind), From: from, To: tb.now()}
	tb.record(func(h *check.Log) { h.Troubles = append(h.Troubles, d) })
}

// recordUpstreamDisturbance records a period that ends now, in which upstreams were faulty.
func (tb *World) recordUpstreamDisturbance(kind Kind, from clock.Milli) {
	d := check.Trouble{What: string(kind), From: from, To: tb.now()}
	tb.record(func(h *check.Log) { h.Upsets = append(h.Upsets, d) })
}

// sleep waits for a duration or until ctx is cancelled.
func (tb *World) sleep(ctx context.Context, duration clock.Milli) {
	select {
	case <-ctx.Done():
	case <-time.After(max(0, duration).Duration()):
	}
}
