package balance

import (
	"maps"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// leavingMemory is how long an upstream that announced its shutdown is remembered. It has ended long before.
const leavingMemory = clock.Hour

// HandleLeaving records that an upstream announced its shutdown in an answer. It gets no request any more, whatever
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

// Leaving reports whether an upstream announced its shutdown.
func (b *Balancer) Leaving(u *catalog.Upstream) bool {
	_, leaving := b.leaving[u.Key()]

	return leaving
}

// Remaining returns the upstreams of list that did not announce their shutdown.
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
