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

// Options say what is run.
type Options struct {
	// Binary is the program, and Directory where settings and logs go.
	Binary    string
	Directory string
	Seed      uint64
	// Span is how long steps begin.
	Span    clock.Milli
	Daemons int
	// Clients is how many callers there are, and Rate how many requests a second they send together.
	Clients int
	Rate    float64
}

const (
	// kept is how many revisions back the store's watches may start: few, so that daemons which were
	// away have to read all anew.
	kept = 100
	// warmSpan is how long the world runs before the first step.
	warmSpan = 3 * clock.Second
	// tailSpan is how long callers go on after the system must have recovered.
	tailSpan = 2 * clock.Second
	zones    = 3
)

// World is one run. It is safe for concurrent use.
type World struct {
	options Options
	now     func() clock.Milli
	began   clock.Milli
	// port is the last one that was tried for a daemon.
	port         int
	state        *standin.Store
	store        store.Store
	server       *http.Server
	storeAddress string
	daemons      []*daemon
	services     map[string]*service
	operator     *operator

	mu  sync.Mutex
	log check.Log
}

func zone(n int) string { return fmt.Sprintf("zone-%d", n%zones) }

// Run plays a plan and returns what callers and upstreams saw.
func Run(ctx context.Context, o Options, plan []Step) (*check.Log, error) {
	w := &World{options: o, services: make(map[string]*service)}
	absolute := timer.NewClock()
	w.began = absolute()
	w.now = func() clock.Milli { return absolute() - w.began }
	w.log.Bounds = check.Usual()
	ports := takePorts(o.Seed)
	defer ports.release()
	w.port = ports.first()
	if err := w.open(ctx); err != nil {
		w.close()

		return nil, err
	}
	defer w.close()
	asking, stop := context.WithCancel(ctx)
	defer stop()
	callers := w.ask(asking)
	w.sleep(ctx, warmSpan)
	w.carryOut(ctx, plan)
	w.note(func(l *check.Log) { l.Healed = w.now() })
	w.sleep(ctx, w.log.Bounds.Recovery+tailSpan)
	stop()
	callers.Wait()
	w.end()

	return &w.log, errors.Wrap(ctx.Err(), "world: interrupted")
}

// open starts the store, the upstreams and the daemons, and writes the first configuration.
func (w *World) open(ctx context.Context) error {
	if err := os.MkdirAll(w.options.Directory, 0o750); err != nil {
		return errors.Wrap(err, "world: cannot make a directory")
	}
	limits := standin.DefaultLimits()
	limits.KeptRevisions, limits.Seed = kept, w.options.Seed
	w.state = standin.NewWithLimits(timer.NewClock(), limits)
	w.store = w.state.Operations()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "world: cannot listen")
	}
	w.storeAddress = listener.Addr().String()
	w.server = &http.Server{Handler: w.state.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	if err := w.openServices(ctx); err != nil {
		return err
	}
	w.operator = newOperator(w)
	if err := w.operator.write(ctx); err != nil {
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

// end stops the daemons in an orderly way.
func (w *World) end() {
	w.note(func(l *check.Log) { l.End = w.now() })
	var all sync.WaitGroup
	for _, d := range w.daemons {
		all.Go(func() {
			s := d.stop()
			w.note(func(l *check.Log) { l.Stops = append(l.Stops, s) })
		})
	}
	all.Wait()
}

// close ends everything that runs.
func (w *World) close() {
	for _, d := range w.daemons {
		d.kill()
		d.front.Close()
		d.store.Close()
	}
	for _, s := range w.services {
		s.close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}

// note adds to the log.
func (w *World) note(add func(*check.Log)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	add(&w.log)
}

// trouble notes a time in which a daemon, or all of them, were disturbed.
func (w *World) trouble(daemon string, kind Kind, from clock.Milli) {
	t := check.Trouble{Daemon: daemon, What: string(kind), From: from, To: w.now()}
	w.note(func(l *check.Log) { l.Troubles = append(l.Troubles, t) })
}

// upset notes a time in which upstreams did wrong.
func (w *World) upset(kind Kind, from clock.Milli) {
	t := check.Trouble{What: string(kind), From: from, To: w.now()}
	w.note(func(l *check.Log) { l.Upsets = append(l.Upsets, t) })
}

// sleep returns after a span, or when ctx ends.
func (w *World) sleep(ctx context.Context, span clock.Milli) {
	select {
	case <-ctx.Done():
	case <-time.After(max(0, span).Duration()):
	}
}
