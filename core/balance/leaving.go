package balance

import (
	"maps"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// leavingMemory is how long an upstream that said that it is leaving is remembered. It has ended long before.
const leavingMemory = clock.Hour

// HandleLeaving records that an answer of an upstream said that it is leaving. It gets no request any more, whatever
// its entry says.
func (b *Balancer) HandleLeaving(now clock.Milli, u *catalog.Upstream) {
	if _, known := b.leaving[u.Key()]; known {
		return
	}
	b.leaving[u.Key()] = now
	if b.rules.OnLeaving != nil {
		b.rules.OnLeaving(u)
	}
}

// Leaving reports whether an upstream said that it is leaving.
func (b *Balancer) Leaving(u *catalog.Upstream) bool {
	_, leaving := b.leaving[u.Key()]

	return leaving
}

// Remaining returns the upstreams of list that did not say that they are leaving.
func (b *Balancer) Remaining(list []*catalog.Upstream) []*catalog.Upstream {
	if len(b.leaving) == 0 || !slices.ContainsFunc(list, b.Leaving) {
		return list
	}

	return slices.DeleteFunc(slices.Clone(list), b.Leaving)
}

// pruneLeaving forgets the upstreams that left long ago.
func (b *Balancer) pruneLeaving(now clock.Milli) {
	maps.DeleteFunc(b.leaving, func(_ catalog.Key, at clock.Milli) bool { return now-at > leavingMemory })
}
