package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"
	"jacinthferry/io/store"
)

const (
	// watchWait is how long a watch waits for a change. A connection that went silent is noticed
	// after this and the call's own timeout.
	watchWait = 2600 * clock.Millisecond
	// watchLeast is the shortest wait of a watch.
	watchLeast = 10 * clock.Millisecond
	// watchPause is the time between two watches, so that changes are taken in batches.
	watchPause = 400 * clock.Millisecond
	// backoffFirst and backoffLast bound the pause after a call that failed; it doubles each time.
	backoffFirst = 100 * clock.Millisecond
	backoffLast  = 800 * clock.Millisecond
	// grace is how long an entry that vanished while the store was in trouble is still believed: its
	// owner may only have been kept from renewing its lease.
	grace = 2500 * clock.Millisecond
	// countSpan is for how long a daemon that is not known any more counts as one that may send.
	countSpan = 15 * clock.Second
	// youngSpan is how long after the start others may still be unknown, and youngDaemons how many
	// are assumed meanwhile.
	youngSpan    = 4 * clock.Second
	youngDaemons = 16
)

// Ports are what a Registry needs.
type Ports struct {
	Now    func() clock.Milli
	Store  store.Store
	Decode func(e store.Entry, now clock.Milli) (Record, error)
	Record func(event.Event)
	// Counts returns what this daemon has counted for a move, by route.
	Counts func(service string, m catalog.Move) map[string]rollout.Counts
	// Report returns the key and text that tell the operators of a move.
	Report func(service string, m catalog.Move) (key, text string, err error)
	// Learn takes a request that another daemon found to crash upstreams. It may be nil.
	Learn func(quarantine.Print)
	// Self is this daemon's own entry.
	Self Member
}

// held is a record and the entry that it came from.
type held struct {
	record   Record
	revision int64
	// until is when a record whose entry vanished is forgotten, or 0.
	until clock.Milli
}

// State is what the registry knows at one moment. It is immutable.
type State struct {
	View *catalog.View
	// Members are the daemons that take requests, ordered by name.
	Members []Member
	// Standby is set while this daemon is none of them.
	Standby bool
	// Daemons is how many daemons there may be: the most that were known within countSpan.
	Daemons int
	// Revision is the store's, and At when it was heard.
	Revision int64
	At       clock.Milli
}

// Registry is the control thread's state.
type Registry struct {
	ports   Ports
	state   atomic.Pointer[State]
	heard   atomic.Int64
	entries map[string]held
	after   int64
	loaded  bool
	// troubled is until when vanished entries are still believed.
	troubled clock.Milli
	backoff  clock.Milli
	lost     bool
	started  clock.Milli
	// standby is set while others take the requests, and retired is when callers have forgotten that
	// this daemon took some.
	standby bool
	retired clock.Milli
	chosen  bool
	settled bool
	// analyzer finds new versions that are bad, by what all daemons counted.
	analyzer *rollout.Analyzer
	// told is when this daemon last wrote what it counted for a move, by service.
	told map[string]clock.Milli
	// mu guards found, the requests that this daemon found to crash upstreams.
	mu    sync.Mutex
	found []found
	// counts are the numbers of daemons that were known, oldest first.
	counts []count
}

// count is how many daemons were known from an instant on.
type count struct {
	at      clock.Milli
	daemons int
}

// New returns a registry that knows nothing yet.
func New(ports Ports) *Registry {
	return &Registry{
		ports: ports, entries: make(map[string]held), analyzer: rollout.NewAnalyzer(), told: make(map[string]clock.Milli),
		started: ports.Now(),
	}
}

// State returns the newest state, or nil before the first.
func (r *Registry) State() *State { return r.state.Load() }

// View returns the newest view, or nil before the first.
func (r *Registry) View() *catalog.View {
	s := r.state.Load()
	if s == nil {
		return nil
	}

	return s.View
}

// Standby reports whether others take the requests.
func (r *Registry) Standby() bool {
	s := r.state.Load()

	return s != nil && s.Standby
}

// Settled reports whether this daemon takes requests and will go on doing so.
func (r *Registry) Settled() bool {
	s := r.state.Load()

	return s != nil && !s.Standby && r.ports.Now()-r.started >= settleSpan
}

// Heard returns when the store last told the state, or 0.
func (r *Registry) Heard() clock.Milli { return clock.Milli(r.heard.Load()) }

// Run follows the store until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, r.turn(ctx))
	}
}

// turn makes one step and returns the time to wait before the next.
func (r *Registry) turn(ctx context.Context) clock.Milli {
	if err := r.step(ctx); err != nil {
		r.failed(err)

		return r.backoff * clock.Milli(0.5+rand.Float64()/2)
	}
	r.regained()
	if !r.standsBy() {
		r.advance(ctx)
		r.shareQuarantine(ctx)
	}
	switch {
	case r.standsBy():
		return standbyPause
	case r.ports.Now()-r.started < settleSpan:
		// Everything registers at the start of a deployment. A longer pause saves calls.
		return settleSpan / 2
	default:
		return watchPause
	}
}

// standsBy reports whether this daemon stands by and callers have forgotten it.
func (r *Registry) standsBy() bool { return r.standby && r.ports.Now() >= r.retired }

// step makes one call: a list of everything at first, and a watch afterwards.
func (r *Registry) step(ctx context.Context) error {
	if r.standsBy() {
		return r.stand(ctx)
	}
	if !r.loaded {
		return r.load(ctx)
	}
	changes, revision, err := r.ports.Store.Watch(ctx, "", r.after, r.patience())
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	now := r.ports.Now()
	changed := r.forget(now) || r.standby || r.settles(now)
	for _, e := range changes {
		changed = r.apply(now, e) || changed
	}
	r.after = max(r.after, revision)
	r.heard.Store(int64(now))
	if changed {
		r.publish(now)
	}

	return nil
}

// patience returns how long a watch may wait: no longer than until the next entry that vanished is
// forgotten, and shorter while a version move is under way.
func (r *Registry) patience() clock.Milli {
	now := r.ports.Now()
	wait := watchWait
	if r.moving() {
		wait = moveWait
	}
	for _, h := range r.entries {
		if h.until != 0 {
			wait = min(wait, max(watchLeast, h.until-now))
		}
	}

	return wait
}

// settles reports, once, that this daemon may know all others by now.
func (r *Registry) settles(now clock.Milli) bool {
	if r.settled || now-r.started < settleSpan {
		return false
	}
	r.settled = true

	return true
}

// load reads everything anew. What is not there any more is gone.
func (r *Registry) load(ctx context.Context) error {
	list, revision, err := r.ports.Store.List(ctx, "")
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	now := r.ports.Now()
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.Key] = true
		r.apply(now, e)
	}
	for key := range r.entries {
		if !seen[key] {
			r.vanished(now, key)
		}
	}
	r.after, r.loaded = revision, true
	r.heard.Store(int64(now))
	r.publish(now)

	return nil
}

// failed takes a call that failed.
func (r *Registry) failed(err error) {
	now := r.ports.Now()
	r.backoff = min(backoffLast, max(backoffFirst, 2*r.backoff))
	r.troubled = now + grace
	word := reason.Store
	if refusal, ok := err.(*reason.Refusal); ok { //nolint:errorlint // The store returns it unwrapped.
		word = refusal.Reason
	}
	if word == reason.Compacted {
		r.loaded = false
	}
	if !r.lost {
		r.lost = true
		r.note(event.Event{Kind: event.Store, Reason: word, Revision: uint64(r.after), Detail: "lost: " + err.Error()})
	}
}

func (r *Registry) regained() {
	r.backoff = 0
	if r.lost {
		r.lost = false
		r.troubled = r.ports.Now() + grace
		r.note(event.Event{Kind: event.Store, Reason: reason.Store, Revision: uint64(r.after), Detail: "regained"})
	}
}

func pause(ctx context.Context, span clock.Milli) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
