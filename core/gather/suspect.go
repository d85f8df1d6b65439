package gather

import (
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// suspect reports whether the request may crash the upstreams that run it: a connection broke, and no upstream has
// responded. Further legs are then sent one at a time.
func (q *Query) suspect() bool { return q.broken > 0 && !q.answered }

// maxStragglers is the largest number of shards that may all be late by chance.
const maxStragglers = 3

// mayHedge reports whether a shard that is late may be sent a second leg. Until an upstream has responded, the request
// itself may be why its legs are late: no shard gets a second leg if there are many, and otherwise one at a time.
func (q *Query) mayHedge() bool {
	if q.answered {
		return true
	}
	if len(q.shards) > maxStragglers {
		return false
	}

	return q.broken == 0 && !slices.ContainsFunc(q.shards, func(s shard) bool { return s.inFlight > 1 })
}

// updateSuspicion updates what the result of a leg shows. Shards that waited are tried again once an upstream has
// responded.
func (q *Query) updateSuspicion(now clock.Milli, result Result) {
	if result.Sent && result.Run == reason.ExecutionUnknown && result.Reason == reason.Failed {
		q.broken++
	}
	if result.Run != reason.Executed || q.answered {
		return
	}
	waited := q.suspect()
	q.answered = true
	for i := range q.shards {
		if s := &q.shards[i]; waited && s.inFlight == 0 {
			s.checkAt = now
		}
	}
}

// allowSuspect reports whether a suspect request may be sent another leg for a shard now. If the request is in
// quarantine, it gives up on all shards.
func (q *Query) allowSuspect(now clock.Milli, i int) bool {
	if q.inFlight > 0 {
		q.shards[i].checkAt = now + pollInterval

		return false
	}
	if q.request.Quarantined == nil || !q.request.Quarantined() {
		return true
	}
	for n := range q.shards {
		if s := &q.shards[n]; !s.covered && !s.dropped {
			s.failReason = reason.Quarantine
			q.drop(n)
		}
	}

	return false
}
