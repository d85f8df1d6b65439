package control

import (
	"math/rand/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/manifest"
	"jacinthferry/core/member"
	"jacinthferry/core/place"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/core/spread"
)

// rebuild computes and publishes the routing table and the list of daemons.
func (c *Control) rebuild(now clock.Milli) {
	live := c.live()
	c.opts.PublishMembers(members(live), c.view.Neighbours())
	c.store.seats.Store(int64(len(live) + 1))
	c.recordStates()
	c.updateWatching(now)
	s := c.spread.Current()
	if s == nil {
		c.publishEntryList(live, config.Config{})

		return
	}
	c.publishEntryList(live, s.Config)
	if c.closedDirty {
		c.closedDirty = false
		c.publishClosed(s.Config)
	}
	if !c.joined {
		return
	}
	c.table = c.table.Next(route.Input{
		Revision: uint64(s.Revision()), Config: s.Config, Members: c.homeCandidates(live), Holding: c.holding,
		ChangedUpstreams: c.changedUpstreams, Unreachable: c.unreachable(now),
	})
	c.changedUpstreams = nil
	c.latestTable.Store(c.table)
	c.opts.PublishTable(c.table)
	for name := range c.runningLegs {
		if c.table.Home(name) != c.opts.Self.Name {
			delete(c.runningLegs, name)
		}
	}
}

// unreachablePeriod is how long a daemon counts as unreachable after its link was lost, unless a new
// link is opened earlier.
const unreachablePeriod = 2 * clock.Second

// unreachable returns the daemons that legs should avoid: those whose link was lost and suspected
// ones.
func (c *Control) unreachable(now clock.Milli) map[string]bool {
	list := make(map[string]bool)
	for name, since := range c.lostLinks {
		if now-since < unreachablePeriod {
			list[name] = true
		} else {
			delete(c.lostLinks, name)
		}
	}
	for _, e := range c.view.Others() {
		if e.State == member.Suspect {
			list[e.Member.Name] = true
		}
	}

	return list
}

// homeCandidates returns the daemons that can be homes: those that are not leaving or, if all are
// leaving, all of them.
func (c *Control) homeCandidates(live []member.Entry) []place.Member {
	var staying, leaving []place.Member
	for _, e := range append(live, c.view.Self()) {
		p := place.Member{Name: e.Member.Name, Zone: e.Member.Zone}
		if e.State == member.Leaving {
			leaving = append(leaving, p)
		} else {
			staying = append(staying, p)
		}
	}
	if len(staying) == 0 {
		return leaving
	}

	return staying
}

// live returns the other daemons that are not dead.
func (c *Control) live() []member.Entry {
	var list []member.Entry
	for _, e := range c.view.Others() {
		if e.State != member.Dead {
			list = append(list, e)
		}
	}

	return list
}

func members(entries []member.Entry) []member.Member {
	list := make([]member.Member, 0, len(entries))
	for _, e := range entries {
		list = append(list, e.Member)
	}

	return list
}

// recordStates records an event for each daemon whose state changed.
func (c *Control) recordStates() {
	for _, e := range c.view.Others() {
		old, found := c.memberStates[e.Member.Name]
		if found && old == e.State {
			continue
		}
		c.memberStates[e.Member.Name] = e.State
		c.opts.RecordEvent(event.Event{
			Kind: event.Member, Reason: stateReason(e.State), Daemon: e.Member.Name, Zone: e.Member.Zone,
			Detail: e.State.String(),
		})
	}
}

// stateReason returns why a daemon in state s gets no new work, or "" if it gets some.
func stateReason(s member.State) reason.Code {
	switch s {
	case member.Suspect:
		return reason.Silent
	case member.Dead:
		return reason.Peer
	case member.Leaving:
		return reason.Draining
	default:
		return ""
	}
}

// updateWatching decides whether this daemon watches the store for its availability zone.
func (c *Control) updateWatching(now clock.Milli) {
	var zone []string
	for _, e := range c.view.Others() {
		if e.State == member.Alive && e.Member.Zone == c.opts.Self.Zone {
			zone = append(zone, e.Member.Name)
		}
	}
	c.watching.Store(c.snapshot.Load() == nil || !c.joined || now-c.view.LastContact(now) > contactTimeout ||
		spread.ShouldWatch(c.opts.Self.Name, c.opts.Self.Zone, zone))
}

// acceptedRevision is the message for a revision that the store accepted.
type acceptedRevision struct {
	snapshot *manifest.Snapshot
	// done, if not nil, is closed once this revision or a later one is in force on this daemon.
	done chan struct{}
}

func (e acceptedRevision) apply(c *Control) {
	old := c.spread.Current()
	messages, changed := c.spread.Adopt(e.snapshot, c.neighbourNames(), "")
	if changed {
		c.activate(old)
		c.sendConfigMessages(messages)
	}
	if e.done != nil {
		close(e.done)
	}
}

// activate puts the newest revision in force on this daemon. old is the one before, or nil.
func (c *Control) activate(old *manifest.Snapshot) {
	s := c.spread.Current()
	c.snapshot.Store(s)
	c.view.SetRevision(s.Revision())
	c.opts.RecordEvent(event.Event{
		Kind: event.Revision, Revision: uint64(s.Revision()), Detail: s.Head.Who + ": " + s.Head.Note,
	})
	for _, z := range s.Config.Zones {
		if old != nil && old.Config.ZoneOut(z.Name) != z.Out {
			c.opts.RecordEvent(event.Event{
				Kind: event.Zone, Reason: reason.Zone, Zone: z.Name, Revision: uint64(s.Revision()), Detail: zoneState(z.Out),
			})
		}
	}
	c.dirty, c.closedDirty = true, true
}

func zoneState(out bool) string {
	if out {
		return "out"
	}

	return "in"
}

func (c *Control) neighbourNames() []string {
	neighbours := c.view.Neighbours()
	names := make([]string, 0, len(neighbours))
	for _, m := range neighbours {
		names = append(names, m.Name)
	}

	return names
}

// entryList holds the daemons that callers may use.
type entryList struct {
	usable []member.Member
}

// maxEntries is the maximum number of daemons that Entries returns.
const maxEntries = 16

func (c *Control) publishEntryList(live []member.Entry, cfg config.Config) {
	r := &entryList{}
	var suspects []member.Member
	for _, e := range append(live, c.view.Self()) {
		switch {
		case cfg.ZoneOut(e.Member.Zone) || e.State == member.Leaving:
		case e.State == member.Suspect:
			suspects = append(suspects, e.Member)
		default:
			r.usable = append(r.usable, e.Member)
		}
	}
	if len(r.usable) == 0 {
		r.usable = suspects
	}
	c.entryList.Store(r)
}

// Entries returns a limited number of daemons that a caller in zone may use, those in its zone first.
// The order is otherwise random, so that callers are spread evenly. It is safe for concurrent use.
func (c *Control) Entries(zone string) []member.Member {
	r := c.entryList.Load()
	if r == nil {
		return nil
	}
	var local, remote []member.Member
	for _, m := range r.usable {
		if m.Zone == zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	local = append(local, remote...)

	return local[:min(len(local), maxEntries)]
}
