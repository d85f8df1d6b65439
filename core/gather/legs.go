package gather

import (
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// try sends a shard one more leg, or gives the shard up when none can bring an answer.
func (q *Query) try(now clock.Milli, i int) {
	s := &q.shards[i]
	if s.covered || s.gone || s.open > 0 {
		return
	}
	if now >= q.end() || q.spent(i) || len(q.view.Usable(s.service.Name)) == 0 {
		q.giveUp(i)

		return
	}
	u := q.choose(now, i)
	if u == nil || !q.pay(now, i) {
		s.due = now + busyWait

		return
	}
	q.send(now, i, u, s.why)
}

// ran returns the upstreams that ran a shard's request, or may have.
func (q *Query) ran(i int) []catalog.Key {
	var list []catalog.Key
	for n := range q.legs {
		if l := &q.legs[n]; l.shard == i && l.ran && !slices.Contains(list, l.upstream.Key()) {
			list = append(list, l.upstream.Key())
		}
	}

	return list
}

// spent reports whether a shard may get no more legs.
func (q *Query) spent(i int) bool {
	if !q.route.Idempotent && len(q.ran(i)) > 0 {
		return true
	}

	return q.shards[i].fails >= legsPerAttempt*max(1, q.route.Attempts)
}

// pay takes an extra send from the budget when the shard's request may have arrived somewhere.
func (q *Query) pay(now clock.Milli, i int) bool {
	for n := range q.legs {
		if q.legs[n].shard == i && !q.legs[n].unsent {
			return q.desk.budget(now, q.shards[i].service.Name).Take(now)
		}
	}

	return true
}

// choose returns the upstream for a shard's next leg, or nil. One that did not have the request goes
// first, while the route allows more upstreams; then one that had it.
func (q *Query) choose(now clock.Milli, i int) *catalog.Upstream {
	if u := q.chooseTrial(now, i); u != nil {
		return u
	}
	ran := q.ran(i)
	if len(ran) < max(1, q.route.Attempts) {
		had := func(u *catalog.Upstream) bool { return slices.Contains(ran, u.Key()) }
		if u := q.chooseFrom(now, i, had); u != nil {
			return u
		}
	}
	if !q.route.Idempotent {
		return nil
	}

	return q.chooseFrom(now, i, func(u *catalog.Upstream) bool {
		return q.openAt(i, u) || !slices.Contains(ran, u.Key())
	})
}

// chooseTrial returns an upstream of the version on trial for the first leg of a shard that tries it,
// or nil. Later legs go to the version that ran before.
func (q *Query) chooseTrial(now clock.Milli, i int) *catalog.Upstream {
	s := &q.shards[i]
	if !s.trial {
		return nil
	}
	s.trial = false
	none := func(*catalog.Upstream) bool { return false }

	return q.desk.fleet.Choose(now, s.service, q.view.Trial(s.service.Name), none)
}

func (q *Query) chooseFrom(now clock.Milli, i int, excluded func(*catalog.Upstream) bool) *catalog.Upstream {
	s := &q.shards[i]

	return q.desk.fleet.Choose(now, s.service, q.view.Usable(s.service.Name), excluded)
}

// openAt reports whether the upstream has a leg of the shard that may still be answered.
func (q *Query) openAt(i int, u *catalog.Upstream) bool {
	for n := range q.legs {
		if l := &q.legs[n]; l.shard == i && l.open && l.upstream.Key() == u.Key() {
			return true
		}
	}

	return false
}

func (q *Query) send(now clock.Milli, i int, u *catalog.Upstream, extra reason.Word) {
	s := &q.shards[i]
	q.legs = append(q.legs, leg{shard: i, upstream: u, at: now, open: true, ran: true})
	s.open++
	s.due = q.lateAt(now, s)
	q.desk.fleet.Sent(now, s.service, u)
	q.emit(Action{
		Kind: Send, Number: len(q.legs) - 1, Upstream: u, Service: s.service, Deadline: q.legDeadline(), Extra: extra,
	})
}

// legDeadline is until when an upstream works on the request: no longer than the caller is kept
// waiting, or its slot would be taken for nothing.
func (q *Query) legDeadline() clock.Milli {
	return min(q.request.Deadline, q.request.Arrived+q.route.Timeout)
}

// hedge asks a second upstream for the shards that are late.
func (q *Query) hedge(now clock.Milli) {
	if q.done {
		return
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.gone || s.open != 1 || now < s.due {
			continue
		}
		s.due = now + busyWait
		u := q.choose(now, i)
		if u == nil || !q.mayHelp(now, u) {
			continue
		}
		if q.pay(now, i) {
			q.send(now, i, u, reason.Slow)
		}
	}
}

// mayHelp reports whether a second leg to the upstream may be answered before the first one. Where
// requests wait for a slot it would only make the queue longer.
func (q *Query) mayHelp(now clock.Milli, u *catalog.Upstream) bool {
	f := q.desk.fleet

	return !f.Suspect(now, u) && now+f.Expected(now, u) <= q.end() && f.Wait(now, u) <= secondPart*q.patience
}

// lateAt returns when the leg that a shard is sent now is late. Only one second leg is sent, and
// none of a request that may run once.
func (q *Query) lateAt(now clock.Milli, s *shard) clock.Milli {
	if !q.route.Idempotent || s.open > 1 {
		return never
	}

	return now + q.patience
}

// hedgeAfter returns how long one upstream may take before another is asked.
func (q *Query) hedgeAfter(now clock.Milli) clock.Milli {
	usual, known := q.latency.Quantile(now, hedgeQuantile)
	if !known {
		usual = hedgeUnknown * q.route.Objective
	}

	return max(hedgeSoonest, min(usual, hedgeLatest*q.route.Objective))
}

func (q *Query) giveUp(i int) {
	s := &q.shards[i]
	s.gone = true
	q.waiting--
	if s.why == "" {
		s.why = reason.Replica
	}
}
