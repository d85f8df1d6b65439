package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/rollout"
	"jacinthferry/io/gateway"
	"jacinthferry/io/journal"
	"jacinthferry/io/registry"
	"jacinthferry/io/relay"
	"jacinthferry/io/settings"
	"jacinthferry/io/socket"
	"jacinthferry/io/timer"
	"jacinthferry/platform"
)

const (
	// journalSize is how many events a daemon keeps.
	journalSize = 256
	// storeDial bounds the opening of a connection to the store, and storeAck how long bytes written
	// there may stay unacknowledged.
	storeDial = 500 * clock.Millisecond
	storeAck  = clock.Second
	// relayDial and relayAck are the same for links to other daemons.
	relayDial = 500 * clock.Millisecond
	relayAck  = clock.Second
	// reserve is the time kept back from a caller's deadline for the answer's way.
	reserve = 5 * clock.Millisecond
	// The end of the grace: drainTime before it no more requests are taken and those that run are
	// waited for, and exitTime before it the process ends.
	drainTime = 1300 * clock.Millisecond
	exitTime  = 300 * clock.Millisecond
	// headerTimeout bounds the reading of a request's header, and headerLimit its bytes. The operators'
	// limits are smaller.
	headerTimeout = 10 * time.Second
	headerLimit   = 1 << 20
)

// Entry is one running entry daemon.
type Entry struct {
	settings atomic.Pointer[settings.Entry]
	now      func() clock.Milli
	journal  *journal.Journal
	registry *registry.Registry
	lease    *registry.Lease
	gateway  *gateway.Gateway
	idle     *socket.Idle
	leaving  atomic.Bool
	servers  []*http.Server
	cancel   context.CancelFunc
}

// Start starts an entry daemon and returns once its listeners are open.
func Start(ctx context.Context, s settings.Entry) (*Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	now := timer.New()
	e := &Entry{cancel: cancel, now: now, journal: journal.New(s.Name, journalSize, now)}
	e.settings.Store(&s)
	store := &http.Client{Transport: &http.Transport{DialContext: socket.Dialer(storeDial, storeAck).DialContext}}
	ports := registry.Ports{
		Now: now, Store: platform.NewStore(s.Store, store), Decode: platform.Decode, Record: e.journal.Record,
		Counts: e.counts, Report: platform.EncodeReport,
		Learn: func(p quarantine.Print) { e.gateway.Quarantine(p) },
		Self:  registry.Member{Name: s.Name, Front: s.Front, Zone: s.Zone, Relay: s.Relay, Cores: s.Cores * s.Share},
	}
	e.registry = registry.New(ports)
	e.lease = registry.NewLease(ports, e.registry.Settled)
	links := relay.NewLinks(ctx, now, &http.Client{Transport: &http.Transport{
		DialContext: socket.Dialer(relayDial, relayAck).DialContext,
	}}, s.Name, e.relays)
	e.gateway = gateway.New(gateway.Ports{
		Relay: links.Send,
		Now:   now, View: e.registry.View, Daemons: e.registry.Daemons, Heard: e.registry.Heard, Codec: platform.Codec(),
		Record: e.journal.Record, Observe: e.observe, Quarantined: e.registry.Quarantined, Zone: s.Zone, Policy: policy(s),
	})
	e.idle = socket.NewIdle(now, func() clock.Milli { return e.gateway.Limits().Idle })
	front := &platform.Front{
		Now: now, Serve: e.gateway.Serve, Limits: e.gateway.Limits, Leaving: e.leaving.Load,
	}
	if err := e.listen(ctx, front); err != nil {
		e.Close()

		return nil, err
	}
	go e.registry.Run(ctx)
	go e.lease.Run(ctx)
	go e.gateway.Run(ctx)
	go e.idle.Run(ctx)

	return e, nil
}

// counts returns what this daemon has counted for a move.
func (e *Entry) counts(service string, m catalog.Move) map[string]rollout.Counts {
	return e.gateway.Counts(service, m)
}

func policy(s settings.Entry) gather.Policy {
	return gather.Policy{Extra: s.Repeats.Ratio, Slack: s.Repeats.Slack, Reserve: reserve, Trial: s.Trial}
}

// Reload takes new settings. Those that a running process cannot change, such as addresses, stay as
// they are until the next start; the log says so.
func (e *Entry) Reload(s settings.Entry) {
	old := *e.settings.Load()
	if s == old {
		return
	}
	kept := s
	kept.Name, kept.Zone, kept.Store = old.Name, old.Zone, old.Store
	kept.Front, kept.Ready, kept.Directory, kept.Metrics = old.Front, old.Ready, old.Directory, old.Metrics
	kept.Relay = old.Relay
	e.settings.Store(&kept)
	e.gateway.SetPolicy(policy(kept))
	klog.InfoS("reloaded", "name", old.Name, "needs restart", kept != s)
}

// listen opens the listeners. What they serve ends with ctx.
func (e *Entry) listen(ctx context.Context, front http.Handler) error {
	s := e.settings.Load()
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{s.Front, front},
		{s.Ready, platform.Ready(e.Ready)},
		{s.Directory, platform.Directory(e.addresses)},
		{s.Metrics, http.HandlerFunc(e.metrics)},
		{s.Relay, &relay.Server{Now: e.now, Send: e.gateway.SendLegs}},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "entry: cannot listen on %s", l.address)
		}
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerLimit,
			ConnContext: socket.WithWay, ConnState: e.idle.State,
			BaseContext: func(net.Listener) context.Context { return ctx },
		}
		e.servers = append(e.servers, server)
		go func() { _ = server.Serve(listener) }()
	}

	return nil
}

// Ready reports whether the daemon takes requests.
func (e *Entry) Ready() bool {
	view := e.registry.View()

	return !e.leaving.Load() && !e.registry.Standby() && view != nil && view.Config != nil
}

// relays returns the daemons of an availability zone that send legs for others.
func (e *Entry) relays(zone string) []string {
	state := e.registry.State()
	if state == nil {
		return nil
	}
	var list []string
	for _, m := range state.Members {
		if m.Zone == zone && m.Relay != "" {
			list = append(list, m.Relay)
		}
	}

	return list
}

// addressLimit is how many addresses a caller takes at most.
const addressLimit = 64

// addresses names the daemons for callers in an availability zone, those of the zone first. Others
// follow, so that a caller has somewhere to go when its zone is lost.
func (e *Entry) addresses(zone string) platform.Addresses {
	state := e.registry.State()
	if state == nil {
		return platform.Addresses{}
	}
	var near, far []string
	for _, m := range state.Members {
		if m.Zone == zone {
			near = append(near, m.Front)
		} else {
			far = append(far, m.Front)
		}
	}
	near = append(near, far...)

	return platform.Addresses{List: near[:min(len(near), addressLimit)], Keep: e.settings.Load().Keep}
}

// observe adds a request to the histogram of its route's latencies.
func (e *Entry) observe(route string, span clock.Milli, answered bool) {
	result := "refused"
	if answered {
		result = "answered"
	}
	name := fmt.Sprintf("jacinthferry_request_seconds{route=%q,result=%q}", route, result)
	e.journal.Metrics().GetOrCreateHistogram(name).Update(float64(span / clock.Second))
}

func (e *Entry) metrics(w http.ResponseWriter, _ *http.Request) { e.journal.WriteMetrics(w) }

// Stop leaves the directory, serves on for most of the grace, finishes what runs, and ends.
func (e *Entry) Stop(ctx context.Context) {
	begin := time.Now()
	s := e.settings.Load()
	e.leaving.Store(true)
	e.lease.Leave(ctx)
	klog.InfoS("left", "name", s.Name)
	time.Sleep(time.Until(begin.Add((s.Grace - drainTime).Duration())))
	ctx, cancel := context.WithDeadline(ctx, begin.Add((s.Grace - exitTime).Duration()))
	defer cancel()
	// The first server is the front.
	if err := e.servers[0].Shutdown(ctx); err != nil {
		klog.InfoS("requests cut", "name", s.Name, "err", err)
	}
	e.Close()
}

// Close ends the daemon at once.
func (e *Entry) Close() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close()
	}
}
