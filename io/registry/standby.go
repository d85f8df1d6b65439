package registry

import (
	"context"
	"slices"
	"strings"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/subset"
)

const (
	// startupPeriod is how long after its start a daemon serves requests regardless of the other daemons,
	// since it may not know them yet.
	startupPeriod = 2 * clock.Second
	// retirePeriod is how long a daemon that goes on standby keeps watching the store. It is longer than
	// callers cache an answer of the directory.
	retirePeriod = 10 * clock.Second
	// standbyInterval is the time between two polls of the registered daemons by a standby daemon.
	standbyInterval = 2 * clock.Second
)

// activeMembers returns the daemons that serve requests, ordered by name, and updates this daemon's role.
func (r *Registry) activeMembers(now clock.Milli) []Member {
	var all []Member
	var candidates []subset.Member
	for _, s := range r.entries {
		if s.record.Kind == Daemon {
			m := s.record.Member
			all = append(all, m)
			candidates = append(candidates, subset.Member{Name: m.Name, Zone: m.Zone, Cores: m.Cores})
		}
	}
	active := subset.Active(candidates)
	r.updateRole(now, active[r.options.Self.Name], len(active) > 0)
	members := slices.DeleteFunc(all, func(m Member) bool { return !active[m.Name] })
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })

	return members
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

// pollStandby lists the registered daemons and reloads the whole store if this daemon has to become
// active. A standby daemon does not keep routes and upstreams up to date, so it discards them.
func (r *Registry) pollStandby(ctx context.Context) error {
	list, _, err := r.options.Store.ListStale(ctx, memberPrefix)
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	now := r.options.Now()
	r.loaded = false
	clear(r.entries)
	for _, e := range list {
		r.apply(now, e)
	}
	members := r.activeMembers(now)
	if !r.standby {
		return r.load(ctx)
	}
	r.state.Store(&State{
		View: catalog.NewView(nil, nil, nil), Members: members, Standby: true,
		DaemonCount: r.peakDaemons(now, len(members)), At: now,
	})

	return nil
}
