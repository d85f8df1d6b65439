package platform

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"

	"golang.org/x/time/rate"
)

// valueLimit is the size of the largest value, in bytes.
const valueLimit = 1 << 20

type lease struct {
	ttl, expiresAt clock.Milli
}

type item struct {
	entry store.Entry
	lease string
}

// Store is an in-memory key-value store with leases and watches. The zero value is not usable; call New.
type Store struct {
	now      func() clock.Milli
	limits   Limits
	reads    *rate.Limiter
	writes   *rate.Limiter
	mu       sync.Mutex
	revision int64
	// generation is how often the store was restored from a copy.
	generation int64
	// compacted is the revision up to which deletions are no longer kept.
	compacted int64
	items     map[string]item
	// deleted holds the revision of each deletion that is still kept.
	deleted   map[string]int64
	leases    map[string]lease
	instances []instanceChange
	// changed is closed and replaced at each change.
	changed chan struct{}

	faults Faults
	random *rand.Rand
	// outage is cancelled by beginOutage.
	outage      context.Context
	beginOutage context.CancelFunc
	seconds     []SecondCounts
}

// New returns an empty store with the default limits.
func New(now func() clock.Milli) *Store { return NewWithLimits(now, DefaultLimits()) }

// NewWithLimits returns an empty store with the given limits.
func NewWithLimits(now func() clock.Milli, limits Limits) *Store {
	s := &Store{
		now: now, limits: limits, reads: rate.NewLimiter(rate.Limit(limits.ReadRate), limits.ReadRate),
		writes: rate.NewLimiter(rate.Limit(limits.WriteRate), limits.WriteRate),
		items:  make(map[string]item), deleted: make(map[string]int64), leases: make(map[string]lease),
		changed: make(chan struct{}), random: rand.New(rand.NewPCG(limits.Seed, 1)),
	}
	s.outage, s.beginOutage = context.WithCancel(context.Background())

	return s
}

// Operations returns the operations of the store, without the limits and faults that Handler applies.
func (s *Store) Operations() store.Store {
	return store.Store{
		Get: s.get, List: s.list, ListStale: s.list, Put: s.put, Delete: s.remove, Grant: s.grant, Renew: s.renew,
		Revoke: s.revoke, Watch: s.watch, Instances: s.listInstances, Generation: s.currentGeneration,
	}
}

func (s *Store) get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()

	return s.items[key].entry, nil
}

func (s *Store) list(_ context.Context, prefix string) ([]store.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()

	return s.changedSince(prefix, 0, false), s.revision, nil
}

// changedSince returns the entries under prefix that changed after the revision, sorted by key. It includes
// deletions if withDeleted is set.
func (s *Store) changedSince(prefix string, revision int64, withDeleted bool) []store.Entry {
	var list []store.Entry
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && i.entry.Revision > revision {
			list = append(list, i.entry)
		}
	}
	for key, at := range s.deleted {
		if withDeleted && strings.HasPrefix(key, prefix) && at > revision {
			list = append(list, store.Entry{Key: key, Revision: at, Deleted: true})
		}
	}
	slices.SortFunc(list, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })

	return list
}

func (s *Store) put(_ context.Context, key, value string, expect int64, lease string) (store.WriteResult, error) {
	if len(value) > valueLimit {
		return store.WriteResult{}, reason.NewRefusal(reason.Size, reason.NotExecuted, "value is larger than 1 MB")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.items[key].entry
	if expect != store.Any && expect != current.Revision {
		return store.WriteResult{Revision: s.revision, Current: current}, nil
	}
	if _, live := s.leases[lease]; lease != "" && !live {
		return store.WriteResult{}, reason.NewRefusal(reason.Lapsed, reason.NotExecuted, "lease does not exist")
	}
	s.revision++
	created := current.Created
	if current.Revision == 0 {
		created = s.revision
	}
	s.items[key] = item{store.Entry{Key: key, Value: value, Revision: s.revision, Created: created}, lease}
	delete(s.deleted, key)
	s.notifyWatches()

	return store.WriteResult{Applied: true, Revision: s.revision}, nil
}

func (s *Store) remove(_ context.Context, key string, expect int64) (store.WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.items[key].entry
	if current.Revision == 0 || (expect != store.Any && expect != current.Revision) {
		return store.WriteResult{Revision: s.revision, Current: current}, nil
	}
	s.deleteKey(key)

	return store.WriteResult{Applied: true, Revision: s.revision}, nil
}

// deleteKey deletes a key in a new revision.
func (s *Store) deleteKey(key string) {
	s.revision++
	delete(s.items, key)
	s.deleted[key] = s.revision
	s.compact()
	s.notifyWatches()
}

// compact discards the deletions older than the revisions kept. It does so only after another half of that
// number of revisions.
func (s *Store) compact() {
	oldest := s.revision - s.limits.KeptRevisions
	if oldest <= s.compacted+s.limits.KeptRevisions/2 {
		return
	}
	s.compacted = oldest
	maps.DeleteFunc(s.deleted, func(_ string, at int64) bool { return at <= oldest })
}

func (s *Store) grant(_ context.Context, ttl clock.Milli) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := strconv.FormatInt(s.revision, 10)
	s.leases[id] = lease{ttl: ttl, expiresAt: s.now() + ttl}

	return store.Lease{ID: id, Live: true, TTL: ttl}, nil
}

func (s *Store) renew(_ context.Context, id string) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, live := s.leases[id]
	if live {
		s.leases[id] = lease{ttl: l.ttl, expiresAt: s.now() + l.ttl}
	}

	return store.Lease{ID: id, Live: live, TTL: l.ttl}, nil
}

func (s *Store) revoke(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)

	return nil
}

// endLease removes a lease and deletes its keys.
func (s *Store) endLease(id string) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.lease == id {
			s.deleteKey(key)
		}
	}
}

// expire ends the leases whose TTL has passed.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now >= l.expiresAt {
			s.endLease(id)
		}
	}
}

// notifyWatches makes the waiting watches look for changes.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expiryCheck is the interval at which a waiting watch checks for expired leases.
const expiryCheck = 50 * time.Millisecond

func (s *Store) watch(
	ctx context.Context, prefix string, after int64, wait clock.Milli,
) ([]store.Entry, int64, error) {
	timeout, tick := time.After(wait.Duration()), time.Tick(expiryCheck)
	for {
		s.mu.Lock()
		s.expire()
		list, revision, changed := s.changedSince(prefix, after, true), s.revision, s.changed
		compacted := after < s.compacted || after > revision
		s.mu.Unlock()
		if compacted {
			return nil, 0, reason.NewRefusal(reason.Compacted, reason.NotExecuted, "revision is no longer kept; list again")
		}
		if len(list) > 0 {
			return list, revision, nil
		}
		select {
		case <-changed:
		case <-tick:
		case <-timeout:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, reason.NewRefusal(reason.Cancelled, reason.Executed, "watch cancelled")
		}
	}
}
