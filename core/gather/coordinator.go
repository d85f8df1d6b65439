package gather

import (
	"jacinthferry/core/balance"
	"jacinthferry/core/budget"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/latency"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"
)

// Policy holds the limits and weights of a daemon's requests.
type Policy struct {
	// RetryRatio is the number of retries and hedges allowed per request to a service.
	RetryRatio float64
	// RetrySlack is the number of retries and hedges to a service that all daemons together may send in
	// addition within a budget window.
	RetrySlack float64
	// DeadlineMargin is subtracted from a caller's deadline so that the answer reaches the caller in time.
	DeadlineMargin clock.Milli
	// CanaryShare is the largest share of a service's requests, from 0 to 1, that a version on trial (a canary)
	// gets.
	CanaryShare float64
}

const (
	// canaryFraction is the fraction of the policy's trial share that is used. The rest is for retries and
	// hedges.
	canaryFraction = 0.8
	// latencySpan is the span of a route's latency window.
	latencySpan = 5 * clock.Second
	// hedgeQuantile is the fraction of answers that arrive before a hedge is sent.
	hedgeQuantile = 0.9
	// defaultHedgeFraction and maxHedgeFraction are fractions of the objective: the hedge delay of a route
	// without known latencies, and the longest hedge delay.
	defaultHedgeFraction = 0.25
	maxHedgeFraction     = 0.35
	// minHedgeDelay is the shortest hedge delay.
	minHedgeDelay = 4 * clock.Millisecond
	// responseMarginFraction is the fraction of the objective reserved for building and sending the
	// answer, and minResponseMargin the least time reserved.
	responseMarginFraction = 0.05
	minResponseMargin      = 4 * clock.Millisecond
	// budgetFraction is the fraction of the retry budget that this daemon uses. The rest covers sends that
	// cross the start of a budget window.
	budgetFraction = 0.8
	// initialSlackFraction is the fraction of its slack that a daemon may use during its first budget
	// window: other daemons may have started at the same time, and the daemon does not know what it sent
	// before it started.
	initialSlackFraction = 0.25
)

// Coordinator coordinates the requests of one daemon and holds the state that they share. It is not safe for
// concurrent use.
type Coordinator struct {
	policy    Policy
	balancer  *balance.Balancer
	daemons   func() int
	uniform   func() float64
	budgets   map[string]*budget.SlidingWindow
	latencies map[string]*latency.Window
	counter   *rollout.Counter
	actions   []Action
	// firstRequestAt is when the first request came, or 0.
	firstRequestAt clock.Milli
}

// New returns a coordinator. Daemons returns how many daemons share the slack of the retry budget, and
// uniform a random number from 0 to 1.
func New(policy Policy, balancer *balance.Balancer, daemons func() int, uniform func() float64) *Coordinator {
	return &Coordinator{
		policy: policy, balancer: balancer, daemons: daemons, uniform: uniform,
		budgets: make(map[string]*budget.SlidingWindow), latencies: make(map[string]*latency.Window),
		counter: rollout.NewCounter(),
	}
}

// SetPolicy changes the policy. Requests sent earlier count under the new one.
func (c *Coordinator) SetPolicy(p Policy) { c.policy = p }

// Begin starts a request on a route and returns its first actions. They are valid until the next call
// to the coordinator or one of its queries.
func (c *Coordinator) Begin(
	now clock.Milli, view *catalog.View, route *catalog.Route, request Request) (*Query, []Action,
) {
	c.actions = c.actions[:0]
	if c.firstRequestAt == 0 {
		c.firstRequestAt = now
	}
	q := &Query{coordinator: c, view: view, route: route, request: request, latency: c.latencyWindow(route.Name)}
	q.hedgeDelay = q.computeHedgeDelay(now)
	services := route.Shards
	if !route.Gathers() {
		services = []string{c.pickService(route)}
	}
	q.shards = make([]shard, len(services))
	q.legs = make([]leg, 0, len(services)+len(services)/4+1)
	q.pending = len(services)
	for i, name := range services {
		q.shards[i].service = view.Config.Services[name]
		q.shards[i].service.Name = name
		q.shards[i].useCanary = c.sampleCanary(view, name)
		c.retryBudget(now, name).CountInitial(now)
	}
	q.begin(now)

	return q, c.actions
}

// pickService returns the service of a plain route, or a random one of a weighted route.
func (c *Coordinator) pickService(route *catalog.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	left := c.uniform() * total
	for _, s := range route.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}

	return route.Split[len(route.Split)-1].Service
}

// sampleCanary decides at random whether a request goes to the version of a service that is on trial.
func (c *Coordinator) sampleCanary(view *catalog.View, service string) bool {
	return len(view.Canaries(service)) > 0 && c.uniform() < canaryFraction*c.policy.CanaryShare
}

// RolloutCounts returns the answers that this daemon has counted for a move, by route.
func (c *Coordinator) RolloutCounts(service string, move catalog.Rollout) map[string]rollout.Counts {
	return c.counter.Counts(service, move)
}

// retryBudget returns this daemon's part of the retry budget of a service.
func (c *Coordinator) retryBudget(now clock.Milli, service string) *budget.SlidingWindow {
	quota := budget.Quota{
		Ratio: budgetFraction * c.policy.RetryRatio,
		Slack: max(1, budgetFraction*c.policy.RetrySlack/float64(max(1, c.daemons()))),
	}
	if now < c.firstRequestAt+budget.WindowSpan {
		quota.Slack *= initialSlackFraction
	}
	w := c.budgets[service]
	if w == nil {
		w = budget.NewSlidingWindow(now, quota)
		c.budgets[service] = w
	}
	w.SetQuota(quota)

	return w
}

func (c *Coordinator) latencyWindow(route string) *latency.Window {
	w := c.latencies[route]
	if w == nil {
		w = latency.New(latencySpan)
		c.latencies[route] = w
	}

	return w
}

// Prune drops the retry budgets of services and the latencies of routes that the view no longer has, and the
// upstreams that the balancer no longer needs.
func (c *Coordinator) Prune(now clock.Milli, view *catalog.View) {
	c.balancer.Prune(now)
	for name := range c.budgets {
		if _, ok := view.Config.Services[name]; !ok {
			delete(c.budgets, name)
		}
	}
	for name := range c.latencies {
		if !view.Config.HasRoute(name) {
			delete(c.latencies, name)
		}
	}
}

// Request is a caller's request.
type Request struct {
	ID string
	// Deadline is when the caller stops waiting.
	Deadline clock.Milli
	// FirstSent is when the caller sent its first attempt, so that the time since then includes earlier
	// attempts and network transit.
	FirstSent clock.Milli
	// Arrived is when this attempt arrived.
	Arrived clock.Milli
	// StopAt is when a planned stop of this daemon ends the request, or 0 while none is under way.
	StopAt clock.Milli
	// Quarantined reports whether the request is known by now to crash the upstreams that run it. It may be nil.
	Quarantined func() bool
	// View returns the latest view, from which the upstreams of each leg are taken. If it is nil, all legs use the one
	// with which the request began.
	View func() *catalog.View
}

// Kind is the type of an Action.
type Kind int

// The kinds of Action.
const (
	// Send sends the request to an upstream.
	Send Kind = iota
	// Finish returns an answer or a refusal to the caller.
	Finish
	// Cancel cancels a leg because the caller has left.
	Cancel
)

// Action is an instruction that a query returns.
type Action struct {
	Kind Kind
	// Number identifies the leg within the query, for Send and Cancel.
	Number   int
	Upstream *catalog.Upstream
	// Service is the service that the leg goes to.
	Service catalog.Service
	// Deadline is when the upstream should stop working on the leg.
	Deadline clock.Milli
	// RetryReason is the reason for a retry or hedge, and empty for the first leg of a shard.
	RetryReason reason.Code
	Outcome     Outcome
}

// Outcome is the answer or refusal that a caller gets.
type Outcome struct {
	// Legs are the numbers of the legs whose answers the caller gets: one for each covered shard, or the
	// one whose answer is forwarded.
	Legs []int
	// Missing are the services of the shards that an answer does not cover or, in a refusal, those without
	// upstreams.
	Missing []string
	// Skipped is how many of the missing shards were skipped because they would have answered too late.
	Skipped int
	// Refusal says why there is no answer, or is nil when there is one.
	Refusal *reason.Refusal
	// RetryAfter is how long a refused caller should wait before it retries, or 0 without a refusal.
	RetryAfter clock.Milli
}

// Result is how a leg ended.
type Result struct {
	// OK is set when a complete answer came.
	OK bool
	// Forwardable is set when an unsuccessful answer came that may be forwarded to the caller.
	Forwardable bool
	// Run tells whether the upstream ran the request, and Reason why there is no answer.
	Run    reason.Execution
	Reason reason.Code
	// Sent is set when any bytes of the request were sent.
	Sent bool
	// Load is the load that the upstream reported, or nil.
	Load *balance.Load
	// Limit is the rate limit that the upstream named, or nil.
	Limit *balance.RateLimit
	// Leaving is set if the upstream announced its shutdown, and Pause is for how long it asked to get no request, or 0.
	Leaving bool
	Pause   clock.Milli
	// MergeDelay is how long another daemon held the answer back to merge it with others.
	MergeDelay clock.Milli
}
