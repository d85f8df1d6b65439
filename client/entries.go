package client

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/caller"
	"jacinthferry/io/rpc"
)

// entry is a daemon to which the client can send requests, with its connections and health state.
type entry struct {
	caller.Entry
	client     *caller.Client
	httpClient *http.Client
	// avoided is set when the daemon fails to serve a request and cleared when it answers again. A probe may be
	// sent from the time nextProbe on, in microseconds.
	avoided   atomic.Bool
	nextProbe atomic.Int64
	probing   atomic.Bool
	// lastContact is the time of the last answer of any kind from the daemon, and lastAnswer that of its
	// last answer to a request, both in microseconds.
	lastContact atomic.Int64
	lastAnswer  atomic.Int64
}

// markAvoided makes the daemon the last choice, and schedules its next probe span from now.
func (e *entry) markAvoided(now, span clock.Milli) {
	e.nextProbe.Store(microseconds(now + span))
	e.avoided.Store(true)
}

// recordContact records that the daemon answered a request or a probe.
func (e *entry) recordContact(now clock.Milli) {
	e.lastContact.Store(microseconds(now))
	if e.avoided.Load() {
		e.avoided.Store(false)
	}
}

// recordAnswer records that the daemon answered a request.
func (e *entry) recordAnswer(now clock.Milli) {
	e.lastAnswer.Store(microseconds(now))
	e.recordContact(now)
}

// isSilent reports whether the daemon has answered neither a request nor a probe since the given time.
func (e *entry) isSilent(since clock.Milli) bool { return e.lastContact.Load() < microseconds(since) }

// isStuck reports whether the daemon has answered no request since the given time.
func (e *entry) isStuck(since clock.Milli) bool { return e.lastAnswer.Load() < microseconds(since) }

func microseconds(at clock.Milli) int64 { return int64(at * 1000) }

// probe requests the entries from the daemon in the background, only to learn whether it answers. Each
// daemon has at most one probe in flight.
func (c *Client) probe(ctx context.Context, e *entry) {
	if !e.probing.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout.Duration())
	go func() {
		defer cancel()
		defer e.probing.Store(false)
		_, _, err := e.client.Entries(ctx, c.zone)
		if isUnanswered(err) {
			e.nextProbe.Store(microseconds(c.now() + c.policy.Avoid))
		} else {
			e.recordContact(c.now())
		}
	}()
}

// entryList is an immutable list of the daemons to use, with its expiry.
type entryList struct {
	entries []*entry
	// nearCount is the number of entries at the start that share the nearest zone.
	nearCount int
	// refreshAt is when to fetch the list again, and expiresAt when it must no longer be used.
	refreshAt clock.Milli
	expiresAt clock.Milli
}

// refreshFraction is the fraction of a list's TTL after which it is refreshed.
const refreshFraction = 0.6

func newEntryList(list []*entry, now, ttl clock.Milli) *entryList {
	v := &entryList{entries: list, refreshAt: now + ttl*refreshFraction, expiresAt: now + ttl}
	for _, e := range list {
		if e.Zone != list[0].Zone {
			break
		}
		v.nearCount++
	}

	return v
}

// pick returns an entry that was not tried: near ones before the others, and avoided ones last. The
// round-robin offset spreads requests over the near ones. It calls probe for each avoided entry whose
// next probe is due.
func (v *entryList) pick(offset uint64, now clock.Milli, tried []*entry, probe func(*entry)) *entry {
	var fallback *entry
	for i := range v.entries {
		if i < v.nearCount {
			i = int((offset + uint64(i)) % uint64(v.nearCount))
		}
		e := v.entries[i]
		if e.avoided.Load() && microseconds(now) >= e.nextProbe.Load() {
			probe(e)
		}
		if slices.Contains(tried, e) {
			continue
		}
		if !e.avoided.Load() {
			return e
		}
		if fallback == nil {
			fallback = e
		}
	}

	return fallback
}

// find returns the entry with the given address, or nil.
func (v *entryList) find(address string) *entry {
	for _, e := range v.entries {
		if e.Address == address {
			return e
		}
	}

	return nil
}

// Entries returns the addresses to use, nearest first. The error is a *Error.
func (c *Client) Entries(ctx context.Context) ([]caller.Entry, error) {
	v, err := c.current(ctx)
	if err != nil {
		return nil, (&Error{}).withAttempt("", err)
	}
	list := make([]caller.Entry, 0, len(v.entries))
	for _, e := range v.entries {
		list = append(list, e.Entry)
	}

	return list, nil
}

// current returns the entries to use. It blocks only when there are none or they have expired.
func (c *Client) current(ctx context.Context) (*entryList, error) {
	v, now := c.cached.Load(), c.now()
	if v != nil && now < v.expiresAt {
		if now >= v.refreshAt && c.refreshing.CompareAndSwap(false, true) {
			go c.refresh(context.WithoutCancel(ctx))
		}

		return v, nil
	}

	return c.fetch(ctx, v)
}

// fetchTimeout limits a request for entries to one daemon.
const fetchTimeout = clock.Second

// refreshRetryDelay is the delay between a failed refresh and the next one.
const refreshRetryDelay = 100 * time.Millisecond

// refresh fetches the entries before the cached ones expire.
func (c *Client) refresh(ctx context.Context) {
	defer c.refreshing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, (4 * fetchTimeout).Duration())
	defer cancel()
	if _, err := c.fetch(ctx, c.cached.Load()); err != nil {
		time.Sleep(refreshRetryDelay)
	}
}

// fetch fetches the entries from the candidates in turn, for one goroutine at a time. It returns the
// cached list if another goroutine has replaced the old one meanwhile.
func (c *Client) fetch(ctx context.Context, old *entryList) (*entryList, error) {
	select {
	case c.fetchLock <- struct{}{}:
		defer func() { <-c.fetchLock }()
	case <-ctx.Done():
		return nil, reason.NewRefusal(
			reason.Deadline, reason.NotExecuted, "gave up waiting for another request to fetch the entries",
		)
	}
	if v := c.cached.Load(); v != old && v != nil && c.now() < v.expiresAt {
		return v, nil
	}
	var lastErr error = reason.NewRefusal(reason.Invalid, reason.NotExecuted, "client has no seed addresses")
	for _, e := range c.candidates(old) {
		v, err := c.fetchFrom(ctx, e, old)
		if err == nil {
			c.cached.Store(v)
			c.closeUnlisted(old, v)

			return v, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}

	return nil, lastErr
}

// candidates returns the daemons from which to fetch entries, in order: those of the old list that are
// not avoided, the seeds, and the avoided ones.
func (c *Client) candidates(old *entryList) []*entry {
	var first, rest []*entry
	if old != nil {
		for _, e := range old.entries {
			if e.avoided.Load() {
				rest = append(rest, e)
			} else {
				first = append(first, e)
			}
		}
	}
	for _, seed := range c.seeds {
		if old == nil || old.find(seed.Address) == nil {
			first = append(first, seed)
		}
	}

	return append(first, rest...)
}

func (c *Client) fetchFrom(ctx context.Context, e *entry, old *entryList) (*entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	now := c.now()
	list, ttl, err := e.client.Entries(ctx, c.zone)
	if err != nil {
		if decideRetry(err).avoid {
			e.markAvoided(c.now(), c.policy.Avoid)
		}

		return nil, err
	}
	if len(list) == 0 {
		return nil, reason.NewRefusal(
			reason.Draining, reason.NotExecuted, "daemon returned an empty list: no daemon accepts callers now",
		)
	}
	entries := make([]*entry, 0, len(list))
	for _, l := range list {
		entries = append(entries, c.reuse(l, old))
	}

	return newEntryList(entries, now, ttl), nil
}

// reuse returns the entry from the old list, with its open connections, or a new one.
func (c *Client) reuse(l caller.Entry, old *entryList) *entry {
	if old != nil {
		if known := old.find(l.Address); known != nil && known.Zone == l.Zone {
			return known
		}
	}

	return c.newEntry(l)
}

func (c *Client) newEntry(l caller.Entry) *entry {
	h := &http.Client{Transport: rpc.CheckStatus(c.newTransport())}

	return &entry{Entry: l, httpClient: h, client: caller.NewClient(l.Address, h, c.now)}
}

// closeUnlisted closes the idle connections to daemons that are no longer listed.
func (c *Client) closeUnlisted(old, fresh *entryList) {
	if old == nil {
		return
	}
	for _, e := range old.entries {
		if fresh.find(e.Address) != e {
			e.httpClient.CloseIdleConnections()
		}
	}
}

// Limits on the connections to one daemon.
const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = time.Minute
	idleConnections = 256
	// maxHeaderBytes is the size of the largest header of a response.
	maxHeaderBytes = 64 << 10
)

// Transport returns a new transport with the default limits, which a client uses for one daemon unless
// WithTransport is called.
func Transport() http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
