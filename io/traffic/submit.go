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

// submitLane takes the place of a lane's number in the ids of submit legs, which belong to no lane.
const submitLane = 1<<laneBits - 1

// submitGrace is how long after its deadline a submit's result is waited for, because what is known
// late still goes into the ledger.
const submitGrace = 2 * clock.Second

// submits holds the submit legs that are under way.
type submits struct {
	mu      sync.Mutex
	seq     uint64
	flights map[uint64]submitFlight
}

type submitFlight struct {
	home   string
	result chan leg.Result
}

func newSubmits() *submits { return &submits{flights: make(map[uint64]submitFlight)} }

func (s *submits) open(home string) (uint64, chan leg.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	id := s.seq<<laneBits | submitLane
	f := submitFlight{home, make(chan leg.Result, 1)}
	s.flights[id] = f

	return id, f.result
}

func (s *submits) answered(id uint64, r leg.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.flights[id]; ok {
		delete(s.flights, id)
		f.result <- r
	}
}

// lost settles the legs that were sent to a daemon whose link is gone.
func (s *submits) lost(home string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, f := range s.flights {
		if f.home == home {
			delete(s.flights, id)
			f.result <- leg.Refused(reason.Peer, reason.ExecutionUnknown, "link lost")
		}
	}
}

// Submit sends a request to one upstream, and to another only if the first surely did not run it.
// It must be called at most once for an id; the ledger sees to that.
func (g *Group) Submit(ctx context.Context, r submit.Request) leg.Result {
	table := g.ports.Table()
	if table == nil {
		return leg.Refused(reason.Configuration, reason.NotExecuted, "this daemon has no configuration yet")
	}
	service, ok := table.Service(r.Service)
	if !ok {
		return leg.Refused(reason.Service, reason.NotExecuted, "no service named "+r.Service)
	}
	snapshot, ok := service.Pick(rand.Float64())
	if !ok {
		return leg.Refused(reason.Replica, reason.NotExecuted, "no live upstream for "+r.Service)
	}
	plan := submit.NewPlan(r, snapshot, g.ports.Policy.MaxAttempts, rand.Uint64())
	result := leg.Refused(reason.Deadline, reason.NotExecuted, "no time left")
	for {
		l, replica, more := plan.Next(g.ports.Now())
		if !more {
			return result
		}
		if l.Attempt > 0 {
			g.ports.Record(event.Event{
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
	ctx, cancel := context.WithTimeout(ctx, (l.Deadline + submitGrace - g.ports.Now()).Duration())
	defer cancel()
	id, result := g.submits.open(home)
	if home == g.ports.Self {
		g.Offer("", id, l, func(r leg.Result) { g.Answered(id, r) })
	} else if !g.ports.Forward(home, id, l) {
		g.submits.answered(id, leg.Refused(reason.Peer, reason.NotExecuted, "no link to "+home))
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		g.submits.answered(id, leg.Result{})

		return leg.Refused(reason.Deadline, reason.ExecutionUnknown, "no answer from "+l.Upstream)
	}
}
