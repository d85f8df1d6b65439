package traffic

import (
	"sync"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
)

// guard is the list of requests tied to crashes, which all lanes share. A query takes the lock a few
// times in all, whatever the number of its legs.
type guard struct {
	ports Ports
	mu    sync.Mutex
	list  *quarantine.Tracker
}

func newGuard(ports Ports) *guard {
	return &guard{ports: ports, list: quarantine.NewTracker(ports.Quarantine)}
}

// query returns the guard as queries use it.
func (g *guard) query() query.QuarantineTracker {
	return query.QuarantineTracker{
		Admit: func(now clock.Milli, p quarantine.Fingerprint, version string, trusted bool) quarantine.Verdict {
			g.mu.Lock()
			defer g.mu.Unlock()

			return g.list.Admit(now, p, version, trusted)
		},
		Quarantined: func(now clock.Milli, p quarantine.Fingerprint) bool {
			g.mu.Lock()
			defer g.mu.Unlock()

			return g.list.Quarantined(now, p)
		},
		RecordSuccess: func(p quarantine.Fingerprint, version string) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.list.RecordSuccess(p, version)
		},
		RecordInconclusive: func(p quarantine.Fingerprint) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.list.RecordInconclusive(p)
		},
		RecordCrash: g.lost,
	}
}

// lost ties a crash to a request and tells the other daemons.
func (g *guard) lost(now clock.Milli, p quarantine.Fingerprint, crash uint64) {
	g.mu.Lock()
	e := g.list.RecordCrash(now, p, crash)
	g.mu.Unlock()
	g.ports.Warn(e)
}

// warned takes what another daemon knows and passes on what was news.
func (g *guard) warned(e quarantine.Warning) {
	g.mu.Lock()
	news, held := g.list.Merge(g.ports.Now(), e)
	g.mu.Unlock()
	if news {
		g.ports.Warn(e)
	}
	if held {
		g.ports.Record(event.Event{Kind: event.Quarantine, Reason: reason.Peer, Detail: "another daemon's word"})
	}
}

func (g *guard) entries() []quarantine.Warning {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.list.Warnings(g.ports.Now())
}
