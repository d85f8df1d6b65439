package catalog

import "slices"

// Stage is how far a rollout has come, as a single lower-case word.
type Stage string

// The stages of a rollout.
const (
	// Canary sends a share of the requests to the new version, as a canary.
	Canary Stage = "trial"
	// Shifted sends all requests to the new version while the old one still runs.
	Shifted Stage = "shift"
	// Completed ends a rollout whose new version is good.
	Completed Stage = "completed"
	// RolledBack ends a rollout whose new version is bad: no request goes there.
	RolledBack Stage = "back"
)

// Final reports whether no other stage follows s.
func (s Stage) Final() bool { return s == Completed || s == RolledBack }

// Precedes reports whether a rollout comes through s before other.
func (s Stage) Precedes(other Stage) bool {
	return s != other && (s == Canary || (s == Shifted && other.Final()))
}

// Rollout is the rollout of a version of a service: the requests move there from the versions that run.
type Rollout struct {
	// Version is the version that was ordered.
	Version string
	Stage   Stage
	// OrderRevision is the store's revision of the operator's order for the rollout.
	OrderRevision int64
	// TrialRevision identifies the trial of Version: the revision of the order that began it, which is an earlier one if
	// the same version was ordered again before its trial had ended.
	TrialRevision int64
	// Stable are the versions that took all requests before the order. Version is one of them if the operator orders
	// it back while another one is on trial.
	Stable []string
	// Withheld are the versions, the one ordered first in front, that were ordered before and did not become stable.
	// They get no requests.
	Withheld []Trial
}

// Trial is an earlier trial of a version.
type Trial struct {
	Version string
	// Revision identifies the trial if another order interrupted it, and is 0 if it has ended.
	Revision int64
}

// IsStable reports whether a version took all requests before the order, alone or with others.
func (r *Rollout) IsStable(version string) bool { return slices.Contains(r.Stable, version) }

// Withholds reports whether a version gets no requests because it was ordered before and did not become stable.
func (r *Rollout) Withholds(version string) bool {
	return slices.ContainsFunc(r.Withheld, func(t Trial) bool { return t.Version == version })
}

// Rejects reports whether a trial of a version has ended and the version did not become stable.
func (r *Rollout) Rejects(version string) bool {
	return r.Version == version && r.Stage == RolledBack || slices.Contains(r.Withheld, Trial{Version: version})
}

// assign divides the upstreams of a service into those that take requests and those that take a share of the requests
// as canaries. Versions that nobody ordered take requests only where no stable one runs: somebody may be about to order
// them.
func (r *Rollout) assign(upstreams []*Upstream) (usable, canaries []*Upstream) {
	var target, stable, unknown []*Upstream
	for _, u := range upstreams {
		switch {
		case u.Version == r.Version:
			target = append(target, u)
		case r.IsStable(u.Version):
			stable = append(stable, u)
		case !r.Withholds(u.Version):
			unknown = append(unknown, u)
		}
	}
	if len(stable) == 0 {
		stable = unknown
	}
	switch {
	case r.Stage == RolledBack:
		return stable, nil
	case r.Stage == Canary && len(stable) > 0:
		return stable, target
	case len(target) > 0:
		return target, nil
	default:
		return stable, nil
	}
}
