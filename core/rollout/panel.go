package rollout

import "jacinthferry/core/catalog"

// Panel judges by what all daemons counted together. One daemon alone may see too few requests to tell
// in time. It is not safe for concurrent use.
type Panel struct {
	cases map[string]*panelCase
}

// panelCase is the evidence of one move.
type panelCase struct {
	order  int64
	routes map[string]*panelRoute
}

// panelRoute is what the sums of a route showed so far.
type panelRoute struct {
	last   Tally
	excess float64
}

// NewPanel returns a panel without evidence.
func NewPanel() *Panel { return &Panel{cases: make(map[string]*panelCase)} }

// Worse takes the sums of all daemons for a move, by route, and reports whether the new version is bad.
// What was counted since the sums before counts, so that a version that turns bad late is found too.
func (p *Panel) Worse(service string, move catalog.Move, sums map[string]Tally) bool {
	c := p.cases[service]
	if c == nil || c.order != move.Order {
		c = &panelCase{order: move.Order, routes: make(map[string]*panelRoute)}
		p.cases[service] = c
	}
	bad := false
	for name, sum := range sums {
		r := c.routes[name]
		if r == nil {
			r = &panelRoute{}
			c.routes[name] = r
		}
		bad = r.add(sum) || bad
	}

	return bad
}

// add takes a newer sum. One that is smaller lacks a daemon that has gone, and begins anew.
func (r *panelRoute) add(sum Tally) bool {
	tried, bad := sum.Tried-r.last.Tried, sum.Bad-r.last.Bad
	r.last = sum
	if tried < 0 || bad < 0 {
		return false
	}
	r.excess = max(0, r.excess+bad-sum.allowed()*float64(tried))

	return r.excess >= tripAt
}
