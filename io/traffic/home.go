package traffic

import (
	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/home"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// legKey identifies a leg at its home: by the daemon that sent it and that daemon's id for it.
type legKey struct {
	origin string
	id     uint64
}

// scheduledLeg is a leg for an upstream of this lane, waiting in the upstream's queue or running.
type scheduledLeg struct {
	key        legKey
	leg        leg.Leg
	respond    func(leg.Result)
	dispatched bool
	cancelled  bool
}

// upstreamState is the state of one upstream for which this lane schedules legs, or did so before.
type upstreamState struct {
	config    config.Upstream
	queue     *admit.Queue
	ownership *home.Ownership
	service   string
	// used is set once a leg was sent. From then on, connections may be open.
	used bool
}

// legOffered brings a leg to the lane of its upstream.
type legOffered struct {
	key     legKey
	leg     leg.Leg
	respond func(leg.Result)
}

func (e legOffered) apply(l *lane) {
	now := l.now()
	state := l.upstream(e.leg.Upstream)
	if state == nil {
		e.respond(leg.Refused(reason.Replica, reason.NotExecuted, "no upstream named "+e.leg.Upstream))

		return
	}
	state.service = e.leg.Service
	if l.advanceOwnership(now, state); state.queue.ConcurrencyLimit() == 0 && !state.ownership.HandoverExpected(now) {
		e.respond(
			leg.Refused(reason.Home, reason.NotExecuted, l.group.options.Self+" may not send legs to upstream "+e.leg.Upstream),
		)

		return
	}
	e.leg.Deadline = min(e.leg.Deadline, now+l.group.options.HandoverConfig.MaxLegDuration)
	l.seq++
	number := l.seq
	l.scheduled[number] = &scheduledLeg{key: e.key, leg: e.leg, respond: e.respond}
	l.numbers[e.key] = number
	l.runQueueActions(state, state.queue.Enqueue(now, admit.Item{
		Ticket: number, Deadline: e.leg.Deadline, Urgent: e.leg.Priority == leg.Urgent,
		Flow: xxhash.Sum64String(e.key.origin),
	}))
}

// legCancelled cancels a leg at its home.
type legCancelled struct{ key legKey }

func (e legCancelled) apply(l *lane) {
	number, ok := l.numbers[e.key]
	if !ok {
		return
	}
	t := l.scheduled[number]
	state := l.upstreams[t.leg.Upstream]
	l.runQueueActions(state, state.queue.Cancel(number))
	if !t.dispatched {
		l.removeLeg(number)
	}
}

// legEnded brings the outcome of a dispatched leg to the lane of its upstream.
type legEnded struct {
	number  uint64
	outcome admit.Outcome
}

func (e legEnded) apply(l *lane) {
	t := l.scheduled[e.number]
	state := l.upstreams[t.leg.Upstream]
	l.removeLeg(e.number)
	if !t.cancelled {
		t.respond(e.outcome.Result)
	}
	now := l.now()
	l.advanceOwnership(now, state)
	l.runQueueActions(state, state.queue.Done(now, e.number, e.outcome))
	l.reportLegsEnded(state)
}

// loadReported brings the load that an upstream reported, and connectionBroken the loss of a
// connection to it.
type loadReported struct {
	upstream    string
	incarnation string
	load        leg.Load
}

func (e loadReported) apply(l *lane) {
	if state := l.upstreams[e.upstream]; state != nil {
		now := l.now()
		l.advanceOwnership(now, state)
		l.runQueueActions(state, state.queue.HandleReport(now, e.incarnation, e.load))
	}
}

type connectionBroken struct {
	upstream string
	code     reason.Code
}

func (e connectionBroken) apply(l *lane) {
	if state := l.upstreams[e.upstream]; state != nil {
		l.runQueueActions(state, state.queue.MarkCold(l.now(), e.code))
	}
}

// upstream returns the state of an upstream, created if need be, or nil if it is not configured.
func (l *lane) upstream(name string) *upstreamState {
	if state := l.upstreams[name]; state != nil {
		return state
	}
	table := l.group.options.Table()
	if table == nil {
		return nil
	}
	u, ok := table.Upstream(name)
	if !ok {
		return nil
	}
	state := &upstreamState{
		config: u, queue: admit.New(l.group.options.QueuePolicy, limits(u)),
		ownership: home.New(&l.group.options.HandoverConfig, name),
	}
	state.queue.SetMaxRunning(l.now(), l.unheldLimit(u))
	l.upstreams[name] = state

	return state
}

// unheldLimit returns how many legs this daemon may run at an upstream that it does not hold.
func (l *lane) unheldLimit(u config.Upstream) int {
	if l.group.options.EnableHandover {
		return 0
	}

	return u.Slots
}

func limits(u config.Upstream) admit.Limits {
	return admit.Limits{Slots: u.Slots, ColdLimit: u.ColdLimit}
}

// runQueueActions carries out the actions that an upstream's queue returned.
func (l *lane) runQueueActions(state *upstreamState, actions []admit.Action) {
	for _, a := range actions {
		switch a.Kind {
		case admit.MarkedCold:
			l.record(state, event.Cold, a.Reason)
		case admit.WarmedUp:
			l.record(state, event.Warm, "")
		default:
			if t := l.scheduled[a.Ticket]; t != nil {
				l.runQueueAction(state, a, t)
			}
		}
	}
}

func (l *lane) runQueueAction(state *upstreamState, a admit.Action, t *scheduledLeg) {
	switch a.Kind {
	case admit.Dispatch:
		l.dispatch(state, a.Ticket, t)
	case admit.CancelLeg:
		t.cancelled = true
		go l.group.options.CancelLeg(state.config, t.leg)
	default:
		l.removeLeg(a.Ticket)
		l.record(state, event.Refusal, a.Reason)
		t.respond(leg.Refused(a.Reason, reason.NotExecuted, "in the queue of upstream "+t.leg.Upstream))
	}
}

func (l *lane) record(state *upstreamState, kind event.Kind, code reason.Code) {
	l.group.options.Record(event.Event{Kind: kind, Reason: code, Service: state.service, Upstream: state.config.Name})
}

func (l *lane) dispatch(state *upstreamState, number uint64, t *scheduledLeg) {
	t.dispatched, state.used = true, true
	u, g := state.config, t.leg
	go func() {
		l.mailbox.post(legEnded{number, l.group.options.RunLeg(u, g)})
	}()
}

func (l *lane) removeLeg(number uint64) {
	if t := l.scheduled[number]; t != nil {
		delete(l.numbers, t.key)
		delete(l.scheduled, number)
	}
}

// now returns the time that the lane bases its decisions on.
func (l *lane) now() clock.Milli { return l.group.options.Now() }
