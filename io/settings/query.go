package settings

import (
	"jacinthferry/core/budget"
	"jacinthferry/core/clock"
	"jacinthferry/core/pick"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
)

// Query bounds what is done for one query.
type Query struct {
	// Lanes is the number of traffic threads.
	Lanes int `json:"lanes"`
	// Deadline is the time allowed to a request that names none.
	Deadline clock.Milli `json:"deadline"`
	// Reserve is the part of a deadline kept for the way back.
	Reserve clock.Milli `json:"reserve"`
	// Attempts is how many legs may be sent for one shard.
	Attempts int `json:"attempts"`
	// Restarts is how often a query may begin again when its snapshot is lost.
	Restarts int `json:"restarts"`
	// Choice is how a replica is chosen: "score", "two", "least" or "robin".
	Choice string `json:"choice"`
	// Early refuses a query that cannot be answered by its deadline before it is run.
	Early bool `json:"early"`
	// Fair holds each caller to its share of an overloaded service.
	Fair       bool       `json:"fair"`
	Hedge      Hedge      `json:"hedge"`
	Retry      Retry      `json:"retry"`
	Quarantine Quarantine `json:"quarantine"`
}

// Hedge bounds the second legs that are sent while a first one runs.
type Hedge struct {
	// Ratio is how many second legs are allowed for each first leg. At 0 there are none.
	Ratio float64 `json:"ratio"`
	// Burst is how many can be saved up.
	Burst float64 `json:"burst"`
	// Quantile is the part of a service's legs that are quicker than the wait for a second leg.
	Quantile float64 `json:"quantile"`
}

// Retry bounds the legs that are sent again after a failure, for each service and each caller.
type Retry struct {
	// Ratio is how many are allowed for each first leg.
	Ratio float64 `json:"ratio"`
	// Burst is how many can be saved up.
	Burst float64 `json:"burst"`
	// Floor is how many a second are allowed whatever the traffic.
	Floor float64 `json:"floor"`
}

// Quarantine bounds the harm of a request that crashes upstreams.
type Quarantine struct {
	// Canary sends a request that was not seen before to one upstream alone first.
	Canary bool `json:"canary"`
	// Crashes is how many crashes put a request into quarantine.
	Crashes int `json:"crashes"`
	// Window is for how long a crash counts.
	Window clock.Milli `json:"window"`
	// Hold is how long the quarantine lasts.
	Hold clock.Milli `json:"hold"`
	// Known is how many good requests are remembered.
	Known int `json:"known"`
	// Limit is how many requests are in quarantine at once at most.
	Limit int `json:"limit"`
}

func defaultQuery() Query {
	return Query{
		Lanes: 4, Deadline: clock.Second, Reserve: 2 * clock.Millisecond, Attempts: 3, Restarts: 1,
		Choice: string(pick.Score), Early: true, Fair: true,
		Hedge: Hedge{Ratio: 0.05, Burst: 100, Quantile: 0.97},
		Retry: Retry{Ratio: 0.1, Burst: 100, Floor: 10},
		Quarantine: Quarantine{
			Canary: true, Crashes: 2, Window: 10 * clock.Minute, Hold: 10 * clock.Minute, Known: 1 << 16, Limit: 64,
		},
	}
}

// Policy returns the limits as queries take them.
func (q Query) Policy() query.Policy {
	return query.Policy{
		Attempts: q.Attempts, Reserve: q.Reserve, Restarts: q.Restarts, Choice: pick.Way(q.Choice),
		Early: q.Early, Fair: q.Fair, Quantile: q.Hedge.Quantile,
		Hedge: budget.BucketConfig{Ratio: q.Hedge.Ratio, Burst: q.Hedge.Burst},
		Retry: budget.BucketConfig(q.Retry),
	}
}

// Terms returns the limits as the list of requests takes them.
func (q Quarantine) Terms() quarantine.Config {
	return quarantine.Config(q)
}

func (q Query) check() []Fault {
	return append(faults(
		within("query.lanes", float64(q.Lanes), 1, 256),
		within("query.deadline", float64(q.Deadline), 1, float64(clock.Minute)),
		within("query.reserve", float64(q.Reserve), 0, float64(q.Deadline)),
		within("query.attempts", float64(q.Attempts), 1, 10),
		within("query.restarts", float64(q.Restarts), 0, 10),
		q.choice(),
		within("query.hedge.ratio", q.Hedge.Ratio, 0, 1),
		within("query.hedge.burst", q.Hedge.Burst, 1, 1<<20),
		within("query.hedge.quantile", q.Hedge.Quantile, 0.5, 0.9999),
		within("query.retry.ratio", q.Retry.Ratio, 0, 1),
		within("query.retry.burst", q.Retry.Burst, 0, 1<<20),
		within("query.retry.floor", q.Retry.Floor, 0, 1<<20),
	), q.Quarantine.check()...)
}

func (q Query) choice() *Fault {
	if pick.Way(q.Choice).Known() {
		return nil
	}

	return wrong("query.choice", `want "score", "two", "least" or "robin"`)
}

func (q Quarantine) check() []Fault {
	return faults(
		within("query.quarantine.crashes", float64(q.Crashes), 1, 16),
		within("query.quarantine.window", float64(q.Window), float64(clock.Second), float64(24*clock.Hour)),
		within("query.quarantine.hold", float64(q.Hold), float64(clock.Second), float64(24*clock.Hour)),
		within("query.quarantine.known", float64(q.Known), 2, 1<<24),
		within("query.quarantine.limit", float64(q.Limit), 0, 1<<16),
	)
}
