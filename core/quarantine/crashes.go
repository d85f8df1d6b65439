package quarantine

import (
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// Period is how long a request that crashes upstreams is refused, and how long a crash counts. Each period costs
	// CrashLimit upstreams while a caller goes on sending the request.
	Period = 10 * clock.Minute
	// CrashLimit is the number of crashes, one after the other, that put a request into quarantine.
	CrashLimit = 2
	// quarantineLimit is the largest number of requests in quarantine at once.
	quarantineLimit = 1024
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
	// Displaced says the same, and that the request took the place of the one that would have left next.
	Displaced
)

// Attempt is the time that a request spent at an upstream, from when it was sent until the connection broke.
type Attempt struct{ Sent, Broken clock.Milli }

// overlaps reports whether both requests were at their upstreams at the same time.
func (v Attempt) overlaps(other Attempt) bool { return v.Sent < other.Broken && other.Sent < v.Broken }

// Prints are the fingerprints of what an upstream ran.
type Prints struct {
	// Request identifies the whole request.
	Request Fingerprint
	// Part identifies the part for one shard. It is 0 unless the request goes to several shards.
	Part Fingerprint
}

// attributedCrash is a crash that was attributed to a request.
type attributedCrash struct {
	Attempt
	id   uint64
	part Fingerprint
}

// CrashDetector attributes crashes of upstreams to the requests that ran there, and decides which requests to
// refuse: those that crash each upstream that runs them and are sent again. A request that goes to several shards
// counts as a whole until an upstream answers it; from then on, its parts count, each by itself. It is not
// safe for concurrent use.
type CrashDetector struct {
	tracker *Tracker
	// lastCrash is the last crash attributed to a request or part, by availability zone.
	lastCrash map[Fingerprint]map[string]attributedCrash
	// answered and olderAnswered are the requests answered since rotatedAt and in the span before.
	answered, olderAnswered map[Fingerprint]struct{}
	rotatedAt               clock.Milli
	// lastProbe is when an upstream was last probed.
	lastProbe map[catalog.Key]clock.Milli
}

// NewCrashDetector returns a detector that knows of no crash.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{
		tracker:   NewTracker(Config{Crashes: CrashLimit, Window: Period, Hold: Period, Limit: quarantineLimit}),
		lastCrash: make(map[Fingerprint]map[string]attributedCrash), answered: make(map[Fingerprint]struct{}),
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
// anything, the warning to send to the other daemons. Upstreams of an availability zone that crash together count once:
// a request that ran on all of them need not be the cause.
func (c *CrashDetector) RecordCrash(now clock.Milli, v Attempt, p Prints, u *catalog.Upstream) (Warning, Change) {
	suspect := p.Request
	if c.answeredLately(now, p.Request) {
		suspect = p.Part
	}
	if suspect == 0 {
		return Warning{}, Unchanged
	}
	if last, known := c.lastCrash[suspect][u.Zone]; known && v.overlaps(last.Attempt) {
		return Warning{}, Unchanged
	}
	id := xxhash.Sum64String(u.ID + " " + strconv.FormatInt(u.StartUnixMilli, 10))
	if c.lastCrash[suspect] == nil {
		c.lastCrash[suspect] = make(map[string]attributedCrash)
	}
	c.lastCrash[suspect][u.Zone] = attributedCrash{Attempt: v, id: id, part: p.Part}
	w := Warning{Fingerprint: suspect, Crashes: []uint64{id}, Remaining: Period}

	return w, c.Merge(now, w)
}

// Merge merges a warning of another daemon and returns what that changes. A request that was answered here a short
// time ago is not suspected, since a request that crashes upstreams crashes each of them.
func (c *CrashDetector) Merge(now clock.Milli, w Warning) Change {
	if c.answeredLately(now, w.Fingerprint) {
		return Unchanged
	}
	full := c.tracker.quarantined >= quarantineLimit
	news, quarantined := c.tracker.Merge(now, w)
	switch {
	case quarantined && full:
		return Displaced
	case quarantined:
		return Quarantined
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

// RecordSuccess records that an upstream answered a request, and reports whether that clears the request, or its part
// for that shard, of a suspicion. The crashes attributed to a request that is cleared then count for its parts.
func (c *CrashDetector) RecordSuccess(now clock.Milli, p Prints) bool {
	c.rotateAnswered(now)
	c.answered[p.Request] = struct{}{}
	cleared := c.clear(now, p.Request)
	if cleared {
		for _, crash := range c.lastCrash[p.Request] {
			if crash.part != 0 {
				c.tracker.Merge(now, Warning{Fingerprint: crash.part, Crashes: []uint64{crash.id}, Remaining: Period})
			}
		}
		delete(c.lastCrash, p.Request)
	}

	return c.clear(now, p.Part) || cleared
}

// clear removes a suspect and reports whether there was one.
func (c *CrashDetector) clear(now clock.Milli, p Fingerprint) bool {
	if c.tracker.lookup(now, p) == nil {
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
	for p, zones := range c.lastCrash {
		maps.DeleteFunc(zones, func(_ string, crash attributedCrash) bool { return now-crash.Broken > Period })
		if len(zones) == 0 {
			delete(c.lastCrash, p)
		}
	}
	for k, at := range c.lastProbe {
		if now-at > probeInterval {
			delete(c.lastProbe, k)
		}
	}
}
