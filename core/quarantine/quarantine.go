package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/clock"
)

// Print is the fingerprint of a request: the same for every resend of it.
type Print uint64

// Of returns the fingerprint of a text searched in a service.
func Of(service, text string) Print {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(text)

	return Print(d.Sum64())
}

// Terms are the limits of a List.
type Terms struct {
	// Canary is set if a request that was not seen before goes to one upstream alone first.
	Canary bool
	// Crashes is how many crashes put a request into quarantine.
	Crashes int
	// Window is for how long a crash counts, and Hold how long the quarantine lasts.
	Window clock.Milli
	Hold   clock.Milli
	// Known is how many good requests are remembered.
	Known int
	// Limit is how many requests are in quarantine at once at most.
	Limit int
}

// Verdict says how a request may run.
type Verdict int

// The verdicts.
const (
	// Free lets the request run.
	Free Verdict = iota
	// Alone lets it run on one upstream at a time until Passed.
	Alone
	// Wait says that the same request runs alone now.
	Wait
	// Refuse says that the request is in quarantine.
	Refuse
)

// Entry is what is known of a request tied to crashes, in the form that daemons tell each other.
type Entry struct {
	Print Print
	// Crashes are the ids of the crashes.
	Crashes []uint64
	// Left is for how long the entry still holds.
	Left clock.Milli
}

// suspectLimit is how many requests tied to a crash are remembered.
const suspectLimit = 1024

type suspect struct {
	crashes []uint64
	until   clock.Milli
	held    bool
}

// List is what one daemon knows of requests.
type List struct {
	terms    Terms
	known    map[Print]uint64
	older    map[Print]uint64
	running  map[Print]struct{}
	suspects map[Print]*suspect
	held     int
}

// New returns a list that knows nothing.
func New(terms Terms) *List {
	return &List{
		terms: terms, known: make(map[Print]uint64), running: make(map[Print]struct{}),
		suspects: make(map[Print]*suspect),
	}
}

// Ask returns how a request may run on a version. One that is trusted runs alone only once it is tied
// to a crash. After Alone, exactly one of Passed and Ended has to follow.
func (l *List) Ask(now clock.Milli, p Print, version string, trusted bool) Verdict {
	s := l.suspect(now, p)
	if s != nil && s.held {
		return Refuse
	}
	if s == nil && (trusted || !l.terms.Canary || l.good(p, version)) {
		return Free
	}
	if _, ok := l.running[p]; ok {
		return Wait
	}
	l.running[p] = struct{}{}

	return Alone
}

// Held reports whether the request is in quarantine.
func (l *List) Held(now clock.Milli, p Print) bool {
	s := l.suspect(now, p)

	return s != nil && s.held
}

// Passed says that an upstream of the version answered the request, which clears it of an earlier
// crash: one that crashes its upstreams crashes each of them.
func (l *List) Passed(p Print, version string) {
	delete(l.running, p)
	if s := l.suspects[p]; s != nil {
		if s.held {
			return
		}
		l.forget(p)
	}
	if len(l.known) >= max(1, l.terms.Known/2) {
		l.older, l.known = l.known, make(map[Print]uint64)
	}
	l.known[p] = xxhash.Sum64String(version)
}

// Ended says that the request ran alone and showed nothing.
func (l *List) Ended(p Print) { delete(l.running, p) }

// Lost ties a crash to the request and returns what to tell the other daemons.
func (l *List) Lost(now clock.Milli, p Print, crash uint64) Entry {
	l.Learn(now, Entry{Print: p, Crashes: []uint64{crash}, Left: l.terms.Window})

	return l.entry(now, p)
}

// Learn takes what another daemon knows. It reports whether that was news, which has to be passed on,
// and whether it put the request into quarantine.
func (l *List) Learn(now clock.Milli, e Entry) (news, held bool) {
	delete(l.known, e.Print)
	delete(l.older, e.Print)
	s := l.suspect(now, e.Print)
	if s == nil {
		s = l.room(now, e.Print)
	}
	for _, c := range e.Crashes {
		if !slices.Contains(s.crashes, c) && len(s.crashes) < l.terms.Crashes {
			s.crashes = append(s.crashes, c)
			news = true
		}
	}
	if news {
		s.until = max(s.until, now+min(e.Left, max(l.terms.Window, l.terms.Hold)))
	}
	if len(s.crashes) < l.terms.Crashes {
		return news, false
	}
	span := l.terms.Hold
	if len(e.Crashes) >= l.terms.Crashes {
		// The other daemon's quarantine, which must not outlast its own by being passed on.
		span = min(e.Left, span)
	}

	return news, l.hold(s, now+span)
}

// Hold puts a request into quarantine whose crashes are not known here.
func (l *List) Hold(now clock.Milli, p Print) {
	s := l.suspect(now, p)
	if s == nil {
		s = l.room(now, p)
	}
	l.hold(s, now+l.terms.Hold)
}

// hold puts a request into quarantine until an instant, and reports whether it was not and there is room.
func (l *List) hold(s *suspect, until clock.Milli) bool {
	if s.held || l.held >= l.terms.Limit {
		return false
	}
	s.held, s.until = true, until
	l.held++

	return true
}

// Entries returns everything that a new daemon has to know.
func (l *List) Entries(now clock.Milli) []Entry {
	list := make([]Entry, 0, len(l.suspects))
	for p := range l.suspects {
		if l.suspect(now, p) != nil {
			list = append(list, l.entry(now, p))
		}
	}

	return list
}

func (l *List) entry(now clock.Milli, p Print) Entry {
	s := l.suspects[p]

	return Entry{Print: p, Crashes: slices.Clone(s.crashes), Left: s.until - now}
}

// suspect returns what is known against the request and forgets what is too old.
func (l *List) suspect(now clock.Milli, p Print) *suspect {
	s := l.suspects[p]
	if s == nil || now < s.until {
		return s
	}
	l.forget(p)

	return nil
}

func (l *List) forget(p Print) {
	if l.suspects[p].held {
		l.held--
	}
	delete(l.suspects, p)
}

// room adds a suspect. When there are too many, the ones too old go, or else the one that would go
// next of those not in quarantine.
func (l *List) room(now clock.Milli, p Print) *suspect {
	if len(l.suspects) >= suspectLimit {
		l.sweep(now)
	}
	s := &suspect{}
	l.suspects[p] = s

	return s
}

func (l *List) sweep(now clock.Milli) {
	var first Print
	var at clock.Milli
	for p, s := range l.suspects {
		if now >= s.until {
			l.forget(p)

			continue
		}
		if !s.held && (at == 0 || s.until < at || (s.until == at && p < first)) {
			first, at = p, s.until
		}
	}
	if len(l.suspects) >= suspectLimit && at != 0 {
		l.forget(first)
	}
}

func (l *List) good(p Print, version string) bool {
	want := xxhash.Sum64String(version)
	if v, ok := l.known[p]; ok {
		return v == want
	}
	v, ok := l.older[p]
	if ok && v == want {
		l.known[p] = v
	}

	return ok && v == want
}
