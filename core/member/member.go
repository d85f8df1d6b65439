package member

import (
	"slices"
	"strings"

	"jacinthferry/core/clock"
)

// State is the state that a daemon is believed to be in.
type State int

// The states of a daemon. Within one incarnation, a later state overrides an earlier one.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the name of the state, or "unknown" if it has none.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "leaving", "dead"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}

	return names[s]
}

// Member identifies a daemon, its availability zone and its addresses.
type Member struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	// OperatorAddress is the address for operators.
	OperatorAddress string
}

// Update is a statement about the state of a daemon. The update with the higher incarnation takes
// precedence, and of two with the same incarnation the one with the later state.
type Update struct {
	Member      Member
	State       State
	Incarnation uint64
}

func (u Update) overrides(old Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}

	return u.State > old.State
}

// Entry is a view's record of one daemon.
type Entry struct {
	Update
	// Since is the time at which the daemon entered the state.
	Since clock.Milli
	// Revision is the configuration revision that the daemon last reported.
	Revision int64
	// seat is set while the daemon's seat is in the store.
	seat bool
	// nextProbe is when a dead daemon that has a seat is probed again.
	nextProbe clock.Milli
}

// MessageKind is the type of a Message.
type MessageKind int

// The message kinds.
const (
	// Ping requests an Ack.
	Ping MessageKind = iota + 1
	// Ack answers a Ping, or a PingRequest once the target has answered.
	Ack
	// PingRequest requests an indirect probe: the receiver pings a third daemon.
	PingRequest
	// Gossip carries updates.
	Gossip
	// Pull requests the receiver's whole view as Gossip.
	Pull
)

// Message goes from one daemon to another.
type Message struct {
	Kind   MessageKind
	Seq    uint64
	Target string
	// Incarnation is the sender's, and Digest is a hash of its view.
	Incarnation uint64
	Digest      uint64
	// Revision is the configuration revision that the sender has.
	Revision int64
	Updates  []Update
}

// Envelope is a message with the daemon that it is addressed to.
type Envelope struct {
	To      Member
	Message Message
}

// Policy has the intervals, timeouts and fan-out of a View.
type Policy struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval clock.Milli
	// ProbeTimeout is how long to wait for an Ack before indirect probes are requested. These get one and a half
	// times as long.
	ProbeTimeout clock.Milli
	// SuspicionTimeout is how long a suspected daemon has to refute the suspicion.
	SuspicionTimeout clock.Milli
	// NeighbourCount is the number of daemons that one probes and sends news to, and IndirectProbes the number that it
	// asks for indirect probes.
	NeighbourCount int
	IndirectProbes int
}

// DefaultPolicy returns the policy under which a killed daemon is detected within three seconds.
func DefaultPolicy() Policy {
	return Policy{
		ProbeInterval: 400 * clock.Millisecond, ProbeTimeout: 250 * clock.Millisecond, SuspicionTimeout: clock.Second,
		NeighbourCount: 4, IndirectProbes: 3,
	}
}

// Durations that do not depend on the policy.
const (
	// deadProbeInterval is the time between probes of a dead daemon whose seat is still in the store.
	deadProbeInterval = 5 * clock.Second
	// deadRetention is how long the entry of a dead daemon without a seat is kept.
	deadRetention = 60 * clock.Second
	// pullInterval is the minimum time between two pulls.
	pullInterval = 2 * clock.Second
)

// maxUpdates is the maximum number of updates in one message.
const maxUpdates = 64

// sortEntries returns the entries in order of their names.
func sortEntries(entries map[string]*Entry) []Entry {
	list := make([]Entry, 0, len(entries))
	for _, e := range entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Member.Name, b.Member.Name) })

	return list
}
