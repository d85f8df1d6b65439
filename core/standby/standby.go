package standby

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/subset"
)

const (
	// MaxAge is how old the view of another daemon may be. It is longer than a watch of the store lasts.
	MaxAge = 4500 * clock.Millisecond
	// readInterval is the time between two reads of the store by a daemon that hears of no other one.
	readInterval = 2 * clock.Second
	// smallZone is how many daemons a zone needs at most to count as small. Daemons of such zones join sooner.
	smallZone = 4
)

// The delay before a daemon joins is random within a span that begins after a pause.
const (
	smallZoneSpan = 500 * clock.Millisecond
	largeZoneWait = 500 * clock.Millisecond
	largeZoneSpan = clock.Second
	reserveWait   = clock.Second
	reserveSpan   = 4 * clock.Second
)

// View is the list of registered daemons at a revision of the store.
type View struct {
	Members  []subset.Member
	Revision int64
}

// Source says where a view came from.
type Source int

// The sources of a view.
const (
	// Replica is a read of the store that may be seconds old.
	Replica Source = iota
	// Store is a read of the store's latest state.
	Store
)

// Action is what the daemon has to do next.
type Action int

// The actions.
const (
	// Wait is to do nothing until the time given with it, or until a view arrives.
	Wait Action = iota
	// ReadReplica and ReadStore are to read the registered daemons.
	ReadReplica
	ReadStore
)

// Machine is the state of one daemon on standby. The daemon calls Next, carries the action out, and reports what it
// learned.
type Machine struct {
	self   subset.Member
	random func() float64
	view   View
	known  bool
	role   subset.Role
	// freshUntil is until when the latest view of another daemon holds, and readAt when the store is read without one.
	freshUntil, readAt clock.Milli
	// joinAt is when the daemon joins, or 0 while it is not needed. Checked is set once a replica has been read then.
	joinAt  clock.Milli
	joining subset.Role
	checked bool
}

// New returns the state of a daemon that knows nothing yet. Random returns numbers from 0 up to 1.
func New(self subset.Member, random func() float64) *Machine {
	return &Machine{self: self, random: random}
}

// StartsActive reports whether a daemon takes requests from its start on, until it knows the others. One of which a
// zone needs many stands by first, since hundreds may start with it.
func StartsActive(self subset.Member) bool { return subset.ZoneSize(self) <= smallZone }

// Role returns the role that the daemon has. An idle daemon is not registered; an active one is no longer on standby.
func (m *Machine) Role() subset.Role { return m.role }

// Resume puts a daemon that was active on standby, with the view that it had.
func (m *Machine) Resume(now clock.Milli, v View) {
	m.view, m.known, m.role = v, true, subset.Idle
	m.joinAt, m.readAt = 0, now+m.spread(readInterval)
	m.decide(now)
}

// Hear takes over the view that another daemon had age ago. It reports whether that is at least as late as the known
// one.
func (m *Machine) Hear(now clock.Milli, v View, age clock.Milli) bool {
	if !m.take(v) {
		return false
	}
	m.freshUntil = max(m.freshUntil, now-age+MaxAge)
	m.readAt = max(m.readAt, m.freshUntil+m.spread(readInterval))
	m.decide(now)

	return true
}

// HearNothing notes that there is no other daemon to hear from. The store is read soon unless one is found.
func (m *Machine) HearNothing(now clock.Milli) {
	if m.freshUntil == 0 {
		return
	}
	m.freshUntil = 0
	m.readAt = min(m.readAt, now+m.spread(readInterval))
}

// Read takes over a view that was read from the store. It reports whether that is at least as late as the known one.
func (m *Machine) Read(now clock.Milli, v View, source Source) bool {
	m.readAt = now + readInterval/2 + m.spread(readInterval)
	taken := m.take(v)
	m.decide(now)
	switch {
	case m.joinAt == 0 || now < m.joinAt:
	case source == Replica:
		m.checked = true
	case taken:
		m.role, m.joinAt = m.joining, 0
	default:
		m.checked, m.joinAt = false, now+m.delay(m.joining)
	}

	return taken
}

// Next returns what to do now. If that is to wait, it returns until when.
func (m *Machine) Next(now clock.Milli) (Action, clock.Milli) {
	fresh := now < m.freshUntil
	switch {
	case !m.known:
		return ReadReplica, now
	case m.joinAt != 0 && now >= m.joinAt && (fresh || m.checked):
		return ReadStore, now
	case m.joinAt != 0 && now >= m.joinAt, now >= m.readAt:
		return ReadReplica, now
	case m.joinAt != 0:
		return Wait, min(m.joinAt, m.readAt)
	default:
		return Wait, m.readAt
	}
}

// take replaces the known view unless that is later.
func (m *Machine) take(v View) bool {
	if m.known && v.Revision < m.view.Revision {
		return false
	}
	m.view, m.known = v, true

	return true
}

// decide takes the role that the view asks for, or plans to.
func (m *Machine) decide(now clock.Milli) {
	needed := subset.RoleOf(m.view.Members, m.self)
	listed := false
	for _, other := range m.view.Members {
		listed = listed || other.Name == m.self.Name
	}
	switch {
	case needed == subset.Idle:
		m.role, m.joinAt = subset.Idle, 0
	case listed || needed < m.role:
		m.role, m.joinAt = needed, 0
	case needed == m.role:
		m.joinAt = 0
	case m.joinAt == 0 || needed != m.joining:
		m.joining, m.checked = needed, false
		m.joinAt = now + m.delay(needed)
	default:
	}
}

// delay returns how long the daemon waits before it joins in a role.
func (m *Machine) delay(role subset.Role) clock.Milli {
	switch {
	case role == subset.Reserve:
		return reserveWait + m.spread(reserveSpan)
	case subset.ZoneSize(m.self) <= smallZone:
		return m.spread(smallZoneSpan)
	default:
		return largeZoneWait + m.spread(largeZoneSpan)
	}
}

func (m *Machine) spread(span clock.Milli) clock.Milli { return clock.Milli(m.random()) * span }

// Known returns the latest view.
func (m *Machine) Known() View { return m.view }

// String describes the state.
func (m *Machine) String() string {
	return fmt.Sprint(m.role, m.view, m.known, m.freshUntil, m.readAt, m.joinAt, m.joining, m.checked)
}
