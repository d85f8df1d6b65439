package gather

import (
	"math"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/latency"
	"jacinthferry/core/reason"
)

const (
	// busyWait is the time between two looks for an upstream that can take a request.
	busyWait = 5 * clock.Millisecond
	// lateFactor is how many objectives a caller waits at most for the last shards of an answer that
	// covers enough already.
	lateFactor = 1.5
	// usefulPart is for what part of the objective a leg of a gathering request is still of use after
	// an answer without it may be sent.
	usefulPart = 25
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
	done    bool
}

// Done reports whether the caller was told.
func (q *Query) Done() bool { return q.done }

// Answered takes the result of a leg.
func (q *Query) Answered(now clock.Milli, number int, result Result) []Action {
	q.desk.actions = q.desk.actions[:0]
	l := &q.legs[number]
	if !l.open {
		return nil
	}
	l.open = false
	s := &q.shards[l.shard]
	s.open--
	l.ran = result.Run != reason.No
	l.unsent = !result.Sent
	q.report(now, l, result)
	if q.done || s.covered {
		return nil
	}
	if result.Good {
		s.covered, s.answer = true, number
		q.covered++
		q.waiting--
	} else {
		q.failed(now, l, number, result)
	}
	q.hedge(now)
	q.settle(now)

	return q.desk.actions
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

// Abandon ends the request because its caller left.
func (q *Query) Abandon(clock.Milli) []Action {
	q.desk.actions = q.desk.actions[:0]
	q.done = true
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
	fleet := q.desk.fleet
	switch {
	case result.Good:
		fleet.Answered(now, l.at, l.upstream, result.Load)
		q.latency.Add(now, now-l.at)
	case result.Reason == reason.Cancelled:
		fleet.Dropped(now, l.at, l.upstream)
	case result.Reason == reason.Overload || (result.Sent && now >= q.legDeadline()):
		fleet.Full(now, l.at, l.upstream, result.Load)
	case result.Reason == reason.Incarnation:
		fleet.Replaced(now, l.at, l.upstream)
	case !result.Sent:
		fleet.Unreachable(now, l.at, l.upstream)
	default:
		fleet.Failed(now, l.at, l.upstream)
	}
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
		if u == nil || q.desk.fleet.Suspect(now, u) || now+q.desk.fleet.Expected(now, u) > q.end() {
			continue
		}
		if q.pay(now, i) {
			q.send(now, i, u, reason.Slow)
		}
	}
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
	if q.waiting == 0 || q.hopeless() || now >= q.end() || (q.enough() && now >= q.partialAt()) {
		q.finish(now)
	}
}

func (q *Query) finish(now clock.Milli) {
	q.done = true
	outcome := Outcome{}
	if q.enough() {
		for i := range q.shards {
			if q.shards[i].covered {
				outcome.Legs = append(outcome.Legs, q.shards[i].answer)
			} else {
				outcome.Missing = append(outcome.Missing, q.shards[i].service.Name)
			}
		}
	} else if !q.route.Gathers() && q.shards[0].reply {
		outcome.Legs = []int{q.shards[0].answer}
	} else {
		outcome.Refusal = q.refusal(now)
		outcome.Retry = q.retryAfter(now)
	}
	q.emit(Action{Kind: Finish, Outcome: outcome})
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

	return reason.New(word, run, "")
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

func (q *Query) emit(a Action) { q.desk.actions = append(q.desk.actions, a) }
