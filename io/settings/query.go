package settings

import (
	"jacinthferry/core/budget"
	"jacinthferry/core/clock"
	"jacinthferry/core/pick"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
)

// Query limits the work for one query.
type Query struct {
	// Lanes is the number of threads that handle queries and legs.
	Lanes int `json:"lanes"`
	// DefaultTimeout is the timeout of a request that sets none.
	DefaultTimeout clock.Milli `json:"deadline"`
	// DeadlineMargin is the part of the timeout that is kept for merging and returning the answer.
	DeadlineMargin clock.Milli `json:"reserve"`
	// MaxAttempts is the largest number of legs for one shard.
	MaxAttempts int `json:"attempts"`
	// MaxRestarts is how often a query may start again after its snapshot is lost.
	MaxRestarts int `json:"restarts"`
	// BalancingMethod is the load balancing method for replicas: "score" (lowest expected wait), "two" (the
	// better of two at random), "least" (fewest legs in flight) or "robin" (in turn).
	BalancingMethod string `json:"choice"`
	// EarlyRefusal refuses a query before it is run if it cannot be answered by its deadline.
	EarlyRefusal bool `json:"early"`
	// FairSharing limits each caller to its share of an overloaded service.
	FairSharing bool       `json:"fair"`
	Hedge       Hedge      `json:"hedge"`
	Retry       Retry      `json:"retry"`
	Quarantine  Quarantine `json:"quarantine"`
}

// Hedge limits the hedges: second legs that are sent while the first one runs.
type Hedge struct {
	// Ratio is the number of hedges allowed for each first leg; 0 disables hedges.
	Ratio float64 `json:"ratio"`
	// Burst is how many hedges can be saved up.
	Burst float64 `json:"burst"`
	// Quantile is the latency quantile of a service's legs after which a hedge is sent, from 0 to 1.
	Quantile float64 `json:"quantile"`
}

// Retry limits the legs that are sent again after a failure, for each service and each caller.
type Retry struct {
	// Ratio is the number of retries allowed for each first leg.
	Ratio float64 `json:"ratio"`
	// Burst is how many retries can be saved up.
	Burst float64 `json:"burst"`
	// Floor is the number of retries per second that are allowed at any traffic.
	Floor float64 `json:"floor"`
}

// Quarantine limits the harm of requests that crash upstreams.
type Quarantine struct {
	// Canary sends a request that was not seen before to a single upstream first.
	Canary bool `json:"canary"`
	// Crashes is the number of crashes after which a request is quarantined.
	Crashes int `json:"crashes"`
	// Window is how long a crash counts.
	Window clock.Milli `json:"window"`
	// Hold is the duration of the quarantine.
	Hold clock.Milli `json:"hold"`
	// Known is the number of successful requests that are remembered.
	Known int `json:"known"`
	// Limit is the largest number of requests in quarantine at a time.
	Limit int `json:"limit"`
}

func defaultQuery() Query {
	return Query{
		Lanes: 4, DefaultTimeout: clock.Second, DeadlineMargin: 2 * clock.Millisecond, MaxAttempts: 3, MaxRestarts: 1,
		BalancingMethod: string(pick.LowestWait), EarlyRefusal: true, FairSharing: true,
		Hedge: Hedge{Ratio: 0.05, Burst: 100, Quantile: 0.97},
		Retry: Retry{Ratio: 0.1, Burst: 100, Floor: 10},
		Quarantine: Quarantine{
			Canary: true, Crashes: 2, Window: 10 * clock.Minute, Hold: 10 * clock.Minute, Known: 1 << 16, Limit: 64,
		},
	}
}

// Policy returns the limits in the form that package query needs.
func (q Query) Policy() query.Policy {
	return query.Policy{
		MaxAttempts: q.MaxAttempts, DeadlineMargin: q.DeadlineMargin, MaxRestarts: q.MaxRestarts,
		BalancingMethod: pick.Method(q.BalancingMethod),
		EarlyRefusal:    q.EarlyRefusal, FairSharing: q.FairSharing, HedgeQuantile: q.Hedge.Quantile,
		Hedge: budget.BucketConfig{Ratio: q.Hedge.Ratio, Burst: q.Hedge.Burst},
		Retry: budget.BucketConfig(q.Retry),
	}
}

// Config returns the limits in the form that package quarantine needs.
func (q Quarantine) Config() quarantine.Config {
	return quarantine.Config(q)
}

func (q Query) check() []Fault {
	return append(nonNil(
		checkRange("query.lanes", float64(q.Lanes), 1, 256),
		checkRange("query.deadline", float64(q.DefaultTimeout), 1, float64(clock.Minute)),
		checkRange("query.reserve", float64(q.DeadlineMargin), 0, float64(q.DefaultTimeout)),
		checkRange("query.attempts", float64(q.MaxAttempts), 1, 10),
		checkRange("query.restarts", float64(q.MaxRestarts), 0, 10),
		q.checkChoice(),
		checkRange("query.hedge.ratio", q.Hedge.Ratio, 0, 1),
		checkRange("query.hedge.burst", q.Hedge.Burst, 1, 1<<20),
		checkRange("query.hedge.quantile", q.Hedge.Quantile, 0.5, 0.9999),
		checkRange("query.retry.ratio", q.Retry.Ratio, 0, 1),
		checkRange("query.retry.burst", q.Retry.Burst, 0, 1<<20),
		checkRange("query.retry.floor", q.Retry.Floor, 0, 1<<20),
	), q.Quarantine.check()...)
}

func (q Query) checkChoice() *Fault {
	if pick.Method(q.BalancingMethod).Valid() {
		return nil
	}

	return newFault("query.choice", `want "score", "two", "least" or "robin"`)
}

func (q Quarantine) check() []Fault {
	return nonNil(
		checkRange("query.quarantine.crashes", float64(q.Crashes), 1, 16),
		checkRange("query.quarantine.window", float64(q.Window), float64(clock.Second), float64(24*clock.Hour)),
		checkRange("query.quarantine.hold", float64(q.Hold), float64(clock.Second), float64(24*clock.Hour)),
		checkRange("query.quarantine.known", float64(q.Known), 2, 1<<24),
		checkRange("query.quarantine.limit", float64(q.Limit), 0, 1<<16),
	)
}
