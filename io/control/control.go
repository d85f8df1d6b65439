package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/manifest"
	"jacinthferry/core/member"
	"jacinthferry/core/route"
	"jacinthferry/core/spread"
	"jacinthferry/io/peer"
	"jacinthferry/io/store"
	"jacinthferry/io/upstream"
)

// Ports are what the control thread needs from the rest of the daemon.
type Ports struct {
	Self  member.Member
	Store store.Store
	Now   func() clock.Milli
	// Report asks an upstream about itself.
	Report func(context.Context, config.Upstream) (upstream.Report, error)
	// Send passes a message to another daemon, over a new link if there is none.
	Send func(to member.Member, c peer.Control)
	// Tell passes a holding to another daemon if there is a link to it.
	Tell func(to string, h route.Holding, gone bool)
	// Publish hands out a new routing table.
	Publish func(*route.Table)
	// Members hands out the other live members, and Near those of them that control talks to.
	Members func(all, near []member.Member)
	// Record takes the decisions that callers or operators can feel.
	Record func(event.Event)
	// Lease is the span of the seat's lease, and Poll the time between two reports.
	Lease  clock.Milli
	Poll   clock.Milli
	Policy member.Policy
	Seed   uint64
}

// message is one thing told to the control thread.
type message interface{ apply(*Control) }

// Control is the state of the control thread.
type Control struct {
	ports  Ports
	events chan message
	ctx    context.Context

	// These belong to the control thread.
	view     *member.View
	spread   spread.Disseminator
	known    map[string]known
	states   map[string]member.State
	listed   map[string]bool
	outgoing []holding
	// away are the daemons to which the link was lost, and redialled is when links were last asked
	// for again.
	away      map[string]clock.Milli
	redialled clock.Milli
	dirty     bool
	// news names the upstreams with news since the last table, and closing is set when one of them
	// or the configuration may be closed to new work.
	news    []string
	closing bool
	joined  bool
	table   *route.Table
	polling map[string]bool
	failed  map[string]int
	running map[string]float64
	started clock.Milli
	ticked  clock.Milli
	polled  clock.Milli

	// These are read by any thread.
	snapshot atomic.Pointer[manifest.Snapshot]
	roster   atomic.Pointer[roster]
	standing atomic.Pointer[standing]
	closed   atomic.Pointer[closedTo]
	latest   atomic.Pointer[route.Table]
	watching atomic.Bool
	left     atomic.Bool
	store    storeState

	mu      sync.Mutex
	asks    uint64
	replies map[uint64]chan peer.Status
}

// mailboxSize is how many events wait for the control thread before senders do.
const mailboxSize = 1024

// tickSpan is the time between two looks at the clock. Changes that come within one are taken into
// one routing table.
const tickSpan = 50 * time.Millisecond

// New returns a control thread. Run runs it.
func New(ctx context.Context, ports Ports) *Control {
	now := ports.Now()
	c := &Control{
		ports: ports, events: make(chan message, mailboxSize), ctx: ctx,
		view:  member.NewView(now, ports.Self, uint64(now), ports.Policy, ports.Seed),
		known: make(map[string]known), polling: make(map[string]bool), failed: make(map[string]int),
		running: make(map[string]float64), states: make(map[string]member.State),
		away:    make(map[string]clock.Milli),
		started: now, ticked: now, replies: make(map[uint64]chan peer.Status),
	}
	c.store.reachable.Store(true)
	c.watching.Store(true)
	c.closed.Store(&closedTo{})
	c.present(now)

	return c
}

// Run takes the seat, follows the store and polls upstreams until the context ends.
func (c *Control) Run() {
	go c.sit(c.ctx)
	go c.follow(c.ctx)
	go c.seats(c.ctx)
	go c.list(c.ctx)
	tick := time.NewTicker(tickSpan)
	defer tick.Stop()
	for {
		select {
		case e := <-c.events:
			e.apply(c)
		case <-tick.C:
			c.tick()
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Control) post(m message) {
	select {
	case c.events <- m:
	case <-c.ctx.Done():
	}
}

// tick carries on with whatever time alone moves.
func (c *Control) tick() {
	now := c.ports.Now()
	if now-c.ticked > pauseLimit {
		c.woken(now)
	}
	c.ticked = now
	c.send(c.view.Tick(now))
	c.join(now)
	if c.view.TakeChanged() {
		c.dirty = true
	}
	if len(c.away) > 0 && now-c.redialled >= redialWait {
		c.redialled, c.dirty = now, true
	}
	if c.dirty {
		c.dirty = false
		c.rebuild(now)
	}
	c.flush()
	c.present(now)
	if now-c.polled >= c.ports.Poll {
		c.polled = now
		c.poll()
	}
}

// redialWait is the time between two tries to open the links that were lost.
const redialWait = 500 * clock.Millisecond

// woken takes note that this daemon stood still for longer than others wait for it.
func (c *Control) woken(now clock.Milli) {
	c.ports.Record(event.Event{
		Kind: event.Member, Daemon: c.ports.Self.Name, Detail: "stood still for " + (now - c.ticked).String(),
	})
	c.send(c.view.RenewIncarnation(now))
}

// joinWait is how long a daemon that knows of others waits for one of them.
const joinWait = 3 * clock.Second

// join decides when this daemon knows enough of the others to count itself among them. Before that
// it would take itself for the home of every upstream.
func (c *Control) join(now clock.Milli) {
	if c.joined {
		return
	}
	others := c.view.Others()
	switch {
	case len(others) > 0 && c.view.LastContact(now) > c.started:
	case !c.store.seated.Load():
		return
	case len(others) > 0 && now-c.started < joinWait:
		return
	}
	c.joined, c.dirty = true, true
}

// send passes member messages on.
func (c *Control) send(sends []member.Envelope) {
	for i := range sends {
		c.ports.Send(sends[i].To, peer.Control{Member: &sends[i].Message})
	}
}

// pass passes messages about the configuration on.
func (c *Control) pass(sends []spread.Envelope) {
	for i := range sends {
		c.ports.Send(member.Member{Name: sends[i].To}, peer.Control{Spread: &sends[i].Message})
	}
}
