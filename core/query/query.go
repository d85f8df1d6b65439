package query

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/leg"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// Request is what a caller asks for.
type Request struct {
	ID      string
	Service string
	// Caller names who asks, for budgets and fairness. Callers without a name share one account.
	Caller   string
	Text     string
	Top      int
	Deadline clock.Milli
	Priority leg.Priority
	// Partial allows an answer that does not cover every shard.
	Partial bool
}

// Kind tells actions apart.
type Kind int

// The kinds of Action.
const (
	// Send asks a replica for a shard.
	Send Kind = iota
	// Cancel gives up on a leg sent earlier.
	Cancel
	// Wake asks for Due to be called at an instant.
	Wake
	// Finish hands the caller its answer or refusal.
	Finish
	// Note records an event.
	Note
)

// Action is one thing that the query wants done.
type Action struct {
	Kind Kind
	// Number identifies the leg within the query, for Send and Cancel.
	Number  int
	Leg     leg.Leg
	Replica route.Replica
	At      clock.Milli
	Reply   *Reply
	Event   *event.Event
}

// fewParts is into how many parts the shards are taken to tell that no more than one part is left.
const fewParts = 33

// none stands for no shard and no leg.
const none = -1

// sent is one leg.
type sent struct {
	shard int32
	// before is the leg sent for the same shard before this one.
	before  int32
	replica int16
	open    bool
	at      clock.Milli
}

// shard is the state of one shard of the pinned snapshot.
type shard struct {
	// tried has bit i set if replica i was asked.
	tried   uint64
	last    int32
	legs    int16
	open    int16
	covered bool
	// gone is set when the shard was given up, and held while it waits for a leg that runs alone.
	gone   bool
	held   bool
	denied bool
	why    reason.Code
}

// Query is the state machine of one query.
type Query struct {
	planner  *Planner
	service  *service
	request  Request
	mark     quarantine.Fingerprint
	snapshot route.Snapshot
	shards   []shard
	legs     []sent
	merged   merge
	covered  int
	// waiting is how many shards are neither covered nor given up.
	waiting int
	open    int
	// lead is the shard whose leg runs alone while others are held, or none.
	lead int
	// turn is set while the query waits for another one that runs alone.
	turn     bool
	alone    bool
	crashed  bool
	lost     bool
	admitted bool
	trusted  bool
	done     bool
	restarts int
	// looked is the last table in which no snapshot to begin again on was found.
	looked   *route.Table
	previous *Reply
	// delay is how long to wait before a second leg, and third before one more.
	delay  clock.Milli
	third  clock.Milli
	armed  clock.Milli
	ran    bool
	unsure bool
}

// Done reports whether the query has finished.
func (q *Query) Done() bool { return q.done }

// Answered takes the result of a leg. A leg that is not known, or was settled before, changes
// nothing.
func (q *Query) Answered(now clock.Milli, number int, result leg.Result) []Action {
	q.planner.actions = q.planner.actions[:0]
	if q.done || number < 0 || number >= len(q.legs) || !q.legs[number].open {
		return nil
	}
	l := &q.legs[number]
	i := int(l.shard)
	refusal := q.fault(l, &result)
	q.close(l)
	q.planner.picks.Ended(now, q.replica(l).Upstream, now-l.at, refusal == nil)
	if refusal != nil {
		q.failed(now, i, refusal)
	} else {
		q.ran = true
		q.service.latency.Add(now, now-l.at)
		q.cover(now, i, &result.Answer)
	}

	return q.settle(now)
}

// Due is called at the instant of a Wake.
func (q *Query) Due(now clock.Milli) []Action {
	q.planner.actions = q.planner.actions[:0]
	if q.done {
		return nil
	}
	if now >= q.deadline() {
		q.giveUpAll(reason.Deadline)
		q.finish(now)

		return q.planner.actions
	}
	if now >= q.armed {
		q.armed = 0
	}
	if q.turn {
		q.enter(now)
	}
	q.hedge(now)

	return q.settle(now)
}

// Abandon ends the query because its caller left.
func (q *Query) Abandon(now clock.Milli) []Action {
	q.planner.actions = q.planner.actions[:0]
	if q.done {
		return nil
	}
	q.end(now)

	return q.planner.actions
}

func (q *Query) deadline() clock.Milli { return q.request.Deadline - q.planner.policy.Reserve }

func (q *Query) emit(a Action) { q.planner.actions = append(q.planner.actions, a) }

// want asks for Due at an instant, unless an earlier one is asked for already.
func (q *Query) want(at clock.Milli) {
	if at < q.deadline() && (q.armed == 0 || at < q.armed) {
		q.armed = at
		q.emit(Action{Kind: Wake, At: at})
	}
}

// fault returns why the result cannot be used, or nil. It keeps track of what was run.
func (q *Query) fault(l *sent, result *leg.Result) *reason.Refusal {
	refusal := result.Refusal
	if refusal == nil {
		a := &result.Answer
		want := leg.Leg{Request: q.request.ID, Shard: int(l.shard), Snapshot: q.snapshot.Name}
		if a.Matches(want) && a.Version == q.snapshot.Version {
			return nil
		}
		refusal = reason.NewRefusal(reason.Mismatch, reason.ExecutionUnknown, "")
	}
	q.ran = q.ran || refusal.Run == reason.Executed
	q.unsure = q.unsure || refusal.Run == reason.ExecutionUnknown

	return refusal
}

func (q *Query) replica(l *sent) *route.Replica { return &q.snapshot.Shards[l.shard][l.replica] }

// close counts a leg as no longer open.
func (q *Query) close(l *sent) {
	l.open = false
	q.open--
	q.shards[l.shard].open--
}

func (q *Query) cover(now clock.Milli, i int, answer *leg.Answer) {
	s := &q.shards[i]
	s.covered = true
	s.why = ""
	q.covered++
	q.waiting--
	q.merged.add(i, answer.Documents)
	for n := s.last; s.open > 0 && n != none; n = q.legs[n].before {
		q.cancel(now, int(n))
	}
	if q.lead == i {
		q.passed(now)
	}
	if q.delay > q.third && q.waiting*fewParts <= len(q.shards) {
		// Few shards are left, and they alone keep the query waiting.
		q.delay = q.third
		q.hedge(now)
	}
}

// send asks replica r for shard i.
func (q *Query) send(now clock.Milli, i, r int) {
	s := &q.shards[i]
	replica := &q.snapshot.Shards[i][r]
	number := len(q.legs)
	q.legs = append(q.legs, sent{shard: int32(i), before: s.last, replica: int16(r), open: true, at: now})
	q.emit(Action{
		Kind: Send, Number: number, Replica: *replica,
		Leg: leg.Leg{
			Request: q.request.ID, Service: q.request.Service, Version: q.snapshot.Version,
			Upstream: replica.Upstream, Snapshot: q.snapshot.Name, Shard: i, Text: q.request.Text,
			Top: q.request.Top, Deadline: q.deadline(), Attempt: int(s.legs), Priority: q.request.Priority,
		},
	})
	q.planner.picks.Sent(replica.Upstream)
	s.last = int32(number)
	s.tried |= 1 << r
	s.legs++
	s.open++
	s.held = false
	q.open++
	if q.delay > 0 {
		q.want(now + q.patience(s))
	}
}

// first sends a shard its first leg, which pays for hedges and retries.
func (q *Query) first(now clock.Milli, i int) {
	r := q.planner.picks.Choose(now, q.snapshot.Shards[i], 0)
	if r < 0 {
		q.shards[i].why = reason.Replica
		q.giveUp(i)

		return
	}
	q.service.hedges.Deposit(1)
	q.service.retries.Deposit(1)
	q.planner.callers.Bucket(now, q.request.Caller).Deposit(1)
	q.send(now, i, r)
}

func (q *Query) giveUp(i int) {
	s := &q.shards[i]
	s.gone, s.held = true, false
	q.waiting--
	if s.why == reason.Snapshot {
		q.lost = true
	}
}

// giveUpAll gives up every shard that is still waited for.
func (q *Query) giveUpAll(word reason.Code) {
	for i := range q.shards {
		s := &q.shards[i]
		if !s.covered && !s.gone {
			s.why, s.gone, s.held = word, true, false
			q.waiting--
		}
	}
}

func (q *Query) cancel(now clock.Milli, number int) {
	l := &q.legs[number]
	if !l.open {
		return
	}
	q.close(l)
	q.unsure = true
	replica := q.replica(l)
	q.planner.picks.Dropped(now, replica.Upstream, now-l.at)
	q.service.latency.Add(now, now-l.at)
	q.emit(Action{
		Kind: Cancel, Number: number, Replica: *replica,
		Leg: leg.Leg{Request: q.request.ID, Upstream: replica.Upstream},
	})
}

func (q *Query) cancelAll(now clock.Milli) {
	for number := len(q.legs) - 1; q.open > 0 && number >= 0; number-- {
		q.cancel(now, number)
	}
}
