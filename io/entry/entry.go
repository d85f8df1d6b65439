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
	// journalSize is the number of events that the journal retains.
	journalSize = 256
	// storeDialTimeout limits the time to open a connection to the store, and storeAckTimeout the time that
	// bytes written to it may remain unacknowledged.
	storeDialTimeout = 500 * clock.Millisecond
	storeAckTimeout  = clock.Second
	// relayDialTimeout and relayAckTimeout are the same limits for links to other daemons.
	relayDialTimeout = 500 * clock.Millisecond
	relayAckTimeout  = clock.Second
	// responseMemoryPerMB is how many bytes of each megabyte of memory the large responses of upstreams may take.
	responseMemoryPerMB = 256 << 10
	// maxStoreHeaderBytes and maxRelayHeaderBytes limit the size of a response's header.
	maxStoreHeaderBytes = 64 << 10
	maxRelayHeaderBytes = 16 << 10
	// replyReserve is the part of a caller's deadline reserved for sending the answer.
	replyReserve = 5 * clock.Millisecond
	// Times before the end of the shutdown grace period: at drainMargin the daemon stops accepting
	// requests and waits for those in progress, and at exitMargin the process exits.
	drainMargin = 1300 * clock.Millisecond
	exitMargin  = 300 * clock.Millisecond
	// answerMargin is how long before exitMargin the requests in progress are answered at the latest.
	answerMargin = 100 * clock.Millisecond
	// headerTimeout limits the time to read a request's header, and maxHeaderBytes its size. The limits
	// that operators configure are smaller.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 1 << 20
)

// Entry is one running entry daemon.
type Entry struct {
	settings atomic.Pointer[settings.Entry]
	now      func() clock.Milli
	journal  *journal.Journal
	registry *registry.Registry
	lease    *registry.Lease
	gateway  *gateway.Gateway
	idle     *socket.IdleCloser
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
	servers  []*http.Server
	cancel   context.CancelFunc
}

// Start starts an entry daemon and returns once its listeners are open. Cancelling ctx stops its background
// work but leaves the listeners open; Stop or Close closes them.
func Start(ctx context.Context, s settings.Entry) (*Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	now := timer.NewClock()
	e := &Entry{cancel: cancel, now: now, journal: journal.New(s.Name, journalSize, now)}
	e.settings.Store(&s)
	store := &http.Client{Transport: &http.Transport{
		DialContext:            socket.NewDialer(storeDialTimeout, storeAckTimeout).DialContext,
		MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}}
	options := registry.Options{
		Now: now, Store: platform.NewStore(s.StoreAddress, store), Decode: platform.DecodeEntry, Record: e.journal.Record,
		Counts: e.counts, EncodeReport: platform.EncodeRolloutReport,
		OnWarning: func(w quarantine.Warning) { e.gateway.MergeWarning(w) },
		Self: registry.Member{
			Name: s.Name, Front: s.RequestAddress, Zone: s.Zone, Relay: s.RelayAddress, Cores: s.Cores * s.CPUShare,
		},
	}
	e.registry = registry.New(options)
	e.lease = registry.NewLease(options, e.registry.Role, e.registry.RoleChanges())
	peerClient := &http.Client{Transport: &http.Transport{
		DialContext:            socket.NewDialer(relayDialTimeout, relayAckTimeout).DialContext,
		MaxResponseHeaderBytes: maxRelayHeaderBytes,
	}}
	links := relay.NewClient(ctx, now, peerClient, s.Name, e.relayAddresses, e.otherRelayAddresses)
	follower := &relay.Follower{
		HTTPClient: peerClient, Wanted: e.registry.Following, Addresses: e.followedAddresses,
		Hear: e.registry.Hear, HearNothing: e.registry.HearNothing,
	}
	e.gateway = gateway.New(gateway.Options{
		Relay: links.Send,
		Now:   now, View: e.registry.View, DaemonCount: e.registry.DaemonCount, StoreContact: e.registry.StoreContact,
		Codec:  platform.NewCodec(),
		Record: e.journal.Record, Observe: e.observe, Zone: s.Zone,
		Policy: policy(s), ResponseMemory: s.MemoryMB * responseMemoryPerMB,
		OnCrash: func(w quarantine.Warning) {
			links.Warn(w)
			e.registry.PublishCrash(w)
		},
	})
	e.idle = socket.NewIdleCloser(now, func() clock.Milli { return e.gateway.Limits().IdleTimeout })
	front := &platform.CallerHandler{
		Now: now, Serve: e.gateway.Serve, Limits: e.gateway.Limits, ShuttingDown: e.stopping.Load,
	}
	if err := e.listen(ctx, front); err != nil {
		e.Close()

		return nil, err
	}
	go e.registry.Run(ctx)
	go follower.Run(ctx)
	go e.lease.Run(ctx)
	go e.gateway.Run(ctx)
	go e.idle.Run(ctx)

	return e, nil
}

// counts returns this daemon's request counts for a move, by route. It defers to the gateway, which does not
// exist yet when the registry is created.
func (e *Entry) counts(service string, m catalog.Rollout) map[string]rollout.Counts {
	return e.gateway.RolloutCounts(service, m)
}

func policy(s settings.Entry) gather.Policy {
	return gather.Policy{
		RetryRatio: s.RetryBudget.Ratio, RetrySlack: s.RetryBudget.Slack, DeadlineMargin: replyReserve,
		CanaryShare: s.CanaryShare,
	}
}

// Reload applies new settings. Those that a running process cannot change, such as addresses, take effect
// at the next start, and a log line says that a restart is needed.
func (e *Entry) Reload(s settings.Entry) {
	old := *e.settings.Load()
	if s == old {
		return
	}
	merged := s
	merged.Name, merged.Zone, merged.StoreAddress = old.Name, old.Zone, old.StoreAddress
	merged.RequestAddress, merged.ReadinessAddress, merged.DirectoryAddress, merged.MetricsAddress = old.RequestAddress,
		old.ReadinessAddress, old.DirectoryAddress, old.MetricsAddress
	merged.RelayAddress = old.RelayAddress
	e.settings.Store(&merged)
	e.gateway.SetPolicy(policy(merged))
	klog.InfoS("reloaded", "name", old.Name, "needs restart", merged != s)
}

// listen opens the listeners. The contexts of their requests derive from ctx.
func (e *Entry) listen(ctx context.Context, front http.Handler) error {
	s := e.settings.Load()
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{s.RequestAddress, front},
		{s.ReadinessAddress, platform.ReadyHandler(e.Ready)},
		{s.DirectoryAddress, platform.DirectoryHandler(e.addresses)},
		{s.MetricsAddress, http.HandlerFunc(e.metrics)},
		{s.RelayAddress, e.peerHandler()},
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
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnContext: socket.WithNetworkDelay, ConnState: e.idle.ConnState,
			BaseContext: func(net.Listener) context.Context { return ctx },
		}
		e.servers = append(e.servers, server)
		go func() { _ = server.Serve(listener) }()
	}

	return nil
}

// peerHandler returns the handler for other daemons.
func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relay.Path, &relay.Server{Now: e.now, SendLegs: e.gateway.SendLegs, Warn: e.gateway.MergeWarning})
	mux.Handle(relay.MembersPath, &relay.MembersServer{
		View: e.registry.MemberView, Changed: e.registry.MembersChanged,
	})

	return mux
}

// Ready reports whether the daemon accepts requests: it has a configuration, is not on standby and is not
// shutting down.
func (e *Entry) Ready() bool {
	view := e.registry.View()

	return !e.stopping.Load() && !e.registry.Standby() && view != nil && view.Config != nil
}

// relayAddresses returns the relay addresses of the daemons in an availability zone that send legs for others.
func (e *Entry) relayAddresses(zone string) []string {
	return e.relays(func(m registry.Member) bool { return m.Zone == zone })
}

// otherRelayAddresses returns the relay addresses of all other daemons that serve requests.
func (e *Entry) otherRelayAddresses() []string {
	self := e.settings.Load().Name

	return e.relays(func(m registry.Member) bool { return m.Name != self })
}

// followedAddresses returns the relay addresses of the daemons that serve requests, those in this daemon's availability
// zone first, and how many these are.
func (e *Entry) followedAddresses() (addresses []string, sameZone int) {
	zone := e.settings.Load().Zone
	addresses = e.relayAddresses(zone)
	sameZone = len(addresses)

	return append(addresses, e.relays(func(m registry.Member) bool { return m.Zone != zone })...), sameZone
}

// relays returns the relay addresses of the daemons that match.
func (e *Entry) relays(match func(registry.Member) bool) []string {
	state := e.registry.State()
	if state == nil {
		return nil
	}
	var list []string
	for _, m := range state.Members {
		if m.Relay != "" && match(m) {
			list = append(list, m.Relay)
		}
	}

	return list
}

// maxAddresses is how many addresses a caller accepts at most.
const maxAddresses = 64

// addresses lists the daemons for callers in an availability zone, those in the zone first. The others
// follow, so that callers can fail over when their zone is down.
func (e *Entry) addresses(zone string) platform.Addresses {
	state := e.registry.State()
	if state == nil {
		return platform.Addresses{}
	}
	var sameZone, otherZones []string
	for _, m := range state.Named {
		if m.Zone == zone {
			sameZone = append(sameZone, m.Front)
		} else {
			otherZones = append(otherZones, m.Front)
		}
	}
	sameZone = append(sameZone, otherZones...)

	return platform.Addresses{List: sameZone[:min(len(sameZone), maxAddresses)], TTL: e.settings.Load().DirectoryTTL}
}

// observe adds a request to the latency histogram of its route.
func (e *Entry) observe(route string, latency clock.Milli, answered bool) {
	result := "refused"
	if answered {
		result = "answered"
	}
	name := fmt.Sprintf("jacinthferry_request_seconds{route=%q,result=%q}", route, result)
	e.journal.Metrics().GetOrCreateHistogram(name).Update(float64(latency / clock.Second))
}

func (e *Entry) metrics(w http.ResponseWriter, _ *http.Request) { e.journal.WriteMetrics(w) }

// Stop shuts the daemon down gracefully: it removes the daemon from the directory, keeps serving for most of
// the grace period, waits for requests in progress, and closes the daemon.
func (e *Entry) Stop(ctx context.Context) {
	started := time.Now()
	s := e.settings.Load()
	e.stopping.Store(true)
	e.gateway.Stop(e.now() + s.GracePeriod - exitMargin - answerMargin)
	ctx, cancel := context.WithDeadline(ctx, started.Add((s.GracePeriod - exitMargin).Duration()))
	defer cancel()
	left := make(chan struct{})
	go func() {
		defer close(left)
		e.lease.Release(ctx)
		klog.InfoS("left", "name", s.Name)
	}()
	time.Sleep(time.Until(started.Add((s.GracePeriod - drainMargin).Duration())))
	// The first server is the one that callers use.
	if err := e.servers[0].Shutdown(ctx); err != nil {
		klog.InfoS("graceful shutdown failed; aborting unfinished requests", "name", s.Name, "err", err)
	}
	<-left
	e.Close()
}

// Close stops the daemon at once, aborting requests in progress.
func (e *Entry) Close() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close()
	}
}
