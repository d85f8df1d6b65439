package registry

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// Daemons returns how many daemons there may be, this one included. A registry that is young may not
// know the others yet.
func (r *Registry) Daemons() int {
	known := 1
	if s := r.state.Load(); s != nil {
		known = max(1, s.Daemons)
	}
	if r.ports.Now()-r.started < youngSpan {
		return max(known, youngDaemons)
	}

	return known
}

func (r *Registry) publish(now clock.Milli) {
	var config *catalog.Config
	var upstreams []*catalog.Upstream
	out := make(map[string]bool)
	moves := make(map[string]catalog.Move)
	for _, h := range r.entries {
		switch h.record.Kind {
		case Config:
			config = h.record.Config
		case Upstream:
			upstreams = append(upstreams, h.record.Upstream)
		case ZoneOut:
			out[h.record.Zone] = true
		case Order:
			moves[h.record.Order.Service] = r.move(h.record.Order)
		default:
		}
	}
	view := catalog.NewView(config, upstreams, out)
	if len(moves) > 0 {
		view = view.WithMoves(moves)
	}
	members := r.rank(now)
	r.state.Store(&State{
		View: view, Members: members, Standby: r.standby,
		Daemons: r.count(now, len(members)), Revision: r.after, At: now,
	})
}

// count returns the most daemons that were known within countSpan. One whose entry lapsed may go on
// sending for a while.
func (r *Registry) count(now clock.Milli, daemons int) int {
	r.counts = append(r.counts, count{now, daemons})
	for len(r.counts) > 1 && r.counts[1].at < now-countSpan {
		r.counts = r.counts[1:]
	}
	most := 0
	for _, c := range r.counts {
		most = max(most, c.daemons)
	}

	return most
}
