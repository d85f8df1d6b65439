package gather

import (
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// groupPart is the part of the wait before a leg is late within which answers are merged, and
	// groupSoonest the least such time.
	groupPart    = 0.75
	groupSoonest = 3 * clock.Millisecond
)

// Group are legs to upstreams of another availability zone that a daemon there can send, so that one
// merged answer crosses and not one for each leg.
type Group struct {
	Zone string
	// Legs are Send actions.
	Legs []Action
	// Wait is how long answers are waited for that are merged into one. Later ones come alone.
	Wait clock.Milli
	// Top is how many records the merged answer holds.
	Top int
}

// Groups takes the legs out of actions that daemons of other zones can send, and returns them with what
// is left.
func (q *Query) Groups(actions []Action, zone string) ([]Group, []Action) {
	if !q.route.Gathers() {
		return nil, actions
	}
	var groups []Group
	var rest []Action
	for _, a := range actions {
		if a.Kind != Send || a.Upstream.Zone == zone {
			rest = append(rest, a)

			continue
		}
		n := slices.IndexFunc(groups, func(g Group) bool { return g.Zone == a.Upstream.Zone })
		if n < 0 {
			n = len(groups)
			groups = append(groups, Group{Zone: a.Upstream.Zone, Top: q.route.Top})
		}
		groups[n].Legs = append(groups[n].Legs, a)
	}
	for i := range groups {
		groups[i].Wait = q.mergeWait(groups[i].Legs)
	}

	return groups, rest
}

// mergeWait returns how long the answers to legs are waited for. One that comes alone, or again, must
// not wait.
func (q *Query) mergeWait(legs []Action) clock.Milli {
	if len(legs) == 1 || slices.ContainsFunc(legs, func(a Action) bool { return a.Extra != "" }) {
		return 0
	}

	return max(groupSoonest, groupPart*q.patience)
}

// Part is the result of a leg that came together with others.
type Part struct {
	Number int
	Result Result
}

// Merged takes results that came together. Where several are good they are in one answer, which holds
// the records of all of them.
func (q *Query) Merged(now clock.Milli, parts []Part) []Action {
	q.desk.actions = q.desk.actions[:0]
	several := len(parts) > 1
	for _, p := range parts {
		q.take(now, p.Number, p.Result, several)
	}
	q.hedge(now)
	q.settle(now)

	return q.desk.actions
}

// Upstream returns the upstream of a leg.
func (q *Query) Upstream(number int) *catalog.Upstream { return q.legs[number].upstream }
