package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/manifest"
)

// WatchersPerZone is the number of daemons in each availability zone that watch the store for the others.
const WatchersPerZone = 2

// requestTimeout is how long an answer to a Request may take before another daemon is asked.
const requestTimeout = 300 * clock.Millisecond

// maxPast is the number of past revisions that a daemon keeps so that it can send the difference from them.
const maxPast = 8

// MessageKind is the type of a Message.
type MessageKind int

// The message kinds.
const (
	// Announcement announces the revision that the sender has.
	Announcement MessageKind = iota + 1
	// Request requests the change from the given revision to the receiver's.
	Request
	// Change carries the requested change.
	Change
)

// Message goes from one daemon to another.
type Message struct {
	Kind     MessageKind
	Revision int64
	Change   manifest.Change
}

// Envelope is a message with the name of the daemon that it is addressed to.
type Envelope struct {
	To      string
	Message Message
}

// Disseminator is one daemon's state of the dissemination of revisions. The zero value has no revision and is
// ready to use. It is not safe for concurrent use.
type Disseminator struct {
	current     *manifest.Snapshot
	past        []*manifest.Snapshot
	requestedAt clock.Milli
	requested   int64
}

// Current returns the revision in force, or nil if there is none yet.
func (s *Disseminator) Current() *manifest.Snapshot { return s.current }

// Adopt puts a revision in force and reports whether it is newer than the previous one; it ignores an older
// one. It returns notices for the neighbours except from, the daemon that sent the revision.
func (s *Disseminator) Adopt(next *manifest.Snapshot, neighbours []string, from string) ([]Envelope, bool) {
	if next == nil || next.Revision() <= s.current.Revision() {
		return nil, false
	}
	if s.current != nil {
		s.past = append(s.past, s.current)
		s.past = slices.Clone(s.past[max(0, len(s.past)-maxPast):])
	}
	s.current, s.requested = next, 0
	var sends []Envelope
	for _, name := range neighbours {
		if name != from {
			sends = append(sends, Envelope{name, Message{Kind: Announcement, Revision: next.Revision()}})
		}
	}

	return sends, true
}

// HandleAnnouncement handles the notice that another daemon has a revision. It requests the change if the revision is
// newer and no request for it is in flight.
func (s *Disseminator) HandleAnnouncement(now clock.Milli, from string, revision int64) []Envelope {
	if revision <= s.current.Revision() || (s.requested >= revision && now-s.requestedAt < requestTimeout) {
		return nil
	}
	s.requestedAt, s.requested = now, revision

	return []Envelope{{from, Message{Kind: Request, Revision: s.current.Revision()}}}
}

// HandleRequest answers a daemon that has the given revision and requests the newer one. Without that revision
// among the past ones, it sends the whole configuration.
func (s *Disseminator) HandleRequest(from string, revision int64) ([]Envelope, error) {
	if revision >= s.current.Revision() {
		return nil, nil
	}
	var base *manifest.Snapshot
	for _, p := range s.past {
		if p.Revision() == revision {
			base = p
		}
	}
	c, err := s.current.Diff(base)
	if err != nil {
		return nil, err
	}

	return []Envelope{{from, Message{Kind: Change, Revision: c.To, Change: c}}}, nil
}

// HandleChange handles a change and reports whether it led to a newer revision. A change that cannot be applied
// has no effect and returns an error; if it was not a whole revision, the whole revision is requested.
func (s *Disseminator) HandleChange(
	now clock.Milli, from string, c manifest.Change, neighbours []string) ([]Envelope, bool, error,
) {
	if c.To <= s.current.Revision() {
		return nil, false, nil
	}
	next, err := c.Apply(s.current)
	if err != nil {
		if c.From == 0 {
			return nil, false, err
		}
		s.requestedAt, s.requested = now, c.To

		return []Envelope{{from, Message{Kind: Request}}}, false, err
	}
	sends, newer := s.Adopt(next, neighbours, from)

	return sends, newer, nil
}

// ShouldWatch reports whether the daemon self is among those of its availability zone that watch the store,
// chosen by rendezvous hashing among names, the live daemons of the zone.
func ShouldWatch(self, zone string, names []string) bool {
	score := func(name string) uint64 { return xxhash.Sum64String(zone + "\x00" + name) }
	ahead := 0
	for _, name := range names {
		if name == self {
			continue
		}
		if c := cmp.Compare(score(name), score(self)); c > 0 || (c == 0 && name < self) {
			ahead++
		}
	}

	return ahead < WatchersPerZone
}
