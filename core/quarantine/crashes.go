package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// Period is how long a request that crashes upstreams is refused, and how long a crash counts. Each period costs
	// crashLimit upstreams while a caller goes on sending the request.
	Period = 10 * clock.Minute
	// crashLimit is the number of crashes, one after the other, that put a request into quarantine.
	crashLimit = 2
	// quarantineLimit is the largest number of requests in quarantine at once.
	quarantineLimit = 64
	// probeInterval is the time between two probes of an upstream that broke a connection.
	probeInterval = 200 * clock.Millisecond
	// answeredSpan is how long at least an answer shows that a request does not crash upstreams, and answeredLimit
	// the number of answered requests that are remembered for each such span.
	answeredSpan  = 10 * clock.Second
	answeredLimit = 4096
)

// Change says what a crash changed for the request that it is attributed to.
type Change int

// The changes.
const (
	// Unchanged says that the crash does not count, or was known.
	Unchanged Change = iota
	// Suspected says that the request is suspected of crashing upstreams.
	Suspected
	// Quarantined says that the request is in quarantine from now on.
	Quarantined
	// Overflowed says that the request would be in quarantine, if not too many others were.
	Overflowed
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
	// lastCrash is the attempt that ended with the last crash attributed to a request.
	lastCrash map[Fingerprint]Attempt
	// answered and olderAnswered are the requests answered since rotatedAt and in the span before.
	answered, olderAnswered map[Fingerprint]struct{}
	rotatedAt               clock.Milli
	// lastProbe is when an upstream was last probed.
	lastProbe map[catalog.Key]clock.Milli
}

// NewCrashDetector returns a detector that knows of no crash.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{
		tracker:   NewTracker(Config{Crashes: crashLimit, Window: Period, Hold: Period, Limit: quarantineLimit}),
		lastCrash: make(map[Fingerprint]Attempt), answered: make(map[Fingerprint]struct{}),
		lastProbe: make(map[catalog.Key]clock.Milli),
	}
}

// NextProbe returns when to probe whether an upstream that broke a connection still runs, and records that probe.
func (c *CrashDetector) NextProbe(now clock.Milli, upstream catalog.Key) clock.Milli {
	at := now
	if last, known := c.lastProbe[upstream]; known {
		at = max(now, last+probeInterval)
	}
	c.lastProbe[upstream] = at

	return at
}

// RecordCrash attributes a crash of an upstream to a request that ran there, and returns what that changes and, if
// anything, the warning to send to the other daemons. Upstreams that crash together count once: the request may have
// run on all of them without being the cause.
func (c *CrashDetector) RecordCrash(now clock.Milli, v Attempt, p Fingerprint, upstream catalog.Key) (Warning, Change) {
	if last, known := c.lastCrash[p]; known && v.overlaps(last) {
		return Warning{}, Unchanged
	}
	c.lastCrash[p] = v
	crash := xxhash.Sum64String(upstream.ID + " " + strconv.FormatInt(upstream.StartUnixMilli, 10))
	w := Warning{Fingerprint: p, Crashes: []uint64{crash}, Remaining: Period}

	return w, c.Merge(now, w)
}

// Merge merges a warning of another daemon and returns what that changes. A request that was answered here a short
// time ago is not suspected, since a request that crashes upstreams crashes each of them.
func (c *CrashDetector) Merge(now clock.Milli, w Warning) Change {
	if c.answeredLately(now, w.Fingerprint) {
		return Unchanged
	}
	news, quarantined := c.tracker.Merge(now, w)
	switch {
	case quarantined:
		return Quarantined
	case c.tracker.overflowed(now, w.Fingerprint):
		return Overflowed
	case news:
		return Suspected
	default:
		return Unchanged
	}
}

// Quarantined reports whether a request is in quarantine.
func (c *CrashDetector) Quarantined(now clock.Milli, p Fingerprint) bool {
	return c.tracker.Quarantined(now, p)
}

// RecordSuccess records that an upstream answered a request, and reports whether that clears it of an earlier crash.
// A request in quarantine stays there.
func (c *CrashDetector) RecordSuccess(now clock.Milli, p Fingerprint) bool {
	c.rotateAnswered(now)
	c.answered[p] = struct{}{}
	s := c.tracker.lookup(now, p)
	if s == nil || s.quarantined {
		return false
	}
	c.tracker.removeSuspect(p)

	return true
}

func (c *CrashDetector) answeredLately(now clock.Milli, p Fingerprint) bool {
	c.rotateAnswered(now)
	if _, ok := c.answered[p]; ok {
		return true
	}
	_, ok := c.olderAnswered[p]

	return ok
}

// rotateAnswered starts another span if the current one is over or holds too many requests.
func (c *CrashDetector) rotateAnswered(now clock.Milli) {
	switch age := now - c.rotatedAt; {
	case age >= 2*answeredSpan:
		c.olderAnswered = nil
	case age >= answeredSpan || len(c.answered) >= answeredLimit:
		c.olderAnswered = c.answered
	default:
		return
	}
	c.answered, c.rotatedAt = make(map[Fingerprint]struct{}), now
}

// Empty reports whether no request is suspect or in quarantine.
func (c *CrashDetector) Empty() bool { return len(c.tracker.suspects) == 0 }

// Prune forgets the suspects, attempts and probes that are too old to count.
func (c *CrashDetector) Prune(now clock.Milli) {
	c.tracker.Prune(now)
	for p, v := range c.lastCrash {
		if now-v.Broken > Period {
			delete(c.lastCrash, p)
		}
	}
	for k, at := range c.lastProbe {
		if now-at > probeInterval {
			delete(c.lastProbe, k)
		}
	}
}
