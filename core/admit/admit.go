package admit

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// Kind tells actions apart.
type Kind int

// The kinds of Action.
const (
	// Dispatch sends the leg to the upstream now.
	Dispatch Kind = iota
	// Refuse returns the leg to its sender, not run, for the action's reason.
	Refuse
	// Stop asks the upstream to give up on a leg that it runs.
	Stop
	// Chilled says that the upstream is taken to be cold, for the action's reason.
	Chilled
	// Warmed says that the upstream's cold start is over.
	Warmed
)

// Action is one thing that the queue wants done.
type Action struct {
	Kind   Kind
	Ticket uint64
	Reason reason.Code
}

// running is a dispatched leg that is not known to have ended.
type running struct {
	ticket   uint64
	sent     clock.Milli
	deadline clock.Milli
	// lost is set once no answer can come any more; incarnation then names the process that the
	// leg was sent to, where that is known.
	lost        bool
	incarnation string
}

// Queue schedules the legs for one upstream. The zero value is not usable; call New. The actions
// that a method returns are valid until the next call.
type Queue struct {
	policy  *Policy
	limits  Limits
	state   state
	running []running
	urgent  fairQueue
	routine fairQueue
	// passed counts the urgent legs served since the last routine one, while routine legs wait.
	passed int
	// share is the part of the slots that urgent legs take while routine legs wait.
	share   float64
	cap     int
	actions []Action
}

// New returns a queue for an upstream that is taken to be cold.
func New(policy *Policy, limits Limits) *Queue {
	limits.Slots = max(1, limits.Slots)
	limits.Bears = max(1, min(limits.Bears, limits.Slots))
	q := &Queue{policy: policy, limits: limits, cap: limits.Slots}
	q.state.chill(limits)

	return q
}

// Running returns how many legs are not known to have ended.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns how many legs wait for a slot.
func (q *Queue) Waiting() int { return q.urgent.len() + q.routine.len() }

// Cold reports whether the upstream is taken to be cold.
func (q *Queue) Cold() bool { return q.state.cold }

// Allowed returns how many legs may run at once.
func (q *Queue) Allowed() int { return min(q.cap, q.state.allowed(q.policy, q.limits)) }

// Cap bounds the legs that run at once in addition to the queue's own limits, such as while a
// former home may still have legs running.
func (q *Queue) Cap(now clock.Milli, n int) []Action {
	q.begin()
	if n == q.cap {
		return nil
	}
	q.cap = n
	q.next(now)

	return q.actions
}

// Limit takes a changed configuration of the upstream.
func (q *Queue) Limit(limits Limits) {
	limits.Slots = max(1, limits.Slots)
	limits.Bears = max(1, min(limits.Bears, limits.Slots))
	q.limits = limits
}

// Offer takes a leg.
func (q *Queue) Offer(now clock.Milli, item Item) []Action {
	q.begin()
	if now >= item.Deadline {
		q.refuse(item.Ticket, reason.Deadline)

		return q.actions
	}
	if !q.policy.Priority {
		item.Urgent = false
	}
	if !q.policy.Fair {
		item.Flow = 0
	}
	n := q.waitingOf(item.Urgent)
	tag, ahead := n.place(item.Flow)
	if q.policy.Early && q.late(now, item, ahead) {
		q.refuse(item.Ticket, reason.Deadline)

		return q.actions
	}
	n.insert(waiting{item, tag}, ahead)
	q.next(now)
	if n.len() > q.policy.Queue {
		q.refuse(n.popLast().Ticket, reason.Overload)
	}

	return q.actions
}

func (q *Queue) waitingOf(urgent bool) *fairQueue {
	if urgent {
		return &q.urgent
	}

	return &q.routine
}

// late reports whether an item with so many of its own priority ahead cannot meet its deadline.
func (q *Queue) late(now clock.Milli, item Item, ahead int) bool {
	allowed := q.Allowed()
	if q.state.service == 0 || allowed == 0 {
		return false
	}
	if len(q.running) < allowed && q.Waiting() == 0 {
		return false
	}
	pace := float64(q.state.service) / float64(allowed)
	if item.Urgent {
		if q.routine.len() > 0 && q.policy.Floor > 1 {
			pace *= 1 + 1/float64(q.policy.Floor-1)
		}
	} else {
		pace /= 1 - q.share
	}

	return now+clock.Milli(pace*float64(ahead))+q.state.service > item.Deadline
}

// Outcome is what became of a dispatched leg.
type Outcome struct {
	Result leg.Result
	// Finished is set when the upstream is known to run the leg no longer.
	Finished bool
	// Incarnation names the process that the leg was sent to, where the result does not say.
	Incarnation string
}

// Ended says that no more is going to be heard of a dispatched leg.
func (q *Queue) Ended(now clock.Milli, ticket uint64, o Outcome) []Action {
	q.begin()
	at := q.find(ticket)
	if at < 0 {
		return nil
	}
	r := q.running[at]
	if o.Finished {
		q.forget(at)
	} else {
		q.running[at].lost, q.running[at].incarnation = true, o.Incarnation
	}
	if o.Result.Refusal == nil {
		q.heard(now, o.Result.Answer.Incarnation, o.Result.Answer.Load)
		q.good(now, r.sent)
	} else {
		q.failed(now, r, o)
	}
	q.next(now)

	return q.actions
}

func (q *Queue) find(ticket uint64) int {
	for i := range q.running {
		if q.running[i].ticket == ticket {
			return i
		}
	}

	return -1
}

func (q *Queue) forget(at int) {
	last := len(q.running) - 1
	q.running[at] = q.running[last]
	q.running[last] = running{}
	q.running = q.running[:last]
}

// Cancel gives up on a leg. A waiting one is dropped; a running one counts until Ended.
func (q *Queue) Cancel(ticket uint64) []Action {
	q.begin()
	if q.find(ticket) >= 0 {
		q.actions = append(q.actions, Action{Kind: Stop, Ticket: ticket})

		return q.actions
	}
	if !q.urgent.remove(ticket) {
		q.routine.remove(ticket)
	}

	return nil
}

// Drain refuses every waiting leg for the reason.
func (q *Queue) Drain(why reason.Code) []Action {
	q.begin()
	for q.urgent.len() > 0 {
		q.refuse(q.urgent.pop().Ticket, why)
	}
	for q.routine.len() > 0 {
		q.refuse(q.routine.pop().Ticket, why)
	}

	return q.actions
}

// Wake returns the instant at which Due wants to be called, or 0.
func (q *Queue) Wake() clock.Milli {
	at := clock.Milli(0)
	for _, r := range q.running {
		if ends := r.deadline + q.policy.Margin; r.lost && (at == 0 || ends < at) {
			at = ends
		}
	}

	return at
}

// Due drops the lost legs that cannot run any longer. An idle queue gives back its memory.
func (q *Queue) Due(now clock.Milli) []Action {
	q.begin()
	q.next(now)
	q.slim()

	return q.actions
}

func (q *Queue) begin() { q.actions = q.actions[:0] }

// slim gives back the memory of a queue that has nothing to do.
func (q *Queue) slim() {
	if len(q.running) == 0 && q.Waiting() == 0 && len(q.actions) == 0 {
		q.running, q.actions, q.urgent.items, q.routine.items = nil, nil, nil, nil
	}
}

func (q *Queue) refuse(ticket uint64, why reason.Code) {
	q.actions = append(q.actions, Action{Kind: Refuse, Ticket: ticket, Reason: why})
}

// next fills the free slots.
func (q *Queue) next(now clock.Milli) {
	q.expire(now)
	for q.Waiting() > 0 {
		if q.policy.Guard && !q.state.cold && now-q.state.heard > q.policy.Stale {
			q.chill(now, reason.Stale)
		}
		if len(q.running) >= q.Allowed() {
			return
		}
		item := q.pop()
		if now >= item.Deadline || (q.policy.Early && len(q.running) > 0 && now+q.state.service > item.Deadline) {
			q.refuse(item.Ticket, reason.Deadline)

			continue
		}
		q.running = append(q.running, running{ticket: item.Ticket, sent: now, deadline: item.Deadline})
		q.actions = append(q.actions, Action{Kind: Dispatch, Ticket: item.Ticket})
	}
}

// expire forgets the lost legs whose deadline and margin are over.
func (q *Queue) expire(now clock.Milli) {
	for i := len(q.running) - 1; i >= 0; i-- {
		if r := &q.running[i]; r.lost && now >= r.deadline+q.policy.Margin {
			q.forget(i)
		}
	}
}

// shareWeight is the weight of the newest slot in the urgent share.
const shareWeight = 1.0 / 16

// pop takes the item that is served next.
func (q *Queue) pop() Item {
	if q.routine.len() == 0 {
		q.passed = 0

		return q.urgent.pop()
	}
	urgent := q.urgent.len() > 0 && (q.policy.Floor == 0 || q.passed < q.policy.Floor-1)
	if !urgent {
		q.passed = 0
		q.share -= q.share * shareWeight

		return q.routine.pop()
	}
	q.passed++
	q.share += (1 - q.share) * shareWeight

	return q.urgent.pop()
}
