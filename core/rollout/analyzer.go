package rollout

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// gain is the weight of a new sample in the moving averages of the old version.
	gain = 0.05
	// samplesLeast is how many answers of the old version make its latency known.
	samplesLeast = 5
	// slowTimes is how many times as long as the old version's an answer takes that counts as slow.
	slowTimes = 3
	// slowWeight is how much a slow answer counts beside a failure. Upstreams pause now and then.
	slowWeight = 0.7
	// The share of failures that is allowed to the new version: failureTimes that of the old one, and
	// failureSlack.
	failureTimes = 2
	failureSlack = 0.1
	// tripAt is the sum of failures beyond what is allowed at which a version is found to be bad.
	tripAt = 3
)

// Answer is how one leg to a service with a move went.
type Answer struct {
	Service string
	Route   string
	// Version is the one of the upstream that was asked.
	Version string
	Good    bool
	Latency clock.Milli
}

// Analyzer compares the answers of a new version with those of the old one, for each route, because a
// version may be bad on one route only. It is not safe for concurrent use.
type Analyzer struct {
	moves map[string]*analysis
}

// analysis is what is known of one move.
type analysis struct {
	// order is the one that the move follows.
	order  int64
	bad    bool
	routes map[string]*routeStats
}

// Counts is what one daemon has counted on one route: answers, and how many of them count as failures.
type Counts struct {
	Tried    int
	Bad      float64
	Usual    int
	UsualBad float64
}

// Add returns the sum of two counts.
func (t Counts) Add(o Counts) Counts {
	return Counts{t.Tried + o.Tried, t.Bad + o.Bad, t.Usual + o.Usual, t.UsualBad + o.UsualBad}
}

// allowed returns the share of failures that the new version may have.
func (t Counts) allowed() float64 {
	return failureTimes*t.UsualBad/float64(max(1, t.Usual)) + failureSlack
}

// Counts returns what this daemon has counted for a move, by route.
func (an *Analyzer) Counts(service string, move catalog.Move) map[string]Counts {
	t := an.moves[service]
	if t == nil || t.order != move.Order {
		return nil
	}
	list := make(map[string]Counts, len(t.routes))
	for name, e := range t.routes {
		list[name] = e.counts
	}

	return list
}

// routeStats is what the answers on one route show.
type routeStats struct {
	// latency and failures are averages of the old version, and samples the answers that they are of.
	latency  clock.Milli
	failures float64
	samples  int
	// excess is how far the new version's failures are beyond what is allowed.
	excess float64
	counts Counts
}

// NewAnalyzer returns an analyzer that has seen nothing.
func NewAnalyzer() *Analyzer { return &Analyzer{moves: make(map[string]*analysis)} }

// Add takes an answer to a request on a service that is moved.
func (an *Analyzer) Add(move catalog.Move, a Answer) {
	t := an.moves[a.Service]
	if t == nil || t.order != move.Order {
		t = &analysis{order: move.Order, routes: make(map[string]*routeStats)}
		an.moves[a.Service] = t
	}
	e := t.routes[a.Route]
	if e == nil {
		e = &routeStats{}
		t.routes[a.Route] = e
	}
	if a.Version != move.Version {
		e.learn(a)

		return
	}
	weight := e.weigh(a)
	e.counts.Tried++
	e.counts.Bad += weight
	e.excess = max(0, e.excess+weight-failureTimes*e.failures-failureSlack)
	t.bad = t.bad || e.excess >= tripAt
}

// Bad reports whether the version that a service is moved to was found to be worse.
func (an *Analyzer) Bad(service string, move catalog.Move) bool {
	t := an.moves[service]

	return t != nil && t.bad && t.order == move.Order
}

// learn takes an answer of the old version.
func (e *routeStats) learn(a Answer) {
	weight := e.weigh(a)
	e.counts.Usual++
	e.counts.UsualBad += weight
	e.failures += gain * (weight - e.failures)
	if !a.Good {
		return
	}
	if e.samples == 0 {
		e.latency = a.Latency
	}
	e.samples++
	e.latency += gain * (min(a.Latency, slowTimes*e.latency) - e.latency)
}

// weigh returns how much an answer counts as a failure, from 0 to 1.
func (e *routeStats) weigh(a Answer) float64 {
	switch {
	case !a.Good:
		return 1
	case e.samples >= samplesLeast && a.Latency > slowTimes*e.latency:
		return slowWeight
	default:
		return 0
	}
}
