package registry

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"
)

// apply updates the state from one store entry and reports whether the state changed. An entry that
// cannot be decoded counts as absent, except that the last valid configuration stays in force.
func (r *Registry) apply(now clock.Milli, e store.Entry) bool {
	old, known := r.entries[e.Key]
	if known && e.Revision <= old.revision && (r.listing || !old.assumed) {
		if e.Revision < old.revision {
			r.recordEvent(event.Event{
				Kind: event.Store, Reason: reason.Compacted, Revision: uint64(e.Revision),
				Detail: fmt.Sprintf("passed over %s, known at the later revision %d", e.Key, store.Number(old.revision)),
			})
		}

		return false
	}
	if e.Deleted {
		return known && r.handleDeletion(now, e.Key)
	}
	record, err := r.options.decode(e, now)
	if err != nil {
		r.recordEvent(event.Event{Kind: event.Upstream, Reason: reason.Invalid, Detail: err.Error()})
		if old.record.Kind != Config {
			delete(r.entries, e.Key)
		}

		return known
	}
	if record.Kind == Ignored {
		return false
	}
	record, how := r.reconcile(old.record, record, e)
	if how == skipEntry {
		return false
	}
	r.mergeCrashes(old.record.Crashes, record.Crashes)
	r.recordChange(&old.record, &record, e)
	r.entries[e.Key] = storedRecord{record: record, revision: e.Revision, assumed: how == keepKnown}
	if record.Kind == Order && r.loaded {
		r.beginMove(now, record.Order)
	}

	return true
}

// handleDeletion applies the deletion of an entry and reports whether the state changed. Configuration and version
// moves stay in force. Daemons and upstreams are retained until the grace period after a store failure ends.
func (r *Registry) handleDeletion(now clock.Milli, key string) bool {
	s := r.entries[key]
	switch s.record.Kind {
	case Config, Order:
		return false
	case Progress:
		s.revision, s.assumed = store.Absent, true
		r.entries[key] = s

		return false
	case Report:
		// It is rewritten.
		delete(r.entries, key)

		return false
	case Upstream, Daemon, ZoneOut:
		// An operator may bring a zone back while the store is in trouble, but only a restore loses one.
		if now < r.graceUntil && (s.record.Kind != ZoneOut || r.restoredUntil != 0) {
			if s.expiresAt == 0 {
				s.expiresAt = r.graceUntil
				r.entries[key] = s
			}

			return false
		}
	default:
	}
	r.remove(now, key, s)

	return true
}

func (r *Registry) remove(now clock.Milli, key string, s storedRecord) {
	delete(r.entries, key)
	switch s.record.Kind {
	case Upstream:
		u := s.record.Upstream
		r.rememberRemoval(now, key, u)
		r.recordEvent(event.Event{
			Kind: event.Upstream, Reason: reason.Lapsed, Service: u.Service, Upstream: u.ID, Zone: u.Zone,
		})
	case Daemon:
		r.recordEvent(event.Event{Kind: event.Member, Reason: reason.Lapsed, Detail: s.record.Member.Name})
	case ZoneOut:
		r.recordEvent(event.Event{Kind: event.Zone, Zone: s.record.Zone, Detail: "back"})
	default:
	}
}

// expire removes the deleted entries whose grace period has ended and reports whether there were any.
func (r *Registry) expire(now clock.Milli) bool {
	changed := false
	for key, s := range r.entries {
		if s.expiresAt != 0 && now >= s.expiresAt {
			r.remove(now, key, s)
			changed = true
		}
	}

	return changed
}

// recordEvent records an event, with the number of its revision in the store's generation.
func (r *Registry) recordEvent(e event.Event) {
	e.Revision = uint64(store.Number(int64(e.Revision)))
	r.options.Record(e)
}

// recordChange records an event for the difference that a new entry makes.
func (r *Registry) recordChange(old, record *Record, e store.Entry) {
	switch record.Kind {
	case Config:
		if record.Config == old.Config {
			return
		}
		r.recordEvent(event.Event{Kind: event.Revision, Revision: uint64(e.Revision), Detail: "configuration"})
	case Upstream:
		u := record.Upstream
		if old.Upstream == nil || old.Upstream.Key() != u.Key() || old.Upstream.Draining != u.Draining {
			word := reason.Code("")
			if u.Draining {
				word = reason.Draining
			}
			r.recordEvent(event.Event{
				Kind: event.Upstream, Reason: word, Service: u.Service, Upstream: u.ID, Zone: u.Zone,
				Version: u.Version, Revision: uint64(e.Revision),
			})
		}
	case ZoneOut:
		r.recordEvent(event.Event{Kind: event.Zone, Zone: record.Zone, Revision: uint64(e.Revision), Detail: "out"})
	case Order:
		r.recordEvent(event.Event{
			Kind: event.Move, Service: record.Order.Service, Version: record.Order.Version, Revision: uint64(e.Revision),
			Detail: "move ordered, to complete within " + record.Order.MaxDuration.String(),
		})
	case Progress:
		r.recordEvent(event.Event{
			Kind: event.Move, Version: record.Progress.Rollout.Version, Revision: uint64(e.Revision),
			Detail: e.Key + " " + string(record.Progress.Rollout.Stage),
		})
	case Daemon:
		r.recordEvent(event.Event{Kind: event.Member, Detail: record.Member.Name, Revision: uint64(e.Revision)})
	default:
	}
}
