package gather

import (
	"math"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/latency"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"
)

const (
	// pollInterval is the time between two attempts to find an upstream that can take a request.
	pollInterval = 5 * clock.Millisecond
	// overdueFactor bounds the wait for the last shards of a request that arrives too late for its
	// objective, as a multiple of the objective, once the answer covers enough shards.
	overdueFactor = 1.5
	// minLegTime is the least time that a leg must have left. One that is still in flight when the answer is due makes a
	// request count as run that may not have.
	minLegTime = 10 * clock.Millisecond
	// legsPerAttempt is how many legs of a shard may fail for each upstream that the route allows.
	legsPerAttempt = 2
)

// never lies after every deadline.
const never = clock.Milli(math.MaxFloat64)

// leg is a sub-request for one shard, sent to one upstream.
type leg struct {
	shard    int
	upstream *catalog.Upstream
	sentAt   clock.Milli
	inFlight bool
	// mayHaveRun is set unless the upstream certainly did not run the request.
	mayHaveRun bool
	// unsent is set when no byte of the request was sent to the upstream.
	unsent bool
}

// shard is the state of one service that the request goes to.
type shard struct {
	service catalog.Service
	// covered is set once there is an answer, and dropped once no answer can come.
	covered bool
	dropped bool
	// answer is the number of the leg that brought the answer.
	answer int
	// inFlight is how many legs are in flight.
	inFlight int
	// failures counts the legs that failed although an upstream may have run them.
	failures int
	// checkAt is when to choose an upstream again: for the next leg while none is in flight, or for a
	// hedge while the first one is late.
	checkAt clock.Milli
	// failReason is why the latest leg failed, or why the shard is refused or dropped.
	failReason reason.Code
	// useCanary is set when the first leg goes to a version on trial.
	useCanary bool
	// forwardable is set when leg answer brought an unsuccessful answer that may be forwarded.
	forwardable bool
}

// Query is the state machine of one request. It is not safe for concurrent use, also not with other
// queries of the same coordinator.
type Query struct {
	coordinator *Coordinator
	view        *catalog.View
	route       *catalog.Route
	request     Request
	latency     *latency.Window
	hedgeDelay  clock.Milli
	shards      []shard
	legs        []leg
	covered     int
	// inFlight is how many legs are in flight, and broken how many lost their connection while an upstream may have
	// run them. Answered is set once an upstream has responded after running the request.
	inFlight int
	broken   int
	answered bool
	// pending is how many shards are neither covered nor dropped.
	pending int
	// skipped are the shards that were not asked because they would answer too late.
	skipped []int
	// room is when rate limits leave room for a request that is refused because of them.
	room clock.Milli
	// detail explains a refusal.
	detail string
	done   bool
}

// Done reports whether the query has ended, with an answer, a refusal or because the caller left.
func (q *Query) Done() bool { return q.done }

// begin sends the first legs, or refuses the request.
func (q *Query) begin(now clock.Milli) {
	if q.refuseStopping(now) || q.refuseUnavailable(now) {
		return
	}
	estimates := q.estimateShards(now)
	if q.refuseOverloaded(now, estimates) {
		return
	}
	q.skipSlowShards(estimates)
	for i := range q.shards {
		q.trySend(now, i)
	}
	q.finishIfReady(now)
}

// HandleResult handles the result of a leg.
func (q *Query) HandleResult(now clock.Milli, number int, result Result) []Action {
	q.coordinator.actions = q.coordinator.actions[:0]
	if q.recordResult(now, number, result, false) {
		q.hedge(now)
		q.finishIfReady(now)
	}

	return q.coordinator.actions
}

// recordResult records the result of a leg and reports whether the query has to react to it. An answer that
// is merged with others replaces an earlier one, since the others cannot be used without it.
func (q *Query) recordResult(now clock.Milli, number int, result Result, merged bool) bool {
	l := &q.legs[number]
	if !l.inFlight {
		return false
	}
	l.inFlight = false
	s := &q.shards[l.shard]
	s.inFlight--
	q.inFlight--
	l.mayHaveRun = result.Run != reason.NotExecuted
	l.unsent = !result.Sent
	q.reportLeg(now, l, result)
	q.updateSuspicion(now, result)
	switch {
	case q.done:
		return false
	case s.covered:
		if result.OK && merged {
			s.answer = number
		}

		return false
	case result.OK:
		s.covered, s.answer = true, number
		q.covered++
		q.pending--
	default:
		q.handleFailure(now, l, number, result)
	}

	return true
}

// HandleTimeout handles a timeout: it sends retries and hedges, and ends the query when its time is over.
func (q *Query) HandleTimeout(now clock.Milli) []Action {
	q.coordinator.actions = q.coordinator.actions[:0]
	if q.done {
		return nil
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.inFlight == 0 && now >= s.checkAt {
			q.trySend(now, i)
		}
	}
	q.hedge(now)
	q.finishIfReady(now)

	return q.coordinator.actions
}

// Abandon ends the request because its caller left. The legs of a request that is not idempotent are
// not cancelled.
func (q *Query) Abandon(clock.Milli) []Action {
	q.coordinator.actions = q.coordinator.actions[:0]
	q.done = true
	if !q.route.Idempotent {
		return nil
	}
	for i := range q.legs {
		if q.legs[i].inFlight {
			q.emit(Action{Kind: Cancel, Number: i, Upstream: q.legs[i].upstream})
		}
	}

	return q.coordinator.actions
}

// NextTimeout returns when the next timeout is due.
func (q *Query) NextTimeout() clock.Milli {
	next := q.answerDeadline()
	if q.coversEnough() {
		next = min(next, q.partialAt())
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.dropped {
			continue
		}
		next = min(next, s.checkAt)
	}

	return next
}

// reportLeg updates the balancer, the rollout counter and the route's latencies with the result of a leg.
func (q *Query) reportLeg(now clock.Milli, l *leg, result Result) {
	q.countForRollout(now, l, result)
	UpdateBalancer(q.coordinator.balancer, now, l.sentAt, q.legDeadline(), l.upstream, result)
	if result.OK {
		q.latency.Add(now, now-l.sentAt-result.MergeDelay)
	}
}

// UpdateBalancer updates a balancer with the result of a leg to u that was sent at an instant with a deadline.
func UpdateBalancer(balancer *balance.Balancer, now, sent, deadline clock.Milli, u *catalog.Upstream, result Result) {
	switch {
	case result.OK:
		balancer.Answered(now, sent, result.MergeDelay, u, result.Load)
	case result.Reason == reason.Cancelled || result.Reason == reason.Peer:
		// The upstream is not at fault: the caller left, or the link to another daemon broke.
		balancer.Cancelled(now, sent, u)
	case result.Reason == reason.Overload || (result.Sent && now >= deadline):
		balancer.Overloaded(now, sent, u, result.Load)
	case result.Reason == reason.Incarnation:
		balancer.Replaced(now, sent, u)
	case !result.Sent:
		balancer.Unreachable(now, sent, u)
	default:
		balancer.Failed(now, sent, u)
	}
	if result.OK || result.Limit != nil {
		balancer.HandleLimit(now, sent, u, result.Limit)
	}
	if result.Leaving {
		balancer.HandleLeaving(now, u)
	}
	if result.Pause > 0 {
		balancer.Pause(now, now+result.Pause, u)
	}
}

// countForRollout counts the result of a leg that an upstream may have run, if its service moves to
// another version.
func (q *Query) countForRollout(now clock.Milli, l *leg, result Result) {
	move, moving := q.currentView().Rollout(l.upstream.Service)
	if !moving || !l.mayHaveRun || result.Reason == reason.Cancelled {
		return
	}
	q.coordinator.counter.Add(move, rollout.Sample{
		Service: l.upstream.Service, Route: q.route.Name, Version: l.upstream.Version, OK: result.OK,
		Latency: now - l.sentAt - result.MergeDelay,
	})
}

// handleFailure records a failed leg and sends the shard another one if none is in flight.
func (q *Query) handleFailure(now clock.Milli, l *leg, number int, result Result) {
	s := &q.shards[l.shard]
	s.failReason = result.Reason
	if result.Run != reason.NotExecuted {
		s.failures++
	}
	if result.Forwardable {
		s.answer, s.forwardable = number, true
	}
	switch {
	case s.inFlight > 0:
	case q.suspect():
		// Whether the upstream has crashed is being checked.
		s.checkAt = now + pollInterval
	default:
		q.trySend(now, l.shard)
	}
}

func (q *Query) emit(a Action) { q.coordinator.actions = append(q.coordinator.actions, a) }
