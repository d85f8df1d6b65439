package query

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
)

// isOverload reports whether the reason is a sign of overload.
func isOverload(w reason.Code) bool {
	return w == reason.Overload || w == reason.Cold || w == reason.Deadline
}

// retryable reports whether a retry can help after a refusal. After a refusal for overload it can only
// if the leg was not executed, because otherwise the retry would add to the overload.
func retryable(r *reason.Refusal) bool {
	switch r.Reason {
	case reason.Invalid, reason.Size, reason.Quarantine, reason.Service, reason.Budget, reason.Stranger:
		return false
	case reason.Overload, reason.Cold, reason.Deadline:
		return r.Run == reason.NotExecuted
	default:
		return true
	}
}

// maybeCrashed reports whether the upstream may have crashed while it executed the leg.
func maybeCrashed(r *reason.Refusal) bool {
	return r.Reason == reason.Connection && r.Run != reason.NotExecuted
}

// survived reports whether the refusal shows that the upstream executed the leg without a crash.
func survived(r *reason.Refusal) bool {
	return r.Reason == reason.Failed || r.Run == reason.Executed
}

// handleFailure handles a leg of shard i that failed or had an unusable answer.
func (q *Query) handleFailure(now clock.Milli, i int, r *reason.Refusal) {
	s := &q.shards[i]
	s.reason = r.Reason
	if maybeCrashed(r) && q.recordCrash(now, i) {
		return
	}
	if s.openLegs > 0 {
		return
	}
	if q.canaryShard == i && survived(r) {
		q.canarySucceeded(now)
	}
	switch {
	case !retryable(r):
		q.giveUp(i)
	case q.canaryShard != none && q.canaryShard != i:
		s.deferred = true
	default:
		q.resetTried(i, r)
		q.retry(now, i)
	}
	if q.canaryShard == i && s.openLegs == 0 {
		q.startCanary(now)
	}
}

// recordCrash handles a possible crash of the upstream that executed the leg of shard i. From then on a
// canary leg runs alone before any other leg is sent again. It reports whether the request is
// quarantined.
func (q *Query) recordCrash(now clock.Milli, i int) bool {
	isCanary := q.canaryShard == i
	if !isCanary && (q.crashed || q.covered > 0) {
		// The upstream may have failed for another reason; all such legs together count as one crash.
		q.setCanary(i)

		return false
	}
	q.crashed = true
	q.setCanary(i)
	q.planner.tracker.RecordCrash(now, q.fingerprint, q.planner.random.Uint64())
	upstream := q.replica(&q.legs[q.shards[i].lastLeg]).Upstream
	q.record(event.Event{Kind: event.Quarantine, Reason: reason.Connection, Upstream: upstream})
	if !q.planner.tracker.Quarantined(now, q.fingerprint) {
		return false
	}
	q.record(event.Event{Kind: event.Quarantine, Reason: reason.Quarantine, Upstream: upstream})
	q.cancelAll(now)
	q.giveUpAll(reason.Quarantine)

	return true
}

// setCanary makes shard i the canary shard if there is none.
func (q *Query) setCanary(i int) {
	if q.canaryShard == none {
		q.canaryShard = i
	}
}

// resetTried allows the tried replicas of a shard to be tried again if no other is left and the last
// one could not be reached.
func (q *Query) resetTried(i int, r *reason.Refusal) {
	unreachable := r.Reason == reason.Peer || r.Reason == reason.Home || r.Reason == reason.Connection
	if unreachable && r.Run == reason.NotExecuted {
		s := &q.shards[i]
		if q.planner.balancer.Choose(0, q.snapshot.Shards[i], s.tried) < 0 {
			s.tried = 0
		}
	}
}

// retry sends another leg for shard i if the maximum number of legs, the deadline and the retry budgets
// of the service and of the caller allow it. Otherwise it gives the shard up.
func (q *Query) retry(now clock.Milli, i int) {
	s := &q.shards[i]
	r := none
	if int(s.legCount) < q.planner.policy.MaxAttempts && now < q.deadline() {
		r = q.planner.balancer.Choose(now, q.snapshot.Shards[i], s.tried)
	}
	if r < 0 {
		q.giveUp(i)

		return
	}
	upstream := q.snapshot.Shards[i][r].Upstream
	caller := q.planner.callerBudgets.Bucket(now, q.request.Caller)
	if !caller.Available(now) || !q.service.retryBudget.Take(now) {
		q.recordDenied(event.Retry, upstream)
		q.giveUp(i)

		return
	}
	caller.Take(now)
	q.record(event.Event{Kind: event.Retry, Reason: s.reason, Upstream: upstream})
	q.sendLeg(now, i, r)
}

// recordDenied records that a budget did not allow a retry or a hedge.
func (q *Query) recordDenied(kind event.Kind, upstream string) {
	q.record(event.Event{Kind: event.Denied, Reason: reason.Budget, Upstream: upstream, Detail: string(kind)})
}

// secondHedgeFactor is how many times as many legs count as slow after the first hedge of a shard. Few
// shards get a second hedge, and a shard whose first two legs are slow determines the latency of the
// whole query.
const secondHedgeFactor = 4

// lowBudgetFill is the fill ratio of the hedge budget below which the hedge delays grow.
const lowBudgetFill = 0.3

// setHedgeDelays sets the delays of the first and the second hedge from the latencies of the service.
// The first hedge gets as much time before the deadline as the first leg had, unless its delay would
// fall below the median latency.
func (q *Query) setHedgeDelays(now clock.Milli) {
	q.hedgeDelay, q.secondHedgeDelay = 0, 0
	p := &q.planner.policy
	if p.Hedge.Ratio <= 0 {
		return
	}
	hedgeLatency, known := q.service.latency.Quantile(now, p.HedgeQuantile)
	if !known {
		return
	}
	medianLatency, _ := q.service.latency.Quantile(now, median)
	secondHedgeLatency, _ := q.service.latency.Quantile(now, max(median, 1-secondHedgeFactor*(1-p.HedgeQuantile)))
	// Longer delays save a budget that runs low for the slowest legs.
	stretch := 1 + clock.Milli(max(0, 1-q.service.hedgeBudget.FillRatio()/lowBudgetFill))
	q.hedgeDelay = min(hedgeLatency*stretch, max(medianLatency, q.deadline()-now-hedgeLatency))
	q.secondHedgeDelay = min(q.hedgeDelay, secondHedgeLatency*stretch)
}

// legHedgeDelay returns the time from the newest leg of a shard to the next hedge.
func (q *Query) legHedgeDelay(s *shard) clock.Milli {
	if s.legCount > 1 {
		return q.secondHedgeDelay
	}

	return q.hedgeDelay
}

// sendHedges sends a hedge for each shard whose newest leg is open for longer than its hedge delay.
func (q *Query) sendHedges(now clock.Milli) {
	if q.hedgeDelay <= 0 || q.openLegs == 0 {
		return
	}
	next := q.deadline()
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.openLegs == 0 || int(s.legCount) >= q.planner.policy.MaxAttempts {
			continue
		}
		due := q.legs[s.lastLeg].sentAt + q.legHedgeDelay(s)
		if now >= due {
			q.sendHedge(now, i)
			due = now + q.legHedgeDelay(s)
		}
		next = min(next, due)
	}
	q.wakeAt(next)
}

// sendHedge sends a hedge for shard i if a replica is left and the hedge budget allows it.
func (q *Query) sendHedge(now clock.Milli, i int) {
	s := &q.shards[i]
	r := q.planner.balancer.Choose(now, q.snapshot.Shards[i], s.tried)
	if r < 0 {
		return
	}
	upstream := q.snapshot.Shards[i][r].Upstream
	if !q.service.hedgeBudget.Take(now) {
		if !s.hedgeDenied {
			s.hedgeDenied = true
			q.recordDenied(event.Hedge, upstream)
		}

		return
	}
	q.record(event.Event{Kind: event.Hedge, Reason: reason.Slow, Upstream: upstream})
	q.sendLeg(now, i, r)
}
