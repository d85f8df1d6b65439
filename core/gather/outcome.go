package gather

import (
	"math"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// end is when the caller is told in any case.
func (q *Query) end() clock.Milli {
	return min(q.request.Deadline-q.desk.policy.Reserve, q.request.Arrived+q.route.Timeout)
}

// partialAt is when an answer that covers enough shards is sent although others may come.
func (q *Query) partialAt() clock.Milli {
	margin := max(marginLeast, marginPart*q.route.Objective)
	if at := q.request.Began + q.route.Objective - margin; at > q.request.Arrived {
		return min(at, q.end())
	}

	return min(q.request.Arrived+lateFactor*q.route.Objective, q.end())
}

// least is how many shards an answer covers at least.
func (q *Query) least() int {
	if !q.route.Gathers() {
		return 1
	}
	// The small term keeps a product such as 0.9 * 20 from being rounded up.
	return max(1, int(math.Ceil(q.route.Least*float64(len(q.shards))-1e-9)))
}

func (q *Query) enough() bool { return q.covered >= q.least() }

// hopeless reports whether too many shards are gone for an answer.
func (q *Query) hopeless() bool { return q.covered+q.waiting < q.least() }

// refuseHopeless refuses a request for which too few shards have an upstream, before it is sent.
func (q *Query) refuseHopeless(now clock.Milli) bool {
	for i := range q.shards {
		if len(q.view.Usable(q.shards[i].service.Name)) == 0 {
			q.giveUp(i)
		}
	}
	if !q.hopeless() {
		return false
	}
	q.finish(now)

	return true
}

// settle tells the caller once there is nothing to wait for.
func (q *Query) settle(now clock.Milli) {
	if q.done {
		return
	}
	q.askRest(now)
	if q.waiting == 0 || q.hopeless() || now >= q.end() || (q.enough() && now >= q.partialAt()) {
		q.finish(now)
	}
}

func (q *Query) finish(now clock.Milli) {
	q.done = true
	outcome := Outcome{Unasked: len(q.unasked)}
	switch {
	case q.enough():
		for i := range q.shards {
			if q.shards[i].covered {
				outcome.Legs = append(outcome.Legs, q.shards[i].answer)
			} else {
				outcome.Missing = append(outcome.Missing, q.shards[i].service.Name)
			}
		}
	case !q.route.Gathers() && q.shards[0].reply:
		outcome.Legs = []int{q.shards[0].answer}
	default:
		outcome.Refusal = q.refusal(now)
		outcome.Missing = q.withoutUpstream()
		outcome.Retry = q.retryAfter(now)
	}
	q.emit(Action{Kind: Finish, Outcome: outcome})
}

// withoutUpstream returns the services that no upstream takes requests for.
func (q *Query) withoutUpstream() []string {
	var names []string
	for i := range q.shards {
		if name := q.shards[i].service.Name; len(q.view.Usable(name)) == 0 {
			names = append(names, name)
		}
	}

	return names
}

// refusal says why there is no answer, and whether the request was run.
func (q *Query) refusal(now clock.Milli) *reason.Refusal {
	run := reason.No
	for n := range q.legs {
		if q.legs[n].ran {
			run = reason.Unknown
		}
	}
	word := reason.Deadline
	if now < q.end() {
		for i := range q.shards {
			if s := &q.shards[i]; !s.covered && s.why != "" {
				word = s.why
			}
		}
	}

	return reason.New(word, run, q.detail)
}

// retryAfter spreads callers that were refused over the time in which an upstream may be back.
func (q *Query) retryAfter(now clock.Milli) clock.Milli {
	left := max(0, q.request.Deadline-now)

	return min(retryLongest, left*retryPart) * clock.Milli(0.5+q.desk.uniform()/2)
}

const (
	// retryPart is the part of the time left after which a refused caller may come back.
	retryPart = 0.3
	// retryLongest is the longest time after which a refused caller may come back.
	retryLongest = clock.Second
)
