package traffic

import (
	"container/heap"

	"jacinthferry/core/event"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
)

// call is a query from its arrival to its reply. It lets go of the query at its end, because its
// wakes may be due much later.
type call struct {
	request query.Request
	reply   chan *query.Reply
	query   *query.Query
	// ids maps the query's leg numbers to leg ids.
	ids []uint64
}

// flight is a leg that a query of this lane waits for.
type flight struct {
	call   *call
	number int
	home   string
	leg    leg.Leg
}

// arrived says that a caller sent a query.
type arrived struct{ call *call }

func (e arrived) apply(l *lane) {
	var actions []query.Action
	e.call.query, actions = l.planner.Begin(l.now(), e.call.request)
	l.do(e.call, actions)
}

// finish hands the caller its reply and records what the caller will feel of it.
func (l *lane) finish(c *call, reply *query.Reply) {
	c.query, c.ids = nil, nil
	e := event.Event{Service: c.request.Service, Version: reply.Version, Request: c.request.ID}
	switch {
	case reply.Refusal != nil:
		e.Kind, e.Reason, e.Detail = event.Refusal, reply.Refusal.Reason, reply.Refusal.Detail
		l.group.ports.Record(e)
	case len(reply.Missing) > 0:
		e.Kind, e.Reason = event.Partial, reply.Reason()
		l.group.ports.Record(e)
	}
	c.reply <- reply
}

// left says that a caller no longer waits.
type left struct{ call *call }

func (e left) apply(l *lane) {
	if e.call.query != nil {
		l.do(e.call, e.call.query.Abandon(l.now()))
		e.call.query, e.call.ids = nil, nil
	}
}

// answered brings the result of a leg to the query that sent it.
type answered struct {
	id     uint64
	result leg.Result
}

func (e answered) apply(l *lane) {
	f, ok := l.flights[e.id]
	if !ok {
		return
	}
	if l.reroute(e.id, f, e.result) {
		return
	}
	delete(l.flights, e.id)
	l.do(f.call, f.call.query.HandleResult(l.now(), f.number, e.result))
}

// lost says that the link to a daemon is gone.
type lost struct{ home string }

func (e lost) apply(l *lane) {
	for id, f := range l.flights {
		if f.home == e.home {
			l.box.post(answered{id, leg.Refused(reason.Peer, reason.ExecutionUnknown, "link lost")})
		}
	}
}

// do carries out what a query wants done.
func (l *lane) do(c *call, actions []query.Action) {
	for _, a := range actions {
		switch a.Kind {
		case query.Send:
			l.send(c, a)
		case query.Cancel:
			l.recall(c, a)
		case query.Wake:
			heap.Push(&l.wakes, wake{a.At, c})
		case query.Finish:
			l.finish(c, a.Response)
		case query.Note:
			l.group.ports.Record(*a.Event)
		}
	}
}

func (l *lane) send(c *call, a query.Action) {
	l.seq++
	id := l.seq<<laneBits | uint64(l.index)
	c.ids = append(c.ids, id)
	f := flight{c, a.Number, a.Replica.Home, a.Leg}
	l.flights[id] = f
	l.pass(id, f)
}

// pass gives a leg to its home.
func (l *lane) pass(id uint64, f flight) {
	if f.home == l.group.ports.Self {
		l.group.Offer("", id, f.leg, func(r leg.Result) { l.group.Answered(id, r) })

		return
	}
	if !l.group.ports.Forward(f.home, id, f.leg) {
		l.box.post(answered{id, leg.Refused(reason.Peer, reason.NotExecuted, "no link to "+f.home)})
	}
}

// reroute sends a leg that its former home refused to the home that the newer table names.
func (l *lane) reroute(id uint64, f flight, r leg.Result) bool {
	if r.Refusal == nil || r.Refusal.Reason != reason.Home || r.Refusal.Run != reason.NotExecuted {
		return false
	}
	next := l.group.ports.Table().Home(f.leg.Upstream)
	if next == "" || next == f.home {
		return false
	}
	f.home = next
	l.flights[id] = f
	l.pass(id, f)

	return true
}

func (l *lane) recall(c *call, a query.Action) {
	id := c.ids[a.Number]
	where := a.Replica.Home
	if f, ok := l.flights[id]; ok {
		where = f.home
	}
	delete(l.flights, id)
	if where == l.group.ports.Self {
		l.group.home(a.Leg.Upstream).box.post(cancelled{key{"", id}})

		return
	}
	l.group.ports.Recall(where, id, a.Leg.Upstream)
}
