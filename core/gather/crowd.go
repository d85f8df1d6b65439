package gather

import (
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

const (
	// queuePart is the part of the objective that a request may wait for slots. One that would wait
	// longer is refused.
	queuePart = 0.25
	// secondPart is the part of the time after which a leg is late that a second one may wait.
	secondPart = 0.1
)

// refuseCrowded refuses a request that would wait too long for slots, before it is sent. It is for
// several times the load that the upstreams bear: without it queues grow until every answer is late.
func (q *Query) refuseCrowded(now clock.Milli) bool {
	wait := q.queueWait(now)
	if wait <= queuePart*q.route.Objective {
		return false
	}
	for i := range q.shards {
		q.shards[i].why = reason.Overload
	}
	q.finish(now)

	return true
}

// queueWait returns how long the request is expected to wait for slots at as many shards as its answer
// has to cover.
func (q *Query) queueWait(now clock.Milli) clock.Milli {
	waits := make([]clock.Milli, 0, len(q.shards))
	for i := range q.shards {
		if s := &q.shards[i]; !s.gone {
			waits = append(waits, q.shardWait(now, s))
		}
	}
	slices.Sort(waits)

	return waits[q.least()-1]
}

// shardWait is the wait at the upstream of a shard where it is shortest.
func (q *Query) shardWait(now clock.Milli, s *shard) clock.Milli {
	wait := never
	for _, u := range q.view.Usable(s.service.Name) {
		wait = min(wait, q.desk.fleet.Wait(now, u))
	}

	return wait
}
