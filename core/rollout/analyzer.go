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
	// The odds compare two failure rates. A healthy version fails as often as the old one, and at least at
	// minHealthyRate. A bad one fails badAllowance more often than failureFactor times that, and at most at
	// maxBadRate.
	minHealthyRate = 0.03
	badAllowance   = 0.2
	maxBadRate     = 0.9
	// initialDoubt is the log-likelihood ratio of a bad version against a healthy one before the first answer:
	// a version counts as healthy once the odds against it have fallen by a factor of 100.
	initialDoubt = 4.6
)

// Verdict is what the answers of a new version show.
type Verdict int

// The verdicts.
const (
	// Undecided means that there are too few answers to tell.
	Undecided Verdict = iota
	// Healthy means that the new version is not worse than the old one.
	Healthy
	// Regressed means that it is worse.
	Regressed
)

// Analyzer compares a new version with the old one, from the counts of all daemons: one daemon alone may see
// too few requests to tell in time. It is not safe for concurrent use.
type Analyzer struct {
	rollouts map[string]*rolloutAnalysis
}

// rolloutAnalysis is the analysis of one trial.
type rolloutAnalysis struct {
	trial  int64
	routes map[string]*routeAnalysis
	// doubt is the log-likelihood ratio, between 0 and initialDoubt, of a bad version against a healthy one
	// (Wald's sequential test). It takes the answers of all routes together, since one may have few requests.
	doubt float64
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

// Judge takes the sums of all daemons' counts for a rollout, by route, and returns what they show. The version
// is bad if it is on any route. Only the increase since the sums before is analysed, so that a version that
// turns bad late is found too. A route that was found bad stays so until there is another trial, even if the
// daemon that counted its answers goes.
func (a *Analyzer) Judge(service string, rollout catalog.Rollout, sums map[string]Counts) Verdict {
	ra := a.rollouts[service]
	if ra == nil || ra.trial != rollout.TrialRevision {
		ra = &rolloutAnalysis{
			trial: rollout.TrialRevision, routes: make(map[string]*routeAnalysis), doubt: initialDoubt,
		}
		a.rollouts[service] = ra
	}
	change := 0.0
	for name, sum := range sums {
		change += ra.route(name).add(sum)
	}
	ra.doubt = min(initialDoubt, max(0, ra.doubt+change))

	return ra.verdict()
}

// route returns the analysis of a route and creates it if necessary.
func (a *rolloutAnalysis) route(name string) *routeAnalysis {
	r := a.routes[name]
	if r == nil {
		r = &routeAnalysis{}
		a.routes[name] = r
	}

	return r
}

func (a *rolloutAnalysis) verdict() Verdict {
	for _, r := range a.routes {
		if r.regressed {
			return Regressed
		}
	}
	if a.doubt == 0 {
		return Healthy
	}

	return Undecided
}

// add analyses the increase since the last sum and returns the log-likelihood ratio of a bad version against a
// healthy one that it adds. A smaller sum lacks the counts of a daemon that has gone: it is not analysed, and
// later sums are compared with it.
func (r *routeAnalysis) add(sum Counts) float64 {
	delta := Counts{
		New: sum.New - r.last.New, NewFailures: sum.NewFailures - r.last.NewFailures,
		Old: sum.Old - r.last.Old, OldFailures: sum.OldFailures - r.last.OldFailures,
	}
	r.last = sum
	if delta.New < 0 || delta.NewFailures < 0 || delta.Old < 0 || delta.OldFailures < 0 {
		return 0
	}
	if delta.Old > 0 {
		weight := 1 - math.Pow(1-smoothing, float64(delta.Old))
		r.baseline += weight * (delta.OldFailures/float64(delta.Old) - r.baseline)
	}
	allowed := failureFactor*r.baseline + failureAllowance
	r.excess = max(0, r.excess+delta.NewFailures-allowed*float64(delta.New))
	r.regressed = r.regressed || r.excess >= excessThreshold

	return r.evidence(delta)
}

// evidence returns the log-likelihood ratio of a bad version against a healthy one for some answers.
func (r *routeAnalysis) evidence(delta Counts) float64 {
	healthy := min(maxBadRate/2, max(minHealthyRate, r.baseline))
	bad := min(maxBadRate, failureFactor*healthy+badAllowance)
	good := float64(delta.New) - delta.NewFailures

	return delta.NewFailures*math.Log(bad/healthy) + good*math.Log((1-bad)/(1-healthy))
}
