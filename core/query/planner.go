package query

import (
	"math/rand/v2"

	"jacinthferry/core/budget"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/latency"
	"jacinthferry/core/pick"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// Policy holds the limits that apply to every query.
type Policy struct {
	// Attempts is how many legs may be sent for one shard.
	Attempts int
	// Reserve is the part of the time before the deadline kept for merging and the way back.
	Reserve clock.Milli
	// Restarts is how often a query may begin again on another snapshot.
	Restarts int
	// Choice is how a replica is chosen.
	Choice pick.Way
	// Hedge is the budget of second legs, and Quantile the part of the legs that have answered by
	// the time that a second one is sent.
	Hedge    budget.BucketConfig
	Quantile float64
	// Retry is the budget of legs sent again after a failure, for each service and each caller.
	Retry budget.BucketConfig
	// Early refuses a query that cannot be answered by its deadline before it is run.
	Early bool
	// Fair holds each caller to its share of an overloaded service.
	Fair bool
}

// Guard is what the queries of all threads share about requests that crash upstreams. Its functions
// are those of quarantine.Tracker, made safe for use by many threads.
type Guard struct {
	Ask    func(now clock.Milli, p quarantine.Fingerprint, version string, trusted bool) quarantine.Verdict
	Held   func(now clock.Milli, p quarantine.Fingerprint) bool
	Passed func(p quarantine.Fingerprint, version string)
	Ended  func(p quarantine.Fingerprint)
	Lost   func(now clock.Milli, p quarantine.Fingerprint, crash uint64)
}

// memory is the span over which a service's latencies are kept.
const memory = 10 * clock.Second

// Limits of what a planner remembers.
const (
	callerLimit  = 1024
	serviceLimit = 4096
)

// service is what a planner knows of one service.
type service struct {
	latency *latency.Window
	hedges  *budget.Bucket
	retries *budget.Bucket
	fair    *budget.FairLimiter
}

// Planner makes the decisions that the queries of one thread share. The actions that it and its
// queries return are valid until the next call of any of them.
type Planner struct {
	policy   Policy
	guard    Guard
	table    func() *route.Table
	random   *rand.Rand
	picks    *pick.Set
	services map[string]*service
	callers  *budget.CallerBuckets
	pruned   clock.Milli
	actions  []Action
}

// NewPlanner returns a planner that routes by the newest table.
func NewPlanner(policy Policy, guard Guard, table func() *route.Table, random *rand.Rand) *Planner {
	return &Planner{
		policy: policy, guard: guard, table: table, random: random, picks: pick.New(policy.Choice, random),
		services: make(map[string]*service), callers: budget.NewCallerBuckets(policy.Retry, callerLimit),
	}
}

// Begin starts a query pinned to the best snapshot, or finishes it at once with a refusal.
func (p *Planner) Begin(now clock.Milli, r Request) (*Query, []Action) {
	p.actions = p.actions[:0]
	q := &Query{planner: p, request: r, mark: quarantine.FingerprintOf(r.Service, r.Text), lead: none}
	table := p.table()
	if table == nil {
		return q, q.refuse(reason.Configuration, "this daemon has no configuration yet")
	}
	p.prune(now, table)
	routes, ok := table.Service(r.Service)
	if !ok {
		return q, q.refuse(reason.Service, "no service named "+r.Service)
	}
	if now >= q.deadline() {
		return q, q.refuse(reason.Deadline, "no time is left")
	}
	if p.guard.Held(now, q.mark) {
		return q, q.refuse(reason.Quarantine, "this request crashed upstreams")
	}
	snapshot, ok := routes.Pick(p.random.Float64())
	if !ok {
		return q, q.refuse(reason.Replica, "no live upstream for "+r.Service)
	}
	q.service = p.service(now, r.Service)
	if p.late(now, q) {
		return q, q.refuse(reason.Deadline, "the service needs longer than the time left")
	}
	if p.policy.Fair && !q.service.fair.Admit(now, r.Caller) {
		return q, q.refuse(reason.Overload, "over the caller's share")
	}
	q.admitted, q.trusted = true, routes.Trusted
	q.emit(Action{Kind: Wake, At: q.deadline()})
	q.pin(now, snapshot)

	return q, q.settle(now)
}

// late reports whether the query cannot be answered by its deadline. A caller that takes a partial
// answer gets what there is.
func (p *Planner) late(now clock.Milli, q *Query) bool {
	if !p.policy.Early || q.request.Partial {
		return false
	}
	usual, known := q.service.latency.Quantile(now, median)

	return known && now+usual > q.deadline()
}

// median is the quantile that stands for the usual latency of a leg.
const median = 0.5

func (p *Planner) service(now clock.Milli, name string) *service {
	s := p.services[name]
	if s == nil {
		if len(p.services) >= serviceLimit {
			clear(p.services)
		}
		s = &service{
			latency: latency.New(memory), hedges: budget.NewBucket(now, p.policy.Hedge),
			retries: budget.NewBucket(now, p.policy.Retry), fair: budget.NewFairLimiter(),
		}
		p.services[name] = s
	}

	return s
}

// pruneWait is the time between two looks for upstreams to forget.
const pruneWait = 30 * clock.Second

// prune forgets the upstreams that the table does not have any more.
func (p *Planner) prune(now clock.Milli, table *route.Table) {
	if now < p.pruned+pruneWait {
		return
	}
	p.pruned = now
	p.picks.Keep(func(upstream string) bool {
		_, ok := table.Upstream(upstream)

		return ok
	})
}

// newer returns the whole snapshot to begin again on when the pinned one is lost.
func (p *Planner) newer(table *route.Table, name string, pinned route.Snapshot) (route.Snapshot, bool) {
	routes, _ := table.Service(name)
	for _, v := range routes.Versions {
		if v.Name != pinned.Version {
			continue
		}
		gone := true
		for _, s := range v.Snapshots {
			gone = gone && s.Name != pinned.Name
		}
		for _, s := range v.Snapshots {
			if s.Name != pinned.Name && (gone || s.Order > pinned.Order) {
				return s, whole(s)
			}
		}

		return route.Snapshot{}, false
	}
	s, ok := routes.Pick(p.random.Float64())

	return s, ok && whole(s)
}

func whole(s route.Snapshot) bool { return s.Covered() == len(s.Shards) }

// note records a decision about a query.
func (q *Query) note(e event.Event) {
	e.Service, e.Version, e.Request = q.request.Service, q.snapshot.Version, q.request.ID
	q.emit(Action{Kind: Note, Event: &e})
}
