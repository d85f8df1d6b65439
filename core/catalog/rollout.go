package catalog

// Stage is how far a rollout has come, as a single lower-case word.
type Stage string

// The stages of a rollout.
const (
	// Trial sends a share of the requests to the new version, as a canary.
	Trial Stage = "trial"
	// Shift sends all requests to the new version while the old one still runs.
	Shift Stage = "shift"
	// Completed ends a rollout whose new version is good.
	Completed Stage = "completed"
	// Back ends a rollout whose new version is bad: no request goes there.
	Back Stage = "back"
)

// Final reports whether no other stage follows s.
func (s Stage) Final() bool { return s == Completed || s == Back }

// Move is the rollout of a new version of a service: the requests move there from the versions that run.
type Move struct {
	// Version is the new version.
	Version string
	Stage   Stage
	// Order is the store's revision of the operator's order for the rollout.
	Order int64
}

// assign divides the upstreams with the new version, target, and the others, rest, into those that take
// requests and those that take a share of the requests as canaries.
func (s Stage) assign(target, rest []*Upstream) (usable, canaries []*Upstream) {
	switch {
	case s == Back:
		return rest, nil
	case s == Trial && len(rest) > 0:
		return rest, target
	case len(target) > 0:
		return target, nil
	default:
		return rest, nil
	}
}
