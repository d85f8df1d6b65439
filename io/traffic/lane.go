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

// lane is one traffic thread with the queries and upstreams that belong to it.
type lane struct {
	group   *Group
	index   int
	box     *mailbox
	planner *query.Planner
	seq     uint64
	flights map[uint64]flight
	wakes   wakes
	posts   map[string]*post
	tickets map[uint64]*ticket
	keys    map[key]uint64
	// current are the members of the newest routing table, and members those and the ones that left
	// a short while ago.
	current []place.Member
	members map[string]met
	// stood is when this daemon was last known to be counted as a member.
	stood   clock.Milli
	settled atomic.Bool
}

func newLane(g *Group, index int) *lane {
	return &lane{
		group: g, index: index, box: newMailbox(),
		planner: query.NewPlanner(g.ports.Policy, g.guard.query(), g.ports.Table,
			rand.New(rand.NewPCG(g.ports.Seed, uint64(index)))),
		flights: make(map[uint64]flight), posts: make(map[string]*post),
		tickets: make(map[uint64]*ticket), keys: make(map[key]uint64),
		members: make(map[string]met),
	}
}

// idleWait is how long a lane sleeps when no wake is set.
const idleWait = time.Minute

func (l *lane) loop(ctx context.Context) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	var spare []message
	for {
		select {
		case <-l.box.ready:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		events := l.box.take(spare)
		for i, e := range events {
			e.apply(l)
			events[i] = nil
		}
		spare = events
		l.fire()
		timer.Reset(l.wait())
	}
}

func (l *lane) wait() time.Duration {
	if len(l.wakes) == 0 {
		return idleWait
	}

	return max(0, (l.wakes[0].at - l.now()).Duration())
}

func (l *lane) fire() {
	now := l.now()
	for len(l.wakes) > 0 && l.wakes[0].at <= now {
		w := heap.Pop(&l.wakes).(wake)
		if w.call.query != nil {
			l.do(w.call, w.call.query.HandleTimeout(now))
		}
	}
}
