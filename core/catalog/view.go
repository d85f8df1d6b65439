package catalog

import (
	"cmp"
	"maps"
	"slices"

	"jacinthferry/core/clock"
)

// Upstream is one running process that serves a service, as it registered itself.
type Upstream struct {
	// ID names this process. A restarted process usually has another one, but an ID may be used again.
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of its software.
	Version string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining is set when it takes no new requests and finishes those that run.
	Draining bool
	// Warmup is how much longer it stays cold from Seen on, when this daemon learned of it.
	Warmup clock.Milli
	Seen   clock.Milli
	// StartUnixMilli is when the process started, in Unix milliseconds, or 0 if that is not known. Another value
	// under the same ID means another process.
	StartUnixMilli int64
	// Revision is the store's revision of the upstream's entry.
	Revision int64
}

// Key returns the key of the process, which is unique also when an ID is used again.
func (u *Upstream) Key() Key { return Key{u.ID, u.StartUnixMilli} }

// Key identifies one upstream process.
type Key struct {
	ID             string
	StartUnixMilli int64
}

// View is all that the routing of a request depends on, at one moment.
type View struct {
	// Config is nil until a configuration is known.
	Config *Config
	// usable holds the upstreams that take new requests, by service.
	usable map[string][]*Upstream
	// registered holds all registered upstreams; the value is nil for one that is not usable.
	registered map[Key]*Upstream
	// rollouts holds the rollouts by service, and canaries the upstreams of the new version while only a
	// share of the requests goes there.
	rollouts map[string]Rollout
	canaries map[string][]*Upstream
}

// NewView returns a view without rollouts. Upstreams that are draining or in an evacuated availability zone
// are registered but not usable.
func NewView(config *Config, upstreams []*Upstream, evacuated map[string]bool) *View {
	v := &View{
		Config: config, usable: make(map[string][]*Upstream), registered: make(map[Key]*Upstream, len(upstreams)),
	}
	for _, u := range upstreams {
		v.registered[u.Key()] = nil
		if !u.Draining && !evacuated[u.Zone] {
			v.registered[u.Key()] = u
			v.usable[u.Service] = append(v.usable[u.Service], u)
		}
	}
	for _, list := range v.usable {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}

	return v
}

// Usable returns the upstreams of a service that take new requests, ordered by ID. The caller must not
// change the slice.
func (v *View) Usable(service string) []*Upstream { return v.usable[service] }

// Registered reports whether an upstream is registered.
func (v *View) Registered(k Key) bool {
	_, ok := v.registered[k]

	return ok
}

// Find returns the usable upstream with a key, or nil.
func (v *View) Find(k Key) *Upstream { return v.registered[k] }

// WithRollouts returns a copy of the view with the given rollouts, by service.
func (v *View) WithRollouts(rollouts map[string]Rollout) *View {
	view := *v
	view.rollouts = rollouts
	view.canaries = make(map[string][]*Upstream)
	view.usable = maps.Clone(v.usable)
	for service, r := range rollouts {
		view.usable[service], view.canaries[service] = r.assign(v.usable[service])
	}

	return &view
}

// Canaries returns the upstreams of a service that take a share of the requests as canaries, ordered by ID.
// The caller must not change the slice.
func (v *View) Canaries(service string) []*Upstream { return v.canaries[service] }

// Rollout returns the rollout of a service, and false if there is none.
func (v *View) Rollout(service string) (Rollout, bool) {
	r, ok := v.rollouts[service]

	return r, ok
}
