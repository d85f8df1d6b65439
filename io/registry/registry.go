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
	"jacinthferry/core/standby"
	"jacinthferry/core/subset"
	"jacinthferry/io/store"
)

const (
	// maxWatchTimeout is how long a watch waits for a change. A connection that stops delivering data is
	// detected after this time plus the timeout of the call itself.
	maxWatchTimeout = 2600 * clock.Millisecond
	// minWatchTimeout is the shortest wait of a watch.
	minWatchTimeout = 10 * clock.Millisecond
	// watchInterval is the delay between two watches, so that changes are applied in batches.
	watchInterval = 400 * clock.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call; it doubles with each failure. The bound is
	// maxStartBackoff for a daemon that cannot serve callers before it has read the store.
	minBackoff      = 100 * clock.Millisecond
	maxBackoff      = 800 * clock.Millisecond
	maxStartBackoff = 250 * clock.Millisecond
	// expiryGrace is how long after a store failure or recovery the entries of daemons and upstreams that
	// disappear are retained: the failure may only have kept their owners from renewing their leases.
	expiryGrace = 2500 * clock.Millisecond
	// daemonCountWindow is how long a daemon that is no longer registered is still counted as sending.
	daemonCountWindow = 15 * clock.Second
	// discoveryPeriod is how long after the start other daemons may still be unknown; until it ends at
	// least assumedDaemons are assumed.
	discoveryPeriod = 4 * clock.Second
	assumedDaemons  = 16
)

// Options are the dependencies of a Registry and a Lease.
type Options struct {
	Now    func() clock.Milli
	Store  store.Store
	Decode func(e store.Entry, now clock.Milli) (Record, error)
	Record func(event.Event)
	// Counts returns this daemon's request counts for a move, by route.
	Counts func(service string, m catalog.Rollout) map[string]rollout.Counts
	// EncodeReport returns the key and value of the operators' report on a move.
	EncodeReport func(service string, m catalog.Rollout) (key, text string, err error)
	// OnWarning is called with each crash of an upstream that another daemon saw. It may be nil.
	OnWarning func(quarantine.Warning)
	// Self describes this daemon.
	Self Member
}

// storedRecord is a record with the revision of the store entry that it was decoded from.
type storedRecord struct {
	record   Record
	revision int64
	// expiresAt is when a record whose entry was deleted is removed, or 0 while the entry exists.
	expiresAt clock.Milli
	// assumed is set while the record is what was known before the store was restored from a backup, which may differ from
	// what the store holds.
	assumed bool
}

// State is an immutable snapshot of the registry.
type State struct {
	View *catalog.View
	// Members are the daemons that serve requests, ordered by name.
	Members []Member
	// Named are those of them that callers are told of.
	Named []Member
	// Registered are the members and those in reserve, ordered by name.
	Registered []Member
	// Standby is set while this daemon is not one of them.
	Standby bool
	// DaemonCount is the highest number of active daemons known within daemonCountWindow.
	DaemonCount int
	// Revision is the store's, or 0 on a standby daemon that does not watch the store, and At is when it was read.
	Revision int64
	At       clock.Milli
}

// Registry is a local copy of the store's entries. Run maintains it; the other exported methods are safe for
// concurrent use.
type Registry struct {
	options       Options
	state         atomic.Pointer[State]
	lastContact   atomic.Int64
	entries       map[string]storedRecord
	watchRevision int64
	loaded        bool
	// graceUntil is when the grace period after the last store failure or recovery ends.
	graceUntil clock.Milli
	// restoredUntil is set while the store may hold older things than this daemon knows, because it was restored from
	// a backup and their owners have yet to rewrite them. Listing is set during a load in that period.
	restoredUntil clock.Milli
	listing       bool
	// removed are the upstreams that were removed lately, by their key.
	removed     map[string]removedUpstream
	backoff     clock.Milli
	unreachable bool
	started     clock.Milli
	// standby is set while other daemons serve the requests, and retireAt is when callers no longer have
	// this daemon's address cached.
	standby     bool
	retireAt    clock.Milli
	wasActive   bool
	startupDone bool
	// machine decides while this daemon is on standby, and registered are the registered daemons that it knows of.
	machine    *standby.Machine
	registered []Member
	// joinedAt is when this daemon became active, or 0 once its entry has been seen.
	joinedAt clock.Milli
	// role is a subset.Role. A change sends to roleChanges.
	role        atomic.Int32
	roleChanges chan struct{}
	// hearing ends a wait on standby.
	hearing chan struct{}
	// assignments says which versions of a service with a version move take requests, as it was last recorded.
	assignments map[string]string
	// analyzer detects bad new versions from the counts of all daemons.
	analyzer *rollout.Analyzer
	// resultsSent is when this daemon last published its counts for a move, by service.
	resultsSent map[string]clock.Milli
	// inherited holds the counts of this daemon's previous run, by service.
	inherited map[string]results
	// mu guards the fields up to the next empty line.
	mu sync.Mutex
	// crashes are the crashes of upstreams that this daemon saw, oldest first.
	crashes []publishedCrash
	// heard are the views of other daemons that the control loop has not seen yet.
	heard []heardView
	// membersChanged is closed and replaced when the registered daemons change.
	membersChanged chan struct{}

	// wake ends a waiting watch, and inheritedCrashes is set once the previous run's crashes are taken over.
	wake             chan struct{}
	inheritedCrashes bool
	// daemonCounts are the samples of the number of active daemons, oldest first.
	daemonCounts []daemonCount
}

// daemonCount is the number of active daemons known from an instant on.
type daemonCount struct {
	at      clock.Milli
	daemons int
}

// New returns an empty registry. Run fills it.
func New(options Options) *Registry {
	r := &Registry{
		options: options, entries: make(map[string]storedRecord), removed: make(map[string]removedUpstream),
		analyzer: rollout.NewAnalyzer(), assignments: make(map[string]string),
		resultsSent: make(map[string]clock.Milli), inherited: make(map[string]results), started: options.Now(),
		wake: make(chan struct{}, 1), hearing: make(chan struct{}, 1), roleChanges: make(chan struct{}, 1),
		membersChanged: make(chan struct{}), machine: standby.New(options.Self.candidate(), rand.Float64),
	}
	if standby.StartsActive(options.Self.candidate()) {
		r.role.Store(int32(subset.Active))
	} else {
		r.standby = true
	}

	return r
}

// State returns the latest snapshot, or nil before the first load from the store.
func (r *Registry) State() *State { return r.state.Load() }

// View returns the view of the latest snapshot, or nil before the first load from the store.
func (r *Registry) View() *catalog.View {
	s := r.state.Load()
	if s == nil {
		return nil
	}

	return s.View
}

// Standby reports whether this daemon is on standby while others serve the requests.
func (r *Registry) Standby() bool {
	s := r.state.Load()

	return s != nil && s.Standby
}

// StoreContact returns when the store last answered a list or watch that updated the registry, or 0 if never.
func (r *Registry) StoreContact() clock.Milli { return clock.Milli(r.lastContact.Load()) }

// Run keeps the registry up to date with the store until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.sleep(ctx, r.iterate(ctx))
	}
}

// iterate runs one iteration of the control loop and returns the delay before the next.
func (r *Registry) iterate(ctx context.Context) clock.Milli {
	if r.inactive() {
		if wait := r.iterateStandby(ctx); r.standby || wait > 0 {
			return wait
		}
	}
	if err := r.poll(ctx); err != nil {
		r.handleFailure(err)

		return r.jitteredBackoff()
	}
	r.handleRecovery()
	r.advanceMoves(ctx)
	r.shareCrashes(ctx)
	if r.options.Now()-r.started < startupPeriod {
		// All daemons and upstreams register at the start of a deployment; a longer delay saves calls.
		return startupPeriod / 2
	}

	return watchInterval
}

// inactive reports whether this daemon is on standby and callers no longer have its address cached.
func (r *Registry) inactive() bool { return r.standby && r.options.Now() >= r.retireAt }

// poll updates the state from the store: by a list of all entries at first, and by a watch afterwards.
func (r *Registry) poll(ctx context.Context) error {
	r.endRestore(r.options.Now())
	if !r.loaded {
		return r.load(ctx)
	}
	changes, revision, err := r.watch(ctx)
	if err != nil {
		return err
	}
	now := r.options.Now()
	changed := r.expire(now) || r.standby || r.startupEnded(now)
	for _, e := range changes {
		changed = r.apply(now, e) || changed
	}
	r.watchRevision = max(r.watchRevision, revision)
	r.lastContact.Store(int64(now))
	if changed {
		r.beginMoves(now)
		r.publish(now)
	}

	return nil
}

// watch waits for changes. It ends early and returns none when this daemon has something to publish.
func (r *Registry) watch(ctx context.Context) ([]store.Entry, int64, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-r.wake:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	changes, revision, err := r.options.Store.Watch(watchCtx, "", r.watchRevision, r.watchTimeout())
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return nil, r.watchRevision, nil
	}

	return changes, revision, err //nolint:wrapcheck // It is a refusal of the store.
}

// watchTimeout returns how long a watch may wait: at most until the next deleted entry expires, and less
// while a version move is in progress.
func (r *Registry) watchTimeout() clock.Milli {
	now := r.options.Now()
	wait := maxWatchTimeout
	if r.moveInProgress() {
		wait = moveWatchTimeout
	}
	if r.restoredUntil != 0 {
		wait = min(wait, max(minWatchTimeout, r.restoredUntil-now))
	}
	for _, s := range r.entries {
		if s.expiresAt != 0 {
			wait = min(wait, max(minWatchTimeout, s.expiresAt-now))
		}
	}

	return wait
}

// startupEnded reports, once, that the startup period has ended and all other daemons should be known.
func (r *Registry) startupEnded(now clock.Milli) bool {
	if r.startupDone || now-r.started < startupPeriod {
		return false
	}
	r.startupDone = true

	return true
}

// load reads all entries and treats known entries that are missing as deleted.
func (r *Registry) load(ctx context.Context) error {
	list, revision, err := r.options.Store.List(ctx, "")
	if err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	now := r.options.Now()
	r.checkRestore(now, revision)
	r.listing = r.restoredUntil != 0
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.Key] = true
		r.apply(now, e)
	}
	r.listing = false
	for key := range r.entries {
		if !seen[key] {
			r.handleDeletion(now, key)
		}
	}
	r.beginMoves(now)
	r.inheritResults()
	r.inheritCrashes()
	r.watchRevision, r.loaded = revision, true
	r.lastContact.Store(int64(now))
	r.publish(now)

	return nil
}

// handleFailure increases the backoff after a failed call and extends the grace period. If the same watch would fail
// again, the next iteration reloads all entries.
func (r *Registry) handleFailure(err error) {
	now := r.options.Now()
	r.backoff = min(r.backoffLimit(), max(minBackoff, 2*r.backoff))
	r.graceUntil = now + expiryGrace
	word := reason.Store
	if refusal, ok := err.(*reason.Refusal); ok { //nolint:errorlint // The store returns it unwrapped.
		word = refusal.Reason
	}
	if r.loaded && cannotResume(word) {
		r.loaded = false
		r.recordEvent(event.Event{
			Kind: event.Store, Reason: word, Revision: uint64(r.watchRevision),
			Detail: "reads everything anew: " + err.Error(),
		})
	}
	if !r.unreachable {
		r.unreachable = true
		r.recordEvent(event.Event{
			Kind: event.Store, Reason: word, Revision: uint64(r.watchRevision), Detail: "lost: " + err.Error(),
		})
	}
}

// backoffLimit returns the longest delay after a failed call.
func (r *Registry) backoffLimit() clock.Milli {
	switch {
	case r.Following():
		return maxStandbyBackoff
	case r.State() == nil && !r.standby:
		return maxStartBackoff
	default:
		return maxBackoff
	}
}

// jitteredBackoff returns the delay after a failed call.
func (r *Registry) jitteredBackoff() clock.Milli {
	return r.backoff * clock.Milli(0.5+rand.Float64()/2)
}

// cannotResume reports whether a watch that failed for a reason would fail again from the same revision: the store no
// longer has its history, or its answer cannot be read, which is not shorter the next time.
func cannotResume(word reason.Code) bool {
	return word == reason.Compacted || word == reason.Size || word == reason.Invalid
}

func (r *Registry) handleRecovery() {
	r.backoff = 0
	if r.unreachable {
		r.unreachable = false
		r.graceUntil = r.options.Now() + expiryGrace
		r.recordEvent(event.Event{
			Kind: event.Store, Reason: reason.Store, Revision: uint64(r.watchRevision), Detail: "regained",
		})
	}
}

// sleep waits for a span. On standby it ends early when a view of another daemon arrives.
func (r *Registry) sleep(ctx context.Context, span clock.Milli) {
	hearing := r.hearing
	if !r.inactive() {
		hearing = nil
	}
	sleep(ctx, span, hearing)
}

// sleep waits for a span, until ctx is done or until wake receives.
func sleep(ctx context.Context, span clock.Milli, wake <-chan struct{}) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}
