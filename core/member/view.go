package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/clock"
)

// View is one daemon's view of all daemons. It is not safe for concurrent use.
type View struct {
	policy  Policy
	random  *rand.Rand
	self    Update
	since   clock.Milli
	entries map[string]*Entry
	// neighbours are the daemons to probe and to send news to, and probeIndex is the position of the last probe
	// in them.
	neighbours []string
	probeIndex int
	// suspects are the suspected daemons, so that a tick need not iterate over all entries.
	suspects     map[string]bool
	digest       uint64
	probes       map[uint64]*probe
	seq          uint64
	nextProbe    clock.Milli
	lastTick     clock.Milli
	lastReceived clock.Milli
	lastPull     clock.Milli
	nextSweep    clock.Milli
	revision     int64
	changed      bool
	outgoing     []Envelope
}

// probe is a Ping that has not been answered yet.
type probe struct {
	target        string
	deadline      clock.Milli
	helpRequested bool
	// requester and seq identify the PingRequest that this probe serves; requester is empty in this daemon's own probes.
	requester string
	seq       uint64
}

// NewView returns the view of a daemon that knows only itself. A restarted daemon needs a higher incarnation
// than all its earlier processes had, such as the time of its start.
func NewView(now clock.Milli, self Member, incarnation uint64, p Policy, seed uint64) *View {
	return &View{
		policy: p, random: rand.New(rand.NewPCG(seed, incarnation)),
		since: now, lastTick: now, lastReceived: now, nextProbe: now,
		self:    Update{Member: self, Incarnation: incarnation},
		entries: make(map[string]*Entry), probes: make(map[uint64]*probe), suspects: make(map[string]bool),
	}
}

// Self returns this daemon's own entry.
func (v *View) Self() Entry { return Entry{Update: v.self, Since: v.since, Revision: v.revision} }

// Others returns all other daemons in order of their names.
func (v *View) Others() []Entry { return sortEntries(v.entries) }

// Neighbours returns the daemons that this one sends news to.
func (v *View) Neighbours() []Member {
	list := make([]Member, 0, len(v.neighbours))
	for _, name := range v.neighbours {
		list = append(list, v.entries[name].Member)
	}

	return list
}

// TakeChanged reports whether the view has changed since the last call.
func (v *View) TakeChanged() bool {
	changed := v.changed
	v.changed = false

	return changed
}

// LastContact returns when a message from another daemon was last received, or now when there is no live one.
func (v *View) LastContact(now clock.Milli) clock.Milli {
	if len(v.neighbours) == 0 {
		return now
	}

	return v.lastReceived
}

// SetRevision sets the configuration revision that messages carry.
func (v *View) SetRevision(revision int64) { v.revision = revision }

// takeOutgoing returns the messages to send that were queued since the last call.
func (v *View) takeOutgoing() []Envelope {
	outgoing := v.outgoing
	v.outgoing = nil

	return outgoing
}

func (v *View) send(to Member, m Message) {
	m.Incarnation, m.Digest, m.Revision = v.self.Incarnation, v.digest^hash(v.self), v.revision
	v.outgoing = append(v.outgoing, Envelope{To: to, Message: m})
}

// disseminate sends updates to the neighbours except the one that they came from.
func (v *View) disseminate(updates []Update, from string) {
	if len(updates) == 0 {
		return
	}
	for _, name := range v.neighbours {
		if name != from {
			v.send(v.entries[name].Member, Message{Kind: Gossip, Updates: updates})
		}
	}
}

// merge applies an update and reports whether it changed an entry.
func (v *View) merge(now clock.Milli, u Update) bool {
	name := u.Member.Name
	if name == "" || u.State < Alive || u.State > Dead {
		return false
	}
	if name == v.self.Member.Name {
		return v.refute(now, u)
	}
	e := v.entries[name]
	if e == nil && u.State == Dead {
		return false
	}
	if e != nil && !u.overrides(e.Update) {
		return false
	}
	if e == nil {
		e = &Entry{}
		v.entries[name] = e
	} else {
		v.digest ^= hash(e.Update)
	}
	if u.Member.PeerAddress == "" {
		u.Member = e.Member
	}
	e.Update, e.Since = u, now
	v.digest ^= hash(u)
	delete(v.suspects, name)
	if u.State == Suspect {
		v.suspects[name] = true
	}
	e.nextProbe = now + deadProbeInterval
	v.changed = true
	v.chooseNeighbours()

	return true
}

// refute handles an update about this daemon itself. It overrides a wrong one with a higher incarnation.
func (v *View) refute(now clock.Milli, u Update) bool {
	if u.Incarnation < v.self.Incarnation || (u.Incarnation == v.self.Incarnation && u.State <= v.self.State) {
		return false
	}
	if u.State == Leaving {
		v.leave(now)

		return false
	}
	v.self.Incarnation = u.Incarnation + 1
	v.since = now
	v.changed = true
	v.disseminate([]Update{v.self}, "")

	return false
}

// chooseNeighbours chooses the neighbours among the live daemons.
func (v *View) chooseNeighbours() {
	live := make([]string, 0, len(v.entries))
	for name, e := range v.entries {
		if e.State != Dead {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	if len(live) > v.policy.NeighbourCount {
		live = v.successors(live)
	}
	v.neighbours = live
}

// successors returns the daemons that follow this one on the hash rings, without duplicates.
func (v *View) successors(live []string) []string {
	var list []string
	for ring := 0; len(list) < v.policy.NeighbourCount && ring < 4*v.policy.NeighbourCount; ring++ {
		prefix := strconv.Itoa(ring) + "/"
		at := xxhash.Sum64String(prefix + v.self.Member.Name)
		next := slices.MinFunc(live, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(prefix+a)-at, xxhash.Sum64String(prefix+b)-at)
		})
		if !slices.Contains(list, next) {
			list = append(list, next)
		}
	}

	return list
}

// hash returns one update's part of the digest. Suspicions are left out because they are transient.
func hash(u Update) uint64 {
	if u.State == Dead {
		return 0
	}
	state := Alive
	if u.State == Leaving {
		state = Leaving
	}

	return xxhash.Sum64String(u.Member.Name + "\x00" + strconv.FormatUint(u.Incarnation, 36) + state.String())
}
