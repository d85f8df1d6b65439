package admit

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of Action.
const (
	// Dispatch sends the leg to the upstream now.
	Dispatch ActionKind = iota
	// Refuse returns the leg to its sender without running it, for the action's reason.
	Refuse
	// CancelLeg asks the upstream to cancel a leg that it runs.
	CancelLeg
	// MarkedCold reports that the upstream is now considered cold, for the action's reason.
	MarkedCold
	// WarmedUp reports that the upstream's cold start is over.
	WarmedUp
)

// Action is an instruction or a notification from a Queue to its caller.
type Action struct {
	Kind   ActionKind
	Ticket uint64
	Reason reason.Code
}

// runningLeg is a dispatched leg that is not known to have ended.
type runningLeg struct {
	ticket   uint64
	sent     clock.Milli
	deadline clock.Milli
	// lost is set once no answer can arrive any more; incarnation then names the process that the
	// leg was sent to, if known.
	lost        bool
	incarnation string
}

// Queue schedules the legs for one upstream. The zero value is not usable; call New. The actions
// that a method returns are valid until the next call. A Queue is not safe for concurrent use.
type Queue struct {
	policy  *Policy
	limits  Limits
	state   state
	running []runningLeg
	urgent  fairQueue
	routine fairQueue
	// urgentStreak counts the urgent legs taken since the last routine one, while routine legs wait.
	urgentStreak int
	// urgentShare is the moving average of the share of slots that urgent legs take while routine legs
	// wait.
	urgentShare float64
	maxRunning  int
	actions     []Action
}

// New returns a queue for an upstream that is considered cold. It raises limits that are too low to
// 1, and lowers a cold limit above the slots to the slots.
func New(policy *Policy, limits Limits) *Queue {
	limits.Slots = max(1, limits.Slots)
	limits.ColdLimit = max(1, min(limits.ColdLimit, limits.Slots))
	q := &Queue{policy: policy, limits: limits, maxRunning: limits.Slots}
	q.state.markCold(limits)

	return q
}

// Running returns the number of dispatched legs that are not known to have ended.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of legs that wait for a slot.
func (q *Queue) Waiting() int { return q.urgent.len() + q.routine.len() }

// Cold reports whether the upstream is considered cold.
func (q *Queue) Cold() bool { return q.state.cold }

// ConcurrencyLimit returns the number of legs that may run at once.
func (q *Queue) ConcurrencyLimit() int {
	return min(q.maxRunning, q.state.concurrencyLimit(q.policy, q.limits))
}

// SetMaxRunning sets an upper bound on the legs that run at once, in addition to the queue's own limits, for
// example while a former home may still have legs running.
func (q *Queue) SetMaxRunning(now clock.Milli, n int) []Action {
	q.resetActions()
	if n == q.maxRunning {
		return nil
	}
	q.maxRunning = n
	q.dispatch(now)

	return q.actions
}

// SetLimits replaces the limits after a change of the upstream's configuration.
func (q *Queue) SetLimits(limits Limits) {
	limits.Slots = max(1, limits.Slots)
	limits.ColdLimit = max(1, min(limits.ColdLimit, limits.Slots))
	q.limits = limits
}

// Enqueue dispatches a leg, queues it or refuses it. When the queue of the leg's priority is full, the
// leg that would be served last is refused.
func (q *Queue) Enqueue(now clock.Milli, item Item) []Action {
	q.resetActions()
	if now >= item.Deadline {
		q.refuse(item.Ticket, reason.Deadline)

		return q.actions
	}
	if !q.policy.Priority {
		item.Urgent = false
	}
	if !q.policy.FairQueueing {
		item.Flow = 0
	}
	fq := q.queueFor(item.Urgent)
	tag, ahead := fq.position(item.Flow)
	if q.policy.EarlyRefusal && q.missesDeadline(now, item, ahead) {
		q.refuse(item.Ticket, reason.Deadline)

		return q.actions
	}
	fq.insert(queuedItem{item, tag}, ahead)
	q.dispatch(now)
	if fq.len() > q.policy.MaxQueued {
		q.refuse(fq.popLast().Ticket, reason.Overload)
	}

	return q.actions
}

func (q *Queue) queueFor(urgent bool) *fairQueue {
	if urgent {
		return &q.urgent
	}

	return &q.routine
}

// missesDeadline reports whether an item with ahead items of its own priority before it is expected
// to miss its deadline.
func (q *Queue) missesDeadline(now clock.Milli, item Item, ahead int) bool {
	allowed := q.ConcurrencyLimit()
	if q.state.serviceTime == 0 || allowed == 0 {
		return false
	}
	if len(q.running) < allowed && q.Waiting() == 0 {
		return false
	}
	interval := float64(q.state.serviceTime) / float64(allowed)
	if item.Urgent {
		if q.routine.len() > 0 && q.policy.RoutineInterval > 1 {
			interval *= 1 + 1/float64(q.policy.RoutineInterval-1)
		}
	} else {
		interval /= 1 - q.urgentShare
	}

	return now+clock.Milli(interval*float64(ahead))+q.state.serviceTime > item.Deadline
}

// Outcome is the outcome of a dispatched leg.
type Outcome struct {
	Result leg.Result
	// Finished is set if the upstream is known to run the leg no longer.
	Finished bool
	// Incarnation names the process that the leg was sent to, if the result does not.
	Incarnation string
}

// Done records the outcome of a dispatched leg, after which no other result of it is expected. A leg
// that may still run keeps its slot.
func (q *Queue) Done(now clock.Milli, ticket uint64, o Outcome) []Action {
	q.resetActions()
	i := q.indexOf(ticket)
	if i < 0 {
		return nil
	}
	r := q.running[i]
	if o.Finished {
		q.removeRunning(i)
	} else {
		q.running[i].lost, q.running[i].incarnation = true, o.Incarnation
	}
	if o.Result.Refusal == nil {
		q.recordLoad(now, o.Result.Answer.Incarnation, o.Result.Answer.Load)
		q.handleAnswer(now, r.sent)
	} else {
		q.handleFailure(now, r, o)
	}
	q.dispatch(now)

	return q.actions
}

func (q *Queue) indexOf(ticket uint64) int {
	for i := range q.running {
		if q.running[i].ticket == ticket {
			return i
		}
	}

	return -1
}

func (q *Queue) removeRunning(i int) {
	last := len(q.running) - 1
	q.running[i] = q.running[last]
	q.running[last] = runningLeg{}
	q.running = q.running[:last]
}

// Cancel cancels a leg. A waiting leg is removed; a running one keeps its slot until Done.
func (q *Queue) Cancel(ticket uint64) []Action {
	q.resetActions()
	if q.indexOf(ticket) >= 0 {
		q.actions = append(q.actions, Action{Kind: CancelLeg, Ticket: ticket})

		return q.actions
	}
	if !q.urgent.remove(ticket) {
		q.routine.remove(ticket)
	}

	return nil
}

// RefuseWaiting refuses every waiting leg for the given reason.
func (q *Queue) RefuseWaiting(code reason.Code) []Action {
	q.resetActions()
	for q.urgent.len() > 0 {
		q.refuse(q.urgent.pop().Ticket, code)
	}
	for q.routine.len() > 0 {
		q.refuse(q.routine.pop().Ticket, code)
	}

	return q.actions
}

// NextTimeout returns the time at which to call HandleTimeout, or 0 for no such time.
func (q *Queue) NextTimeout() clock.Milli {
	at := clock.Milli(0)
	for _, r := range q.running {
		if ends := r.deadline + q.policy.OverrunMargin; r.lost && (at == 0 || ends < at) {
			at = ends
		}
	}

	return at
}

// HandleTimeout frees the slots of lost legs that cannot run any longer. An idle queue releases its memory.
func (q *Queue) HandleTimeout(now clock.Milli) []Action {
	q.resetActions()
	q.dispatch(now)
	q.releaseMemory()

	return q.actions
}

func (q *Queue) resetActions() { q.actions = q.actions[:0] }

// releaseMemory releases the memory of an idle queue.
func (q *Queue) releaseMemory() {
	if len(q.running) == 0 && q.Waiting() == 0 && len(q.actions) == 0 {
		q.running, q.actions, q.urgent.items, q.routine.items = nil, nil, nil, nil
	}
}

func (q *Queue) refuse(ticket uint64, code reason.Code) {
	q.actions = append(q.actions, Action{Kind: Refuse, Ticket: ticket, Reason: code})
}

// dispatch dispatches waiting legs to the free slots and refuses those that cannot meet their deadline.
func (q *Queue) dispatch(now clock.Milli) {
	q.removeExpired(now)
	for q.Waiting() > 0 {
		if q.policy.RewarmAfterGap && !q.state.cold && now-q.state.lastContact > q.policy.StaleAfter {
			q.markCold(now, reason.Stale)
		}
		if len(q.running) >= q.ConcurrencyLimit() {
			return
		}
		item := q.popNext()
		if now >= item.Deadline || (q.policy.EarlyRefusal && len(q.running) > 0 && now+q.state.serviceTime > item.Deadline) {
			q.refuse(item.Ticket, reason.Deadline)

			continue
		}
		q.running = append(q.running, runningLeg{ticket: item.Ticket, sent: now, deadline: item.Deadline})
		q.actions = append(q.actions, Action{Kind: Dispatch, Ticket: item.Ticket})
	}
}

// removeExpired frees the slots of lost legs whose deadline and margin have passed.
func (q *Queue) removeExpired(now clock.Milli) {
	for i := len(q.running) - 1; i >= 0; i-- {
		if r := &q.running[i]; r.lost && now >= r.deadline+q.policy.OverrunMargin {
			q.removeRunning(i)
		}
	}
}

// urgentShareWeight is the weight of the newest slot in the moving average.
const urgentShareWeight = 1.0 / 16

// popNext removes and returns the item to serve next.
func (q *Queue) popNext() Item {
	if q.routine.len() == 0 {
		q.urgentStreak = 0

		return q.urgent.pop()
	}
	urgent := q.urgent.len() > 0 && (q.policy.RoutineInterval == 0 || q.urgentStreak < q.policy.RoutineInterval-1)
	if !urgent {
		q.urgentStreak = 0
		q.urgentShare -= q.urgentShare * urgentShareWeight

		return q.routine.pop()
	}
	q.urgentStreak++
	q.urgentShare += (1 - q.urgentShare) * urgentShareWeight

	return q.urgent.pop()
}
