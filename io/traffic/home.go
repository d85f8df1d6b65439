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

// key names a leg at its home: who sent it, and the sender's id for it.
type key struct {
	origin string
	id     uint64
}

// ticket is a leg that this lane schedules as its home.
type ticket struct {
	key     key
	leg     leg.Leg
	respond func(leg.Result)
	sent    bool
	left    bool
}

// post is what a lane knows of one upstream that it schedules or did schedule.
type post struct {
	config    config.Upstream
	queue     *admit.Queue
	ownership *home.Ownership
	service   string
	// used is set once legs were sent, so that connections may be open.
	used bool
}

// offered brings a leg to its home.
type offered struct {
	key     key
	leg     leg.Leg
	respond func(leg.Result)
}

func (e offered) apply(l *lane) {
	now := l.now()
	p := l.post(e.leg.Upstream)
	if p == nil {
		e.respond(leg.Refused(reason.Replica, reason.NotExecuted, "no upstream named "+e.leg.Upstream))

		return
	}
	p.service = e.leg.Service
	if l.settle(now, p); p.queue.Allowed() == 0 && !p.ownership.HandoverExpected(now) {
		e.respond(leg.Refused(reason.Home, reason.NotExecuted, l.group.ports.Self+" may not send to "+e.leg.Upstream))

		return
	}
	e.leg.Deadline = min(e.leg.Deadline, now+l.group.ports.Rules.MaxLegDuration)
	l.seq++
	number := l.seq
	l.tickets[number] = &ticket{key: e.key, leg: e.leg, respond: e.respond}
	l.keys[e.key] = number
	l.carry(p, p.queue.Offer(now, admit.Item{
		Ticket: number, Deadline: e.leg.Deadline, Urgent: e.leg.Priority == leg.Urgent,
		Flow: xxhash.Sum64String(e.key.origin),
	}))
}

// cancelled gives up on a leg at its home.
type cancelled struct{ key key }

func (e cancelled) apply(l *lane) {
	number, ok := l.keys[e.key]
	if !ok {
		return
	}
	t := l.tickets[number]
	p := l.posts[t.leg.Upstream]
	l.carry(p, p.queue.Cancel(number))
	if !t.sent {
		l.forget(number)
	}
}

// ended brings the outcome of a dispatched leg back to its home lane.
type ended struct {
	number  uint64
	outcome admit.Outcome
}

func (e ended) apply(l *lane) {
	t := l.tickets[e.number]
	p := l.posts[t.leg.Upstream]
	l.forget(e.number)
	if !t.left {
		t.respond(e.outcome.Result)
	}
	now := l.now()
	l.settle(now, p)
	l.carry(p, p.queue.Ended(now, e.number, e.outcome))
	l.confirm(p)
}

// reported brings what an upstream said of itself, and broken that a connection to it broke.
type reported struct {
	upstream    string
	incarnation string
	load        leg.Load
}

func (e reported) apply(l *lane) {
	if p := l.posts[e.upstream]; p != nil {
		now := l.now()
		l.settle(now, p)
		l.carry(p, p.queue.Report(now, e.incarnation, e.load))
	}
}

type broken struct {
	upstream string
	why      reason.Code
}

func (e broken) apply(l *lane) {
	if p := l.posts[e.upstream]; p != nil {
		l.carry(p, p.queue.Chill(l.now(), e.why))
	}
}

// post returns what is known of an upstream, or nil if it is not configured.
func (l *lane) post(upstream string) *post {
	if p := l.posts[upstream]; p != nil {
		return p
	}
	table := l.group.ports.Table()
	if table == nil {
		return nil
	}
	u, ok := table.Upstream(upstream)
	if !ok {
		return nil
	}
	p := &post{
		config: u, queue: admit.New(l.group.ports.Admit, limits(u)),
		ownership: home.New(&l.group.ports.Rules, upstream),
	}
	p.queue.Cap(l.now(), l.unheld(u))
	l.posts[upstream] = p

	return p
}

// unheld is how many legs this daemon may have at an upstream that it does not hold.
func (l *lane) unheld(u config.Upstream) int {
	if l.group.ports.Hold {
		return 0
	}

	return u.Slots
}

func limits(u config.Upstream) admit.Limits {
	return admit.Limits{Slots: u.Slots, Bears: u.Bears}
}

// carry carries out what an upstream's queue wants done.
func (l *lane) carry(p *post, actions []admit.Action) {
	for _, a := range actions {
		switch a.Kind {
		case admit.Chilled:
			l.record(p, event.Cold, a.Reason)
		case admit.Warmed:
			l.record(p, event.Warm, "")
		default:
			if t := l.tickets[a.Ticket]; t != nil {
				l.act(p, a, t)
			}
		}
	}
}

func (l *lane) act(p *post, a admit.Action, t *ticket) {
	switch a.Kind {
	case admit.Dispatch:
		l.dispatch(p, a.Ticket, t)
	case admit.Stop:
		t.left = true
		go l.group.ports.Stop(p.config, t.leg)
	default:
		l.forget(a.Ticket)
		l.record(p, event.Refusal, a.Reason)
		t.respond(leg.Refused(a.Reason, reason.NotExecuted, "at "+t.leg.Upstream))
	}
}

func (l *lane) record(p *post, kind event.Kind, why reason.Code) {
	l.group.ports.Record(event.Event{Kind: kind, Reason: why, Service: p.service, Upstream: p.config.Name})
}

func (l *lane) dispatch(p *post, number uint64, t *ticket) {
	t.sent, p.used = true, true
	u, g := p.config, t.leg
	go func() {
		l.box.post(ended{number, l.group.ports.Run(u, g)})
	}()
}

func (l *lane) forget(number uint64) {
	if t := l.tickets[number]; t != nil {
		delete(l.keys, t.key)
		delete(l.tickets, number)
	}
}

// now is the time by which the lane decides.
func (l *lane) now() clock.Milli { return l.group.ports.Now() }
