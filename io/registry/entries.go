package registry

import (
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"
)

// apply takes one entry as the store holds it and reports whether the state changed. An entry that
// cannot be read says nothing; the configuration before it stays in force.
func (r *Registry) apply(now clock.Milli, e store.Entry) bool {
	old, known := r.entries[e.Key]
	if known && e.Revision <= old.revision {
		return false
	}
	if e.Deleted {
		return known && r.vanished(now, e.Key)
	}
	record, err := r.ports.decode(e, now)
	if err != nil {
		r.note(event.Event{Kind: event.Upstream, Reason: reason.Invalid, Detail: err.Error()})
		if old.record.Kind != Config {
			delete(r.entries, e.Key)
		}

		return known
	}
	if record.Kind == Other {
		return false
	}
	if r.ports.Learn != nil {
		for _, p := range record.Prints {
			if !slices.Contains(old.record.Prints, p) {
				r.ports.Learn(p)
			}
		}
	}
	r.noteChange(&old.record, &record, e)
	r.entries[e.Key] = held{record: record, revision: e.Revision}

	return true
}

// vanished takes an entry that is gone. Configuration and version moves stay in force; daemons and upstreams are
// believed a little longer while the store is in trouble.
func (r *Registry) vanished(now clock.Milli, key string) bool {
	h := r.entries[key]
	switch h.record.Kind {
	case Config, Order, Progress, Report:
		return false
	case Upstream, Daemon:
		if now < r.troubled {
			if h.until == 0 {
				h.until = r.troubled
				r.entries[key] = h
			}

			return false
		}
	default:
	}
	r.remove(key, h)

	return true
}

func (r *Registry) remove(key string, h held) {
	delete(r.entries, key)
	switch h.record.Kind {
	case Upstream:
		u := h.record.Upstream
		r.note(event.Event{Kind: event.Upstream, Reason: reason.Lapsed, Service: u.Service, Upstream: u.ID, Zone: u.Zone})
	case Daemon:
		r.note(event.Event{Kind: event.Member, Reason: reason.Lapsed, Detail: h.record.Member.Name})
	case ZoneOut:
		r.note(event.Event{Kind: event.Zone, Zone: h.record.Zone, Detail: "back"})
	default:
	}
}

// forget removes the entries that were believed for long enough after they vanished.
func (r *Registry) forget(now clock.Milli) bool {
	changed := false
	for key, h := range r.entries {
		if h.until != 0 && now >= h.until {
			r.remove(key, h)
			changed = true
		}
	}

	return changed
}

func (r *Registry) note(e event.Event) { r.ports.Record(e) }

// noteChange records what a new entry changed.
func (r *Registry) noteChange(old, record *Record, e store.Entry) {
	switch record.Kind {
	case Config:
		r.note(event.Event{Kind: event.Revision, Revision: uint64(e.Revision), Detail: "configuration"})
	case Upstream:
		u := record.Upstream
		if old.Upstream == nil || old.Upstream.Key() != u.Key() || old.Upstream.Draining != u.Draining {
			word := reason.Word("")
			if u.Draining {
				word = reason.Draining
			}
			r.note(event.Event{
				Kind: event.Upstream, Reason: word, Service: u.Service, Upstream: u.ID, Zone: u.Zone,
				Version: u.Version, Revision: uint64(e.Revision),
			})
		}
	case ZoneOut:
		r.note(event.Event{Kind: event.Zone, Zone: record.Zone, Revision: uint64(e.Revision), Detail: "out"})
	case Order:
		r.note(event.Event{
			Kind: event.Move, Service: record.Order.Service, Version: record.Order.Version, Revision: uint64(e.Revision),
			Detail: "ordered, within " + record.Order.Span.String(),
		})
	case Progress:
		r.note(event.Event{
			Kind: event.Move, Version: record.Progress.Move.Version, Revision: uint64(e.Revision),
			Detail: e.Key + " " + string(record.Progress.Move.Stage),
		})
	case Daemon:
		r.note(event.Event{Kind: event.Member, Detail: record.Member.Name, Revision: uint64(e.Revision)})
	default:
	}
}
