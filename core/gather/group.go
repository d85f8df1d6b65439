package gather

import (
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// mergeWaitFraction is the fraction of the hedge delay during which answers are merged, and
	// minMergeWait the shortest such time.
	mergeWaitFraction = 0.75
	minMergeWait      = 3 * clock.Millisecond
)

// ZoneGroup holds the legs to upstreams of another availability zone that a daemon there can send, so that one
// merged answer crosses the zone boundary instead of one answer per leg.
type ZoneGroup struct {
	Zone string
	// Legs are Send actions.
	Legs []Action
	// MergeWait is how long the other daemon collects answers to merge them into one. Later answers are sent
	// one by one.
	MergeWait clock.Milli
	// Top is how many records the merged answer holds.
	Top int
}

// GroupByZone groups the Send actions whose upstreams are not in the given zone by availability zone, and
// returns the groups and the remaining actions. There are no groups on a route that does not gather.
func (q *Query) GroupByZone(actions []Action, zone string) ([]ZoneGroup, []Action) {
	if !q.route.Gathers() {
		return nil, actions
	}
	var groups []ZoneGroup
	var rest []Action
	for _, a := range actions {
		if a.Kind != Send || a.Upstream.Zone == zone {
			rest = append(rest, a)

			continue
		}
		n := slices.IndexFunc(groups, func(g ZoneGroup) bool { return g.Zone == a.Upstream.Zone })
		if n < 0 {
			n = len(groups)
			groups = append(groups, ZoneGroup{Zone: a.Upstream.Zone, Top: q.route.Top})
		}
		groups[n].Legs = append(groups[n].Legs, a)
	}
	for i := range groups {
		groups[i].MergeWait = q.mergeWait(groups[i].Legs)
	}

	return groups, rest
}

// mergeWait returns how long answers to legs are collected. A single leg must not wait, nor must retries
// and hedges.
func (q *Query) mergeWait(legs []Action) clock.Milli {
	if len(legs) == 1 || slices.ContainsFunc(legs, func(a Action) bool { return a.RetryReason != "" }) {
		return 0
	}

	return max(minMergeWait, mergeWaitFraction*q.hedgeDelay)
}

// LegResult is the result of one leg among several results that arrived together.
type LegResult struct {
	Number int
	Result Result
}

// HandleResults handles results that arrived together. If there are several, the good ones share one answer,
// which holds the records of all of them.
func (q *Query) HandleResults(now clock.Milli, parts []LegResult) []Action {
	q.coordinator.actions = q.coordinator.actions[:0]
	several := len(parts) > 1
	for _, p := range parts {
		q.recordResult(now, p.Number, p.Result, several)
	}
	q.hedge(now)
	q.finishIfReady(now)

	return q.coordinator.actions
}

// Upstream returns the upstream that a leg was sent to.
func (q *Query) Upstream(number int) *catalog.Upstream { return q.legs[number].upstream }
