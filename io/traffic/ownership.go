package traffic

import (
	"context"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/home"
	"jacinthferry/core/place"
	"jacinthferry/core/reason"
	"jacinthferry/io/timer"
)

// tickWait is the time between two looks at the ownerships and at lost legs.
const tickWait = 25 * time.Millisecond

// tick keeps the lanes' ownerships moving until ctx ends.
func (g *Group) tick(ctx context.Context) {
	timer.Every(ctx, tickWait, func() {
		for _, l := range g.lanes {
			l.box.post(ticked{})
		}
	})
}

// Update says that there is a new routing table.
func (g *Group) Update() {
	for _, l := range g.lanes {
		l.box.post(tabled{})
	}
}

// Linked says that messages can be sent to a daemon.
func (g *Group) Linked(name string) {
	for _, l := range g.lanes {
		l.box.post(linked{name})
	}
}

// Handover takes what another daemon says about an upstream.
func (g *Group) Handover(from string, m home.Message) {
	g.home(m.Upstream).box.post(handed{from, m})
}

// Settled reports whether this daemon holds every upstream that its table makes it the home of.
func (g *Group) Settled() bool {
	for _, l := range g.lanes {
		if !l.settled.Load() {
			return false
		}
	}

	return true
}

type tabled struct{}

func (tabled) apply(l *lane) {
	table := l.group.ports.Table()
	now := l.now()
	l.meet(now, table.Members())
	mine := make(map[string]bool)
	table.Homed(l.group.ports.Self, func(u config.Upstream) {
		if l.group.home(u.Name) == l {
			mine[u.Name] = true
		}
	})
	for name := range mine {
		p := l.post(name)
		p.config, _ = table.Upstream(name)
		p.queue.Limit(limits(p.config))
		if !p.ownership.Assigned() {
			l.carry(p, p.queue.Chill(now, reason.Home))
			l.record(p, event.Home, "")
			go l.group.ports.Prepare(p.config)
		}
		l.tell(p.ownership.Claim(now, l.others(p)))
	}
	for name, p := range l.posts {
		if !mine[name] {
			p.ownership.Release(now)
		}
	}
	l.review(now)
}

type ticked struct{}

func (ticked) apply(l *lane) { l.review(l.now()) }

// review brings every ownership up to date.
func (l *lane) review(now clock.Milli) {
	settled := l.group.ports.Table() != nil
	for name, p := range l.posts {
		l.settle(now, p)
		l.carry(p, p.queue.Due(now))
		l.confirm(p)
		if p.ownership.Assigned() && !p.ownership.Held() {
			settled = false
		}
		if p.ownership.Discardable(now) && p.queue.Running() == 0 {
			l.leave(name, p)
		}
	}
	l.settled.Store(settled || !l.group.ports.Hold)
}

// leave forgets an upstream that another daemon is home to.
func (l *lane) leave(name string, p *post) {
	if p.used {
		go l.group.ports.Leave(p.config)
	}
	l.carry(p, p.queue.Drain(reason.Home))
	delete(l.posts, name)
}

// settle brings one ownership up to date and bounds the queue by it.
func (l *lane) settle(now clock.Milli, p *post) {
	if !l.group.ports.Hold {
		return
	}
	was := p.ownership.Held()
	l.tell(p.ownership.Advance(now, l.confirmed(now), func() []string { return l.others(p) }))
	if is := p.ownership.Held(); is != was && p.ownership.Assigned() {
		l.group.ports.Record(event.Event{
			Kind: event.Home, Reason: heldWord(is), Service: p.service, Upstream: p.config.Name,
			Detail: p.ownership.DescribeClaim(now),
		})
	}
	allowed := p.ownership.MaxLegs(p.config.Bears, p.config.Slots)
	l.carry(p, p.queue.Cap(now, allowed))
	if allowed == 0 && p.queue.Waiting() > 0 && !p.ownership.HandoverExpected(now) {
		l.carry(p, p.queue.Drain(reason.Home))
	}
}

func heldWord(is bool) reason.Code {
	if is {
		return reason.Held
	}

	return reason.Lapsed
}

// confirm tells a successor once no legs are left.
func (l *lane) confirm(p *post) {
	if p.queue.Running() > 0 {
		return
	}
	if s, ok := p.ownership.HandleLegsEnded(); ok {
		l.tell([]home.Envelope{s})
	}
}

// confirmed returns when the other daemons were last known to count this one as a member.
func (l *lane) confirmed(now clock.Milli) clock.Milli {
	if l.group.ports.Standing() {
		l.stood = now
	}

	return l.stood
}

// met is a daemon and when it was last a member.
type met struct {
	member place.Member
	at     clock.Milli
}

// meet remembers the members of a new table, and forgets those that left so long ago that they cannot
// hold anything.
func (l *lane) meet(now clock.Milli, members []place.Member) {
	for name, m := range l.members {
		if now-m.at > l.group.ports.Rules.SafeDelay() {
			delete(l.members, name)
		}
	}
	for _, m := range l.current {
		l.members[m.Name] = met{m, now}
	}
	l.current = members
	for _, m := range members {
		l.members[m.Name] = met{m, now}
	}
}

// others returns the daemons that could hold the upstream now, those that are leaving among them.
func (l *lane) others(p *post) []string {
	members := make([]place.Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, m.member)
	}
	var names []string
	for _, m := range place.Rank(p.config.Name, p.config.Zone, members, l.group.ports.Ask+1) {
		if m.Name != l.group.ports.Self {
			names = append(names, m.Name)
		}
	}

	return names
}

func (l *lane) member(name string) place.Member {
	if m, known := l.members[name]; known {
		return m.member
	}

	return place.Member{Name: name}
}

func (l *lane) tell(sends []home.Envelope) {
	for _, s := range sends {
		if s.Message.Kind == home.Claim {
			s.Message.Zone = l.member(l.group.ports.Self).Zone
		}
		l.group.ports.Handover(s.To, s.Message)
	}
}

type linked struct{ name string }

func (e linked) apply(l *lane) {
	for _, p := range l.posts {
		l.tell(p.ownership.HandleLinkOpened(e.name))
	}
}

// handed brings a message about an upstream of this lane.
type handed struct {
	from    string
	message home.Message
}

func (e handed) apply(l *lane) {
	now := l.now()
	p := l.post(e.message.Upstream)
	if p == nil {
		if e.message.Kind == home.Claim {
			reply := home.Message{Kind: home.Yield, Upstream: e.message.Upstream, Epoch: e.message.Epoch}
			l.group.ports.Handover(e.from, reply)
		}

		return
	}
	l.settle(now, p)
	if e.message.Kind == home.Claim {
		claimant := place.Member{Name: e.from, Zone: e.message.Zone}
		behind := place.Before(p.config.Name, p.config.Zone, l.member(l.group.ports.Self), claimant)
		s := p.ownership.HandleClaim(now, e.from, e.message.Epoch, behind, p.queue.Running())
		l.tell([]home.Envelope{s})
	} else {
		p.ownership.HandleReply(now, e.from, e.message)
	}
	l.settle(now, p)
}
