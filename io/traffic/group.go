package traffic

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/home"
	"jacinthferry/core/leg"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// Options are the configuration of a Group and the functions of the daemon that it calls.
type Options struct {
	// Self is the name of this daemon.
	Self string
	Now  func() clock.Milli
	// Table returns the newest routing table, or nil if there is none yet.
	Table func() *route.Table
	// RunLeg sends a leg to an upstream and waits for the outcome.
	RunLeg func(config.Upstream, leg.Leg) admit.Outcome
	// CancelLeg asks an upstream to cancel a leg. Run still returns its outcome.
	CancelLeg func(config.Upstream, leg.Leg)
	// OpenConnections opens connections to an upstream before the first leg, and CloseIdleConnections closes the idle
	// ones.
	OpenConnections      func(config.Upstream)
	CloseIdleConnections func(config.Upstream)
	// IsMember reports whether the other daemons currently consider this one a member.
	IsMember func() bool
	// SendHandover sends a message about the ownership of an upstream to another daemon.
	SendHandover func(to string, m home.Message)
	// ForwardLeg sends a leg to its home. It returns false if there is no link to the home.
	ForwardLeg func(home string, id uint64, l leg.Leg) bool
	// CancelForwarded cancels a leg that was forwarded for an upstream.
	CancelForwarded func(home string, id uint64, upstream string)
	// SendWarning tells the other daemons about a request that crashes are attributed to.
	SendWarning func(quarantine.Warning)
	// Record records a decision that affects callers or operators.
	Record      func(event.Event)
	QueryPolicy query.Policy
	// QuarantineConfig configures the quarantine of requests that crash upstreams.
	QuarantineConfig quarantine.Config
	// QueuePolicy configures the queue of every upstream, and HandoverConfig the time bounds of a hand-over.
	QueuePolicy    *admit.Policy
	HandoverConfig home.Config
	// EnableHandover makes a home claim an upstream before it sends legs there. Ask is the number of daemons
	// that it asks to hand over.
	EnableHandover bool
	HandoverPeers  int
	// Seed initialises the random number generators, to make choices repeatable.
	Seed uint64
}

// laneBits is the number of low bits of a leg id that hold the index of the lane that sent it.
const laneBits = 8

// Group is the set of lanes of one daemon.
type Group struct {
	options Options
	tracker *sharedTracker
	lanes   []*lane
	// submits holds the submit legs, which belong to no lane.
	submits *pendingSubmits
}

// New returns a group of n lanes, which Start runs.
func New(n int, options Options) *Group {
	g := &Group{options: options, tracker: newSharedTracker(options), submits: newPendingSubmits()}
	for i := range n {
		g.lanes = append(g.lanes, newLane(g, i))
	}

	return g
}

// Start runs the lanes until ctx ends.
func (g *Group) Start(ctx context.Context) {
	for _, l := range g.lanes {
		go l.loop(ctx)
	}
	go g.tick(ctx)
}

// Query runs a query and waits for its reply or the end of ctx. The error is a *reason.Refusal.
func (g *Group) Query(ctx context.Context, r query.Request) (*query.Reply, error) {
	l := g.lanes[xxhash.Sum64String(r.ID)%uint64(len(g.lanes))]
	replies := make(chan *query.Reply, 1)
	pending := &pendingQuery{request: r, reply: replies}
	l.mailbox.post(queryArrived{pending})
	select {
	case reply := <-replies:
		if reply.Refusal != nil {
			return nil, reply.Refusal
		}

		return reply, nil
	case <-ctx.Done():
		l.mailbox.post(callerLeft{pending})

		return nil, reason.NewRefusal(reason.Cancelled, reason.ExecutionUnknown, "the caller left")
	}
}

// ScheduleLeg schedules a leg for an upstream whose home is this daemon. Origin and id identify the leg
// until respond is called with its result.
func (g *Group) ScheduleLeg(origin string, id uint64, l leg.Leg, respond func(leg.Result)) {
	g.laneFor(l.Upstream).mailbox.post(legOffered{legKey{origin, id}, l, respond})
}

// CancelLeg cancels a leg that was scheduled for an upstream. A daemon of an earlier release does not
// name the upstream; then every lane looks for the leg.
func (g *Group) CancelLeg(origin string, id uint64, upstream string) {
	if upstream != "" {
		g.laneFor(upstream).mailbox.post(legCancelled{legKey{origin, id}})

		return
	}
	for _, l := range g.lanes {
		l.mailbox.post(legCancelled{legKey{origin, id}})
	}
}

// HandleResult handles the result of a leg that this daemon sent to its home.
func (g *Group) HandleResult(id uint64, r leg.Result) {
	index := id & (1<<laneBits - 1)
	if index == submitLane {
		g.submits.complete(id, r)

		return
	}
	if index < uint64(len(g.lanes)) {
		g.lanes[index].mailbox.post(legAnswered{id, r})
	}
}

// HandleWarning merges another daemon's information about a request that crashes are attributed to.
func (g *Group) HandleWarning(e quarantine.Warning) { g.tracker.merge(e) }

// Warnings returns the information for a new daemon about requests that crashes are attributed to.
func (g *Group) Warnings() []quarantine.Warning { return g.tracker.warnings() }

// HandleLinkFailure handles the loss of the link to a daemon: legs sent to it get no answer.
func (g *Group) HandleLinkFailure(home string) {
	for _, l := range g.lanes {
		l.mailbox.post(linkLost{home})
	}
	g.submits.failHome(home)
}

func (g *Group) laneFor(upstream string) *lane {
	return g.lanes[xxhash.Sum64String(upstream)%uint64(len(g.lanes))]
}

// HandleReport handles the load that an upstream reported.
func (g *Group) HandleReport(upstream, incarnation string, load leg.Load) {
	g.laneFor(upstream).mailbox.post(loadReported{upstream, incarnation, load})
}

// HandleConnectionFailure handles a connection to an upstream that broke or on which no more bytes arrived.
func (g *Group) HandleConnectionFailure(upstream string, code reason.Code) {
	g.laneFor(upstream).mailbox.post(connectionBroken{upstream, code})
}
