package query

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// Polling intervals.
const (
	// isolationPollInterval is the time between two checks whether the request still runs in isolation
	// in another query.
	isolationPollInterval = 2 * clock.Millisecond
	// snapshotPollInterval is the time between two searches for another snapshot.
	snapshotPollInterval = 20 * clock.Millisecond
)

// pin starts the query on a snapshot, from which all further answers have to come.
func (q *Query) pin(now clock.Milli, s route.Snapshot) {
	q.snapshot = s
	q.shards = make([]shard, len(s.Shards))
	for i := range q.shards {
		q.shards[i].lastLeg = none
	}
	if q.legs == nil {
		q.legs = make([]sentLeg, 0, len(s.Shards)+len(s.Shards)/16+1)
	}
	q.covered, q.pending = 0, len(s.Shards)
	q.merged = newMerger(q.request.Top)
	q.canaryShard, q.snapshotLost, q.crashed = none, false, false
	q.setHedgeDelays(now)
	q.startLegs(now)
}

// startLegs sends the first legs as far as the quarantine tracker admits the request.
func (q *Query) startLegs(now clock.Milli) {
	q.blocked = false
	switch q.planner.tracker.Admit(now, q.fingerprint, q.snapshot.Version, q.trusted) {
	case quarantine.Refuse:
		q.giveUpAll(reason.Quarantine)
	case quarantine.Wait:
		q.blocked = true
		q.wakeAt(now + isolationPollInterval)
	case quarantine.Isolate:
		q.isolated = true
		for i := range q.shards {
			q.shards[i].deferred = true
		}
		q.startCanary(now)
	default:
		for i := range q.shards {
			q.sendFirst(now, i)
		}
	}
}

// startCanary sends a leg for one of the deferred shards, chosen at random, as the canary leg.
func (q *Query) startCanary(now clock.Milli) {
	q.canaryShard = none
	n := len(q.shards)
	if n == 0 {
		return
	}
	start := q.planner.random.IntN(n)
	for k := range n {
		i := (start + k) % n
		if !q.shards[i].deferred {
			continue
		}
		q.sendDeferred(now, i)
		if q.shards[i].openLegs > 0 {
			q.canaryShard = i

			return
		}
	}
	q.endIsolation()
}

// canarySucceeded sends the legs of the deferred shards, because the canary leg crashed no upstream.
func (q *Query) canarySucceeded(now clock.Milli) {
	q.canaryShard = none
	q.isolated = false
	q.planner.tracker.RecordSuccess(q.fingerprint, q.snapshot.Version)
	for i := range q.shards {
		if q.shards[i].deferred {
			q.sendDeferred(now, i)
		}
	}
}

// sendDeferred sends the next leg of a deferred shard, or gives the shard up.
func (q *Query) sendDeferred(now clock.Milli, i int) {
	if q.shards[i].legCount == 0 {
		q.sendFirst(now, i)

		return
	}
	q.retry(now, i)
}

// endIsolation ends a run in isolation that was inconclusive.
func (q *Query) endIsolation() {
	if q.isolated {
		q.isolated = false
		q.planner.tracker.RecordInconclusive(q.fingerprint)
	}
}

// advance completes the handling of an event: it restarts a query whose snapshot is lost and finishes
// one without pending shards.
func (q *Query) advance(now clock.Milli) []Action {
	if q.snapshotLost && !q.done {
		if q.restart(now) {
			return q.advance(now)
		}
		if q.pending == 0 && !q.request.Partial && q.canRestart(now) {
			q.wakeAt(now + snapshotPollInterval)

			return q.planner.actions
		}
	}
	if !q.done && q.pending == 0 {
		q.finish(now)
	}

	return q.planner.actions
}

// canRestart reports whether the query may restart and has the time for it.
func (q *Query) canRestart(now clock.Milli) bool {
	if q.restarts >= q.planner.policy.MaxRestarts {
		return false
	}
	medianLatency, _ := q.service.latency.Quantile(now, median)

	return now+max(medianLatency, snapshotPollInterval) < q.deadline()
}

// restart restarts the query on another snapshot. It keeps the response from the lost snapshot for a
// caller that accepts partial responses.
func (q *Query) restart(now clock.Milli) bool {
	table := q.planner.table()
	if table == q.searchedTable || !q.canRestart(now) {
		return false
	}
	q.searchedTable = table
	s, ok := q.planner.restartSnapshot(table, q.request.Service, q.snapshot)
	if !ok {
		return false
	}
	q.restarts++
	q.cancelAll(now)
	q.endIsolation()
	q.giveUpAll(reason.Snapshot)
	q.previous = betterCoverage(q.previous, q.response())
	q.record(event.Event{Kind: event.Restart, Reason: reason.Snapshot, Detail: q.snapshot.Name + " to " + s.Name})
	q.pin(now, s)

	return true
}

// stop ends the query and cancels its open legs.
func (q *Query) stop(now clock.Milli) {
	q.done = true
	q.cancelAll(now)
	q.endIsolation()
}

func (q *Query) finish(now clock.Milli) {
	q.stop(now)
	response := betterCoverage(q.previous, q.response())
	response.Legs = len(q.legs)
	if len(response.Missing) > 0 && (!q.request.Partial || response.Covered == 0) {
		response.Refusal = reason.NewRefusal(response.Reason(), q.execution(), response.coverageText())
	}
	if q.admitted {
		answered := response.Refusal == nil
		q.service.limiter.Done(now, answered, !answered && isOverload(response.Refusal.Reason))
	}
	q.emit(Action{Kind: Finish, Response: response})
}

// refuse refuses the query before any leg is sent.
func (q *Query) refuse(word reason.Code, detail string) []Action {
	q.done = true
	q.emit(Action{Kind: Finish, Response: &Reply{Refusal: reason.NewRefusal(word, reason.NotExecuted, detail)}})

	return q.planner.actions
}

// execution returns whether any upstream executed a refused query.
func (q *Query) execution() reason.Execution {
	switch {
	case q.executed:
		return reason.Executed
	case q.maybeExecuted:
		return reason.ExecutionUnknown
	default:
		return reason.NotExecuted
	}
}
