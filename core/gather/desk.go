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
	// Extra is how many repeated sends each request to a service pays for, and Slack how many more
	// all daemons together may send within the window over which they are counted.
	Extra float64
	Slack float64
	// Reserve is the time kept back from a deadline for the answer's way to the caller.
	Reserve clock.Milli
	// Trial is the share of a service's requests that a version on trial gets at most.
	Trial float64
}

const (
	// trialUse is the part of Trial that is used. The rest is for repeated sends.
	trialUse = 0.8
	// latencySpan is for how long latencies of a route count.
	latencySpan = 5 * clock.Second
	// hedgeQuantile is the part of the answers that come before a second upstream is asked.
	hedgeQuantile = 0.9
	// The wait before a second upstream is asked, as a part of the objective: while nothing is known
	// of a route, and at most.
	hedgeUnknown = 0.25
	hedgeLatest  = 0.35
	// hedgeSoonest is the shortest such wait.
	hedgeSoonest = 4 * clock.Millisecond
	// marginPart is the part of the objective kept back for building and sending the answer, at least
	// marginLeast.
	marginPart  = 0.05
	marginLeast = 4 * clock.Millisecond
	// extraUse is the part of the extra sends that this daemon allows itself: the rest is for sends
	// that crossed the start of a window.
	extraUse = 0.8
	// firstPart is the part of its slack that a daemon may use in the first span over which sends are
	// counted. Others may have started with it, and it knows nothing of what it sent before.
	firstPart = 0.25
)

// Desk holds what the requests of one daemon share. It is not safe for concurrent use.
type Desk struct {
	policy    Policy
	fleet     *balance.Fleet
	daemons   func() int
	uniform   func() float64
	budgets   map[string]*budget.Window
	latencies map[string]*latency.Window
	counter   *rollout.Counter
	actions   []Action
	// born is when the first request came, or 0.
	born clock.Milli
}

// New returns a desk. Daemons returns how many daemons share the extra sends, and uniform a random
// number from 0 to 1.
func New(policy Policy, fleet *balance.Fleet, daemons func() int, uniform func() float64) *Desk {
	return &Desk{
		policy: policy, fleet: fleet, daemons: daemons, uniform: uniform,
		budgets: make(map[string]*budget.Window), latencies: make(map[string]*latency.Window),
		counter: rollout.NewCounter(),
	}
}

// SetPolicy changes the policy. What was sent before counts under it.
func (d *Desk) SetPolicy(p Policy) { d.policy = p }

// Begin starts a request on a route and returns its first actions. They are valid until the next
// call to the desk or one of its queries.
func (d *Desk) Begin(now clock.Milli, view *catalog.View, route *catalog.Route, request Request) (*Query, []Action) {
	d.actions = d.actions[:0]
	if d.born == 0 {
		d.born = now
	}
	q := &Query{desk: d, view: view, route: route, request: request, latency: d.latency(route.Name)}
	q.patience = q.hedgeAfter(now)
	services := route.Shards
	if !route.Gathers() {
		services = []string{d.service(route)}
	}
	q.shards = make([]shard, len(services))
	q.legs = make([]leg, 0, len(services)+len(services)/4+1)
	q.waiting = len(services)
	for i, name := range services {
		q.shards[i].service = view.Config.Services[name]
		q.shards[i].service.Name = name
		q.shards[i].trial = d.tries(view, name)
		d.budget(now, name).Earn(now)
	}
	q.begin(now)

	return q, d.actions
}

// service returns the service of a plain route, or one of a weighted route at random.
func (d *Desk) service(route *catalog.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	left := d.uniform() * total
	for _, s := range route.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}

	return route.Split[len(route.Split)-1].Service
}

// tries reports whether a request goes to the version of a service that is on trial.
func (d *Desk) tries(view *catalog.View, service string) bool {
	return len(view.Trial(service)) > 0 && d.uniform() < trialUse*d.policy.Trial
}

// Counts returns what this daemon has counted for a move, by route.
func (d *Desk) Counts(service string, move catalog.Move) map[string]rollout.Counts {
	return d.counter.Counts(service, move)
}

// budget returns this daemon's part of the extra sends to a service.
func (d *Desk) budget(now clock.Milli, service string) *budget.Window {
	quota := budget.Quota{
		Ratio: extraUse * d.policy.Extra, Slack: max(1, extraUse*d.policy.Slack/float64(max(1, d.daemons()))),
	}
	if now < d.born+budget.WindowSpan {
		quota.Slack *= firstPart
	}
	w := d.budgets[service]
	if w == nil {
		w = budget.NewWindow(now, quota)
		d.budgets[service] = w
	}
	w.Limit(quota)

	return w
}

func (d *Desk) latency(route string) *latency.Window {
	w := d.latencies[route]
	if w == nil {
		w = latency.New(latencySpan)
		d.latencies[route] = w
	}

	return w
}

// Keep forgets what belongs to services and routes that the view does not have any more.
func (d *Desk) Keep(now clock.Milli, view *catalog.View) {
	d.fleet.Keep(now)
	for name := range d.budgets {
		if _, ok := view.Config.Services[name]; !ok {
			delete(d.budgets, name)
		}
	}
}

// Request is what a caller asks for.
type Request struct {
	ID string
	// Deadline is when the caller leaves.
	Deadline clock.Milli
	// Began is when the caller asked first, an earlier try and the ways between included.
	Began clock.Milli
	// Arrived is when this try arrived.
	Arrived clock.Milli
}

// Kind tells actions apart.
type Kind int

// The kinds of Action.
const (
	// Send sends the request to an upstream.
	Send Kind = iota
	// Finish hands the caller its answer or refusal.
	Finish
	// Cancel gives up on a leg, because the caller left.
	Cancel
)

// Action is one thing that a query wants done.
type Action struct {
	Kind Kind
	// Number identifies the leg within the query, for Send and Cancel.
	Number   int
	Upstream *catalog.Upstream
	// Service is the one that the leg asks.
	Service catalog.Service
	// Deadline is when the upstream should give up.
	Deadline clock.Milli
	// Extra says why an upstream is asked although another one was, or is empty.
	Extra   reason.Word
	Outcome Outcome
}

// Outcome is what the caller is told.
type Outcome struct {
	// Legs are the numbers of those whose answers the caller gets: one for each shard that is
	// covered, or the one whose answer is passed on.
	Legs []int
	// Missing are the services of the shards that an answer does not cover, or those without upstreams
	// when there is no answer.
	Missing []string
	// Unasked is how many of them were not asked because they would have answered too late.
	Unasked int
	// Refusal is set when there is no such answer, and Retry when the caller may come back.
	Refusal *reason.Refusal
	Retry   clock.Milli
}

// Result is how a leg ended.
type Result struct {
	// Good is set when a whole answer came, and Reply when an answer came that may be passed on.
	Good  bool
	Reply bool
	// Run tells whether the upstream ran the request, and Reason why there is no answer.
	Run    reason.Run
	Reason reason.Word
	// Sent is set when bytes of the request were sent.
	Sent bool
	// Load is what the upstream reported, or nil.
	Load *balance.Load
	// Held is for how long another daemon kept the answer.
	Held clock.Milli
}
