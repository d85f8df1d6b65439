package registry

import (
	"fmt"
	"maps"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"
)

const (
	// restoreGrace is how long after the store came back from a copy its owners may take to write again what it lost.
	restoreGrace = 2500 * clock.Millisecond
	// removalMemory is how long a removed upstream is remembered. A copy of the store is not older.
	removalMemory = clock.Minute
)

// removedUpstream is an upstream that was removed, and when.
type removedUpstream struct {
	key catalog.Key
	at  clock.Milli
}

// checkRestore begins the period in which the store may hold older things than this daemon knows, if a list shows that
// it came back from a copy.
func (r *Registry) checkRestore(now clock.Milli, revision int64) {
	if r.watchRevision == 0 || store.Generation(revision) <= store.Generation(r.watchRevision) {
		return
	}
	r.restoredUntil = now + restoreGrace
	r.graceUntil = max(r.graceUntil, r.restoredUntil)
	r.recordEvent(event.Event{
		Kind: event.Store, Reason: reason.Compacted, Revision: uint64(revision),
		Detail: fmt.Sprintf("came back from a copy, generation %d", store.Generation(revision)),
	})
}

// restoreEnded reports, once, that the owners of the lost entries have had their time. The store is then read again and
// believed.
func (r *Registry) restoreEnded(now clock.Milli) bool {
	if r.restoredUntil == 0 || now < r.restoredUntil {
		return false
	}
	r.restoredUntil = 0

	return true
}

// verdict says what to do with a record that the store holds.
type verdict int

const (
	// believe takes the record, assume takes what is known instead until the store is believed again, and ignore
	// leaves everything as it is.
	believe verdict = iota
	assume
	ignore
)

// reconcile returns the record that replaces old when the store holds record, and whether that is the store's.
// A configuration never goes back to an earlier version. What a list tells shortly after the store came back from a
// copy may be older than what is known: draining upstreams keep draining, and removed ones stay away.
func (r *Registry) reconcile(old, record Record, e store.Entry) (Record, verdict) {
	if record.Kind == Config && old.Kind == Config && record.Config.Version < old.Config.Version {
		r.recordEvent(event.Event{
			Kind: event.Revision, Reason: reason.Stale, Revision: uint64(e.Revision),
			Detail: fmt.Sprintf("passed over configuration %d, %d is in force", record.Config.Version, old.Config.Version),
		})

		return old, believe
	}
	if !r.listing || record.Kind != Upstream {
		return record, believe
	}
	u := record.Upstream
	if old.Kind != Upstream && r.removed[e.Key].key == u.Key() {
		return Record{}, ignore
	}
	if old.Kind == Upstream && old.Upstream.Key() == u.Key() && old.Upstream.Draining && !u.Draining {
		draining := *u
		draining.Draining = true
		record.Upstream = &draining

		return record, assume
	}

	return record, believe
}

// rememberRemoval remembers an upstream that is removed, and forgets those removed long ago.
func (r *Registry) rememberRemoval(now clock.Milli, key string, u *catalog.Upstream) {
	maps.DeleteFunc(r.removed, func(_ string, removed removedUpstream) bool { return now-removed.at > removalMemory })
	r.removed[key] = removedUpstream{key: u.Key(), at: now}
}
