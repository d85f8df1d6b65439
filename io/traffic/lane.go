package traffic

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/place"
	"jacinthferry/core/query"
)

// lane is an event loop with the queries and upstreams that belong to it.
type lane struct {
	group       *Group
	index       int
	mailbox     *mailbox
	planner     *query.Planner
	seq         uint64
	pendingLegs map[uint64]pendingLeg
	timers      timerHeap
	upstreams   map[string]*upstreamState
	scheduled   map[uint64]*scheduledLeg
	numbers     map[legKey]uint64
	// tableMembers are the members of the newest routing table, and members those and the ones that
	// left recently.
	tableMembers []place.Member
	members      map[string]knownMember
	// memberAt is when the other daemons were last known to consider this one a member.
	memberAt      clock.Milli
	holdsAssigned atomic.Bool
}

func newLane(g *Group, index int) *lane {
	return &lane{
		group: g, index: index, mailbox: newMailbox(),
		planner: query.NewPlanner(g.options.QueryPolicy, g.tracker.forQueries(), g.options.Table,
			rand.New(rand.NewPCG(g.options.Seed, uint64(index)))),
		pendingLegs: make(map[uint64]pendingLeg), upstreams: make(map[string]*upstreamState),
		scheduled: make(map[uint64]*scheduledLeg), numbers: make(map[legKey]uint64),
		members: make(map[string]knownMember),
	}
}

// idleWait is how long a lane sleeps when no timer is set.
const idleWait = time.Minute

func (l *lane) loop(ctx context.Context) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	var spare []message
	for {
		select {
		case <-l.mailbox.ready:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		messages := l.mailbox.take(spare)
		for i, m := range messages {
			m.apply(l)
			messages[i] = nil
		}
		spare = messages
		l.fireTimers()
		timer.Reset(l.sleepTime())
	}
}

func (l *lane) sleepTime() time.Duration {
	if len(l.timers) == 0 {
		return idleWait
	}

	return max(0, (l.timers[0].at - l.now()).Duration())
}

func (l *lane) fireTimers() {
	now := l.now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		t := heap.Pop(&l.timers).(queryTimer)
		if t.pending.query != nil {
			l.runQueryActions(t.pending, t.pending.query.HandleTimeout(now))
		}
	}
}
