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
	span, ends clock.Milli
}

type item struct {
	entry store.Entry
	lease string
}

// Store is the stand-in. The zero value is not usable; call New.
type Store struct {
	now      func() clock.Milli
	limits   Limits
	reads    *rate.Limiter
	writes   *rate.Limiter
	mu       sync.Mutex
	revision int64
	// compacted is the revision up to which deletions are forgotten.
	compacted int64
	items     map[string]item
	deleted   map[string]int64
	leases    map[string]lease
	instances []change
	changed   chan struct{}

	faults  Faults
	random  *rand.Rand
	outage  context.Context
	begin   context.CancelFunc
	seconds []Second
}

// New returns an empty store with the usual limits.
func New(now func() clock.Milli) *Store { return NewLimited(now, Usual()) }

// NewLimited returns an empty store.
func NewLimited(now func() clock.Milli, limits Limits) *Store {
	s := &Store{
		now: now, limits: limits, reads: rate.NewLimiter(rate.Limit(limits.Reads), limits.Reads),
		writes: rate.NewLimiter(rate.Limit(limits.Writes), limits.Writes),
		items:  make(map[string]item), deleted: make(map[string]int64), leases: make(map[string]lease),
		changed: make(chan struct{}), random: rand.New(rand.NewPCG(limits.Seed, 1)),
	}
	s.outage, s.begin = context.WithCancel(context.Background())

	return s
}

// Platform returns the calls that the store serves. Limits and faults come with Handler.
func (s *Store) Platform() store.Store {
	return store.Store{
		Get: s.get, List: s.list, ListStale: s.list, Put: s.put, Delete: s.remove, Grant: s.grant, Renew: s.renew,
		Revoke: s.revoke, Watch: s.watch, Instances: s.listInstances,
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

	return s.after(prefix, 0, false), s.revision, nil
}

// after returns the entries under prefix that changed after the revision, in order of their keys.
func (s *Store) after(prefix string, revision int64, gone bool) []store.Entry {
	var list []store.Entry
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && i.entry.Revision > revision {
			list = append(list, i.entry)
		}
	}
	for key, at := range s.deleted {
		if gone && strings.HasPrefix(key, prefix) && at > revision {
			list = append(list, store.Entry{Key: key, Revision: at, Deleted: true})
		}
	}
	slices.SortFunc(list, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })

	return list
}

func (s *Store) put(_ context.Context, key, value string, expect int64, lease string) (store.WriteResult, error) {
	if len(value) > valueLimit {
		return store.WriteResult{}, reason.NewRefusal(reason.Size, reason.NotExecuted, "value over 1 MB")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.items[key].entry
	if expect != store.Any && expect != current.Revision {
		return store.WriteResult{Revision: s.revision, Current: current}, nil
	}
	if _, live := s.leases[lease]; lease != "" && !live {
		return store.WriteResult{}, reason.NewRefusal(reason.Lapsed, reason.NotExecuted, "no such lease")
	}
	s.revision++
	s.items[key] = item{store.Entry{Key: key, Value: value, Revision: s.revision}, lease}
	delete(s.deleted, key)
	s.wake()

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
	s.drop(key)

	return store.WriteResult{Applied: true, Revision: s.revision}, nil
}

func (s *Store) drop(key string) {
	s.revision++
	delete(s.items, key)
	s.deleted[key] = s.revision
	s.compact()
	s.wake()
}

// compact forgets the deletions that are older than the revisions kept.
func (s *Store) compact() {
	oldest := s.revision - s.limits.Kept
	if oldest <= s.compacted+s.limits.Kept/2 {
		return
	}
	s.compacted = oldest
	maps.DeleteFunc(s.deleted, func(_ string, at int64) bool { return at <= oldest })
}

func (s *Store) grant(_ context.Context, span clock.Milli) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := strconv.FormatInt(s.revision, 10)
	s.leases[id] = lease{span: span, ends: s.now() + span}

	return store.Lease{ID: id, Live: true, TTL: span}, nil
}

func (s *Store) renew(_ context.Context, id string) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, live := s.leases[id]
	if live {
		s.leases[id] = lease{span: l.span, ends: s.now() + l.span}
	}

	return store.Lease{ID: id, Live: live, TTL: l.span}, nil
}

func (s *Store) revoke(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)

	return nil
}

func (s *Store) end(id string) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.lease == id {
			s.drop(key)
		}
	}
}

// expire ends the leases whose time is over.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now >= l.ends {
			s.end(id)
		}
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expiryCheck is how often a waiting watch looks for leases that ended.
const expiryCheck = 50 * time.Millisecond

func (s *Store) watch(
	ctx context.Context, prefix string, after int64, wait clock.Milli,
) ([]store.Entry, int64, error) {
	end, tick := time.After(wait.Duration()), time.Tick(expiryCheck)
	for {
		s.mu.Lock()
		s.expire()
		list, revision, changed, old := s.after(prefix, after, true), s.revision, s.changed, after < s.compacted
		s.mu.Unlock()
		if old {
			return nil, 0, reason.NewRefusal(reason.Compacted, reason.NotExecuted, "revision no longer kept; list again")
		}
		if len(list) > 0 {
			return list, revision, nil
		}
		select {
		case <-changed:
		case <-tick:
		case <-end:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, reason.NewRefusal(reason.Cancelled, reason.Executed, "watch cancelled")
		}
	}
}
