package query

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// Waits between two tries.
const (
	// turnWait is the time between two looks at whether another query has ended its run alone.
	turnWait = 2 * clock.Millisecond
	// lostWait is the time between two looks for another snapshot.
	lostWait = 20 * clock.Millisecond
)

// pin takes a snapshot for all that follows.
func (q *Query) pin(now clock.Milli, s route.Snapshot) {
	q.snapshot = s
	q.shards = make([]shard, len(s.Shards))
	for i := range q.shards {
		q.shards[i].last = none
	}
	if q.legs == nil {
		q.legs = make([]sent, 0, len(s.Shards)+len(s.Shards)/16+1)
	}
	q.covered, q.waiting = 0, len(s.Shards)
	q.merged = newMerge(q.request.Top)
	q.lead, q.lost, q.crashed = none, false, false
	q.wait(now)
	q.enter(now)
}

// enter sends the first legs as far as the request may run.
func (q *Query) enter(now clock.Milli) {
	q.turn = false
	switch q.planner.guard.Ask(now, q.mark, q.snapshot.Version, q.trusted) {
	case quarantine.Refuse:
		q.giveUpAll(reason.Quarantine)
	case quarantine.Wait:
		q.turn = true
		q.want(now + turnWait)
	case quarantine.Isolate:
		q.alone = true
		for i := range q.shards {
			q.shards[i].held = true
		}
		q.next(now)
	default:
		for i := range q.shards {
			q.first(now, i)
		}
	}
}

// next makes one of the held shards the lead, so that its leg runs alone.
func (q *Query) next(now clock.Milli) {
	q.lead = none
	n := len(q.shards)
	if n == 0 {
		return
	}
	start := q.planner.random.IntN(n)
	for k := range n {
		i := (start + k) % n
		if !q.shards[i].held {
			continue
		}
		q.resume(now, i)
		if q.shards[i].open > 0 {
			q.lead = i

			return
		}
	}
	q.unguard()
}

// passed lets the held shards go, because the leg that ran alone did no harm.
func (q *Query) passed(now clock.Milli) {
	q.lead = none
	q.alone = false
	q.planner.guard.Passed(q.mark, q.snapshot.Version)
	for i := range q.shards {
		if q.shards[i].held {
			q.resume(now, i)
		}
	}
}

// resume sends a held shard its leg, or gives the shard up.
func (q *Query) resume(now clock.Milli, i int) {
	if q.shards[i].legs == 0 {
		q.first(now, i)

		return
	}
	q.retry(now, i)
}

// unguard ends a run alone that showed nothing.
func (q *Query) unguard() {
	if q.alone {
		q.alone = false
		q.planner.guard.Ended(q.mark)
	}
}

// settle goes on after an event: it restarts a query whose snapshot is lost and finishes one that
// waits for nothing.
func (q *Query) settle(now clock.Milli) []Action {
	if q.lost && !q.done {
		if q.restart(now) {
			return q.settle(now)
		}
		if q.waiting == 0 && !q.request.Partial && q.restartable(now) {
			q.want(now + lostWait)

			return q.planner.actions
		}
	}
	if !q.done && q.waiting == 0 {
		q.finish(now)
	}

	return q.planner.actions
}

// restartable reports whether the query may begin again and has the time for it.
func (q *Query) restartable(now clock.Milli) bool {
	if q.restarts >= q.planner.policy.Restarts {
		return false
	}
	usual, _ := q.service.latency.Quantile(now, median)

	return now+max(usual, lostWait) < q.deadline()
}

// restart begins again on another snapshot. What the lost one gave is kept for a caller who takes a
// partial answer.
func (q *Query) restart(now clock.Milli) bool {
	table := q.planner.table()
	if table == q.looked || !q.restartable(now) {
		return false
	}
	q.looked = table
	s, ok := q.planner.newer(table, q.request.Service, q.snapshot)
	if !ok {
		return false
	}
	q.restarts++
	q.cancelAll(now)
	q.unguard()
	q.giveUpAll(reason.Snapshot)
	q.previous = better(q.previous, q.reply())
	q.note(event.Event{Kind: event.Restart, Reason: reason.Snapshot, Detail: q.snapshot.Name + " to " + s.Name})
	q.pin(now, s)

	return true
}

// end stops all work of the query.
func (q *Query) end(now clock.Milli) {
	q.done = true
	q.cancelAll(now)
	q.unguard()
}

func (q *Query) finish(now clock.Milli) {
	q.end(now)
	reply := better(q.previous, q.reply())
	reply.Legs = len(q.legs)
	if len(reply.Missing) > 0 && (!q.request.Partial || reply.Covered == 0) {
		reply.Refusal = reason.NewRefusal(reply.Reason(), q.run(), reply.coverage())
	}
	if q.admitted {
		answered := reply.Refusal == nil
		q.service.fair.Done(now, answered, !answered && load(reply.Refusal.Reason))
	}
	q.emit(Action{Kind: Finish, Reply: reply})
}

// refuse turns the query away before any of it was run.
func (q *Query) refuse(word reason.Code, detail string) []Action {
	q.done = true
	q.emit(Action{Kind: Finish, Reply: &Reply{Refusal: reason.NewRefusal(word, reason.NotExecuted, detail)}})

	return q.planner.actions
}

// run says whether a refused query was run by any upstream.
func (q *Query) run() reason.Execution {
	switch {
	case q.ran:
		return reason.Executed
	case q.unsure:
		return reason.ExecutionUnknown
	default:
		return reason.NotExecuted
	}
}
