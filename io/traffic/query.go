package traffic

import (
	"container/heap"

	"jacinthferry/core/event"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
)

// pendingQuery is a query from its arrival to its reply. At its end, the reference to the query is
// cleared, because the query's timers may remain in the heap for much longer.
type pendingQuery struct {
	request query.Request
	reply   chan *query.Reply
	query   *query.Query
	// ids maps the query's leg numbers to leg ids.
	ids []uint64
}

// pendingLeg is a leg whose result a query of this lane waits for.
type pendingLeg struct {
	pending *pendingQuery
	number  int
	home    string
	leg     leg.Leg
}

// queryArrived brings a caller's query.
type queryArrived struct{ pending *pendingQuery }

func (e queryArrived) apply(l *lane) {
	var actions []query.Action
	e.pending.query, actions = l.planner.Begin(l.now(), e.pending.request)
	l.runQueryActions(e.pending, actions)
}

// finish sends the caller its reply, and records a refusal or a partial reply.
func (l *lane) finish(p *pendingQuery, reply *query.Reply) {
	p.query, p.ids = nil, nil
	e := event.Event{Service: p.request.Service, Version: reply.Version, Request: p.request.ID}
	switch {
	case reply.Refusal != nil:
		e.Kind, e.Reason, e.Detail = event.Refusal, reply.Refusal.Reason, reply.Refusal.Detail
		l.group.options.Record(e)
	case len(reply.Missing) > 0:
		e.Kind, e.Reason = event.Partial, reply.Reason()
		l.group.options.Record(e)
	}
	p.reply <- reply
}

// callerLeft abandons a query whose caller no longer waits.
type callerLeft struct{ pending *pendingQuery }

func (e callerLeft) apply(l *lane) {
	if e.pending.query != nil {
		l.runQueryActions(e.pending, e.pending.query.Abandon(l.now()))
		e.pending.query, e.pending.ids = nil, nil
	}
}

// legAnswered brings the result of a leg to the query that sent it.
type legAnswered struct {
	id     uint64
	result leg.Result
}

func (e legAnswered) apply(l *lane) {
	f, ok := l.pendingLegs[e.id]
	if !ok {
		return
	}
	if l.reroute(e.id, f, e.result) {
		return
	}
	delete(l.pendingLegs, e.id)
	l.runQueryActions(f.pending, f.pending.query.HandleResult(l.now(), f.number, e.result))
}

// linkLost fails the legs that were sent to a daemon whose link is gone.
type linkLost struct{ home string }

func (e linkLost) apply(l *lane) {
	for id, f := range l.pendingLegs {
		if f.home == e.home {
			l.mailbox.post(legAnswered{id, leg.Refused(reason.Peer, reason.ExecutionUnknown, "the link to the home was lost")})
		}
	}
}

// runQueryActions carries out the actions that a query returned.
func (l *lane) runQueryActions(p *pendingQuery, actions []query.Action) {
	for _, a := range actions {
		switch a.Kind {
		case query.Send:
			l.send(p, a)
		case query.Cancel:
			l.cancelLeg(p, a)
		case query.Wake:
			heap.Push(&l.timers, queryTimer{a.At, p})
		case query.Finish:
			l.finish(p, a.Response)
		case query.Note:
			l.group.options.Record(*a.Event)
		}
	}
}

func (l *lane) send(p *pendingQuery, a query.Action) {
	l.seq++
	id := l.seq<<laneBits | uint64(l.index)
	p.ids = append(p.ids, id)
	f := pendingLeg{p, a.Number, a.Replica.Home, a.Leg}
	l.pendingLegs[id] = f
	l.sendToHome(id, f)
}

// sendToHome sends a leg to its home, which may be this daemon.
func (l *lane) sendToHome(id uint64, f pendingLeg) {
	if f.home == l.group.options.Self {
		l.group.ScheduleLeg("", id, f.leg, func(r leg.Result) { l.group.HandleResult(id, r) })

		return
	}
	if !l.group.options.ForwardLeg(f.home, id, f.leg) {
		l.mailbox.post(legAnswered{id, leg.Refused(reason.Peer, reason.NotExecuted, "no link to home "+f.home)})
	}
}

// reroute sends a leg that its former home refused to the home in the newest table. It reports
// whether it did.
func (l *lane) reroute(id uint64, f pendingLeg, r leg.Result) bool {
	if r.Refusal == nil || r.Refusal.Reason != reason.Home || r.Refusal.Run != reason.NotExecuted {
		return false
	}
	next := l.group.options.Table().Home(f.leg.Upstream)
	if next == "" || next == f.home {
		return false
	}
	f.home = next
	l.pendingLegs[id] = f
	l.sendToHome(id, f)

	return true
}

func (l *lane) cancelLeg(p *pendingQuery, a query.Action) {
	id := p.ids[a.Number]
	home := a.Replica.Home
	if f, ok := l.pendingLegs[id]; ok {
		home = f.home
	}
	delete(l.pendingLegs, id)
	if home == l.group.options.Self {
		l.group.laneFor(a.Leg.Upstream).mailbox.post(legCancelled{legKey{"", id}})

		return
	}
	l.group.options.CancelForwarded(home, id, a.Leg.Upstream)
}
