package registry

import (
	"fmt"
	"maps"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"
	"jacinthferry/io/store"
)

const (
	// restoreGrace is how long after the store was restored from a backup its owners may take to rewrite what it lost.
	restoreGrace = 2500 * clock.Millisecond
	// removalMemory is how long a removed upstream is remembered. A backup of the store is not older.
	removalMemory = clock.Minute
)

// removedUpstream is an upstream that was removed, and when.
type removedUpstream struct {
	key catalog.Key
	at  clock.Milli
}

// checkRestore begins the period in which the store may hold older things than this daemon knows, if a list shows that
// it was restored from a backup.
func (r *Registry) checkRestore(now clock.Milli, revision int64) {
	if r.watchRevision == 0 || store.Generation(revision) <= store.Generation(r.watchRevision) {
		return
	}
	r.restoredUntil = now + restoreGrace
	r.graceUntil = max(r.graceUntil, r.restoredUntil)
	r.recordEvent(event.Event{
		Kind: event.Store, Reason: reason.Compacted, Revision: uint64(revision),
		Detail: fmt.Sprintf("was restored from a backup, generation %d", store.Generation(revision)),
	})
}

// endRestore has the store read again once the owners of the lost entries have had their time.
func (r *Registry) endRestore(now clock.Milli) {
	if r.restoredUntil != 0 && now >= r.restoredUntil {
		r.restoredUntil, r.loaded = 0, false
	}
}

// resolution says what replaces an entry that the store holds in another state.
type resolution int

const (
	// takeStored takes what the store holds.
	takeStored resolution = iota
	// keepKnown keeps what is known until the store is read again after a restore.
	keepKnown
	// skipEntry leaves everything as it is.
	skipEntry
)

// reconcile returns the record that replaces old when the store holds record, and whether that is the store's.
// A configuration never goes back to an earlier version, nor a version move to an earlier stage. What a list tells
// shortly after the store was restored from a backup may be older than what is known: draining upstreams keep draining,
// removed ones stay away, and orders of version moves stay as they are.
func (r *Registry) reconcile(old, record Record, e store.Entry) (Record, resolution) {
	if record.Kind != old.Kind && record.Kind != Upstream {
		return record, takeStored
	}
	switch record.Kind {
	case Config:
		return r.reconcileConfig(old, record, e)
	case Progress:
		if record.Progress.Precedes(old.Progress) {
			return old, keepKnown
		}
	case Order:
		return r.reconcileOrder(old, record)
	case Upstream:
		return r.reconcileUpstream(old, record, e)
	default:
	}

	return record, takeStored
}

func (r *Registry) reconcileConfig(old, record Record, e store.Entry) (Record, resolution) {
	if record.Config.Version >= old.Config.Version {
		return record, takeStored
	}
	r.recordEvent(event.Event{
		Kind: event.Revision, Reason: reason.Stale, Revision: uint64(e.Revision),
		Detail: fmt.Sprintf("passed over configuration %d, %d is in force", record.Config.Version, old.Config.Version),
	})

	return old, takeStored
}

// reconcileOrder keeps an order that differs from the one in the backup or from an earlier one that is rewritten. One
// that is rewritten with the same content is the same order, which began when it was first seen.
func (r *Registry) reconcileOrder(old, record Record) (Record, resolution) {
	before, after := old.Order, record.Order
	same := before.Version == after.Version && before.MaxDuration == after.MaxDuration
	if r.restoredUntil != 0 && !same {
		return old, keepKnown
	}
	if same && (r.restoredUntil != 0 || store.Generation(before.Revision) < store.Generation(after.Revision)) {
		record.Order.Seen = before.Seen
		if r.entries[moveKey(after.Service)].record.Progress.Rollout.OrderRevision == before.Revision {
			r.adoptMove(after)
		}
	}

	return record, takeStored
}

func (r *Registry) reconcileUpstream(old, record Record, e store.Entry) (Record, resolution) {
	if !r.listing {
		return record, takeStored
	}
	u := record.Upstream
	if old.Kind != Upstream && r.removed[e.Key].key == u.Key() {
		return Record{}, skipEntry
	}
	if old.Kind == Upstream && old.Upstream.Key() == u.Key() && old.Upstream.Draining && !u.Draining {
		draining := *u
		draining.Draining = true
		record.Upstream = &draining

		return record, keepKnown
	}

	return record, takeStored
}

// adoptMove lets a version move go on under the revision of an order.
func (r *Registry) adoptMove(o rollout.Order) {
	key := moveKey(o.Service)
	move := r.entries[key]
	move.record.Progress.Rollout.OrderRevision, move.assumed = o.Revision, true
	r.entries[key] = move
}

// rememberRemoval remembers an upstream that is removed, and forgets those removed long ago.
func (r *Registry) rememberRemoval(now clock.Milli, key string, u *catalog.Upstream) {
	maps.DeleteFunc(r.removed, func(_ string, removed removedUpstream) bool { return now-removed.at > removalMemory })
	r.removed[key] = removedUpstream{key: u.Key(), at: now}
}
