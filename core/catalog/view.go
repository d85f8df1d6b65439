package catalog

import (
	"cmp"
	"maps"
	"slices"

	"jacinthferry/core/clock"
)

// Upstream is one running process that serves a service, as it registered itself.
type Upstream struct {
	// ID names this process alone; a restarted one mostly has another.
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of its software.
	Version string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining is set when it takes no new requests.
	Draining bool
	// Warmup is how much longer it stays cold, from Seen on.
	Warmup clock.Milli
	Seen   clock.Milli
	// Born is the start of the process in Unix milliseconds, or 0. Another one under the same ID is
	// another process.
	Born int64
	// Revision is the store's revision of the entry.
	Revision int64
}

// Key identifies the process, also when an ID is used again.
func (u *Upstream) Key() Key { return Key{u.ID, u.Born} }

// Key identifies one upstream process.
type Key struct {
	ID   string
	Born int64
}

// View is all that a request is decided by, at one moment.
type View struct {
	// Config is nil until a configuration is known.
	Config *Config
	usable map[string][]*Upstream
	// known holds the upstreams that are registered; nil stands for one that is not usable.
	known map[Key]*Upstream
	// moves are the services that move to another version, and trial the upstreams of that version
	// while only a share of the requests goes there.
	moves map[string]Move
	trial map[string][]*Upstream
}

// NewView returns a view. Upstreams that drain and those in a zone of out are not offered.
func NewView(config *Config, upstreams []*Upstream, out map[string]bool) *View {
	v := &View{Config: config, usable: make(map[string][]*Upstream), known: make(map[Key]*Upstream, len(upstreams))}
	for _, u := range upstreams {
		v.known[u.Key()] = nil
		if !u.Draining && !out[u.Zone] {
			v.known[u.Key()] = u
			v.usable[u.Service] = append(v.usable[u.Service], u)
		}
	}
	for _, list := range v.usable {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}

	return v
}

// Usable returns the upstreams of a service that take new requests, ordered by ID. It must not be
// changed.
func (v *View) Usable(service string) []*Upstream { return v.usable[service] }

// Has reports whether an upstream is registered.
func (v *View) Has(k Key) bool {
	_, known := v.known[k]

	return known
}

// Find returns the usable upstream with a key, or nil.
func (v *View) Find(k Key) *Upstream { return v.known[k] }

// WithMoves returns the view while services move to other versions.
func (v *View) WithMoves(moves map[string]Move) *View {
	moved := *v
	moved.moves = moves
	moved.trial = make(map[string][]*Upstream)
	moved.usable = maps.Clone(v.usable)
	for service, m := range moves {
		var target, rest []*Upstream
		for _, u := range v.usable[service] {
			if u.Version == m.Version {
				target = append(target, u)
			} else {
				rest = append(rest, u)
			}
		}
		moved.usable[service], moved.trial[service] = m.Stage.place(target, rest)
	}

	return &moved
}

// Trial returns the upstreams that a share of a service's requests tries, ordered by ID. It must not
// be changed.
func (v *View) Trial(service string) []*Upstream { return v.trial[service] }

// Move returns the move of a service, if there is one.
func (v *View) Move(service string) (Move, bool) {
	m, ok := v.moves[service]

	return m, ok
}
