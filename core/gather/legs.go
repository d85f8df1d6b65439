package gather

import (
	"cmp"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// trySend sends a shard another leg, or drops the shard when no leg can bring an answer, also because rate limits
// leave no room in time. If no upstream or no budget is available, it is tried again after pollInterval.
func (q *Query) trySend(now clock.Milli, i int) {
	s := &q.shards[i]
	if s.covered || s.dropped || s.inFlight > 0 {
		return
	}
	if q.exhausted(i) || len(q.usable(s.service.Name)) == 0 {
		q.drop(i)

		return
	}
	if now+minLegTime > q.answerDeadline() {
		s.failReason = cmp.Or(s.failReason, reason.Deadline)
		q.drop(i)

		return
	}
	if !q.fitsBeforeStop(now) {
		q.giveUpForStop(i)

		return
	}
	if q.suspect() && !q.allowSuspect(now, i) {
		return
	}
	u := q.chooseUpstream(now, i)
	if u == nil && now+q.waitForRoom(now, i) >= q.answerDeadline() {
		s.failReason = reason.Limit
		q.drop(i)

		return
	}
	if u == nil || !q.takeBudget(now, i) {
		s.checkAt = now + pollInterval

		return
	}
	q.send(now, i, u, s.failReason)
}

// currentView returns the view from which upstreams are taken now. The route and the services stay those with which the
// request began, but an upstream may have begun to drain or a version may have been rolled back since.
func (q *Query) currentView() *catalog.View {
	if q.request.View == nil {
		return q.view
	}
	if view := q.request.View(); view != nil && view.Config != nil {
		return view
	}
	// A daemon on standby knows no upstreams.
	return q.view
}

// usable returns the upstreams of a service that take requests, without those that announced their shutdown.
func (q *Query) usable(service string) []*catalog.Upstream {
	return q.coordinator.balancer.Remaining(q.currentView().Usable(service))
}

// canaries returns the same of those of the version on trial.
func (q *Query) canaries(service string) []*catalog.Upstream {
	return q.coordinator.balancer.Remaining(q.currentView().Canaries(service))
}

// waitForRoom returns how long the rate limits of all upstreams of a shard leave no room for another leg.
func (q *Query) waitForRoom(now clock.Milli, i int) clock.Milli {
	shortest := never
	for _, u := range q.usable(q.shards[i].service.Name) {
		shortest = min(shortest, q.coordinator.balancer.LimitWait(now, u))
	}

	return shortest
}

// executors returns the upstreams that ran a shard's request, or may have.
func (q *Query) executors(i int) []catalog.Key {
	var list []catalog.Key
	for n := range q.legs {
		if l := &q.legs[n]; l.shard == i && l.mayHaveRun && !slices.Contains(list, l.upstream.Key()) {
			list = append(list, l.upstream.Key())
		}
	}

	return list
}

// exhausted reports whether a shard may get no more legs.
func (q *Query) exhausted(i int) bool {
	if !q.route.Idempotent && (len(q.executors(i)) > 0 || q.sentToAll(i)) {
		return true
	}

	return q.shards[i].failures >= legsPerAttempt*max(1, q.route.Attempts)
}

// sentTo reports whether bytes of the shard's request were, or may have been, sent to the upstream.
func (q *Query) sentTo(i int, u *catalog.Upstream) bool {
	return slices.ContainsFunc(q.legs, func(l leg) bool {
		return l.shard == i && !l.unsent && l.upstream.Key() == u.Key()
	})
}

// sentToAll reports the same of all upstreams that take requests.
func (q *Query) sentToAll(i int) bool {
	return !slices.ContainsFunc(q.usable(q.shards[i].service.Name), func(u *catalog.Upstream) bool {
		return !q.sentTo(i, u)
	})
}

// takeBudget takes one send from the retry budget if an upstream may have received the shard's request
// before, and reports whether the shard's next leg may be sent.
func (q *Query) takeBudget(now clock.Milli, i int) bool {
	for n := range q.legs {
		if q.legs[n].shard == i && !q.legs[n].unsent {
			return q.coordinator.retryBudget(now, q.shards[i].service.Name).Take(now)
		}
	}

	return true
}

// chooseUpstream returns the upstream for a shard's next leg, or nil. It prefers an upstream that has not had the
// request, while the route allows more upstreams, to one that has. A request that is not idempotent goes to each
// upstream once at most, since a late copy of a rejection looks like the response to a second send.
func (q *Query) chooseUpstream(now clock.Milli, i int) *catalog.Upstream {
	if u := q.chooseCanary(now, i); u != nil {
		return u
	}
	if !q.route.Idempotent {
		return q.chooseExcept(now, i, func(u *catalog.Upstream) bool { return q.sentTo(i, u) })
	}
	executors := q.executors(i)
	if len(executors) < max(1, q.route.Attempts) {
		executed := func(u *catalog.Upstream) bool { return slices.Contains(executors, u.Key()) }
		if u := q.chooseExcept(now, i, executed); u != nil {
			return u
		}
	}

	return q.chooseExcept(now, i, func(u *catalog.Upstream) bool {
		return q.inFlightAt(i, u) || !slices.Contains(executors, u.Key())
	})
}

// chooseCanary returns an upstream of the version on trial for the first leg of a shard that uses it, or
// nil. Later legs go to the version that ran before.
func (q *Query) chooseCanary(now clock.Milli, i int) *catalog.Upstream {
	s := &q.shards[i]
	if !s.useCanary {
		return nil
	}
	s.useCanary = false
	none := func(*catalog.Upstream) bool { return false }

	return q.coordinator.balancer.Choose(now, s.service, q.canaries(s.service.Name), none)
}

func (q *Query) chooseExcept(now clock.Milli, i int, excluded func(*catalog.Upstream) bool) *catalog.Upstream {
	s := &q.shards[i]

	return q.coordinator.balancer.Choose(now, s.service, q.usable(s.service.Name), excluded)
}

// inFlightAt reports whether the upstream has a leg of the shard in flight.
func (q *Query) inFlightAt(i int, u *catalog.Upstream) bool {
	for n := range q.legs {
		if l := &q.legs[n]; l.shard == i && l.inFlight && l.upstream.Key() == u.Key() {
			return true
		}
	}

	return false
}

func (q *Query) send(now clock.Milli, i int, u *catalog.Upstream, extra reason.Code) {
	s := &q.shards[i]
	q.legs = append(q.legs, leg{shard: i, upstream: u, sentAt: now, inFlight: true, mayHaveRun: true})
	s.inFlight++
	q.inFlight++
	s.checkAt = q.hedgeAt(now, s)
	q.coordinator.balancer.Sent(now, s.service, u)
	q.emit(Action{
		Kind: Send, Number: len(q.legs) - 1, Upstream: u, Service: s.service, Deadline: q.legDeadline(), RetryReason: extra,
	})
}

// legDeadline returns when an upstream should stop working on the request. It is not after the end of the
// caller's wait, because the request would then hold a slot for nothing.
func (q *Query) legDeadline() clock.Milli {
	return q.beforeStop(min(q.request.Deadline, q.request.Arrived+q.route.Timeout))
}

// hedge sends a second leg for each shard whose first leg is late.
func (q *Query) hedge(now clock.Milli) {
	if q.done {
		return
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.dropped || s.inFlight != 1 || now < s.checkAt {
			continue
		}
		s.checkAt = now + pollInterval
		if !q.mayHedge() {
			continue
		}
		u := q.chooseUpstream(now, i)
		if u == nil || !q.worthHedging(now, u) {
			continue
		}
		if q.takeBudget(now, i) {
			q.send(now, i, u, reason.Slow)
		}
	}
}

// worthHedging reports whether a hedge to the upstream may be answered before the first leg. Where
// requests wait for a slot, a hedge would only lengthen the queue, and where a rate limit is nearly reached, it
// would take the room of another request.
func (q *Query) worthHedging(now clock.Milli, u *catalog.Upstream) bool {
	f := q.coordinator.balancer

	return !f.Stalled(now, u) && f.Spare(now, u) && now+f.ExpectedLatency(now, u) <= q.answerDeadline() &&
		f.ExpectedWait(now, u) <= hedgeWaitFraction*q.hedgeDelay
}

// hedgeAt returns when to hedge a leg that is sent now. A hedge is not hedged again, and a request that is
// not idempotent is never hedged.
func (q *Query) hedgeAt(now clock.Milli, s *shard) clock.Milli {
	if !q.route.Idempotent || s.inFlight > 1 {
		return never
	}

	return now + q.hedgeDelay
}

// computeHedgeDelay returns how long a leg may take before a hedge is sent.
func (q *Query) computeHedgeDelay(now clock.Milli) clock.Milli {
	usual, known := q.latency.Quantile(now, hedgeQuantile)
	if !known {
		usual = defaultHedgeFraction * q.route.Objective
	}

	return max(minHedgeDelay, min(usual, maxHedgeFraction*q.route.Objective))
}

// drop gives a shard up.
func (q *Query) drop(i int) {
	s := &q.shards[i]
	s.dropped = true
	q.pending--
	if s.failReason == "" {
		s.failReason = reason.Replica
	}
}
