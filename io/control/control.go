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
	opts    Ports
	mailbox chan message
	ctx     context.Context

	// These belong to the control thread.
	view             *member.View
	spread           spread.Spread
	observations     map[string]observation
	memberStates     map[string]member.State
	leavingInstances map[string]bool
	pendingUpdates   []update
	// away are the daemons to which the link was lost, and redialled is when links were last asked
	// for again.
	lostLinks  map[string]clock.Milli
	lastRedial clock.Milli
	dirty      bool
	// news names the upstreams with news since the last table, and closing is set when one of them
	// or the configuration may be closed to new work.
	changedUpstreams []string
	closedDirty      bool
	joined           bool
	table            *route.Table
	polling          map[string]bool
	reportFailures   map[string]int
	runningLegs      map[string]float64
	started          clock.Milli
	lastTick         clock.Milli
	lastPoll         clock.Milli

	// These are read by any thread.
	snapshot    atomic.Pointer[manifest.Snapshot]
	entryList   atomic.Pointer[entryList]
	standing    atomic.Pointer[standing]
	closed      atomic.Pointer[closedSet]
	latestTable atomic.Pointer[route.Table]
	watching    atomic.Bool
	leaving     atomic.Bool
	store       storeState

	mu           sync.Mutex
	lastQueryID  uint64
	queryReplies map[uint64]chan peer.Status
}

// mailboxSize is how many events wait for the control thread before senders do.
const mailboxSize = 1024

// tickSpan is the time between two looks at the clock. Changes that come within one are taken into
// one routing table.
const tickInterval = 50 * time.Millisecond

// New returns a control thread. Run runs it.
func New(ctx context.Context, opts Ports) *Control {
	now := opts.Now()
	c := &Control{
		opts: opts, mailbox: make(chan message, mailboxSize), ctx: ctx,
		view:         member.New(now, opts.Self, uint64(now), opts.Policy, opts.Seed),
		observations: make(map[string]observation), polling: make(map[string]bool), reportFailures: make(map[string]int),
		runningLegs: make(map[string]float64), memberStates: make(map[string]member.State),
		lostLinks: make(map[string]clock.Milli),
		started:   now, lastTick: now, queryReplies: make(map[uint64]chan peer.Status),
	}
	c.store.reachable.Store(true)
	c.watching.Store(true)
	c.closed.Store(&closedSet{})
	c.publishStanding(now)

	return c
}

// Run takes the seat, follows the store and polls upstreams until the context ends.
func (c *Control) Run() {
	go c.holdSeat(c.ctx)
	go c.followConfig(c.ctx)
	go c.followSeats(c.ctx)
	go c.pollInstances(c.ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.apply(c)
		case <-tick.C:
			c.tick()
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Control) post(m message) {
	select {
	case c.mailbox <- m:
	case <-c.ctx.Done():
	}
}

// tick carries on with whatever time alone moves.
func (c *Control) tick() {
	now := c.opts.Now()
	if now-c.lastTick > pauseLimit {
		c.resumeAfterPause(now)
	}
	c.lastTick = now
	c.sendMemberMessages(c.view.Tick(now))
	c.tryJoin(now)
	if c.view.Changed() {
		c.dirty = true
	}
	if len(c.lostLinks) > 0 && now-c.lastRedial >= redialInterval {
		c.lastRedial, c.dirty = now, true
	}
	if c.dirty {
		c.dirty = false
		c.rebuild(now)
	}
	c.flushUpdates()
	c.publishStanding(now)
	if now-c.lastPoll >= c.opts.Poll {
		c.lastPoll = now
		c.poll()
	}
}

// redialWait is the time between two tries to open the links that were lost.
const redialInterval = 500 * clock.Millisecond

// woken takes note that this daemon stood still for longer than others wait for it.
func (c *Control) resumeAfterPause(now clock.Milli) {
	c.opts.Record(event.Event{
		Kind: event.Member, Daemon: c.opts.Self.Name, Detail: "stood still for " + (now - c.lastTick).String(),
	})
	c.sendMemberMessages(c.view.Renew(now))
}

// joinWait is how long a daemon that knows of others waits for one of them.
const joinTimeout = 3 * clock.Second

// join decides when this daemon knows enough of the others to count itself among them. Before that
// it would take itself for the home of every upstream.
func (c *Control) tryJoin(now clock.Milli) {
	if c.joined {
		return
	}
	others := c.view.Others()
	switch {
	case len(others) > 0 && c.view.Heard(now) > c.started:
	case !c.store.seatsRead.Load():
		return
	case len(others) > 0 && now-c.started < joinTimeout:
		return
	}
	c.joined, c.dirty = true, true
}

// send passes member messages on.
func (c *Control) sendMemberMessages(envelopes []member.Send) {
	for i := range envelopes {
		c.opts.Send(envelopes[i].To, peer.Control{Member: &envelopes[i].Message})
	}
}

// pass passes messages about the configuration on.
func (c *Control) sendConfigMessages(envelopes []spread.Send) {
	for i := range envelopes {
		c.opts.Send(member.Member{Name: envelopes[i].To}, peer.Control{Spread: &envelopes[i].Message})
	}
}
