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
	// MaxAttempts is the maximum number of legs for one shard.
	MaxAttempts int
	// DeadlineMargin is subtracted from the caller's deadline to leave time for merging and the response.
	DeadlineMargin clock.Milli
	// MaxRestarts is how often a query may restart on another snapshot.
	MaxRestarts int
	// BalancingMethod is the load balancing method that chooses a replica.
	BalancingMethod pick.Method
	// Hedge is the budget of hedges. A hedge is sent when a leg takes longer than the HedgeQuantile of the
	// latencies of its service.
	Hedge         budget.BucketConfig
	HedgeQuantile float64
	// Retry is the budget of retries after a failure, for each service and each caller.
	Retry budget.BucketConfig
	// EarlyRefusal refuses a query before it is executed if it cannot be answered by its deadline.
	EarlyRefusal bool
	// FairSharing limits each caller to its share of an overloaded service.
	FairSharing bool
}

// QuarantineTracker tracks the requests that crash upstreams, for the queries of all threads. Its functions
// are those of quarantine.Tracker, made safe for concurrent use.
type QuarantineTracker struct {
	Admit              func(now clock.Milli, p quarantine.Fingerprint, version string, trusted bool) quarantine.Verdict
	Quarantined        func(now clock.Milli, p quarantine.Fingerprint) bool
	RecordSuccess      func(p quarantine.Fingerprint, version string)
	RecordInconclusive func(p quarantine.Fingerprint)
	RecordCrash        func(now clock.Milli, p quarantine.Fingerprint, crash uint64)
}

// latencyWindow is the length of the sliding window of a service's latencies.
const latencyWindow = 10 * clock.Second

// Bounds on the state of a planner.
const (
	maxCallers  = 1024
	maxServices = 4096
)

// serviceState is the state that the queries of one service share.
type serviceState struct {
	latency     *latency.Window
	hedgeBudget *budget.Bucket
	retryBudget *budget.Bucket
	limiter     *budget.FairLimiter
}

// Planner starts the queries of one thread and holds the state that they share. The actions that it
// and its queries return are valid until the next call of any of their methods.
type Planner struct {
	policy        Policy
	tracker       QuarantineTracker
	table         func() *route.Table
	random        *rand.Rand
	balancer      *pick.Balancer
	services      map[string]*serviceState
	callerBudgets *budget.CallerBuckets
	prunedAt      clock.Milli
	actions       []Action
}

// NewPlanner returns a planner that calls table for the current routing table.
func NewPlanner(policy Policy, guard QuarantineTracker, table func() *route.Table, random *rand.Rand) *Planner {
	return &Planner{
		policy: policy, tracker: guard, table: table, random: random, balancer: pick.New(policy.BalancingMethod, random),
		services: make(map[string]*serviceState), callerBudgets: budget.NewCallerBuckets(policy.Retry, maxCallers),
	}
}

// Begin starts a query that is pinned to the best snapshot, or finishes it at once with a refusal.
func (p *Planner) Begin(now clock.Milli, r Request) (*Query, []Action) {
	p.actions = p.actions[:0]
	q := &Query{planner: p, request: r, fingerprint: quarantine.FingerprintOf(r.Service, r.Text), canaryShard: none}
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
		return q, q.refuse(reason.Deadline, "no time is left before the deadline")
	}
	if p.tracker.Quarantined(now, q.fingerprint) {
		return q, q.refuse(reason.Quarantine, "the request is quarantined because it crashed upstreams")
	}
	snapshot, ok := routes.ChooseSnapshot(p.random.Float64())
	if !ok {
		return q, q.refuse(reason.Replica, "no live upstream for "+r.Service)
	}
	q.service = p.serviceState(now, r.Service)
	if p.missesDeadline(now, q) {
		return q, q.refuse(reason.Deadline, "the typical latency of the service exceeds the time left")
	}
	if p.policy.FairSharing && !q.service.limiter.Admit(now, r.Caller) {
		return q, q.refuse(reason.Overload, "the caller exceeds its share of the overloaded service")
	}
	q.admitted, q.trusted = true, routes.Trusted
	q.emit(Action{Kind: Wake, At: q.deadline()})
	q.pin(now, snapshot)

	return q, q.advance(now)
}

// missesDeadline reports whether the query cannot be answered by its deadline. It never reports this for
// a caller that accepts partial responses, who gets what is there at the deadline.
func (p *Planner) missesDeadline(now clock.Milli, q *Query) bool {
	if !p.policy.EarlyRefusal || q.request.Partial {
		return false
	}
	medianLatency, known := q.service.latency.Quantile(now, median)

	return known && now+medianLatency > q.deadline()
}

// median is the quantile used as the typical latency of a leg.
const median = 0.5

func (p *Planner) serviceState(now clock.Milli, name string) *serviceState {
	s := p.services[name]
	if s == nil {
		if len(p.services) >= maxServices {
			clear(p.services)
		}
		s = &serviceState{
			latency: latency.New(latencyWindow), hedgeBudget: budget.NewBucket(now, p.policy.Hedge),
			retryBudget: budget.NewBucket(now, p.policy.Retry), limiter: budget.NewFairLimiter(),
		}
		p.services[name] = s
	}

	return s
}

// pruneInterval is the time between two runs of prune.
const pruneInterval = 30 * clock.Second

// prune deletes the state of the upstreams that are no longer in the table.
func (p *Planner) prune(now clock.Milli, table *route.Table) {
	if now < p.prunedAt+pruneInterval {
		return
	}
	p.prunedAt = now
	p.balancer.Prune(func(upstream string) bool {
		_, ok := table.Upstream(upstream)

		return ok
	})
}

// restartSnapshot returns the snapshot with full coverage to restart on when the pinned one is lost, or
// false if there is none.
func (p *Planner) restartSnapshot(table *route.Table, name string, pinned route.Snapshot) (route.Snapshot, bool) {
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
				return s, hasFullCoverage(s)
			}
		}

		return route.Snapshot{}, false
	}
	s, ok := routes.ChooseSnapshot(p.random.Float64())

	return s, ok && hasFullCoverage(s)
}

func hasFullCoverage(s route.Snapshot) bool { return s.CoveredShards() == len(s.Shards) }

// record emits an event about a decision on the query.
func (q *Query) record(e event.Event) {
	e.Service, e.Version, e.Request = q.request.Service, q.snapshot.Version, q.request.ID
	q.emit(Action{Kind: Note, Event: &e})
}
