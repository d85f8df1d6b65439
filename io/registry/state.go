package registry

import (
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// DaemonCount returns the number of daemons that may be sending requests, this one included. Shortly after
// its start the registry may not know the others yet and assumes a minimum. It is safe for concurrent use.
func (r *Registry) DaemonCount() int {
	known := 1
	if s := r.state.Load(); s != nil {
		known = max(1, s.DaemonCount)
	}
	if r.options.Now()-r.started < discoveryPeriod {
		return max(known, assumedDaemons)
	}

	return known
}

func (r *Registry) publish(now clock.Milli) {
	var config *catalog.Config
	var upstreams []*catalog.Upstream
	out := make(map[string]bool)
	moves := make(map[string]catalog.Rollout)
	for _, s := range r.entries {
		switch s.record.Kind {
		case Config:
			config = s.record.Config
		case Upstream:
			upstreams = append(upstreams, s.record.Upstream)
		case ZoneOut:
			out[s.record.Zone] = true
		case Order:
			moves[s.record.Order.Service] = r.currentMove(s.record.Order)
		default:
		}
	}
	view := catalog.NewView(config, upstreams, out)
	if len(moves) > 0 {
		view = view.WithRollouts(moves)
		r.recordAssignments(view, moves)
	}
	registered, chosen := r.chooseMembers(now)
	members := r.servingOf(chosen)
	before := r.state.Swap(&State{
		View: view, Members: members, Named: namedOf(members), Registered: registered, Standby: r.standby,
		DaemonCount: r.peakDaemons(now, len(chosen)), Revision: r.watchRevision, At: now,
	})
	if before == nil || !slices.Equal(before.Registered, registered) {
		r.announceMembers()
	}
}

// announceMembers wakes those that wait for a change of the registered daemons.
func (r *Registry) announceMembers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.membersChanged)
	r.membersChanged = make(chan struct{})
}

// peakDaemons adds a sample and returns the highest number of daemons in the counting window. A daemon
// whose entry expired may keep sending for a while.
func (r *Registry) peakDaemons(now clock.Milli, daemons int) int {
	r.daemonCounts = append(r.daemonCounts, daemonCount{now, daemons})
	for len(r.daemonCounts) > 1 && r.daemonCounts[1].at < now-daemonCountWindow {
		r.daemonCounts = r.daemonCounts[1:]
	}
	peak := 0
	for _, c := range r.daemonCounts {
		peak = max(peak, c.daemons)
	}

	return peak
}
