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
	// settleSpan is how long after its start a daemon takes requests whoever else does: the others may
	// not be known yet.
	settleSpan = 2 * clock.Second
	// retireSpan is how long a daemon still follows the store after others took its place. Callers
	// keep a directory's answer for less.
	retireSpan = 10 * clock.Second
	// standbyPause is the time between two looks of a standby daemon at who takes requests.
	standbyPause = 2 * clock.Second
)

// rank returns the daemons that take requests, ordered by name, and notes whether this one does.
func (r *Registry) rank(now clock.Milli) []Member {
	var all []Member
	var candidates []subset.Member
	for _, h := range r.entries {
		if h.record.Kind == Daemon {
			m := h.record.Member
			all = append(all, m)
			candidates = append(candidates, subset.Member{Name: m.Name, Zone: m.Zone, Cores: m.Cores})
		}
	}
	active := subset.Active(candidates)
	r.place(now, active[r.ports.Self.Name], len(active) > 0)
	members := slices.DeleteFunc(all, func(m Member) bool { return !active[m.Name] })
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })

	return members
}

// place makes this daemon take requests or stand by. While it knows of nobody else who would take
// them it does.
func (r *Registry) place(now clock.Milli, chosen, others bool) {
	switch {
	case chosen || !others:
		if r.standby {
			r.note(event.Event{Kind: event.Member, Detail: "takes requests"})
		}
		r.standby, r.chosen = false, true
	case !r.standby && now-r.started >= settleSpan:
		r.note(event.Event{Kind: event.Member, Detail: "stands by"})
		r.standby, r.retired = true, now
		if r.chosen {
			r.retired = now + retireSpan
		}
	}
}

// stand looks at who takes requests, and begins to follow the store when this daemon is to. What a
// standby daemon knows of routes and upstreams is not kept up to date, so it forgets it.
func (r *Registry) stand(ctx context.Context) error {
	list, _, err := r.ports.Store.Stale(ctx, memberPrefix)
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	now := r.ports.Now()
	r.loaded = false
	clear(r.entries)
	for _, e := range list {
		r.apply(now, e)
	}
	members := r.rank(now)
	if !r.standby {
		return r.load(ctx)
	}
	r.state.Store(&State{
		View: catalog.NewView(nil, nil, nil), Members: members, Standby: true, Daemons: r.count(now, len(members)), At: now,
	})

	return nil
}
