package traffic

import (
	"sync"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
)

// sharedTracker tracks the requests that crashes are attributed to, for all lanes. A query takes the
// lock only a few times in total, whatever the number of its legs.
type sharedTracker struct {
	options Options
	mu      sync.Mutex
	tracker *quarantine.Tracker
}

func newSharedTracker(options Options) *sharedTracker {
	return &sharedTracker{options: options, tracker: quarantine.NewTracker(options.QuarantineConfig)}
}

// forQueries returns the functions that queries call.
func (t *sharedTracker) forQueries() query.QuarantineTracker {
	return query.QuarantineTracker{
		Admit: func(now clock.Milli, p quarantine.Fingerprint, version string, trusted bool) quarantine.Verdict {
			t.mu.Lock()
			defer t.mu.Unlock()

			return t.tracker.Admit(now, p, version, trusted)
		},
		Quarantined: func(now clock.Milli, p quarantine.Fingerprint) bool {
			t.mu.Lock()
			defer t.mu.Unlock()

			return t.tracker.Quarantined(now, p)
		},
		RecordSuccess: func(p quarantine.Fingerprint, version string) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.tracker.RecordSuccess(p, version)
		},
		RecordInconclusive: func(p quarantine.Fingerprint) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.tracker.RecordInconclusive(p)
		},
		RecordCrash: t.recordCrash,
	}
}

// recordCrash attributes a crash to a request and tells the other daemons.
func (t *sharedTracker) recordCrash(now clock.Milli, p quarantine.Fingerprint, crash uint64) {
	t.mu.Lock()
	e := t.tracker.RecordCrash(now, p, crash)
	t.mu.Unlock()
	t.options.SendWarning(e)
}

// merge merges another daemon's information and passes it on if it was new.
func (t *sharedTracker) merge(e quarantine.Warning) {
	t.mu.Lock()
	changed, quarantined := t.tracker.Merge(t.options.Now(), e)
	t.mu.Unlock()
	if changed {
		t.options.SendWarning(e)
	}
	if quarantined {
		t.options.Record(event.Event{Kind: event.Quarantine, Reason: reason.Peer, Detail: "reported by another daemon"})
	}
}

func (t *sharedTracker) warnings() []quarantine.Warning {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.tracker.Warnings(t.options.Now())
}
