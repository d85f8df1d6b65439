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
	options Ports
	mu      sync.Mutex
	tracker *quarantine.List
}

func newSharedTracker(options Ports) *sharedTracker {
	return &sharedTracker{options: options, tracker: quarantine.New(options.Quarantine)}
}

// forQueries returns the functions that queries call.
func (t *sharedTracker) forQueries() query.Guard {
	return query.Guard{
		Ask: func(now clock.Milli, p quarantine.Print, version string, trusted bool) quarantine.Verdict {
			t.mu.Lock()
			defer t.mu.Unlock()

			return t.tracker.Ask(now, p, version, trusted)
		},
		Held: func(now clock.Milli, p quarantine.Print) bool {
			t.mu.Lock()
			defer t.mu.Unlock()

			return t.tracker.Held(now, p)
		},
		Passed: func(p quarantine.Print, version string) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.tracker.Passed(p, version)
		},
		Ended: func(p quarantine.Print) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.tracker.Ended(p)
		},
		Lost: t.recordCrash,
	}
}

// recordCrash attributes a crash to a request and tells the other daemons.
func (t *sharedTracker) recordCrash(now clock.Milli, p quarantine.Print, crash uint64) {
	t.mu.Lock()
	e := t.tracker.Lost(now, p, crash)
	t.mu.Unlock()
	t.options.Warn(e)
}

// merge merges another daemon's information and passes it on if it was new.
func (t *sharedTracker) merge(e quarantine.Entry) {
	t.mu.Lock()
	changed, quarantined := t.tracker.Learn(t.options.Now(), e)
	t.mu.Unlock()
	if changed {
		t.options.Warn(e)
	}
	if quarantined {
		t.options.Record(event.Event{Kind: event.Quarantine, Reason: reason.Peer, Detail: "reported by another daemon"})
	}
}

func (t *sharedTracker) warnings() []quarantine.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.tracker.Entries(t.options.Now())
}
