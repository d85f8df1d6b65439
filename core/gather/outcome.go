package gather

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// answerDeadline returns when the caller gets its answer or refusal at the latest.
func (q *Query) answerDeadline() clock.Milli { return q.beforeStop(q.ownDeadline()) }

// ownDeadline returns the same for a daemon that does not stop.
func (q *Query) ownDeadline() clock.Milli {
	return min(q.request.Deadline-q.coordinator.policy.DeadlineMargin, q.request.Arrived+q.route.Timeout)
}

// partialAt returns when an answer that covers enough shards is sent although other shards may still
// answer: shortly before the objective, counted from the caller's first attempt.
func (q *Query) partialAt() clock.Milli {
	margin := max(minResponseMargin, responseMarginFraction*q.route.Objective)
	if at := q.request.FirstSent + q.route.Objective - margin; at > q.request.Arrived {
		return min(at, q.answerDeadline())
	}

	return min(q.request.Arrived+overdueFactor*q.route.Objective, q.answerDeadline())
}

func (q *Query) coversEnough() bool { return q.covered >= q.route.MinShards() }

// cannotAnswer reports whether too many shards were dropped for an answer.
func (q *Query) cannotAnswer() bool { return q.covered+q.pending < q.route.MinShards() }

// refuseUnavailable refuses a request, before any leg is sent, if too few shards have an upstream.
func (q *Query) refuseUnavailable(now clock.Milli) bool {
	for i := range q.shards {
		if len(q.usable(q.shards[i].service.Name)) == 0 {
			q.drop(i)
		}
	}
	if !q.cannotAnswer() {
		return false
	}
	q.finish(now)

	return true
}

// finishIfReady ends the query once there is nothing to wait for.
func (q *Query) finishIfReady(now clock.Milli) {
	if q.done {
		return
	}
	q.askSkipped(now)
	if q.pending == 0 || q.cannotAnswer() || now >= q.answerDeadline() || (q.coversEnough() && now >= q.partialAt()) {
		q.finish(now)
	}
}

func (q *Query) finish(now clock.Milli) {
	q.done = true
	outcome := Outcome{Skipped: len(q.skipped)}
	switch {
	case q.coversEnough():
		for i := range q.shards {
			if q.shards[i].covered {
				outcome.Legs = append(outcome.Legs, q.shards[i].answer)
			} else {
				outcome.Missing = append(outcome.Missing, q.shards[i].service.Name)
			}
		}
	case !q.route.Gathers() && q.shards[0].forwardable:
		outcome.Legs = []int{q.shards[0].answer}
	default:
		outcome.Refusal = q.refusal(now)
		outcome.Missing = q.servicesWithoutUpstream()
		outcome.RetryAfter = q.retryAfter(now, outcome.Refusal.Reason)
	}
	q.emit(Action{Kind: Finish, Outcome: outcome})
}

// servicesWithoutUpstream returns the services that have no upstream to take requests.
func (q *Query) servicesWithoutUpstream() []string {
	var names []string
	for i := range q.shards {
		if name := q.shards[i].service.Name; len(q.usable(name)) == 0 {
			names = append(names, name)
		}
	}

	return names
}

// refusal returns why there is no answer, and whether the request may have run.
func (q *Query) refusal(now clock.Milli) *reason.Refusal {
	run := reason.NotExecuted
	for n := range q.legs {
		if q.legs[n].mayHaveRun {
			run = reason.ExecutionUnknown
		}
	}
	word := reason.Deadline
	switch {
	case q.endedByStop(now):
		word = reason.Draining
	case now < q.answerDeadline():
		for i := range q.shards {
			if s := &q.shards[i]; !s.covered && s.failReason != "" {
				word = s.failReason
			}
		}
	}

	return reason.NewRefusal(word, run, q.detail)
}

// retryAfter returns a random time, so that the retries of refused callers are spread over the time in which
// an upstream may be back, and at least the time until rate limits leave room. A caller that is refused because of a
// planned stop may go to another daemon at once.
func (q *Query) retryAfter(now clock.Milli, refused reason.Code) clock.Milli {
	if q.request.StopAt != 0 && refused == reason.Draining {
		return 0
	}
	left := max(0, q.request.Deadline-now)
	wait := min(maxRetryAfter, left*retryFraction) * clock.Milli(0.5+q.coordinator.uniform()/2)

	return max(wait, q.room-now)
}

const (
	// retryFraction is the fraction of the time left after which a refused caller may retry.
	retryFraction = 0.3
	// maxRetryAfter is the longest time after which a refused caller may retry.
	maxRetryAfter = clock.Second
)
