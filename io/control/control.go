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

// Options holds the dependencies and parameters of a Control.
type Options struct {
	Self  member.Member
	Store store.Store
	Now   func() clock.Milli
	// FetchReport requests the report of an upstream.
	FetchReport func(context.Context, config.Upstream) (upstream.Report, error)
	// SendMessage sends a message to another daemon and opens a link if there is none.
	SendMessage func(to member.Member, c peer.ControlMessage)
	// SendHolding sends what an upstream holds to another daemon if there is a link to it.
	SendHolding func(to string, h route.Holding, gone bool)
	// PublishTable is called with each new routing table.
	PublishTable func(*route.Table)
	// PublishMembers is called with the other live members, and with the neighbours to which control messages
	// are sent.
	PublishMembers func(all, near []member.Member)
	// RecordEvent records a decision that affects callers or operators.
	RecordEvent func(event.Event)
	// LeaseTTL is the minimum time to live of the seat's lease, and ReportInterval the time between two reports of an
	// upstream.
	LeaseTTL       clock.Milli
	ReportInterval clock.Milli
	MemberPolicy   member.Policy
	Seed           uint64
}

// message is an event that the control thread handles.
type message interface{ apply(*Control) }

// Control is the control thread of a daemon. Its exported methods are safe for
// concurrent use. Run is called once.
type Control struct {
	opts    Options
	mailbox chan message
	ctx     context.Context

	// Only the control thread uses the following fields.
	view             *member.View
	spread           spread.Disseminator
	observations     map[string]observation
	memberStates     map[string]member.State
	leavingInstances map[string]bool
	pendingUpdates   []update
	// lostLinks has the time at which the link to a daemon was lost, and lastRedial is when lost links
	// were last requested again.
	lostLinks  map[string]clock.Milli
	lastRedial clock.Milli
	dirty      bool
	// changedUpstreams are the upstreams that changed since the last table, and closedDirty is set when
	// the upstreams and zones that get no new work may have changed.
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

	// Any goroutine may read the following fields.
	snapshot    atomic.Pointer[manifest.Snapshot]
	entryList   atomic.Pointer[entryList]
	membership  atomic.Pointer[membership]
	closed      atomic.Pointer[closedSet]
	latestTable atomic.Pointer[route.Table]
	watching    atomic.Bool
	leaving     atomic.Bool
	store       storeState

	mu           sync.Mutex
	lastQueryID  uint64
	queryReplies map[uint64]chan peer.Status
}

// mailboxSize is the number of messages that can wait for the control thread before senders block.
const mailboxSize = 1024

// tickInterval is the time between two ticks. Changes within one interval go into the same routing
// table.
const tickInterval = 50 * time.Millisecond

// New returns a control thread that runs until ctx is done. It starts with Run.
func New(ctx context.Context, opts Options) *Control {
	now := opts.Now()
	c := &Control{
		opts: opts, mailbox: make(chan message, mailboxSize), ctx: ctx,
		view:         member.NewView(now, opts.Self, uint64(now), opts.MemberPolicy, opts.Seed),
		observations: make(map[string]observation), polling: make(map[string]bool), reportFailures: make(map[string]int),
		runningLegs: make(map[string]float64), memberStates: make(map[string]member.State),
		lostLinks: make(map[string]clock.Milli),
		started:   now, lastTick: now, queryReplies: make(map[uint64]chan peer.Status),
	}
	c.store.reachable.Store(true)
	c.watching.Store(true)
	c.closed.Store(&closedSet{})
	c.publishMembership(now)

	return c
}

// Run keeps this daemon's seat, follows the store and polls upstreams until the context of New is
// done.
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

// tick runs everything that depends on time and publishes the changes since the last tick.
func (c *Control) tick() {
	now := c.opts.Now()
	if now-c.lastTick > pauseLimit {
		c.resumeAfterPause(now)
	}
	c.lastTick = now
	c.sendMemberMessages(c.view.Tick(now))
	c.tryJoin(now)
	if c.view.TakeChanged() {
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
	c.publishMembership(now)
	if now-c.lastPoll >= c.opts.ReportInterval {
		c.lastPoll = now
		c.poll()
	}
}

// redialInterval is the time between two attempts to open lost links again.
const redialInterval = 500 * clock.Millisecond

// resumeAfterPause records that this daemon was paused for longer than the others wait for it, and
// renews its incarnation.
func (c *Control) resumeAfterPause(now clock.Milli) {
	c.opts.RecordEvent(event.Event{
		Kind: event.Member, Daemon: c.opts.Self.Name, Detail: "was paused for " + (now - c.lastTick).String(),
	})
	c.sendMemberMessages(c.view.RenewIncarnation(now))
}

// joinTimeout is how long a daemon that knows others waits for a message from one of them.
const joinTimeout = 3 * clock.Second

// tryJoin lets this daemon join once it knows enough about the others. Earlier it would consider
// itself the home of every upstream.
func (c *Control) tryJoin(now clock.Milli) {
	if c.joined {
		return
	}
	others := c.view.Others()
	switch {
	case len(others) > 0 && c.view.LastContact(now) > c.started:
	case !c.store.seatsRead.Load():
		return
	case len(others) > 0 && now-c.started < joinTimeout:
		return
	}
	c.joined, c.dirty = true, true
}

// sendMemberMessages sends membership messages to other daemons.
func (c *Control) sendMemberMessages(envelopes []member.Envelope) {
	for i := range envelopes {
		c.opts.SendMessage(envelopes[i].To, peer.ControlMessage{Member: &envelopes[i].Message})
	}
}

// sendConfigMessages sends messages about the configuration to other daemons.
func (c *Control) sendConfigMessages(envelopes []spread.Envelope) {
	for i := range envelopes {
		c.opts.SendMessage(member.Member{Name: envelopes[i].To}, peer.ControlMessage{Spread: &envelopes[i].Message})
	}
}
