package registry

import (
	"context"
	"math"
	"slices"
	"strings"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/standby"
	"jacinthferry/core/subset"
	"jacinthferry/io/store"
)

const (
	// startupPeriod is how long after its start a daemon that starts active serves requests regardless of the others,
	// since it may not know them yet.
	startupPeriod = 2 * clock.Second
	// retirePeriod is how long a daemon that goes on standby keeps watching the store. It is longer than
	// callers cache an answer of the directory.
	retirePeriod = 10 * clock.Second
	// registrationPeriod is how long a daemon that becomes active counts itself as registered before its entry is seen.
	registrationPeriod = 4 * clock.Second
	// maxStandbyBackoff bounds the delay after a failed call of a daemon on standby.
	maxStandbyBackoff = 4 * clock.Second
)

// MemberView is the list of registered daemons as one daemon knows it.
type MemberView struct {
	Members []Member
	// Revision is the store's, and Age is how long ago the store was known to be there.
	Revision int64
	Age      clock.Milli
}

// Role returns what this daemon does for its zone. It is safe for concurrent use.
func (r *Registry) Role() subset.Role { return subset.Role(r.role.Load()) }

// RoleChanges returns a channel that receives a value after the role has changed.
func (r *Registry) RoleChanges() <-chan struct{} { return r.roleChanges }

func (r *Registry) setRole(role subset.Role) {
	if r.role.Swap(int32(role)) == int32(role) {
		return
	}
	r.recordEvent(event.Event{Kind: event.Member, Detail: "role is " + role.String()})
	select {
	case r.roleChanges <- struct{}{}:
	default:
	}
}

// Following reports whether this daemon is on standby and is to be told of the registered daemons by an active one. It
// is safe for concurrent use.
func (r *Registry) Following() bool {
	s := r.state.Load()

	return s != nil && s.Standby && s.Revision == 0
}

// MemberView returns the view for daemons on standby, or false while this daemon does not watch the store. It is safe
// for concurrent use.
func (r *Registry) MemberView() (MemberView, bool) {
	s := r.state.Load()
	if s == nil || s.Revision == 0 {
		return MemberView{}, false
	}

	return MemberView{
		Members: s.Registered, Revision: s.Revision, Age: r.options.Now() - r.StoreContact(),
	}, true
}

// MembersChanged returns a channel that is closed at the next change of the registered daemons. It is safe for
// concurrent use.
func (r *Registry) MembersChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.membersChanged
}

// Hear is called with the view that another daemon has. It is safe for concurrent use.
func (r *Registry) Hear(v MemberView) { r.hear(heardView{view: &v}) }

// HearNothing is called when there is no other daemon to hear from. It is safe for concurrent use.
func (r *Registry) HearNothing() { r.hear(heardView{}) }

func (r *Registry) hear(h heardView) {
	h.at = r.options.Now()
	r.mu.Lock()
	r.heard = append(r.heard, h)
	r.heard = r.heard[max(0, len(r.heard)-maxHeardViews):]
	r.mu.Unlock()
	select {
	case r.hearing <- struct{}{}:
	default:
	}
}

// heardView is a view of another daemon, or nil when there is none to hear from, and when it arrived.
type heardView struct {
	view *MemberView
	at   clock.Milli
}

// maxHeardViews is how many views of other daemons wait for the control loop.
const maxHeardViews = 4

// chooseMembers returns the registered daemons and those of them that are to serve requests, both ordered by name, and
// updates this daemon's role.
func (r *Registry) chooseMembers(now clock.Milli) (registered, chosen []Member) {
	listed := false
	for _, s := range r.entries {
		if s.record.Kind == Daemon {
			registered = append(registered, s.record.Member)
			listed = listed || s.record.Member.Name == r.options.Self.Name
		}
	}
	if listed {
		r.joinedAt = 0
	}
	if r.joinedAt != 0 && now < r.joinedAt+registrationPeriod {
		self := r.options.Self
		self.Since = math.MaxInt64
		registered = append(registered, self)
	}
	slices.SortFunc(registered, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	candidates := candidatesOf(registered)
	names := subset.Choose(candidates)
	r.updateRole(now, names[r.options.Self.Name], len(names) > 0)
	if r.standby {
		r.setRole(subset.RoleOf(candidates, r.options.Self.candidate()))
	} else {
		r.setRole(subset.Active)
	}

	return registered, chosenOf(registered, names)
}

// chosenOf returns the members whose names are chosen.
func chosenOf(members []Member, chosen map[string]bool) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !chosen[m.Name] })
}

// servingOf returns the chosen members that take requests. Those in reserve are chosen before they do.
func (r *Registry) servingOf(chosen []Member) []Member {
	return slices.DeleteFunc(slices.Clone(chosen), func(m Member) bool {
		return m.Reserve && (r.standby || m.Name != r.options.Self.Name)
	})
}

// namedOf returns the members that take requests and that callers are told of.
func namedOf(serving []Member) []Member {
	return chosenOf(serving, subset.Named(candidatesOf(serving)))
}

func candidatesOf(members []Member) []subset.Member {
	list := make([]subset.Member, 0, len(members))
	for _, m := range members {
		list = append(list, m.candidate())
	}

	return list
}

// updateRole makes this daemon active or puts it on standby. It is active while no daemon is known to be.
func (r *Registry) updateRole(now clock.Milli, active, anyActive bool) {
	switch {
	case active || !anyActive:
		if r.standby {
			r.recordEvent(event.Event{Kind: event.Member, Detail: "daemon is active"})
		}
		r.standby, r.wasActive = false, true
	case !r.standby && now-r.started >= startupPeriod:
		r.recordEvent(event.Event{Kind: event.Member, Detail: "daemon is on standby"})
		r.standby, r.retireAt = true, now
		if r.wasActive {
			r.retireAt = now + retirePeriod
		}
	}
}

// iterateStandby runs one iteration of the control loop on standby and returns the delay before the next.
func (r *Registry) iterateStandby(ctx context.Context) clock.Milli {
	if s := r.state.Load(); s != nil && s.Revision != 0 {
		r.retire(s)
	}
	r.takeHeardViews()
	if !r.standby {
		return 0
	}
	action, until := r.machine.Next(r.options.Now())
	if action == standby.Wait {
		return max(minWatchTimeout, until-r.options.Now())
	}
	if err := r.readMembers(ctx, action); err != nil {
		r.handleFailure(err)

		return r.jitteredBackoff()
	}
	r.handleRecovery()

	return 0
}

// retire ends the watching of the store. A standby daemon does not keep routes and upstreams up to date, so it discards
// them.
func (r *Registry) retire(s *State) {
	r.loaded = false
	clear(r.entries)
	r.machine.Resume(r.options.Now(), standby.View{Members: candidatesOf(s.Registered), Revision: s.Revision})
	r.registered = s.Registered
	r.publishStandby()
}

// readMembers reads the registered daemons from the store.
func (r *Registry) readMembers(ctx context.Context, action standby.Action) error {
	list, source := r.options.Store.ListStale, standby.Replica
	if action == standby.ReadStore {
		list, source = r.options.Store.List, standby.Store
	}
	entries, revision, err := list(ctx, memberPrefix)
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	now := r.options.Now()
	members := r.decodeMembers(entries, now)
	if r.machine.Read(now, standby.View{Members: candidatesOf(members), Revision: revision}, source) {
		r.registered = members
	}
	r.followMachine(now)

	return nil
}

func (r *Registry) decodeMembers(entries []store.Entry, now clock.Milli) []Member {
	var members []Member
	for _, e := range entries {
		record, err := r.options.decode(e, now)
		if err == nil && record.Kind == Daemon {
			members = append(members, record.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })

	return members
}

// takeHeardViews takes over the views of other daemons that have arrived.
func (r *Registry) takeHeardViews() {
	r.mu.Lock()
	heard := r.heard
	r.heard = nil
	r.mu.Unlock()
	for _, h := range heard {
		if h.view == nil {
			r.machine.HearNothing(h.at)

			continue
		}
		view := standby.View{Members: candidatesOf(h.view.Members), Revision: h.view.Revision}
		if r.machine.Hear(h.at, view, h.view.Age) {
			r.registered = h.view.Members
		}
	}
	if len(heard) > 0 {
		r.followMachine(r.options.Now())
	}
}

// followMachine takes the role that the machine decided on. A daemon that becomes active reads the whole store next.
func (r *Registry) followMachine(now clock.Milli) {
	r.setRole(r.machine.Role())
	if r.machine.Role() != subset.Active {
		r.publishStandby()

		return
	}
	r.recordEvent(event.Event{Kind: event.Member, Detail: "daemon is active"})
	r.standby, r.wasActive, r.joinedAt = false, true, now
}

func (r *Registry) publishStandby() {
	now := r.options.Now()
	chosen := chosenOf(r.registered, subset.Choose(candidatesOf(r.registered)))
	members := r.servingOf(chosen)
	r.state.Store(&State{
		View: catalog.NewView(nil, nil, nil), Members: members, Named: namedOf(members), Registered: r.registered,
		Standby: true, DaemonCount: r.peakDaemons(now, len(chosen)), At: now,
	})
}
