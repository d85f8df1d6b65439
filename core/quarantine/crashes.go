package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// Span is how long a request that crashes upstreams is refused.
	Span = clock.Minute
	// crashLimit is how many crashes of one service's upstreams, one after the other, put a request into
	// quarantine, and crashWindow for how long a crash counts.
	crashLimit  = 2
	crashWindow = clock.Minute
	// heldLimit is how many requests are in quarantine at once at most.
	heldLimit = 64
	// checkEvery is the time between two checks whether an upstream that broke a connection is there.
	checkEvery = 200 * clock.Millisecond
)

// Visit is a request at an upstream, from when it was sent until the connection broke.
type Visit struct{ Sent, Broken clock.Milli }

// overlaps reports whether both were at the same time.
func (v Visit) overlaps(other Visit) bool { return v.Sent < other.Broken && other.Sent < v.Broken }

// Crashes ties crashes of upstreams to the requests that ran there, and tells which requests to refuse:
// those that crash each upstream that runs them and are sent again. It is not safe for concurrent use.
type Crashes struct {
	list *List
	// last is the visit that ended with the last crash tied to a request.
	last map[Print]Visit
	// checked is when an upstream was looked for last.
	checked map[catalog.Key]clock.Milli
}

// NewCrashes returns a Crashes that knows of none.
func NewCrashes() *Crashes {
	return &Crashes{
		list: New(Terms{Crashes: crashLimit, Window: crashWindow, Hold: Span, Limit: heldLimit}),
		last: make(map[Print]Visit), checked: make(map[catalog.Key]clock.Milli),
	}
}

// Due reports whether to look now if an upstream is there that broke a connection.
func (c *Crashes) Due(now clock.Milli, upstream catalog.Key) bool {
	if at, known := c.checked[upstream]; known && now-at < checkEvery {
		return false
	}
	c.checked[upstream] = now

	return true
}

// Tie ties a crash of an upstream to a request that visited it, and reports whether that puts the request
// into quarantine. Upstreams that crash together count once: the request may have run on all of them
// without being the cause.
func (c *Crashes) Tie(now clock.Milli, v Visit, p Print, upstream catalog.Key) bool {
	if last, known := c.last[p]; known && v.overlaps(last) {
		return false
	}
	c.last[p] = v
	crash := xxhash.Sum64String(upstream.ID + " " + strconv.FormatInt(upstream.Born, 10))
	_, held := c.list.Learn(now, Entry{Print: p, Crashes: []uint64{crash}, Left: crashWindow})

	return held
}

// Hold puts a request into quarantine that another daemon found to crash upstreams.
func (c *Crashes) Hold(now clock.Milli, p Print) { c.list.Hold(now, p) }

// Held reports whether a request is in quarantine.
func (c *Crashes) Held(now clock.Milli, p Print) bool { return c.list.Held(now, p) }

// Passed clears a request of an earlier crash, as an upstream answered it.
func (c *Crashes) Passed(p Print) { c.list.Passed(p, "") }

// Empty reports whether nothing is known against any request.
func (c *Crashes) Empty() bool { return len(c.list.suspects) == 0 }

// Keep forgets what does not count any more.
func (c *Crashes) Keep(now clock.Milli) {
	for p, v := range c.last {
		if now-v.Broken > crashWindow {
			delete(c.last, p)
		}
	}
	for k, at := range c.checked {
		if now-at > checkEvery {
			delete(c.checked, k)
		}
	}
}
