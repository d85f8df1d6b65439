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

// rebuild makes the routing table and the list of daemons anew.
func (c *Control) rebuild(now clock.Milli) {
	live := c.live()
	c.ports.Members(members(live), c.view.Neighbours())
	c.store.seats.Store(int64(len(live) + 1))
	c.recordStates()
	c.seatWatch(now)
	s := c.spread.Current()
	if s == nil {
		c.publishRoster(live, config.Config{})

		return
	}
	c.publishRoster(live, s.Config)
	if c.closing {
		c.closing = false
		c.publishClosed(s.Config)
	}
	if !c.joined {
		return
	}
	c.table = c.table.Next(route.Input{
		Revision: uint64(s.Revision()), Config: s.Config, Members: c.places(live), Holding: c.holding, News: c.news,
		Away: c.unreachable(now),
	})
	c.news = nil
	c.latest.Store(c.table)
	c.ports.Publish(c.table)
	for name := range c.running {
		if c.table.Home(name) != c.ports.Self.Name {
			delete(c.running, name)
		}
	}
}

// awayTime is how long a daemon whose link was lost counts as away unless one is opened before.
const awayTime = 2 * clock.Second

// unreachable returns the daemons that legs had better not go to: those without a link and those
// under suspicion.
func (c *Control) unreachable(now clock.Milli) map[string]bool {
	list := make(map[string]bool)
	for name, since := range c.away {
		if now-since < awayTime {
			list[name] = true
		} else {
			delete(c.away, name)
		}
	}
	for _, e := range c.view.Others() {
		if e.State == member.Suspect {
			list[e.Member.Name] = true
		}
	}

	return list
}

// places returns the daemons that can be homes: those that are not leaving, if there are any.
func (c *Control) places(live []member.Entry) []place.Member {
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

// recordStates records each daemon whose state changed.
func (c *Control) recordStates() {
	for _, e := range c.view.Others() {
		old, had := c.states[e.Member.Name]
		if had && old == e.State {
			continue
		}
		c.states[e.Member.Name] = e.State
		c.ports.Record(event.Event{
			Kind: event.Member, Reason: stateReason(e.State), Daemon: e.Member.Name, Zone: e.Member.Zone,
			Detail: e.State.String(),
		})
	}
}

// stateReason returns why a daemon in the state gets no new work, or "" if it does.
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

// seatWatch decides whether this daemon watches the store for its zone.
func (c *Control) seatWatch(now clock.Milli) {
	var zone []string
	for _, e := range c.view.Others() {
		if e.State == member.Alive && e.Member.Zone == c.ports.Self.Zone {
			zone = append(zone, e.Member.Name)
		}
	}
	c.watching.Store(c.snapshot.Load() == nil || !c.joined || now-c.view.LastContact(now) > quietLimit ||
		spread.ShouldWatch(c.ports.Self.Name, c.ports.Self.Zone, zone))
}

// adopted brings a revision that the store accepted.
type adopted struct {
	snapshot *manifest.Snapshot
	// done is closed, if set, once the revision or a later one is in force here.
	done chan struct{}
}

func (e adopted) apply(c *Control) {
	old := c.spread.Current()
	sends, news := c.spread.Adopt(e.snapshot, c.nearNames(), "")
	if news {
		c.inForce(old)
		c.pass(sends)
	}
	if e.done != nil {
		close(e.done)
	}
}

// inForce puts the newest revision in force on this daemon.
func (c *Control) inForce(old *manifest.Snapshot) {
	s := c.spread.Current()
	c.snapshot.Store(s)
	c.view.SetRevision(s.Revision())
	c.ports.Record(event.Event{
		Kind: event.Revision, Revision: uint64(s.Revision()), Detail: s.Head.Who + ": " + s.Head.Note,
	})
	for _, z := range s.Config.Zones {
		if old != nil && old.Config.Out(z.Name) != z.Out {
			c.ports.Record(event.Event{
				Kind: event.Zone, Reason: reason.Zone, Zone: z.Name, Revision: uint64(s.Revision()), Detail: direction(z.Out),
			})
		}
	}
	c.dirty, c.closing = true, true
}

func direction(out bool) string {
	if out {
		return "out"
	}

	return "in"
}

func (c *Control) nearNames() []string {
	near := c.view.Neighbours()
	names := make([]string, 0, len(near))
	for _, m := range near {
		names = append(names, m.Name)
	}

	return names
}

// roster is the daemons that callers may use.
type roster struct {
	usable []member.Member
}

// entriesSize is how many daemons one entries answer names at most.
const entriesSize = 16

func (c *Control) publishRoster(live []member.Entry, cfg config.Config) {
	r := &roster{}
	var doubted []member.Member
	for _, e := range append(live, c.view.Self()) {
		switch {
		case cfg.Out(e.Member.Zone) || e.State == member.Leaving:
		case e.State == member.Suspect:
			doubted = append(doubted, e.Member)
		default:
			r.usable = append(r.usable, e.Member)
		}
	}
	if len(r.usable) == 0 {
		r.usable = doubted
	}
	c.roster.Store(r)
}

// Entries returns the daemons that a caller in zone may use: those of its zone first, and each time
// in another order, so that callers spread evenly.
func (c *Control) Entries(zone string) []member.Member {
	r := c.roster.Load()
	if r == nil {
		return nil
	}
	var near, far []member.Member
	for _, m := range r.usable {
		if m.Zone == zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	near = append(near, far...)

	return near[:min(len(near), entriesSize)]
}
