package rollout

import (
	"math"

	"jacinthferry/core/catalog"
)

const (
	// The failure rate that is allowed to the new version is failureFactor times that of the old one, plus
	// failureAllowance.
	failureFactor    = 2
	failureAllowance = 0.1
	// excessThreshold is the cumulative sum (CUSUM) of failures beyond what is allowed at which a version is
	// found to be bad.
	excessThreshold = 3
)

// Analyzer detects that a new version is worse than the old one, from the counts of all daemons: one
// daemon alone may see too few requests to tell in time. It is not safe for concurrent use.
type Analyzer struct {
	rollouts map[string]*rolloutAnalysis
}

// rolloutAnalysis is the analysis for one order.
type rolloutAnalysis struct {
	order  int64
	routes map[string]*routeAnalysis
}

// routeAnalysis is the analysis of one route.
type routeAnalysis struct {
	// last holds the sums that were analysed last.
	last Counts
	// baseline is the moving average of the old version's failure rate, and excess the cumulative sum of
	// the new version's failures beyond what is allowed.
	baseline  float64
	excess    float64
	regressed bool
}

// NewAnalyzer returns an analyzer that has seen no counts.
func NewAnalyzer() *Analyzer { return &Analyzer{rollouts: make(map[string]*rolloutAnalysis)} }

// Regressed takes the sums of all daemons' counts for a rollout, by route, and reports whether the new version
// is bad on any of them. Only the increase since the sums before is analysed, so that a version that turns
// bad late is found too. A route that was found bad stays so until there is another order.
func (a *Analyzer) Regressed(service string, rollout catalog.Rollout, sums map[string]Counts) bool {
	ra := a.rollouts[service]
	if ra == nil || ra.order != rollout.OrderRevision {
		ra = &rolloutAnalysis{order: rollout.OrderRevision, routes: make(map[string]*routeAnalysis)}
		a.rollouts[service] = ra
	}
	regressed := false
	for name, sum := range sums {
		r := ra.routes[name]
		if r == nil {
			r = &routeAnalysis{}
			ra.routes[name] = r
		}
		r.add(sum)
		regressed = regressed || r.regressed
	}

	return regressed
}

// add analyses the increase since the last sum. A smaller sum lacks the counts of a daemon that has gone: it
// is not analysed, and later sums are compared with it.
func (r *routeAnalysis) add(sum Counts) {
	delta := Counts{
		New: sum.New - r.last.New, NewFailures: sum.NewFailures - r.last.NewFailures,
		Old: sum.Old - r.last.Old, OldFailures: sum.OldFailures - r.last.OldFailures,
	}
	r.last = sum
	if delta.New < 0 || delta.NewFailures < 0 || delta.Old < 0 || delta.OldFailures < 0 {
		return
	}
	if delta.Old > 0 {
		weight := 1 - math.Pow(1-smoothing, float64(delta.Old))
		r.baseline += weight * (delta.OldFailures/float64(delta.Old) - r.baseline)
	}
	allowed := failureFactor*r.baseline + failureAllowance
	r.excess = max(0, r.excess+delta.NewFailures-allowed*float64(delta.New))
	r.regressed = r.regressed || r.excess >= excessThreshold
}
