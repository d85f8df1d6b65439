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
	// busyWait is the time between two looks for an upstream that can take a request.
	busyWait = 5 * clock.Millisecond
	// lateFactor is how many objectives a caller waits at most for the last shards of an answer that
	// covers enough already.
	lateFactor = 1.5
	// legsPerAttempt is how many legs of a shard may fail for each upstream that the route allows.
	legsPerAttempt = 2
)

// never lies after every deadline.
const never = clock.Milli(math.MaxFloat64)

// leg is one send.
type leg struct {
	shard    int
	upstream *catalog.Upstream
	at       clock.Milli
	open     bool
	// ran is set unless the upstream surely did not run the request.
	ran bool
	// unsent is set when nothing of the request left for the upstream.
	unsent bool
}

// shard is the state of one service that the request goes to.
type shard struct {
	service catalog.Service
	// covered is set once an answer is in, and gone once none can come.
	covered bool
	gone    bool
	answer  int
	open    int
	// fails counts the legs that failed although an upstream took them.
	fails int
	// due is when to look again: for an upstream while none has the request, and for a second one
	// while the first is late.
	due clock.Milli
	why reason.Word
	// trial is set when the first leg goes to a version on trial.
	trial bool
	// reply is set when leg answer brought a failure that may be passed on.
	reply bool
}

// Query is the state machine of one request.
type Query struct {
	desk     *Desk
	view     *catalog.View
	route    *catalog.Route
	request  Request
	latency  *latency.Window
	patience clock.Milli
	shards   []shard
	legs     []leg
	covered  int
	// waiting is how many shards are neither covered nor gone.
	waiting int
	// unasked are the shards that were left out because they would answer too late.
	unasked []int
	// detail says what a refusal was decided on.
	detail string
	done   bool
}

// Done reports whether the caller was told.
func (q *Query) Done() bool { return q.done }

// begin sends the first legs, or refuses the request.
func (q *Query) begin(now clock.Milli) {
	if q.refuseHopeless(now) {
		return
	}
	outlooks := q.outlooks(now)
	if q.refuseOverloaded(now, outlooks) {
		return
	}
	q.leaveOut(outlooks)
	for i := range q.shards {
		q.try(now, i)
	}
	q.settle(now)
}

// Answered takes the result of a leg.
func (q *Query) Answered(now clock.Milli, number int, result Result) []Action {
	q.desk.actions = q.desk.actions[:0]
	if q.take(now, number, result, false) {
		q.hedge(now)
		q.settle(now)
	}

	return q.desk.actions
}

// take takes the result of a leg and reports whether that changed anything. An answer that is merged
// with others replaces an earlier one, as they cannot be had without it.
func (q *Query) take(now clock.Milli, number int, result Result, merged bool) bool {
	l := &q.legs[number]
	if !l.open {
		return false
	}
	l.open = false
	s := &q.shards[l.shard]
	s.open--
	l.ran = result.Run != reason.No
	l.unsent = !result.Sent
	q.report(now, l, result)
	switch {
	case q.done:
		return false
	case s.covered:
		if result.Good && merged {
			s.answer = number
		}

		return false
	case result.Good:
		s.covered, s.answer = true, number
		q.covered++
		q.waiting--
	default:
		q.failed(now, l, number, result)
	}

	return true
}

// Due goes on at an instant that Next named.
func (q *Query) Due(now clock.Milli) []Action {
	q.desk.actions = q.desk.actions[:0]
	if q.done {
		return nil
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.open == 0 && now >= s.due {
			q.try(now, i)
		}
	}
	q.hedge(now)
	q.settle(now)

	return q.desk.actions
}

// Abandon ends the request because its caller left. One that may run once goes on where it runs.
func (q *Query) Abandon(clock.Milli) []Action {
	q.desk.actions = q.desk.actions[:0]
	q.done = true
	if !q.route.Idempotent {
		return nil
	}
	for i := range q.legs {
		if q.legs[i].open {
			q.emit(Action{Kind: Cancel, Number: i, Upstream: q.legs[i].upstream})
		}
	}

	return q.desk.actions
}

// Next returns when Due wants to be called.
func (q *Query) Next() clock.Milli {
	next := q.end()
	if q.enough() {
		next = min(next, q.partialAt())
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.gone {
			continue
		}
		next = min(next, s.due)
	}

	return next
}

// report tells the fleet how a leg went.
func (q *Query) report(now clock.Milli, l *leg, result Result) {
	q.count(now, l, result)
	Report(q.desk.fleet, now, l.at, q.legDeadline(), l.upstream, result)
	if result.Good {
		q.latency.Add(now, now-l.at-result.Held)
	}
}

// Report tells a fleet how a send ended that was made at an instant and had a deadline.
func Report(fleet *balance.Fleet, now, sent, deadline clock.Milli, u *catalog.Upstream, result Result) {
	switch {
	case result.Good:
		fleet.Answered(now, sent, result.Held, u, result.Load)
	case result.Reason == reason.Cancelled || result.Reason == reason.Peer:
		// It is not the upstream's fault.
		fleet.Dropped(now, sent, u)
	case result.Reason == reason.Overload || (result.Sent && now >= deadline):
		fleet.Full(now, sent, u, result.Load)
	case result.Reason == reason.Incarnation:
		fleet.Replaced(now, sent, u)
	case !result.Sent:
		fleet.Unreachable(now, sent, u)
	default:
		fleet.Failed(now, sent, u)
	}
}

// count counts how a leg went that an upstream ran.
func (q *Query) count(now clock.Milli, l *leg, result Result) {
	move, moving := q.view.Move(l.upstream.Service)
	if !moving || !l.ran || result.Reason == reason.Cancelled {
		return
	}
	q.desk.counter.Add(move, rollout.Answer{
		Service: l.upstream.Service, Route: q.route.Name, Version: l.upstream.Version, Good: result.Good,
		Latency: now - l.at - result.Held,
	})
}

// failed goes on after a leg that brought no answer.
func (q *Query) failed(now clock.Milli, l *leg, number int, result Result) {
	s := &q.shards[l.shard]
	s.why = result.Reason
	if result.Run != reason.No {
		s.fails++
	}
	if result.Reply {
		s.answer, s.reply = number, true
	}
	if s.open == 0 {
		q.try(now, l.shard)
	}
}

func (q *Query) emit(a Action) { q.desk.actions = append(q.desk.actions, a) }
