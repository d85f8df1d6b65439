package rollout

import (
	"math"

	"jacinthferry/core/catalog"
)

const (
	// The share of failures that is allowed to the new version: failureTimes that of the old one, and
	// failureSlack.
	failureTimes = 2
	failureSlack = 0.1
	// tripAt is the sum of failures beyond what is allowed at which a version is found to be bad.
	tripAt = 3
)

// Analyzer finds out whether a new version is worse than the old one, from what all daemons counted: one
// alone may see too few requests to tell in time. It is not safe for concurrent use.
type Analyzer struct {
	moves map[string]*moveAnalysis
}

// moveAnalysis is what is known of one order.
type moveAnalysis struct {
	order  int64
	routes map[string]*routeAnalysis
}

// routeAnalysis is what the sums of a route have shown so far.
type routeAnalysis struct {
	last Counts
	// usual is the moving share of failures of the old version, and excess how far the new version's
	// failures are beyond what is allowed.
	usual  float64
	excess float64
	bad    bool
}

// NewAnalyzer returns an analyzer that knows nothing.
func NewAnalyzer() *Analyzer { return &Analyzer{moves: make(map[string]*moveAnalysis)} }

// Worse takes the sums of all daemons for a move, by route, and reports whether the new version is bad.
// What came since the sums before counts, so that a version that turns bad late is found too.
func (n *Analyzer) Worse(service string, move catalog.Move, sums map[string]Counts) bool {
	m := n.moves[service]
	if m == nil || m.order != move.Order {
		m = &moveAnalysis{order: move.Order, routes: make(map[string]*routeAnalysis)}
		n.moves[service] = m
	}
	bad := false
	for name, sum := range sums {
		r := m.routes[name]
		if r == nil {
			r = &routeAnalysis{}
			m.routes[name] = r
		}
		r.add(sum)
		bad = bad || r.bad
	}

	return bad
}

// add takes a newer sum. One that is smaller lacks a daemon that has gone; what follows is counted from
// there.
func (r *routeAnalysis) add(sum Counts) {
	d := Counts{
		New: sum.New - r.last.New, NewBad: sum.NewBad - r.last.NewBad,
		Old: sum.Old - r.last.Old, OldBad: sum.OldBad - r.last.OldBad,
	}
	r.last = sum
	if d.New < 0 || d.NewBad < 0 || d.Old < 0 || d.OldBad < 0 {
		return
	}
	if d.Old > 0 {
		weight := 1 - math.Pow(1-gain, float64(d.Old))
		r.usual += weight * (d.OldBad/float64(d.Old) - r.usual)
	}
	allowed := failureTimes*r.usual + failureSlack
	r.excess = max(0, r.excess+d.NewBad-allowed*float64(d.New))
	r.bad = r.bad || r.excess >= tripAt
}
