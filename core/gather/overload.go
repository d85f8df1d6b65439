package gather

import (
	"cmp"
	"fmt"
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

const (
	// queueFraction is the fraction of the objective that a request may wait for a slot. A request that
	// would wait longer is refused. Where the work alone takes more than slowWorkFraction of the
	// objective, the answer is late anyway, and the request may wait for lateQueueFraction of the time that
	// it has left.
	queueFraction     = 0.25
	slowWorkFraction  = 0.5
	lateQueueFraction = 0.3
	// skipFraction is the fraction of the objective above which the estimate of a shard makes it be
	// skipped, unless the answer needs the shard.
	skipFraction = 1
	// hedgeWaitFraction is the fraction of the hedge delay that a hedge may wait for a slot.
	hedgeWaitFraction = 0.1
)

// estimate is how long a shard is expected to take: the wait for a slot and the work after it. Limited is set if the
// wait is for room under the rate limits of its upstreams.
type estimate struct {
	shard      int
	wait, work clock.Milli
	limited    bool
}

func (e estimate) total() clock.Milli { return e.wait + e.work }

// compareEstimates orders estimates: the shortest first, and those without room under rate limits last.
func compareEstimates(a, b estimate) int {
	switch {
	case a.limited == b.limited:
		return cmp.Compare(a.total(), b.total())
	case a.limited:
		return 1
	default:
		return -1
	}
}

// refuseOverloaded refuses a request, before any leg is sent, that would wait too long for a slot at the
// slowest shard that its answer needs. Otherwise, under several times the load that the upstreams can
// serve, queues would grow until every answer is late.
func (q *Query) refuseOverloaded(now clock.Milli, estimates []estimate) bool {
	last := estimates[q.shardsToReserve(estimates)-1]
	if last.limited {
		q.detail = fmt.Sprintf(
			"%s: rate limits or pauses of its upstreams leave no room for %.0f ms", q.serviceOf(last), last.wait,
		)
		q.room = now + last.wait
		q.refuseAll(now, reason.Limit)

		return true
	}
	limit := q.maxQueueWait(now, last)
	if last.wait <= limit {
		return false
	}
	q.detail = fmt.Sprintf("%s: expected wait of %.0f ms for a slot exceeds %.0f ms", q.serviceOf(last), last.wait, limit)
	q.refuseAll(now, reason.Overload)

	return true
}

func (q *Query) serviceOf(e estimate) string { return q.shards[e.shard].service.Name }

// refuseAll refuses the request for the same reason at all shards.
func (q *Query) refuseAll(now clock.Milli, code reason.Code) {
	for i := range q.shards {
		q.shards[i].failReason = code
	}
	q.finish(now)
}

// shardsToReserve returns how many shards must have room for the request, given the estimates of all.
func (q *Query) shardsToReserve(estimates []estimate) int {
	if !slices.ContainsFunc(estimates, func(e estimate) bool { return e.limited }) {
		return q.route.MinShards()
	}

	return min(q.route.ReservedShards(), len(estimates))
}

// skipSlowShards drops shards that would answer too late and that the answer can do without. If all upstreams
// of a few shards are slow, each of these shards gets only the requests that need it.
func (q *Query) skipSlowShards(estimates []estimate) {
	for _, e := range estimates[q.route.MinShards():] {
		if e.limited || e.total() > skipFraction*q.route.Objective {
			q.drop(e.shard)
			q.skipped = append(q.skipped, e.shard)
		}
	}
}

// askSkipped asks skipped shards once the answer needs them because other shards were dropped.
func (q *Query) askSkipped(now clock.Milli) {
	for len(q.skipped) > 0 && q.cannotAnswer() && now < q.answerDeadline() {
		i := q.skipped[0]
		q.skipped = q.skipped[1:]
		q.shards[i].dropped = false
		q.shards[i].failReason = ""
		q.pending++
		q.trySend(now, i)
	}
}

// maxQueueWait returns how long a request may wait for a slot at a shard.
func (q *Query) maxQueueWait(now clock.Milli, e estimate) clock.Milli {
	if e.work > slowWorkFraction*q.route.Objective {
		return lateQueueFraction * (q.answerDeadline() - now)
	}

	return queueFraction * q.route.Objective
}

// estimateShards returns the estimates of the shards that have upstreams, in order.
func (q *Query) estimateShards(now clock.Milli) []estimate {
	list := make([]estimate, 0, len(q.shards))
	for i := range q.shards {
		if !q.shards[i].dropped {
			list = append(list, q.estimateShard(now, i))
		}
	}
	slices.SortFunc(list, compareEstimates)

	return list
}

// estimateShard returns the estimate of the upstream of a shard that is expected to answer first.
func (q *Query) estimateShard(now clock.Milli, i int) estimate {
	best := estimate{shard: i, wait: never, limited: true}
	for _, u := range q.usable(q.shards[i].service.Name) {
		e := estimate{
			shard: i, wait: q.coordinator.balancer.ExpectedWait(now, u), work: q.coordinator.balancer.ServiceTime(now, u),
		}
		if wait := q.coordinator.balancer.LimitWait(now, u); wait > 0 {
			e.wait, e.limited = max(e.wait, wait), true
		}
		if compareEstimates(e, best) < 0 {
			best = e
		}
	}

	return best
}
