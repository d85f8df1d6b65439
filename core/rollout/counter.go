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

// Counts is what was counted on one route: the answers of the new version and of the old one, and how
// many of them count as failures.
type Counts struct {
	New    int
	NewBad float64
	Old    int
	OldBad float64
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.New + o.New, c.NewBad + o.NewBad, c.Old + o.Old, c.OldBad + o.OldBad}
}

// Counter counts the answers that one daemon gets from services that move, for each route, because a
// version may be bad on one route only. It is not safe for concurrent use.
type Counter struct {
	moves map[string]*moveCounter
}

// moveCounter counts for one order.
type moveCounter struct {
	order  int64
	routes map[string]*routeCounter
}

// routeCounter counts on one route. Latency is the average of the old version's answers, of which there
// were samples.
type routeCounter struct {
	counts  Counts
	latency clock.Milli
	samples int
}

// NewCounter returns a counter that has seen nothing.
func NewCounter() *Counter { return &Counter{moves: make(map[string]*moveCounter)} }

// Add takes an answer to a request on a service that is moved.
func (c *Counter) Add(move catalog.Move, a Answer) {
	m := c.moves[a.Service]
	if m == nil || m.order != move.Order {
		m = &moveCounter{order: move.Order, routes: make(map[string]*routeCounter)}
		c.moves[a.Service] = m
	}
	r := m.routes[a.Route]
	if r == nil {
		r = &routeCounter{}
		m.routes[a.Route] = r
	}
	if a.Version == move.Version {
		r.counts = r.counts.Add(Counts{New: 1, NewBad: r.weigh(a)})

		return
	}
	r.counts = r.counts.Add(Counts{Old: 1, OldBad: r.weigh(a)})
	r.learn(a)
}

// Counts returns what was counted for a move, by route.
func (c *Counter) Counts(service string, move catalog.Move) map[string]Counts {
	m := c.moves[service]
	if m == nil || m.order != move.Order {
		return nil
	}
	list := make(map[string]Counts, len(m.routes))
	for name, r := range m.routes {
		list[name] = r.counts
	}

	return list
}

// learn takes the latency of an answer of the old version.
func (r *routeCounter) learn(a Answer) {
	if !a.Good {
		return
	}
	if r.samples == 0 {
		r.latency = a.Latency
	}
	r.samples++
	r.latency += gain * (min(a.Latency, slowTimes*r.latency) - r.latency)
}

// weigh returns how much an answer counts as a failure, from 0 to 1.
func (r *routeCounter) weigh(a Answer) float64 {
	switch {
	case !a.Good:
		return 1
	case r.samples >= samplesLeast && a.Latency > slowTimes*r.latency:
		return slowWeight
	default:
		return 0
	}
}
