package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historySpan is how long the store keeps its events.
	historySpan = 20 * time.Second
	// pageItems and pageBytes limit a page of a range read.
	pageItems = 500
	pageBytes = 1 << 20
	// storeLatency is the time that an answer takes.
	storeLatency = 4 * time.Millisecond
)

// item is a key with its value, or the deletion of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pastEvent is an event with the time at which it leaves the history.
type pastEvent struct {
	item
	expires time.Time
}

// lease is a lease with its time to live.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store. Each daemon reaches it by a listener of its own.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	leases   map[int64]lease
	history  []pastEvent
	// dropped is the newest revision whose event has left the history.
	dropped   int64
	lastLease int64
	changed   chan struct{}
}

func newStore() *store {
	return &store{
		revision: 1, items: make(map[string]item), leases: make(map[int64]lease), changed: make(chan struct{}),
		lastLease: 100,
	}
}

// run ends leases and drops old events until ctx ends.
func (s *store) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		s.expire(time.Now())
		s.mu.Unlock()
	}
}

// expire ends leases and drops old events. The lock is held.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.After(s.history[0].expires) {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// endLease ends a lease and removes its keys. The lock is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.change(key, nil, 0, true)
	}
}

// change writes or removes a key in a new revision. The lock is held.
func (s *store) change(key string, value []byte, leaseID int64, remove bool) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, Deleted: remove}
	if old, ok := s.items[key]; ok && !remove {
		i.Created = old.Created
	}
	if remove {
		i = item{Key: key, Revision: s.revision, Deleted: true}
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, pastEvent{i, time.Now().Add(historySpan)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or an upstream does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(key, value, 0, false)
}

// remove removes a key as the operator or an upstream does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.change(key, nil, 0, true)
	}
}

// value returns the value of a key, or "".
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return string(s.items[key].Value)
}

// link is the path of one daemon to the store, which can be cut.
type link struct {
	store *store
	mu    sync.Mutex
	// cut is closed when the path is cut, and healed when it is whole again.
	cut    chan struct{}
	healed chan struct{}
}

func newLink(s *store) *link {
	l := &link{store: s, cut: make(chan struct{}), healed: make(chan struct{})}
	close(l.healed)

	return l
}

// setCut cuts the path, so that nothing passes in either direction, or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut {
		close(l.cut)
		l.healed = make(chan struct{})

		return
	}
	close(l.healed)
	l.cut = make(chan struct{})
}

func (l *link) channels() (cut, healed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.cut, l.healed
}

// ServeHTTP answers a call. A call that meets a cut gets no answer: its connection is silent until the caller gives up.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cut, healed := l.channels()
	select {
	case <-healed:
	default:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	status, reply := l.store.answer(r, body, cut)
	select {
	case <-cut:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
	if reply == nil {
		w.WriteHeader(status)

		return
	}
	text, err := json.Marshal(reply)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)

		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// pageReply is the answer to a range read or a watch.
type pageReply struct {
	Items   []item `json:"items,omitempty"`
	Events  []item `json:"events,omitempty"`
	More    bool   `json:"hasMore"`
	Current int64  `json:"currentRev"`
}

// keyReply is the answer to the read of a key.
type keyReply struct {
	item
	Current int64 `json:"currentRev"`
}

// leaseMessage is a lease in calls and answers.
type leaseMessage struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttlMs"`
}

// txnMessage is a transaction, and txnReply its answer.
type txnMessage struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

type txnReply struct {
	Revision int64  `json:"revision,omitempty"`
	Items    []item `json:"items,omitempty"`
}

// answer returns the status and the body of the answer to a call, whose body may be nil.
func (s *store) answer(r *http.Request, body []byte, cut <-chan struct{}) (int, any) {
	query := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/-/")
	name, id, _ := strings.Cut(path, "/")
	number, _ := strconv.ParseInt(id, 10, 64)
	switch name {
	case "kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)

		return s.watch(r.Context(), query.Get("prefix"), after, time.Duration(wait)*time.Millisecond, cut)
	case "kv-key":
		return s.readKey(query.Get("key"))
	case "kv-range":
		return s.readRange(query.Get("prefix"), query.Get("after"))
	case "kv-txn":
		return s.commit(body)
	case "kv-lease":
		return s.grant(body)
	case "kv-keep":
		return s.keep(number)
	case "kv-lease-end":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(number)

		return http.StatusOK, nil
	default:
		return http.StatusNotFound, nil
	}
}

func (s *store) readKey(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}

	return http.StatusOK, keyReply{i, s.revision}
}

func (s *store) readRange(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	reply := pageReply{Current: s.revision}
	size := 0
	for n, key := range keys {
		if n == pageItems || (n > 0 && size+len(s.items[key].Value) > pageBytes) {
			reply.More = true

			break
		}
		size += len(s.items[key].Value)
		reply.Items = append(reply.Items, s.items[key])
	}

	return http.StatusOK, reply
}

// watch waits for events after a revision.
func (s *store) watch(
	ctx context.Context, prefix string, after int64, wait time.Duration, cut <-chan struct{},
) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()

			return http.StatusGone, nil
		}
		reply := pageReply{Current: s.revision}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				reply.Events = append(reply.Events, e.item)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(reply.Events) > 0 {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, reply
		case <-ctx.Done():
			return http.StatusOK, reply
		case <-cut:
			return http.StatusOK, reply
		}
	}
}

func (s *store) commit(body []byte) (int, any) {
	var t txnMessage
	if err := json.Unmarshal(body, &t); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if t.foreign() {
		return http.StatusForbidden, nil
	}
	failed, reply := false, txnReply{}
	for _, e := range t.Expected {
		current, ok := s.items[e.Key]
		if ok {
			reply.Items = append(reply.Items, current)
		}
		failed = failed || current.Revision != e.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, reply
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Puts {
		s.change(p.Key, p.Value, p.Lease, false)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.change(key, nil, 0, true)
		}
	}

	return http.StatusOK, txnReply{Revision: s.revision}
}

// foreign reports whether the transaction writes a key that the system may not write.
func (t *txnMessage) foreign() bool {
	keys := append([]string(nil), t.Remove...)
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			return true
		}
	}

	return false
}

func (s *store) grant(body []byte) (int, any) {
	var m leaseMessage
	if err := json.Unmarshal(body, &m); err != nil || m.TTLMs < 1000 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(m.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}

	return http.StatusOK, leaseMessage{Lease: s.lastLease, TTLMs: m.TTLMs}
}

func (s *store) keep(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l

	return http.StatusOK, leaseMessage{TTLMs: l.ttl.Milliseconds()}
}
