package catalog

// Stage is how far a move has come, a single lower-case word.
type Stage string

// The stages of a move.
const (
	// Trial is when a share of the requests goes to the new version.
	Trial Stage = "trial"
	// Shift is when all requests go to the new version, and the old one still runs.
	Shift Stage = "shift"
	// Completed is the end of a move.
	Completed Stage = "completed"
	// Back is the end of a move whose new version was bad: no request goes there.
	Back Stage = "back"
)

// Final reports whether no other stage follows.
func (s Stage) Final() bool { return s == Completed || s == Back }

// Move takes a service's requests from the versions that run to another one.
type Move struct {
	// Version is the new one.
	Version string
	Stage   Stage
	// Order is the store's revision of the order that the move follows.
	Order int64
}

// place returns the upstreams that take requests and those that are tried, of those with the new
// version and the rest.
func (s Stage) place(target, rest []*Upstream) (usable, trial []*Upstream) {
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
