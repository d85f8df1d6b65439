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

// Ports are what the lanes need from the rest of the daemon.
type Ports struct {
	// Self is the name of this daemon.
	Self string
	Now  func() clock.Milli
	// Table returns the newest routing table, or nil before there is one.
	Table func() *route.Table
	// Run sends a leg to an upstream and waits for the outcome.
	Run func(config.Upstream, leg.Leg) admit.Outcome
	// Stop asks an upstream to give up on a leg. Run still returns its outcome.
	Stop func(config.Upstream, leg.Leg)
	// Prepare opens connections to an upstream ahead of its legs, and Leave closes those not in use.
	Prepare func(config.Upstream)
	Leave   func(config.Upstream)
	// Standing reports whether the other daemons count this one as a member at this moment.
	Standing func() bool
	// Handover sends a message about an upstream to another daemon.
	Handover func(to string, m home.Message)
	// Forward sends a leg to its home and reports whether there is a link to it.
	Forward func(home string, id uint64, l leg.Leg) bool
	// Recall gives up on a leg that was forwarded for an upstream.
	Recall func(home string, id uint64, upstream string)
	// Warn tells the other daemons of a request tied to crashes.
	Warn func(quarantine.Warning)
	// Record takes the decisions that callers or operators can feel.
	Record func(event.Event)
	Policy query.Policy
	// Quarantine holds the limits for requests that crash upstreams.
	Quarantine quarantine.Config
	// Admit holds the limits that apply to every upstream, and Rules the spans of a hand-over.
	Admit *admit.Policy
	Rules home.Config
	// Hold makes a home claim an upstream before it sends there. Ask is how many daemons it asks.
	Hold bool
	Ask  int
	// Seed makes random choices repeatable.
	Seed uint64
}

// laneBits is how many bits of a leg id name the lane that sent it.
const laneBits = 8

// Group is the set of lanes of one daemon.
type Group struct {
	ports Ports
	guard *guard
	lanes []*lane
	// submits holds the legs that belong to no lane.
	submits *submits
}

// New returns a group of n lanes. Start runs them.
func New(n int, ports Ports) *Group {
	g := &Group{ports: ports, guard: newGuard(ports), submits: newSubmits()}
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

// Query runs a query and waits for its reply. The error is a *reason.Refusal.
func (g *Group) Query(ctx context.Context, r query.Request) (*query.Reply, error) {
	l := g.lanes[xxhash.Sum64String(r.ID)%uint64(len(g.lanes))]
	replies := make(chan *query.Reply, 1)
	call := &call{request: r, reply: replies}
	l.box.post(arrived{call})
	select {
	case reply := <-replies:
		if reply.Refusal != nil {
			return nil, reply.Refusal
		}

		return reply, nil
	case <-ctx.Done():
		l.box.post(left{call})

		return nil, reason.NewRefusal(reason.Cancelled, reason.ExecutionUnknown, "the caller left")
	}
}

// Offer takes a leg for an upstream that this daemon is home to. Origin and id name the leg until
// respond is called with its result.
func (g *Group) Offer(origin string, id uint64, l leg.Leg, respond func(leg.Result)) {
	g.home(l.Upstream).box.post(offered{key{origin, id}, l, respond})
}

// Cancel gives up on a leg that was offered for an upstream. A daemon of an earlier release does not
// name the upstream; then every lane looks for the leg.
func (g *Group) Cancel(origin string, id uint64, upstream string) {
	if upstream != "" {
		g.home(upstream).box.post(cancelled{key{origin, id}})

		return
	}
	for _, l := range g.lanes {
		l.box.post(cancelled{key{origin, id}})
	}
}

// Answered takes the result of a leg that a lane sent to its home.
func (g *Group) Answered(id uint64, r leg.Result) {
	index := id & (1<<laneBits - 1)
	if index == submitLane {
		g.submits.answered(id, r)

		return
	}
	if index < uint64(len(g.lanes)) {
		g.lanes[index].box.post(answered{id, r})
	}
}

// Warned takes what another daemon knows of a request tied to crashes.
func (g *Group) Warned(e quarantine.Warning) { g.guard.warned(e) }

// Warnings returns what a new daemon has to know of requests tied to crashes.
func (g *Group) Warnings() []quarantine.Warning { return g.guard.entries() }

// Lost says that the link to a daemon is gone: the legs sent to it get no answer.
func (g *Group) Lost(home string) {
	for _, l := range g.lanes {
		l.box.post(lost{home})
	}
	g.submits.lost(home)
}

func (g *Group) home(upstream string) *lane {
	return g.lanes[xxhash.Sum64String(upstream)%uint64(len(g.lanes))]
}

// Reported takes what an upstream said of itself.
func (g *Group) Reported(upstream, incarnation string, load leg.Load) {
	g.home(upstream).box.post(reported{upstream, incarnation, load})
}

// Broken says that a connection to an upstream broke or fell silent.
func (g *Group) Broken(upstream string, why reason.Code) {
	g.home(upstream).box.post(broken{upstream, why})
}
