package catalog

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

// Rollout is the rollout of a new version of a service: the requests move there from the versions that run.
type Rollout struct {
	// Version is the new version.
	Version string
	Stage   Stage
	// OrderRevision is the store's revision of the operator's order for the rollout.
	OrderRevision int64
}

// assign divides the upstreams with the new version, target, and the others, rest, into those that take
// requests and those that take a share of the requests as canaries.
func (s Stage) assign(target, rest []*Upstream) (usable, canaries []*Upstream) {
	switch {
	case s == RolledBack:
		return rest, nil
	case s == Canary && len(rest) > 0:
		return rest, target
	case len(target) > 0:
		return target, nil
	default:
		return rest, nil
	}
}
