package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/home"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/core/submit"
	"jacinthferry/io/caller"
	"jacinthferry/io/control"
	"jacinthferry/io/journal"
	"jacinthferry/io/ledger"
	"jacinthferry/io/peer"
	"jacinthferry/io/rpc"
	"jacinthferry/io/secure"
	"jacinthferry/io/settings"
	"jacinthferry/io/store"
	"jacinthferry/io/timer"
	"jacinthferry/io/traffic"
	"jacinthferry/platform"
)

// journalSize is how many events a daemon keeps.
const journalSize = 8192

// Daemon is one running daemon.
type Daemon struct {
	settings  settings.Settings
	now       func() clock.Milli
	table     atomic.Pointer[route.Table]
	journal   *journal.Journal
	store     store.Store
	edges     edges
	started   clock.Milli
	upstreams *upstreams
	links     *links
	group     *traffic.Group
	submits   *submits
	control   *control.Control
	servers   []*rpc.Server
	cancel    context.CancelFunc
	// assembled is closed once all parts are there.
	assembled chan struct{}
}

// Start starts a daemon and returns once its listeners are open.
func Start(ctx context.Context, s settings.Settings) (*Daemon, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Daemon{settings: s, now: timer.NewClock(), cancel: cancel, assembled: make(chan struct{})}
	d.journal = journal.New(s.Name, journalSize, d.now)
	edges, err := newEdges(s, d.journal.Record)
	if err != nil {
		cancel()

		return nil, err
	}
	d.edges, d.started = edges, d.now()
	d.store = platform.NewStore(s.Platform.Address, rpc.NewClientWithCredentials(0, edges.platform))
	d.upstreams = newUpstreams(ctx, s.Home, d.now, edges.upstream)
	d.links = newLinks(ctx, s.Name)
	d.links.access = peer.Auth{Client: rpc.NewClientWithCredentials(0, edges.peer)}
	d.group = traffic.New(s.Query.Lanes, traffic.Options{
		Self: s.Name, Now: d.now, Table: d.table.Load, RunLeg: d.run,
		ForwardLeg: d.links.forward, CancelForwarded: d.links.recall, SendWarning: d.links.warn,
		Record: d.journal.Record, QueryPolicy: s.Query.Policy(), QuarantineConfig: s.Query.Quarantine.Config(),
		CancelLeg: d.upstreams.stop, OpenConnections: d.upstreams.prepare, CloseIdleConnections: d.upstreams.leave,
		IsMember: d.counted, SendHandover: d.links.handover, QueuePolicy: admitPolicy(s.Home),
		HandoverConfig: homeRules(s.Home),
		EnableHandover: s.Home.Handover, HandoverPeers: s.Home.HandoverPeers, Seed: uint64(time.Now().UnixNano()),
	})
	d.upstreams.watch(d.group, d.journal.Record)
	if err := d.listen(); err != nil {
		d.Close()

		return nil, err
	}
	d.links.broken = func(name string) { d.control.HandleLinkFailure(name) }
	d.links.unlinked = func(name string) { d.control.HandleLinkLost(name) }
	d.links.opened = func(name string) {
		d.control.HandleLinkOpened(name)
		d.group.HandleLinkOpened(name)
		d.links.warnAll(name, d.group.Warnings())
	}
	d.control = control.New(ctx, d.controls())
	d.links.handlers = d.handlers()
	d.submits = newSubmits(ledger.New(ctx, d.ledgerPorts()))
	close(d.assembled)
	if len(s.Control.Seeds) > 0 {
		go d.links.join(s.Control.Seeds)
	}
	d.group.Start(ctx)
	go d.control.Run()
	go d.submits.book.Run()

	return d, nil
}

// listen opens the listeners, in the order caller, operator, peer.
func (d *Daemon) listen() error {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-d.assembled
		peer.Handler(d.settings.Name, d.handlers(), d.links.access, d.links.accepted).ServeHTTP(w, r)
	}))
	callers := rpc.RecordRefusals(d.journal.Record, caller.Handler(d.callers()))
	listeners := []struct {
		address string
		handler http.Handler
		edge    *secure.Credentials
	}{
		{d.settings.Caller.Address, rpc.RequireSecret(d.edges.caller, callers), d.edges.caller},
		{d.settings.Operator.Address, d.operatorHandler(), d.edges.operator},
		{d.settings.Peer.Address, rpc.RequireSecret(d.edges.peer, mux), d.edges.peer},
	}
	for _, l := range listeners {
		server, err := rpc.ListenWithCredentials(l.address, rpc.Recover(d.journal.Record, l.handler), l.edge)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, server)
	}

	return nil
}

// Caller returns the address for callers.
func (d *Daemon) Caller() string { return d.servers[0].Address() }

// Operator returns the address for operators.
func (d *Daemon) Operator() string { return d.servers[1].Address() }

// Peer returns the address for the other daemons.
func (d *Daemon) Peer() string { return d.servers[2].Address() }

// Close stops the daemon at once.
func (d *Daemon) Close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.links.close()
}

// Ready reports whether the daemon has a configuration and may send to the upstreams that it is
// home to.
func (d *Daemon) Ready() bool { return d.table.Load() != nil && d.group.HoldsAssigned() }

// counted reports whether the other daemons count this one as a member at this moment.
func (d *Daemon) counted() bool {
	select {
	case <-d.assembled:
	default:
		return false
	}
	_, ok := d.control.Standing()

	return ok
}

// publish hands a new routing table to the traffic threads.
func (d *Daemon) publish(t *route.Table) {
	d.table.Store(t)
	d.group.HandleTableChange()
}

func (d *Daemon) callers() caller.Operations {
	return caller.Operations{
		Now: d.now, DefaultTimeout: d.settings.Query.DefaultTimeout, NewID: newID,
		Query:   d.measured(d.guarded(d.group.Query)),
		Submit:  d.measuredSubmit(d.submit),
		Entries: func(zone string) ([]caller.Entry, clock.Milli) { return d.entries(zone), d.settings.Control.EntriesTTL },
	}
}

func (d *Daemon) entries(zone string) []caller.Entry {
	<-d.assembled
	var list []caller.Entry
	for _, m := range d.control.Entries(zone) {
		list = append(list, caller.Entry{Address: m.CallerAddress, Zone: m.Zone})
	}

	return list
}

func (d *Daemon) handlers() peer.Handlers {
	return peer.Handlers{
		Now: d.now,
		Leg: func(from *peer.Conn, id uint64, l leg.Leg) {
			d.group.ScheduleLeg(from.Name, id, l, func(r leg.Result) { from.SendResult(id, r) })
		},
		LegResult: d.group.HandleResult,
		Cancel:    func(from *peer.Conn, id uint64, upstream string) { d.group.CancelLeg(from.Name, id, upstream) },
		Holding:   func(from *peer.Conn, h route.Holding, gone bool) { d.control.HandleHolding(from.Name, h, gone) },
		Control:   func(from *peer.Conn, c peer.ControlMessage) { d.control.HandleMessage(from.Name, c) },
		InvalidMessage: func(l *peer.Conn, err error) {
			d.journal.Record(event.Event{
				Kind: event.Connection, Reason: reason.Invalid, Detail: "link from " + l.Name + ": " + err.Error(),
			})
		},
		Unresponsive: func(l *peer.Conn) {
			d.journal.Record(event.Event{Kind: event.Connection, Reason: reason.Silent, Detail: "link to " + l.Name})
		},
		Warning: d.group.HandleWarning,
		Submit: func(from *peer.Conn, id uint64, r submit.Request) {
			d.submits.book.Submit(r, func(result leg.Result) { from.SendSubmitResult(id, result) })
		},
		SubmitResult: func(id uint64, r leg.Result) { d.submits.outcome(id, r) },
		Handover:     func(from *peer.Conn, m home.Message) { d.group.HandleHandover(from.Name, m) },
		Closed: func(l *peer.Conn) {
			if d.links.closed(l) {
				d.group.HandleLinkFailure(l.Name)
				d.submits.lost(l.Name)
			}
		},
	}
}
