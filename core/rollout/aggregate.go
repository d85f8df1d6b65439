package rollout

import "jacinthferry/core/catalog"

// Aggregate judges by what all daemons counted together. One daemon alone may see too few requests to tell
// in time. It is not safe for concurrent use.
type Aggregate struct {
	moves map[string]*aggregateMove
}

// aggregateMove is what was counted for one move.
type aggregateMove struct {
	order  int64
	routes map[string]*aggregateRoute
}

// aggregateRoute is what the sums of a route showed so far.
type aggregateRoute struct {
	last   Counts
	excess float64
}

// NewAggregate returns an aggregate of nothing.
func NewAggregate() *Aggregate { return &Aggregate{moves: make(map[string]*aggregateMove)} }

// Worse takes the sums of all daemons for a move, by route, and reports whether the new version is bad.
// What was counted since the sums before counts, so that a version that turns bad late is found too.
func (g *Aggregate) Worse(service string, move catalog.Move, sums map[string]Counts) bool {
	c := g.moves[service]
	if c == nil || c.order != move.Order {
		c = &aggregateMove{order: move.Order, routes: make(map[string]*aggregateRoute)}
		g.moves[service] = c
	}
	bad := false
	for name, sum := range sums {
		r := c.routes[name]
		if r == nil {
			r = &aggregateRoute{}
			c.routes[name] = r
		}
		bad = r.add(sum) || bad
	}

	return bad
}

// add takes a newer sum. One that is smaller lacks a daemon that has gone, and begins anew.
func (r *aggregateRoute) add(sum Counts) bool {
	tried, bad := sum.Tried-r.last.Tried, sum.Bad-r.last.Bad
	r.last = sum
	if tried < 0 || bad < 0 {
		return false
	}
	r.excess = max(0, r.excess+bad-sum.allowed()*float64(tried))

	return r.excess >= tripAt
}
