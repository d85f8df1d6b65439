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

// HandleTableChange makes the lanes use the newest routing table. Call it after each change of the table.
func (g *Group) HandleTableChange() {
	for _, l := range g.lanes {
		l.mailbox.post(tableUpdated{})
	}
}

// HandleLinkOpened handles a new link to a daemon: messages can be sent to it.
func (g *Group) HandleLinkOpened(name string) {
	for _, l := range g.lanes {
		l.mailbox.post(linkOpened{name})
	}
}

// HandleHandover handles another daemon's message about the ownership of an upstream.
func (g *Group) HandleHandover(from string, m home.Message) {
	g.laneFor(m.Upstream).mailbox.post(handoverReceived{from, m})
}

// HoldsAssigned reports whether this daemon holds every upstream that the routing table assigns to it.
func (g *Group) HoldsAssigned() bool {
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
	table.ForEachOwned(l.group.options.Self, func(u config.Upstream) {
		if l.group.laneFor(u.Name) == l {
			assigned[u.Name] = true
		}
	})
	for name := range assigned {
		state := l.upstream(name)
		state.config, _ = table.Upstream(name)
		state.queue.SetLimits(limits(state.config))
		if !state.ownership.Assigned() {
			l.runQueueActions(state, state.queue.MarkCold(now, reason.Home))
			l.record(state, event.Home, "")
			go l.group.options.OpenConnections(state.config)
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
		l.runQueueActions(state, state.queue.HandleTimeout(now))
		l.reportLegsEnded(state)
		if state.ownership.Assigned() && !state.ownership.Held() {
			holdsAssigned = false
		}
		if state.ownership.Discardable(now) && state.queue.Running() == 0 {
			l.discard(name, state)
		}
	}
	l.holdsAssigned.Store(holdsAssigned || !l.group.options.EnableHandover)
}

// discard deletes the state of an upstream whose home is another daemon.
func (l *lane) discard(name string, state *upstreamState) {
	if state.used {
		go l.group.options.CloseIdleConnections(state.config)
	}
	l.runQueueActions(state, state.queue.RefuseWaiting(reason.Home))
	delete(l.upstreams, name)
}

// advanceOwnership brings one ownership up to date and limits the queue accordingly.
func (l *lane) advanceOwnership(now clock.Milli, state *upstreamState) {
	if !l.group.options.EnableHandover {
		return
	}
	heldBefore := state.ownership.Held()
	l.sendHandover(
		state.ownership.Advance(now, l.lastMembership(now), func() []string { return l.possibleHolders(state) }),
	)
	if held := state.ownership.Held(); held != heldBefore && state.ownership.Assigned() {
		l.group.options.Record(event.Event{
			Kind: event.Home, Reason: ownershipReason(held), Service: state.service, Upstream: state.config.Name,
			Detail: state.ownership.DescribeClaim(now),
		})
	}
	allowed := state.ownership.MaxLegs(state.config.ColdLimit, state.config.Slots)
	l.runQueueActions(state, state.queue.SetMaxRunning(now, allowed))
	if allowed == 0 && state.queue.Waiting() > 0 && !state.ownership.HandoverExpected(now) {
		l.runQueueActions(state, state.queue.RefuseWaiting(reason.Home))
	}
}

func ownershipReason(held bool) reason.Code {
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
	if s, ok := state.ownership.HandleLegsEnded(); ok {
		l.sendHandover([]home.Envelope{s})
	}
}

// lastMembership returns when the other daemons were last known to consider this one a member.
func (l *lane) lastMembership(now clock.Milli) clock.Milli {
	if l.group.options.IsMember() {
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
		if now-m.at > l.group.options.HandoverConfig.SafeDelay() {
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
	for _, m := range place.Rank(state.config.Name, state.config.Zone, members, l.group.options.HandoverPeers+1) {
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

func (l *lane) sendHandover(sends []home.Envelope) {
	for _, s := range sends {
		if s.Message.Kind == home.Claim {
			s.Message.Zone = l.member(l.group.options.Self).Zone
		}
		l.group.options.SendHandover(s.To, s.Message)
	}
}

type linkOpened struct{ name string }

func (e linkOpened) apply(l *lane) {
	for _, state := range l.upstreams {
		l.sendHandover(state.ownership.HandleLinkOpened(e.name))
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
		if e.message.Kind == home.Claim {
			reply := home.Message{Kind: home.Yield, Upstream: e.message.Upstream, Epoch: e.message.Epoch}
			l.group.options.SendHandover(e.from, reply)
		}

		return
	}
	l.advanceOwnership(now, state)
	if e.message.Kind == home.Claim {
		claimant := place.Member{Name: e.from, Zone: e.message.Zone}
		outranked := place.Before(state.config.Name, state.config.Zone, l.member(l.group.options.Self), claimant)
		s := state.ownership.HandleClaim(now, e.from, e.message.Epoch, outranked, state.queue.Running())
		l.sendHandover([]home.Envelope{s})
	} else {
		state.ownership.HandleReply(now, e.from, e.message)
	}
	l.advanceOwnership(now, state)
}
