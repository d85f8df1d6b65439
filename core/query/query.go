package query

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/leg"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// Request is the query of a caller.
type Request struct {
	ID      string
	Service string
	// Caller names the caller for budgets and fairness. All callers without a name count as one caller.
	Caller   string
	Text     string
	Top      int
	Deadline clock.Milli
	Priority leg.Priority
	// Partial allows a response that does not cover every shard.
	Partial bool
}

// Kind is the kind of an Action.
type Kind int

// The kinds of Action.
const (
	// Send sends a leg to a replica.
	Send Kind = iota
	// Cancel cancels a leg that was sent earlier.
	Cancel
	// Wake requests a call of HandleTimeout at a given time.
	Wake
	// Finish sends the response to the caller.
	Finish
	// Note records an event.
	Note
)

// Action is an action that the query requests from its driver.
type Action struct {
	Kind Kind
	// Number identifies the leg within the query, for Send and Cancel.
	Number   int
	Leg      leg.Leg
	Replica  route.Replica
	At       clock.Milli
	Response *Reply
	Event    *event.Event
}

// tailDivisor sets when the second hedge delay applies to first hedges too: once no more than one shard
// in tailDivisor is pending.
const tailDivisor = 33

// none is the index that stands for no shard, no leg or no replica.
const none = -1

// sentLeg is the state of a leg that was sent.
type sentLeg struct {
	shard int32
	// previous is the number of the leg sent before this one for the same shard, or none.
	previous int32
	replica  int16
	open     bool
	sentAt   clock.Milli
}

// shard is the state of one shard of the pinned snapshot.
type shard struct {
	// tried has bit i set if a leg was sent to replica i.
	tried    uint64
	lastLeg  int32
	legCount int16
	openLegs int16
	covered  bool
	// givenUp is set when no more answer is expected, and deferred while the shard waits for the canary
	// leg.
	givenUp     bool
	deferred    bool
	hedgeDenied bool
	reason      reason.Code
}

// Query is the state machine of one query.
type Query struct {
	planner     *Planner
	service     *serviceState
	request     Request
	fingerprint quarantine.Fingerprint
	snapshot    route.Snapshot
	shards      []shard
	legs        []sentLeg
	merged      merger
	covered     int
	// pending is the number of shards that are neither covered nor given up.
	pending  int
	openLegs int
	// canaryShard is the shard whose leg, the canary leg, runs alone while other shards are deferred, or
	// none.
	canaryShard int
	// blocked is set while the same request runs in isolation in another query.
	blocked      bool
	isolated     bool
	crashed      bool
	snapshotLost bool
	admitted     bool
	trusted      bool
	done         bool
	restarts     int
	// searchedTable is the table that was last searched for a snapshot to restart on.
	searchedTable *route.Table
	previous      *Reply
	// hedgeDelay is the time from the first leg of a shard to a hedge, and secondHedgeDelay that from each
	// later leg.
	hedgeDelay       clock.Milli
	secondHedgeDelay clock.Milli
	nextWake         clock.Milli
	executed         bool
	maybeExecuted    bool
}

// Done reports whether the query has finished.
func (q *Query) Done() bool { return q.done }

// HandleResult handles the result of a leg. It ignores the result of a leg that is unknown or no longer
// open.
func (q *Query) HandleResult(now clock.Milli, number int, result leg.Result) []Action {
	q.planner.actions = q.planner.actions[:0]
	if q.done || number < 0 || number >= len(q.legs) || !q.legs[number].open {
		return nil
	}
	l := &q.legs[number]
	i := int(l.shard)
	refusal := q.checkResult(l, &result)
	q.closeLeg(l)
	q.planner.balancer.Done(now, q.replica(l).Upstream, now-l.sentAt, refusal == nil)
	if refusal != nil {
		q.handleFailure(now, i, refusal)
	} else {
		q.executed = true
		q.service.latency.Add(now, now-l.sentAt)
		q.markCovered(now, i, &result.Answer)
	}

	return q.advance(now)
}

// HandleTimeout handles a timeout. It must be called at the time of each Wake action.
func (q *Query) HandleTimeout(now clock.Milli) []Action {
	q.planner.actions = q.planner.actions[:0]
	if q.done {
		return nil
	}
	if now >= q.deadline() {
		q.giveUpAll(reason.Deadline)
		q.finish(now)

		return q.planner.actions
	}
	if now >= q.nextWake {
		q.nextWake = 0
	}
	if q.blocked {
		q.startLegs(now)
	}
	q.sendHedges(now)

	return q.advance(now)
}

// Abandon stops the query because its caller has disconnected.
func (q *Query) Abandon(now clock.Milli) []Action {
	q.planner.actions = q.planner.actions[:0]
	if q.done {
		return nil
	}
	q.stop(now)

	return q.planner.actions
}

func (q *Query) deadline() clock.Milli { return q.request.Deadline - q.planner.policy.DeadlineMargin }

func (q *Query) emit(a Action) { q.planner.actions = append(q.planner.actions, a) }

// wakeAt requests a call of HandleTimeout at a given time, unless an earlier call is already requested.
func (q *Query) wakeAt(at clock.Milli) {
	if at < q.deadline() && (q.nextWake == 0 || at < q.nextWake) {
		q.nextWake = at
		q.emit(Action{Kind: Wake, At: at})
	}
}

// checkResult returns the reason why the result cannot be used, or nil. It records whether the leg was
// executed.
func (q *Query) checkResult(l *sentLeg, result *leg.Result) *reason.Refusal {
	refusal := result.Refusal
	if refusal == nil {
		a := &result.Answer
		want := leg.Leg{Request: q.request.ID, Shard: int(l.shard), Snapshot: q.snapshot.Name}
		if a.Matches(want) && a.Version == q.snapshot.Version {
			return nil
		}
		refusal = reason.NewRefusal(reason.Mismatch, reason.ExecutionUnknown, "")
	}
	q.executed = q.executed || refusal.Run == reason.Executed
	q.maybeExecuted = q.maybeExecuted || refusal.Run == reason.ExecutionUnknown

	return refusal
}

func (q *Query) replica(l *sentLeg) *route.Replica { return &q.snapshot.Shards[l.shard][l.replica] }

// closeLeg marks a leg as no longer open.
func (q *Query) closeLeg(l *sentLeg) {
	l.open = false
	q.openLegs--
	q.shards[l.shard].openLegs--
}

func (q *Query) markCovered(now clock.Milli, i int, answer *leg.Answer) {
	s := &q.shards[i]
	s.covered = true
	s.reason = ""
	q.covered++
	q.pending--
	q.merged.add(i, answer.Documents)
	for n := s.lastLeg; s.openLegs > 0 && n != none; n = q.legs[n].previous {
		q.cancelLeg(now, int(n))
	}
	if q.canaryShard == i {
		q.canarySucceeded(now)
	}
	if q.hedgeDelay > q.secondHedgeDelay && q.pending*tailDivisor <= len(q.shards) {
		// The query only waits for these last few shards.
		q.hedgeDelay = q.secondHedgeDelay
		q.sendHedges(now)
	}
}

// sendLeg sends a leg for shard i to replica r.
func (q *Query) sendLeg(now clock.Milli, i, r int) {
	s := &q.shards[i]
	replica := &q.snapshot.Shards[i][r]
	number := len(q.legs)
	q.legs = append(q.legs, sentLeg{shard: int32(i), previous: s.lastLeg, replica: int16(r), open: true, sentAt: now})
	q.emit(Action{
		Kind: Send, Number: number, Replica: *replica,
		Leg: leg.Leg{
			Request: q.request.ID, Service: q.request.Service, Version: q.snapshot.Version,
			Upstream: replica.Upstream, Snapshot: q.snapshot.Name, Shard: i, Text: q.request.Text,
			Top: q.request.Top, Deadline: q.deadline(), Attempt: int(s.legCount), Priority: q.request.Priority,
		},
	})
	q.planner.balancer.Sent(replica.Upstream)
	s.lastLeg = int32(number)
	s.tried |= 1 << r
	s.legCount++
	s.openLegs++
	s.deferred = false
	q.openLegs++
	if q.hedgeDelay > 0 {
		q.wakeAt(now + q.legHedgeDelay(s))
	}
}

// sendFirst sends the first leg of a shard, which adds tokens to the hedge and retry budgets.
func (q *Query) sendFirst(now clock.Milli, i int) {
	r := q.planner.balancer.Choose(now, q.snapshot.Shards[i], 0)
	if r < 0 {
		q.shards[i].reason = reason.Replica
		q.giveUp(i)

		return
	}
	q.service.hedgeBudget.Deposit(1)
	q.service.retryBudget.Deposit(1)
	q.planner.callerBudgets.Bucket(now, q.request.Caller).Deposit(1)
	q.sendLeg(now, i, r)
}

func (q *Query) giveUp(i int) {
	s := &q.shards[i]
	s.givenUp, s.deferred = true, false
	q.pending--
	if s.reason == reason.Snapshot {
		q.snapshotLost = true
	}
}

// giveUpAll gives up every pending shard.
func (q *Query) giveUpAll(word reason.Code) {
	for i := range q.shards {
		s := &q.shards[i]
		if !s.covered && !s.givenUp {
			s.reason, s.givenUp, s.deferred = word, true, false
			q.pending--
		}
	}
}

func (q *Query) cancelLeg(now clock.Milli, number int) {
	l := &q.legs[number]
	if !l.open {
		return
	}
	q.closeLeg(l)
	q.maybeExecuted = true
	replica := q.replica(l)
	q.planner.balancer.Cancelled(now, replica.Upstream, now-l.sentAt)
	q.service.latency.Add(now, now-l.sentAt)
	q.emit(Action{
		Kind: Cancel, Number: number, Replica: *replica,
		Leg: leg.Leg{Request: q.request.ID, Upstream: replica.Upstream},
	})
}

func (q *Query) cancelAll(now clock.Milli) {
	for number := len(q.legs) - 1; q.openLegs > 0 && number >= 0; number-- {
		q.cancelLeg(now, number)
	}
}
