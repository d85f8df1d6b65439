package query

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
)

// load reports whether the reason says that an upstream has too much to do.
func load(w reason.Code) bool {
	return w == reason.Overload || w == reason.Cold || w == reason.Deadline
}

// repeatable reports whether another leg can help after a refusal. After one for load it can only if
// the leg was not run, because else the retry would add to the load that caused it.
func repeatable(r *reason.Refusal) bool {
	switch r.Reason {
	case reason.Invalid, reason.Size, reason.Quarantine, reason.Service, reason.Budget, reason.Stranger:
		return false
	case reason.Overload, reason.Cold, reason.Deadline:
		return r.Run == reason.NotExecuted
	default:
		return true
	}
}

// crash reports whether the refusal looks like an upstream that died while it ran the leg.
func crash(r *reason.Refusal) bool {
	return r.Reason == reason.Connection && r.Run != reason.NotExecuted
}

// survived reports whether the refusal shows that the upstream lived on after it ran the leg.
func survived(r *reason.Refusal) bool {
	return r.Reason == reason.Failed || r.Run == reason.Executed
}

// failed goes on after a leg of shard i came back without an answer that can be used.
func (q *Query) failed(now clock.Milli, i int, r *reason.Refusal) {
	s := &q.shards[i]
	s.why = r.Reason
	if crash(r) && q.suspect(now, i) {
		return
	}
	if s.open > 0 {
		return
	}
	if q.lead == i && survived(r) {
		q.passed(now)
	}
	switch {
	case !repeatable(r):
		q.giveUp(i)
	case q.lead != none && q.lead != i:
		s.held = true
	default:
		q.reuse(i, r)
		q.retry(now, i)
	}
	if q.lead == i && s.open == 0 {
		q.next(now)
	}
}

// suspect takes note of a crash while shard i ran. From then on one leg runs alone before any
// other is sent again. It reports whether the request went into quarantine.
func (q *Query) suspect(now clock.Milli, i int) bool {
	alone := q.lead == i
	if !alone && (q.crashed || q.covered > 0) {
		// The upstream may have been lost for another reason; one crash for all such legs counts.
		q.probe(i)

		return false
	}
	q.crashed = true
	q.probe(i)
	q.planner.guard.Lost(now, q.mark, q.planner.random.Uint64())
	upstream := q.replica(&q.legs[q.shards[i].last]).Upstream
	q.note(event.Event{Kind: event.Quarantine, Reason: reason.Connection, Upstream: upstream})
	if !q.planner.guard.Held(now, q.mark) {
		return false
	}
	q.note(event.Event{Kind: event.Quarantine, Reason: reason.Quarantine, Upstream: upstream})
	q.cancelAll(now)
	q.giveUpAll(reason.Quarantine)

	return true
}

// probe makes shard i the lead if there is none.
func (q *Query) probe(i int) {
	if q.lead == none {
		q.lead = i
	}
}

// reuse allows the replicas asked before to be asked again when none is left and the fault lay on
// the way to them.
func (q *Query) reuse(i int, r *reason.Refusal) {
	onWay := r.Reason == reason.Peer || r.Reason == reason.Home || r.Reason == reason.Connection
	if onWay && r.Run == reason.NotExecuted {
		s := &q.shards[i]
		if q.planner.picks.Choose(0, q.snapshot.Shards[i], s.tried) < 0 {
			s.tried = 0
		}
	}
}

// retry sends one more leg for shard i if the attempts, the time and the budgets of the service and
// of the caller allow it, and gives the shard up otherwise.
func (q *Query) retry(now clock.Milli, i int) {
	s := &q.shards[i]
	r := none
	if int(s.legs) < q.planner.policy.Attempts && now < q.deadline() {
		r = q.planner.picks.Choose(now, q.snapshot.Shards[i], s.tried)
	}
	if r < 0 {
		q.giveUp(i)

		return
	}
	upstream := q.snapshot.Shards[i][r].Upstream
	caller := q.planner.callers.Bucket(now, q.request.Caller)
	if !caller.Available(now) || !q.service.retries.Take(now) {
		q.deny(event.Retry, upstream)
		q.giveUp(i)

		return
	}
	caller.Take(now)
	q.note(event.Event{Kind: event.Retry, Reason: s.why, Upstream: upstream})
	q.send(now, i, r)
}

// deny records that a budget did not allow a leg.
func (q *Query) deny(kind event.Kind, upstream string) {
	q.note(event.Event{Kind: event.Denied, Reason: reason.Budget, Upstream: upstream, Detail: string(kind)})
}

// thirdFactor is how many times as many legs are taken for slow once a second leg was sent. Few
// shards come so far, and one whose first two legs are slow sets the latency of the whole query.
const thirdFactor = 4

// lowFill is the part of the budget's burst below which the waits grow.
const lowFill = 0.3

// wait sets how long to wait for a leg before a second one is sent, and a third. It leaves the second
// one as much time before the deadline as the first one had.
func (q *Query) wait(now clock.Milli) {
	q.delay, q.third = 0, 0
	p := &q.planner.policy
	if p.Hedge.Ratio <= 0 {
		return
	}
	slow, known := q.service.latency.Quantile(now, p.Quantile)
	if !known {
		return
	}
	usual, _ := q.service.latency.Quantile(now, median)
	slowish, _ := q.service.latency.Quantile(now, max(median, 1-thirdFactor*(1-p.Quantile)))
	// A budget that runs low is kept for the slowest legs.
	stretch := 1 + clock.Milli(max(0, 1-q.service.hedges.FillRatio()/lowFill))
	q.delay = min(slow*stretch, max(usual, q.deadline()-now-slow))
	q.third = min(q.delay, slowish*stretch)
}

// patience returns how long to wait for the newest leg of a shard.
func (q *Query) patience(s *shard) clock.Milli {
	if s.legs > 1 {
		return q.third
	}

	return q.delay
}

// hedge sends a second leg for each shard whose leg takes longer than usual.
func (q *Query) hedge(now clock.Milli) {
	if q.delay <= 0 || q.open == 0 {
		return
	}
	next := q.deadline()
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.open == 0 || int(s.legs) >= q.planner.policy.Attempts {
			continue
		}
		due := q.legs[s.last].at + q.patience(s)
		if now >= due {
			q.second(now, i)
			due = now + q.patience(s)
		}
		next = min(next, due)
	}
	q.want(next)
}

// second sends one more leg for a shard whose last one still runs, within the budget.
func (q *Query) second(now clock.Milli, i int) {
	s := &q.shards[i]
	r := q.planner.picks.Choose(now, q.snapshot.Shards[i], s.tried)
	if r < 0 {
		return
	}
	upstream := q.snapshot.Shards[i][r].Upstream
	if !q.service.hedges.Take(now) {
		if !s.denied {
			s.denied = true
			q.deny(event.Hedge, upstream)
		}

		return
	}
	q.note(event.Event{Kind: event.Hedge, Reason: reason.Slow, Upstream: upstream})
	q.send(now, i, r)
}
