package quarantine

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/clock"
)

// Fingerprint identifies a request by a hash. It is the same for every resend of the request.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// FingerprintOf returns the fingerprint of the request that a service and a text, given in parts, identify.
func FingerprintOf(service string, text ...string) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	for _, part := range text {
		_, _ = d.WriteString(part)
	}

	return Fingerprint(d.Sum64())
}

// Config holds the settings for tracking requests.
type Config struct {
	// Canary is set if a request that was not seen before runs on a single upstream first.
	Canary bool
	// Crashes is the number of crashes that put a request into quarantine.
	Crashes int
	// Window is how long a crash counts, and Hold how long the quarantine lasts.
	Window clock.Milli
	Hold   clock.Milli
	// Known is the number of harmless requests that are remembered.
	Known int
	// Limit is the largest number of requests in quarantine at once. Beyond it, the one that would leave next gives way.
	Limit int
}

// Verdict says how a request may run.
type Verdict int

// The verdicts.
const (
	// Allow lets the request run on any number of upstreams.
	Allow Verdict = iota
	// Isolate lets the request run on one upstream at a time until one has answered it.
	Isolate
	// Wait says that the same request is running alone now.
	Wait
	// Refuse says that the request is in quarantine.
	Refuse
)

// Warning is what is known of a request to which crashes are attributed, in the form that daemons exchange.
type Warning struct {
	Fingerprint Fingerprint
	// Crashes are the IDs of the crashes.
	Crashes []uint64
	// Remaining is how long this remains valid.
	Remaining clock.Milli
}

// suspectLimit is the largest number of suspects that are remembered.
const suspectLimit = 4096

// suspect is a request to which crashes are attributed or that is in quarantine.
type suspect struct {
	crashes     []uint64
	expires     clock.Milli
	quarantined bool
}

// Tracker tracks the requests that one daemon has run and the crashes attributed to them. It is not safe for
// concurrent use.
type Tracker struct {
	config Config
	// passed and olderPassed are two generations of requests that an upstream answered, each with the
	// hash of the upstream's version.
	passed      map[Fingerprint]uint64
	olderPassed map[Fingerprint]uint64
	// isolated are the requests that are running alone.
	isolated map[Fingerprint]struct{}
	suspects map[Fingerprint]*suspect
	// quarantined is the number of suspects in quarantine.
	quarantined int
}

// NewTracker returns a tracker that knows of no request.
func NewTracker(config Config) *Tracker {
	return &Tracker{
		config: config, passed: make(map[Fingerprint]uint64), isolated: make(map[Fingerprint]struct{}),
		suspects: make(map[Fingerprint]*suspect),
	}
}

// Admit returns how a request may run on a version. A trusted request runs alone only once a crash is
// attributed to it. After the verdict to run alone, exactly one call has to record that the request passed
// or that it ended without a result.
func (t *Tracker) Admit(now clock.Milli, p Fingerprint, version string, trusted bool) Verdict {
	s := t.lookup(now, p)
	if s != nil && s.quarantined {
		return Refuse
	}
	if s == nil && (trusted || !t.config.Canary || t.hasPassed(p, version)) {
		return Allow
	}
	if _, ok := t.isolated[p]; ok {
		return Wait
	}
	t.isolated[p] = struct{}{}

	return Isolate
}

// Quarantined reports whether the request is in quarantine.
func (t *Tracker) Quarantined(now clock.Milli, p Fingerprint) bool {
	s := t.lookup(now, p)

	return s != nil && s.quarantined
}

// RecordSuccess records that an upstream of the version answered the request. Unless the request is in
// quarantine, that clears it of an earlier crash, because a request that crashes upstreams crashes each
// of them.
func (t *Tracker) RecordSuccess(p Fingerprint, version string) {
	delete(t.isolated, p)
	if s := t.suspects[p]; s != nil {
		if s.quarantined {
			return
		}
		t.removeSuspect(p)
	}
	if len(t.passed) >= max(1, t.config.Known/2) {
		t.olderPassed, t.passed = t.passed, make(map[Fingerprint]uint64)
	}
	t.passed[p] = xxhash.Sum64String(version)
}

// RecordInconclusive records that the request ran alone and ended without a result.
func (t *Tracker) RecordInconclusive(p Fingerprint) { delete(t.isolated, p) }

// RecordCrash attributes a crash to the request and returns the warning to send to the other daemons.
func (t *Tracker) RecordCrash(now clock.Milli, p Fingerprint, crash uint64) Warning {
	t.Merge(now, Warning{Fingerprint: p, Crashes: []uint64{crash}, Remaining: t.config.Window})

	return t.warning(now, p)
}

// Merge merges a warning of another daemon. It reports whether the warning was news, which has to be passed
// on, and whether it put the request into quarantine.
func (t *Tracker) Merge(now clock.Milli, w Warning) (news, quarantined bool) {
	delete(t.passed, w.Fingerprint)
	delete(t.olderPassed, w.Fingerprint)
	s := t.lookup(now, w.Fingerprint)
	if s == nil {
		s = t.addSuspect(now, w.Fingerprint)
	}
	for _, c := range w.Crashes {
		if !slices.Contains(s.crashes, c) && len(s.crashes) < t.config.Crashes {
			s.crashes = append(s.crashes, c)
			news = true
		}
	}
	if news {
		s.expires = max(s.expires, now+min(w.Remaining, max(t.config.Window, t.config.Hold)))
	}
	if len(s.crashes) < t.config.Crashes {
		return news, false
	}
	span := t.config.Hold
	if len(w.Crashes) >= t.config.Crashes {
		// The other daemon has the request in quarantine. Passing that on must not extend it.
		span = min(w.Remaining, span)
	}

	return news, t.quarantine(s, now+span)
}

// quarantine puts a suspect into quarantine until an instant. It reports false if the suspect was there
// already or nothing may be in quarantine.
func (t *Tracker) quarantine(s *suspect, until clock.Milli) bool {
	if s.quarantined || t.config.Limit <= 0 {
		return false
	}
	if t.quarantined >= t.config.Limit {
		t.removeFirst(func(other *suspect) bool { return other.quarantined })
	}
	s.quarantined, s.expires = true, until
	t.quarantined++

	return true
}

// Warnings returns what is known of all suspects, for a daemon that has just started.
func (t *Tracker) Warnings(now clock.Milli) []Warning {
	list := make([]Warning, 0, len(t.suspects))
	for p := range t.suspects {
		if t.lookup(now, p) != nil {
			list = append(list, t.warning(now, p))
		}
	}

	return list
}

func (t *Tracker) warning(now clock.Milli, p Fingerprint) Warning {
	s := t.suspects[p]

	return Warning{Fingerprint: p, Crashes: slices.Clone(s.crashes), Remaining: s.expires - now}
}

// lookup returns the suspect, or nil if there is none. It removes the suspect if that has expired.
func (t *Tracker) lookup(now clock.Milli, p Fingerprint) *suspect {
	s := t.suspects[p]
	if s == nil || now < s.expires {
		return s
	}
	t.removeSuspect(p)

	return nil
}

// Prune removes the suspects that have expired.
func (t *Tracker) Prune(now clock.Milli) {
	for p := range t.suspects {
		t.lookup(now, p)
	}
}

func (t *Tracker) removeSuspect(p Fingerprint) {
	if t.suspects[p].quarantined {
		t.quarantined--
	}
	delete(t.suspects, p)
}

// addSuspect adds a suspect. When there are too many, it evicts the expired ones, or else the one outside
// quarantine that expires next.
func (t *Tracker) addSuspect(now clock.Milli, p Fingerprint) *suspect {
	if len(t.suspects) >= suspectLimit {
		t.evict(now)
	}
	s := &suspect{}
	t.suspects[p] = s

	return s
}

func (t *Tracker) evict(now clock.Milli) {
	t.Prune(now)
	if len(t.suspects) >= suspectLimit {
		t.removeFirst(func(s *suspect) bool { return !s.quarantined })
	}
}

// removeFirst removes the suspect that expires first of those that match, if any.
func (t *Tracker) removeFirst(match func(*suspect) bool) {
	var first Fingerprint
	var next *suspect
	for p, s := range t.suspects {
		if match(s) && (next == nil || s.expires < next.expires || (s.expires == next.expires && p < first)) {
			first, next = p, s
		}
	}
	if next != nil {
		t.removeSuspect(first)
	}
}

// hasPassed reports whether the request last passed on the version.
func (t *Tracker) hasPassed(p Fingerprint, version string) bool {
	want := xxhash.Sum64String(version)
	if v, ok := t.passed[p]; ok {
		return v == want
	}
	v, ok := t.olderPassed[p]
	if ok && v == want {
		t.passed[p] = v
	}

	return ok && v == want
}
