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

// journalSize is the number of events that a daemon keeps.
const journalSize = 8192

// Daemon is a running daemon. It is created by Start.
type Daemon struct {
	settings    settings.Settings
	now         func() clock.Milli
	table       atomic.Pointer[route.Table]
	journal     *journal.Journal
	store       store.Store
	credentials credentials
	started     clock.Milli
	upstreams   *upstreams
	links       *links
	group       *traffic.Group
	submits     *submits
	control     *control.Control
	servers     []*rpc.Server
	cancel      context.CancelFunc
	// initialised is closed once all components are set.
	initialised chan struct{}
}

// Start starts a daemon and returns once its listeners are open.
func Start(ctx context.Context, s settings.Settings) (*Daemon, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Daemon{settings: s, now: timer.NewClock(), cancel: cancel, initialised: make(chan struct{})}
	d.journal = journal.New(s.Name, journalSize, d.now)
	creds, err := newCredentials(s, d.journal.Record)
	if err != nil {
		cancel()

		return nil, err
	}
	d.credentials, d.started = creds, d.now()
	d.store = platform.NewStore(s.Platform.Address, rpc.SecureClient(0, creds.platform))
	d.upstreams = newUpstreams(ctx, s.Home, d.now, creds.upstream)
	d.links = newLinks(ctx, s.Name)
	d.links.access = peer.Access{Client: rpc.SecureClient(0, creds.peer)}
	d.group = traffic.New(s.Query.Lanes, traffic.Ports{
		Self: s.Name, Now: d.now, Table: d.table.Load, Run: d.runLeg,
		Forward: d.links.forwardLeg, Recall: d.links.cancelForwarded, Warn: d.links.broadcastWarning,
		Record: d.journal.Record, Policy: s.Query.Policy(), Quarantine: s.Query.Quarantine.Config(),
		Stop: d.upstreams.cancelLeg, Prepare: d.upstreams.openConnections, Leave: d.upstreams.closeIdleConnections,
		Standing: d.isMember, Handover: d.links.sendHandover, Admit: admitPolicy(s.Home), Rules: homeConfig(s.Home),
		Hold: s.Home.Handover, Ask: s.Home.HandoverPeers, Seed: uint64(time.Now().UnixNano()),
	})
	d.upstreams.start(d.group, d.journal.Record)
	if err := d.listen(); err != nil {
		d.Close()

		return nil, err
	}
	d.links.onBroken = func(name string) { d.control.Broken(name) }
	d.links.onUnlinked = func(name string) { d.control.Unlinked(name) }
	d.links.onOpened = func(name string) {
		d.control.Opened(name)
		d.group.Linked(name)
		d.links.sendWarnings(name, d.group.Warnings())
	}
	d.control = control.New(ctx, d.controlPorts())
	d.links.handlers = d.peerHandlers()
	d.submits = newSubmits(ledger.New(ctx, d.ledgerOptions()))
	close(d.initialised)
	if len(s.Control.Seeds) > 0 {
		go d.links.dialSeeds(s.Control.Seeds)
	}
	d.group.Start(ctx)
	go d.control.Run()
	go d.submits.ledger.Run()

	return d, nil
}

// listen opens the listeners, in the order caller, operator, peer.
func (d *Daemon) listen() error {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-d.initialised
		peer.Handler(d.settings.Name, d.peerHandlers(), d.links.access, d.links.handleAccepted).ServeHTTP(w, r)
	}))
	callers := rpc.Account(d.journal.Record, caller.Handler(d.callerService()))
	listeners := []struct {
		address     string
		handler     http.Handler
		credentials *secure.Credentials
	}{
		{d.settings.Caller.Address, rpc.Guard(d.credentials.caller, callers), d.credentials.caller},
		{d.settings.Operator.Address, d.operatorHandler(), d.credentials.operator},
		{d.settings.Peer.Address, rpc.Guard(d.credentials.peer, mux), d.credentials.peer},
	}
	for _, l := range listeners {
		server, err := rpc.ListenSecurely(l.address, rpc.Recover(d.journal.Record, l.handler), l.credentials)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, server)
	}

	return nil
}

// Caller returns the listen address for callers.
func (d *Daemon) Caller() string { return d.servers[0].Address() }

// Operator returns the listen address for operators.
func (d *Daemon) Operator() string { return d.servers[1].Address() }

// Peer returns the listen address for other daemons.
func (d *Daemon) Peer() string { return d.servers[2].Address() }

// Close stops the daemon immediately, without waiting for running requests.
func (d *Daemon) Close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.links.close()
}

// Ready reports whether the daemon has a configuration and may send to the upstreams that it is
// home to.
func (d *Daemon) Ready() bool { return d.table.Load() != nil && d.group.Settled() }

// isMember reports whether the other daemons currently count this one as a member.
func (d *Daemon) isMember() bool {
	select {
	case <-d.initialised:
	default:
		return false
	}
	_, ok := d.control.Standing()

	return ok
}

// publish passes a new routing table to the traffic threads.
func (d *Daemon) publish(t *route.Table) {
	d.table.Store(t)
	d.group.Update()
}

func (d *Daemon) callerService() caller.Service {
	return caller.Service{
		Now: d.now, Deadline: d.settings.Query.DefaultTimeout, NewID: newID,
		Query:   d.measureQuery(d.withStandingCheck(d.group.Query)),
		Submit:  d.measureSubmit(d.submit),
		Entries: func(zone string) ([]caller.Entry, clock.Milli) { return d.entries(zone), d.settings.Control.EntriesTTL },
	}
}

func (d *Daemon) entries(zone string) []caller.Entry {
	<-d.initialised
	var list []caller.Entry
	for _, m := range d.control.Entries(zone) {
		list = append(list, caller.Entry{Address: m.CallerAddress, Zone: m.Zone})
	}

	return list
}

func (d *Daemon) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Now: d.now,
		Leg: func(from *peer.Link, id uint64, l leg.Leg) {
			d.group.Offer(from.Name, id, l, func(r leg.Result) { from.Answer(id, r) })
		},
		Answer:  d.group.Answered,
		Cancel:  func(from *peer.Link, id uint64, upstream string) { d.group.Cancel(from.Name, id, upstream) },
		Holding: func(from *peer.Link, h route.Holding, gone bool) { d.control.Heard(from.Name, h, gone) },
		Control: func(from *peer.Link, c peer.Control) { d.control.Peer(from.Name, c) },
		Garbled: func(l *peer.Link, err error) {
			d.journal.Record(event.Event{
				Kind: event.Connection, Reason: reason.Invalid, Detail: "link from " + l.Name + ": " + err.Error(),
			})
		},
		Silent: func(l *peer.Link) {
			d.journal.Record(event.Event{Kind: event.Connection, Reason: reason.Silent, Detail: "link to " + l.Name})
		},
		Warn: d.group.Warned,
		Submit: func(from *peer.Link, id uint64, r submit.Request) {
			d.submits.ledger.Submit(r, func(result leg.Result) { from.Outcome(id, result) })
		},
		Outcome:  func(id uint64, r leg.Result) { d.submits.handleOutcome(id, r) },
		Handover: func(from *peer.Link, m home.Message) { d.group.Handover(from.Name, m) },
		Closed: func(l *peer.Link) {
			if d.links.handleClosed(l) {
				d.group.Lost(l.Name)
				d.submits.resubmit(l.Name)
			}
		},
	}
}
