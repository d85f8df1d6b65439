package traffic

import (
	"context"
	"math/rand/v2"
	"sync"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/submit"
)

// submitLane takes the place of the lane's index in the ids of submit legs, which belong to no lane.
const submitLane = 1<<laneBits - 1

// submitGrace is how long Submit waits for a result after the deadline, because a late result still
// goes into the ledger.
const submitGrace = 2 * clock.Second

// pendingSubmits holds the submit legs whose results have not arrived.
type pendingSubmits struct {
	mu   sync.Mutex
	seq  uint64
	legs map[uint64]pendingSubmit
}

type pendingSubmit struct {
	home   string
	result chan leg.Result
}

func newPendingSubmits() *pendingSubmits {
	return &pendingSubmits{legs: make(map[uint64]pendingSubmit)}
}

func (s *pendingSubmits) add(home string) (uint64, chan leg.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	id := s.seq<<laneBits | submitLane
	p := pendingSubmit{home, make(chan leg.Result, 1)}
	s.legs[id] = p

	return id, p.result
}

func (s *pendingSubmits) complete(id uint64, r leg.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.legs[id]; ok {
		delete(s.legs, id)
		p.result <- r
	}
}

// failHome fails the legs that were sent to a daemon whose link is gone.
func (s *pendingSubmits) failHome(home string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.legs {
		if p.home == home {
			delete(s.legs, id)
			p.result <- leg.Refused(reason.Peer, reason.ExecutionUnknown, "the link to the home was lost")
		}
	}
}

// Submit sends a request to one upstream, and to another only if the first certainly did not run it.
// It must be called at most once for each id, which the ledger ensures.
func (g *Group) Submit(ctx context.Context, r submit.Request) leg.Result {
	table := g.options.Table()
	if table == nil {
		return leg.Refused(reason.Configuration, reason.NotExecuted, "this daemon has no configuration yet")
	}
	service, ok := table.Service(r.Service)
	if !ok {
		return leg.Refused(reason.Service, reason.NotExecuted, "no service named "+r.Service)
	}
	snapshot, ok := service.ChooseSnapshot(rand.Float64())
	if !ok {
		return leg.Refused(reason.Replica, reason.NotExecuted, "no live upstream for "+r.Service)
	}
	plan := submit.NewPlan(r, snapshot, g.options.QueryPolicy.MaxAttempts, rand.Uint64())
	result := leg.Refused(reason.Deadline, reason.NotExecuted, "no time left to send the request")
	for {
		l, replica, more := plan.Next(g.options.Now())
		if !more {
			return result
		}
		if l.Attempt > 0 {
			g.options.Record(event.Event{
				Kind: event.Retry, Reason: result.Refusal.Reason, Service: r.Service, Upstream: l.Upstream, Request: r.ID,
			})
		}
		result = submit.CheckAnswer(l, g.submitLeg(ctx, replica.Home, l))
		if !submit.Retryable(result) {
			return result
		}
	}
}

func (g *Group) submitLeg(ctx context.Context, home string, l leg.Leg) leg.Result {
	ctx, cancel := context.WithTimeout(ctx, (l.Deadline + submitGrace - g.options.Now()).Duration())
	defer cancel()
	id, result := g.submits.add(home)
	if home == g.options.Self {
		g.ScheduleLeg("", id, l, func(r leg.Result) { g.HandleResult(id, r) })
	} else if !g.options.ForwardLeg(home, id, l) {
		g.submits.complete(id, leg.Refused(reason.Peer, reason.NotExecuted, "no link to home "+home))
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		g.submits.complete(id, leg.Result{})

		return leg.Refused(reason.Deadline, reason.ExecutionUnknown, "no answer in time from upstream "+l.Upstream)
	}
}
