package rollout

import (
	"maps"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// maxWithheld is how many versions that were ordered and did not become stable are remembered for a service.
const maxWithheld = 16

// Begin returns the progress with which an order begins after the order before it, whose progress is before: the zero
// value if there was none. Upstreams are those of the service that are registered, of all versions.
//
// A stable version needs no trial: an order for it ends the rollout of another one at once. An order for a version
// whose rollout has not ended lets that rollout go on. Any other version is on trial.
func Begin(now clock.Milli, order Order, before Progress, upstreams []*catalog.Upstream) Progress {
	previous := &before.Rollout
	if previous.Version == order.Version && !previous.Stage.Final() {
		previous.OrderRevision = order.Revision

		return before
	}
	next := catalog.Rollout{
		Version: order.Version, Stage: catalog.Canary, OrderRevision: order.Revision, TrialRevision: order.Revision,
		Stable: stableVersions(order, previous, upstreams),
	}
	if next.IsStable(order.Version) {
		next.Stage = catalog.Shifted
	}
	for _, t := range withheldVersions(previous) {
		switch {
		case next.IsStable(t.Version):
		case t.Version != order.Version:
			next.Withheld = append(next.Withheld, t)
		case t.Revision != 0:
			next.TrialRevision = t.Revision
		}
	}

	return Progress{Rollout: next, Seen: now}
}

// stableVersions returns the versions that take all requests before an order is carried out.
func stableVersions(order Order, previous *catalog.Rollout, upstreams []*catalog.Upstream) []string {
	starts := newStartTimes(upstreams)
	var stable []string
	switch {
	case previous.Stage == catalog.Completed:
		return []string{previous.Version}
	case len(previous.Stable) > 0:
		stable = slices.Clone(previous.Stable)
	case previous.Version != "":
		// No other version was known when the one before was ordered.
		stable = slices.DeleteFunc(starts.stableBefore(order.Version, true), previous.Rejects)
	default:
		stable = starts.stableBefore(order.Version, order.Repeated)
	}
	if order.Version == previous.Version || previous.Withholds(order.Version) || slices.Contains(stable, order.Version) {
		return stable
	}
	if len(starts) > 1 && starts.oldest(order.Version) {
		// It ran before all others, although this daemon has not seen it do so.
		stable = append(stable, order.Version)
	}

	return stable
}

// withheldVersions returns the versions that were ordered, up to the order of previous, and did not become stable.
func withheldVersions(previous *catalog.Rollout) []catalog.Trial {
	withheld := slices.Clone(previous.Withheld)
	switch {
	case previous.Stage == catalog.Completed:
		// The counts of all trials are gone.
		for i := range withheld {
			withheld[i].Revision = 0
		}
	case previous.Version == "" || previous.IsStable(previous.Version):
	case previous.Stage == catalog.RolledBack:
		withheld = append(withheld, catalog.Trial{Version: previous.Version})
	default:
		withheld = append(withheld, catalog.Trial{Version: previous.Version, Revision: previous.TrialRevision})
	}

	return withheld[max(0, len(withheld)-maxWithheld):]
}

// startTimes holds the earliest start of an upstream of each version, in Unix milliseconds, or 0 if it is not known.
type startTimes map[string]int64

func newStartTimes(upstreams []*catalog.Upstream) startTimes {
	starts := make(startTimes)
	for _, u := range upstreams {
		start, ok := starts[u.Version]
		if !ok || u.StartUnixMilli < start {
			starts[u.Version] = u.StartUnixMilli
		}
	}

	return starts
}

// stableBefore returns the versions that ran before the first order that this daemon knows of, for the version ordered.
// Those that started after that one are not among them: somebody may be about to order them. If the order is repeated,
// others came before it that this daemon has not seen, and only the oldest version is.
func (s startTimes) stableBefore(ordered string, repeated bool) []string {
	var stable []string
	start := s[ordered]
	for _, version := range slices.Sorted(maps.Keys(s)) {
		switch {
		case version == ordered:
		case start != 0 && s[version] > start:
		case repeated && !s.oldest(version):
		default:
			stable = append(stable, version)
		}
	}

	return stable
}

// oldest reports whether a version started before all others. It does not if the start of one is not known.
func (s startTimes) oldest(version string) bool {
	start := s[version]
	for other, otherStart := range s {
		if start == 0 || otherStart == 0 || (other != version && otherStart <= start) {
			return false
		}
	}

	return true
}
