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

// tickInterval is the time between two checks of the ownerships and for lost legs.
const tickInterval = 25 * time.Millisecond

// tick makes the lanes check their ownerships and queues at that interval until ctx ends.
func (g *Group) tick(ctx context.Context) {
	timer.Every(ctx, tickInterval, func() {
		for _, l := range g.lanes {
			l.mailbox.post(tickElapsed{})
		}
	})
}

// Update makes the lanes use the newest routing table. Call it after each change of the table.
func (g *Group) Update() {
	for _, l := range g.lanes {
		l.mailbox.post(tableUpdated{})
	}
}

// Linked handles a new link to a daemon: messages can be sent to it.
func (g *Group) Linked(name string) {
	for _, l := range g.lanes {
		l.mailbox.post(linkOpened{name})
	}
}

// Handover handles another daemon's message about the ownership of an upstream.
func (g *Group) Handover(from string, m home.Message) {
	g.laneFor(m.Upstream).mailbox.post(handoverReceived{from, m})
}

// Settled reports whether this daemon holds every upstream that the routing table assigns to it.
func (g *Group) Settled() bool {
	for _, l := range g.lanes {
		if !l.holdsAssigned.Load() {
			return false
		}
	}

	return true
}

type tableUpdated struct{}

func (tableUpdated) apply(l *lane) {
	table := l.group.options.Table()
	now := l.now()
	l.rememberMembers(now, table.Members())
	assigned := make(map[string]bool)
	table.Homed(l.group.options.Self, func(u config.Upstream) {
		if l.group.laneFor(u.Name) == l {
			assigned[u.Name] = true
		}
	})
	for name := range assigned {
		state := l.upstream(name)
		state.config, _ = table.Upstream(name)
		state.queue.Limit(limits(state.config))
		if !state.ownership.Mine() {
			l.runQueueActions(state, state.queue.Chill(now, reason.Home))
			l.record(state, event.Home, "")
			go l.group.options.Prepare(state.config)
		}
		l.sendHandover(state.ownership.Claim(now, l.possibleHolders(state)))
	}
	for name, state := range l.upstreams {
		if !assigned[name] {
			state.ownership.Release(now)
		}
	}
	l.advanceAll(now)
}

type tickElapsed struct{}

func (tickElapsed) apply(l *lane) { l.advanceAll(l.now()) }

// advanceAll brings every ownership and queue up to date.
func (l *lane) advanceAll(now clock.Milli) {
	holdsAssigned := l.group.options.Table() != nil
	for name, state := range l.upstreams {
		l.advanceOwnership(now, state)
		l.runQueueActions(state, state.queue.Due(now))
		l.reportLegsEnded(state)
		if state.ownership.Mine() && !state.ownership.Held() {
			holdsAssigned = false
		}
		if state.ownership.Idle(now) && state.queue.Running() == 0 {
			l.discard(name, state)
		}
	}
	l.holdsAssigned.Store(holdsAssigned || !l.group.options.Hold)
}

// discard deletes the state of an upstream whose home is another daemon.
func (l *lane) discard(name string, state *upstreamState) {
	if state.used {
		go l.group.options.Leave(state.config)
	}
	l.runQueueActions(state, state.queue.Drain(reason.Home))
	delete(l.upstreams, name)
}

// advanceOwnership brings one ownership up to date and limits the queue accordingly.
func (l *lane) advanceOwnership(now clock.Milli, state *upstreamState) {
	if !l.group.options.Hold {
		return
	}
	heldBefore := state.ownership.Held()
	l.sendHandover(state.ownership.Check(now, l.lastMembership(now), func() []string { return l.possibleHolders(state) }))
	if held := state.ownership.Held(); held != heldBefore && state.ownership.Mine() {
		l.group.options.Record(event.Event{
			Kind: event.Home, Reason: ownershipReason(held), Service: state.service, Upstream: state.config.Name,
			Detail: state.ownership.Describe(now),
		})
	}
	allowed := state.ownership.Allowed(state.config.Bears, state.config.Slots)
	l.runQueueActions(state, state.queue.Cap(now, allowed))
	if allowed == 0 && state.queue.Waiting() > 0 && !state.ownership.Soon(now) {
		l.runQueueActions(state, state.queue.Drain(reason.Home))
	}
}

func ownershipReason(held bool) reason.Word {
	if held {
		return reason.Held
	}

	return reason.Lapsed
}

// reportLegsEnded tells a successor that no legs are running any more.
func (l *lane) reportLegsEnded(state *upstreamState) {
	if state.queue.Running() > 0 {
		return
	}
	if s, ok := state.ownership.Ended(); ok {
		l.sendHandover([]home.Send{s})
	}
}

// lastMembership returns when the other daemons were last known to consider this one a member.
func (l *lane) lastMembership(now clock.Milli) clock.Milli {
	if l.group.options.Standing() {
		l.memberAt = now
	}

	return l.memberAt
}

// knownMember is a daemon and when it was last a member.
type knownMember struct {
	member place.Member
	at     clock.Milli
}

// rememberMembers stores the members of a new table, and deletes those that left so long ago that
// they cannot hold an upstream.
func (l *lane) rememberMembers(now clock.Milli, members []place.Member) {
	for name, m := range l.members {
		if now-m.at > l.group.options.Rules.Wait() {
			delete(l.members, name)
		}
	}
	for _, m := range l.tableMembers {
		l.members[m.Name] = knownMember{m, now}
	}
	l.tableMembers = members
	for _, m := range members {
		l.members[m.Name] = knownMember{m, now}
	}
}

// possibleHolders returns the other daemons that could hold the upstream now, including those that
// left recently.
func (l *lane) possibleHolders(state *upstreamState) []string {
	members := make([]place.Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, m.member)
	}
	var names []string
	for _, m := range place.Rank(state.config.Name, state.config.Zone, members, l.group.options.Ask+1) {
		if m.Name != l.group.options.Self {
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

func (l *lane) sendHandover(sends []home.Send) {
	for _, s := range sends {
		if s.Message.Kind == home.Ask {
			s.Message.Zone = l.member(l.group.options.Self).Zone
		}
		l.group.options.Handover(s.To, s.Message)
	}
}

type linkOpened struct{ name string }

func (e linkOpened) apply(l *lane) {
	for _, state := range l.upstreams {
		l.sendHandover(state.ownership.Linked(e.name))
	}
}

// handoverReceived brings another daemon's message about an upstream of this lane.
type handoverReceived struct {
	from    string
	message home.Message
}

func (e handoverReceived) apply(l *lane) {
	now := l.now()
	state := l.upstream(e.message.Upstream)
	if state == nil {
		if e.message.Kind == home.Ask {
			reply := home.Message{Kind: home.Yield, Upstream: e.message.Upstream, Epoch: e.message.Epoch}
			l.group.options.Handover(e.from, reply)
		}

		return
	}
	l.advanceOwnership(now, state)
	if e.message.Kind == home.Ask {
		claimant := place.Member{Name: e.from, Zone: e.message.Zone}
		outranked := place.Before(state.config.Name, state.config.Zone, l.member(l.group.options.Self), claimant)
		s := state.ownership.Asked(now, e.from, e.message.Epoch, outranked, state.queue.Running())
		l.sendHandover([]home.Send{s})
	} else {
		state.ownership.Replied(now, e.from, e.message)
	}
	l.advanceOwnership(now, state)
}
