package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// Period is how long a request that crashes upstreams is refused.
	Period = clock.Minute
	// crashLimit is the number of crashes of one service's upstreams, one after the other, that put a
	// request into quarantine, and crashWindow how long a crash counts.
	crashLimit  = 2
	crashWindow = clock.Minute
	// quarantineLimit is the largest number of requests in quarantine at once.
	quarantineLimit = 64
	// probeInterval is the time between two probes of an upstream that broke a connection.
	probeInterval = 200 * clock.Millisecond
)

// Attempt is the time that a request spent at an upstream, from when it was sent until the connection broke.
type Attempt struct{ Sent, Broken clock.Milli }

// overlaps reports whether both requests were at their upstreams at the same time.
func (v Attempt) overlaps(other Attempt) bool { return v.Sent < other.Broken && other.Sent < v.Broken }

// CrashDetector attributes crashes of upstreams to the requests that ran there, and decides which requests to
// refuse: those that crash each upstream that runs them and are sent again. It is not safe for
// concurrent use.
type CrashDetector struct {
	tracker *Tracker
	// lastCrash is the visit that ended with the last crash attributed to a request.
	lastCrash map[Fingerprint]Attempt
	// lastProbe is when an upstream was last probed.
	lastProbe map[catalog.Key]clock.Milli
}

// NewCrashDetector returns a detector that knows of no crash.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{
		tracker:   NewTracker(Config{Crashes: crashLimit, Window: crashWindow, Hold: Period, Limit: quarantineLimit}),
		lastCrash: make(map[Fingerprint]Attempt), lastProbe: make(map[catalog.Key]clock.Milli),
	}
}

// ShouldProbe reports whether to probe now whether an upstream that broke a connection still runs, and records
// the probe if so.
func (c *CrashDetector) ShouldProbe(now clock.Milli, upstream catalog.Key) bool {
	if at, known := c.lastProbe[upstream]; known && now-at < probeInterval {
		return false
	}
	c.lastProbe[upstream] = now

	return true
}

// RecordCrash attributes a crash of an upstream to a request that ran there, and reports whether that puts the
// request into quarantine. Upstreams that crash together count once: the request may have run on all of
// them without being the cause.
func (c *CrashDetector) RecordCrash(now clock.Milli, v Attempt, p Fingerprint, upstream catalog.Key) bool {
	if last, known := c.lastCrash[p]; known && v.overlaps(last) {
		return false
	}
	c.lastCrash[p] = v
	crash := xxhash.Sum64String(upstream.ID + " " + strconv.FormatInt(upstream.StartUnixMilli, 10))
	_, quarantined := c.tracker.Merge(now, Warning{Fingerprint: p, Crashes: []uint64{crash}, Remaining: crashWindow})

	return quarantined
}

// Quarantine puts a request into quarantine that another daemon found to crash upstreams.
func (c *CrashDetector) Quarantine(now clock.Milli, p Fingerprint) { c.tracker.Quarantine(now, p) }

// Quarantined reports whether a request is in quarantine.
func (c *CrashDetector) Quarantined(now clock.Milli, p Fingerprint) bool {
	return c.tracker.Quarantined(now, p)
}

// Suspected reports whether a crash is attributed to a request that is not in quarantine.
func (c *CrashDetector) Suspected(now clock.Milli, p Fingerprint) bool {
	s := c.tracker.lookup(now, p)

	return s != nil && !s.quarantined
}

// RecordSuccess clears a request of earlier crashes because an upstream answered it. A request in quarantine
// stays there.
func (c *CrashDetector) RecordSuccess(p Fingerprint) { c.tracker.RecordSuccess(p, "") }

// Empty reports whether no request is suspect or in quarantine.
func (c *CrashDetector) Empty() bool { return len(c.tracker.suspects) == 0 }

// Prune forgets the suspects, visits and probes that are too old to count.
func (c *CrashDetector) Prune(now clock.Milli) {
	c.tracker.Prune(now)
	for p, v := range c.lastCrash {
		if now-v.Broken > crashWindow {
			delete(c.lastCrash, p)
		}
	}
	for k, at := range c.lastProbe {
		if now-at > probeInterval {
			delete(c.lastProbe, k)
		}
	}
}
