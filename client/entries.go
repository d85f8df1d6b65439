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
)

// entry is a daemon that the client may ask.
type entry struct {
	caller.Entry
	calls *caller.Client
	http  *http.Client
	// doubt is set from the time that the daemon gave no answer until it answers again. From the
	// instant due on, in microseconds, a probe finds out.
	doubt   atomic.Bool
	due     atomic.Int64
	probing atomic.Bool
	// heard is the instant of the last word from the daemon, and worked that of its last answer to a
	// request, both in microseconds.
	heard  atomic.Int64
	worked atomic.Int64
}

// avoid makes the daemon one that is asked last, and not probed for a span.
func (e *entry) avoid(now, span clock.Milli) {
	e.due.Store(micro(now + span))
	e.doubt.Store(true)
}

// hear notes that the daemon answered.
func (e *entry) hear(now clock.Milli) {
	e.heard.Store(micro(now))
	if e.doubt.Load() {
		e.doubt.Store(false)
	}
}

// work notes that the daemon answered a request.
func (e *entry) work(now clock.Milli) {
	e.worked.Store(micro(now))
	e.hear(now)
}

// isSilent reports whether there was no word from the daemon since an instant.
func (e *entry) isSilent(since clock.Milli) bool { return e.heard.Load() < micro(since) }

// isStuck reports whether the daemon has answered no request since an instant.
func (e *entry) isStuck(since clock.Milli) bool { return e.worked.Load() < micro(since) }

func micro(at clock.Milli) int64 { return int64(at * 1000) }

// probe asks the daemon for its entries in the background, only to hear from it. There is one probe
// at a time.
func (c *Client) probe(ctx context.Context, e *entry) {
	if !e.probing.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout.Duration())
	go func() {
		defer cancel()
		defer e.probing.Store(false)
		_, _, err := e.calls.Entries(ctx, c.zone)
		if unanswered(err) {
			e.due.Store(micro(c.now() + c.policy.Avoid))
		} else {
			e.hear(c.now())
		}
	}()
}

// view is an immutable answer to the question which addresses to use.
type view struct {
	entries []*entry
	// near is how many entries at the start share the nearest zone.
	near int
	// renew is when to ask again, and until when to forget the answer.
	renew clock.Milli
	until clock.Milli
}

// renewAt is the part of the time to keep an answer after which it is renewed.
const renewAt = 0.6

func newView(list []*entry, now, keep clock.Milli) *view {
	v := &view{entries: list, renew: now + keep*renewAt, until: now + keep}
	for _, e := range list {
		if e.Zone != list[0].Zone {
			break
		}
		v.near++
	}

	return v
}

// pick returns an entry that was not tried: the near ones before the others, and those in doubt last.
// Turn spreads requests over the near ones. Entries in doubt that are due are handed to probe.
func (v *view) pick(turn uint64, now clock.Milli, tried []*entry, probe func(*entry)) *entry {
	var last *entry
	for i := range v.entries {
		if i < v.near {
			i = int((turn + uint64(i)) % uint64(v.near))
		}
		e := v.entries[i]
		if e.doubt.Load() && micro(now) >= e.due.Load() {
			probe(e)
		}
		if slices.Contains(tried, e) {
			continue
		}
		if !e.doubt.Load() {
			return e
		}
		if last == nil {
			last = e
		}
	}

	return last
}

// find returns the entry with that address, or nil.
func (v *view) find(address string) *entry {
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
		return nil, (&Error{}).with("", err)
	}
	list := make([]caller.Entry, 0, len(v.entries))
	for _, e := range v.entries {
		list = append(list, e.Entry)
	}

	return list, nil
}

// current returns the entries to use. Only when there are none, or they ran out, does it wait.
func (c *Client) current(ctx context.Context) (*view, error) {
	v, now := c.view.Load(), c.now()
	if v != nil && now < v.until {
		if now >= v.renew && c.renewing.CompareAndSwap(false, true) {
			go c.renew(context.WithoutCancel(ctx))
		}

		return v, nil
	}

	return c.ask(ctx, v)
}

// askTimeout bounds the wait for one daemon's entries.
const askTimeout = clock.Second

// renewWait is the time after a failed renewal before the next one.
const renewWait = 100 * time.Millisecond

// renew asks for the entries ahead of time.
func (c *Client) renew(ctx context.Context) {
	defer c.renewing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, (4 * askTimeout).Duration())
	defer cancel()
	if _, err := c.ask(ctx, c.view.Load()); err != nil {
		time.Sleep(renewWait)
	}
}

// ask asks known daemons and then the seeds for the entries, one caller at a time. It returns at
// once if another one has replaced the old answer meanwhile.
func (c *Client) ask(ctx context.Context, old *view) (*view, error) {
	select {
	case c.asking <- struct{}{}:
		defer func() { <-c.asking }()
	case <-ctx.Done():
		return nil, reason.NewRefusal(reason.Deadline, reason.NotExecuted, "waiting for the entries")
	}
	if v := c.view.Load(); v != old && v != nil && c.now() < v.until {
		return v, nil
	}
	var last error = reason.NewRefusal(reason.Invalid, reason.NotExecuted, "no seed address given")
	for _, e := range c.known(old) {
		v, err := c.askOne(ctx, e, old)
		if err == nil {
			c.view.Store(v)
			c.retire(old, v)

			return v, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}

	return nil, last
}

// known returns the daemons to ask for entries: those of the old answer that are not in doubt, the
// seeds, and the rest.
func (c *Client) known(old *view) []*entry {
	var first, rest []*entry
	if old != nil {
		for _, e := range old.entries {
			if e.doubt.Load() {
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

func (c *Client) askOne(ctx context.Context, e *entry, old *view) (*view, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	now := c.now()
	list, keep, err := e.calls.Entries(ctx, c.zone)
	if err != nil {
		if judge(err).avoid {
			e.avoid(c.now(), c.policy.Avoid)
		}

		return nil, err
	}
	if len(list) == 0 {
		return nil, reason.NewRefusal(reason.Draining, reason.NotExecuted, "no daemon takes callers now")
	}
	entries := make([]*entry, 0, len(list))
	for _, l := range list {
		entries = append(entries, c.reuse(l, old))
	}

	return newView(entries, now, keep), nil
}

// reuse returns the entry of the old answer, with its open connections, or a new one.
func (c *Client) reuse(l caller.Entry, old *view) *entry {
	if old != nil {
		if known := old.find(l.Address); known != nil && known.Zone == l.Zone {
			return known
		}
	}

	return c.entry(l)
}

func (c *Client) entry(l caller.Entry) *entry {
	h := &http.Client{Transport: c.transport()}

	return &entry{Entry: l, http: h, calls: caller.New(l.Address, h, c.now)}
}

// retire closes the idle connections to daemons that are no longer listed.
func (c *Client) retire(old, fresh *view) {
	if old == nil {
		return
	}
	for _, e := range old.entries {
		if fresh.find(e.Address) != e {
			e.http.CloseIdleConnections()
		}
	}
}

// Limits of the connections to one daemon.
const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = time.Minute
	idleConnections = 256
)

// Transport returns the transport that a client uses for each daemon unless it is given another.
func Transport() http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}
