package gather

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// stopDetail explains a refusal because of a planned stop.
const stopDetail = "may outlast the planned stop of this daemon"

// Stop is called when a planned stop of the daemon begins, which ends the request at an instant. Shards that wait for
// an upstream are given up if their request may outlast the stop.
func (q *Query) Stop(now, at clock.Milli) []Action {
	q.coordinator.actions = q.coordinator.actions[:0]
	if q.done {
		return nil
	}
	q.request.StopAt = at
	for i := range q.shards {
		if s := &q.shards[i]; !s.covered && !s.dropped && s.inFlight == 0 && !q.fitsBeforeStop(now) {
			q.giveUpForStop(i)
		}
	}
	q.finishIfReady(now)

	return q.coordinator.actions
}

// beforeStop returns an instant, or that at which a planned stop ends the request if it is earlier.
func (q *Query) beforeStop(at clock.Milli) clock.Milli {
	if q.request.StopAt == 0 {
		return at
	}

	return min(at, q.request.StopAt)
}

// fitsBeforeStop reports whether a leg may be sent although a planned stop ends the request at an instant: one that may
// run once only if the whole time that it may take fits, as the caller could not repeat it, and any other if there is
// time for an answer within the route's objective.
func (q *Query) fitsBeforeStop(now clock.Milli) bool {
	if q.request.StopAt == 0 {
		return true
	}
	end := min(q.request.Deadline, q.request.Arrived+q.route.Timeout)
	if q.route.Idempotent {
		end = min(end, now+q.route.Objective)
	}

	return end <= q.request.StopAt
}

// refuseStopping refuses a request, before any leg is sent, that may outlast a planned stop.
func (q *Query) refuseStopping(now clock.Milli) bool {
	if q.fitsBeforeStop(now) {
		return false
	}
	q.detail = stopDetail
	q.refuseAll(now, reason.Draining)

	return true
}

// giveUpForStop gives up a shard whose next leg may outlast a planned stop.
func (q *Query) giveUpForStop(i int) {
	q.shards[i].failReason = reason.Draining
	q.detail = stopDetail
	q.drop(i)
}

// endedByStop reports whether a planned stop ends the request before its own time is over.
func (q *Query) endedByStop(now clock.Milli) bool {
	return q.request.StopAt != 0 && now >= q.request.StopAt && now < q.ownDeadline()
}
