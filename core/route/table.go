package route

import (
	"maps"
	"slices"

	"jacinthferry/core/config"
	"jacinthferry/core/place"
)

// Table is an immutable routing table for planning queries. It is safe for concurrent use.
type Table struct {
	Revision    uint64
	config      config.Config
	services    map[string]Service
	homes       map[string]string
	upstreams   map[string]placedUpstream
	members     []place.Member
	unreachable map[string]bool
}

// placedUpstream is an upstream and the service that it belongs to.
type placedUpstream struct {
	config.Upstream
	service string
	// independent is set if its home was chosen without regard to the other upstreams of its version.
	independent bool
}

// Input holds what a table is built from.
type Input struct {
	Revision uint64
	Config   config.Config
	// Members are the daemons that can be homes.
	Members []place.Member
	// Holding returns the last known state of an upstream, if any, and ChangedUpstreams names the upstreams whose
	// state changed since the previous table.
	Holding          func(upstream string) (Holding, bool)
	ChangedUpstreams []string
	// Unreachable are the members that this daemon cannot reach now. They stay homes, but their replicas are
	// left out of shards that have another replica.
	Unreachable map[string]bool
}

// Build returns the table for a configuration revision, the live members and the known holdings.
func Build(revision uint64, c config.Config, members []place.Member, holdings map[string]Holding) *Table {
	return (*Table)(nil).Next(Input{
		Revision: revision, Config: c, Members: members,
		Holding: func(name string) (Holding, bool) {
			h, ok := holdings[name]

			return h, ok
		},
	})
}

// Next returns the table that follows t, which may be nil. It shares with t whatever the input does
// not change, so that its cost depends on the size of the change and not on the number of upstreams.
func (t *Table) Next(in Input) *Table {
	live := slices.DeleteFunc(slices.Clone(in.Members), func(m place.Member) bool { return in.Config.ZoneOut(m.Zone) })
	b := builder{in: in, old: t, next: &Table{
		Revision: in.Revision, config: in.Config, members: live, unreachable: maps.Clone(in.Unreachable),
	}}
	b.diff()
	b.next.services = make(map[string]Service, len(in.Config.Services))
	for _, s := range in.Config.Services {
		b.next.services[s.Name] = b.buildService(s)
	}

	return b.next
}

// builder builds one table.
type builder struct {
	in   Input
	old  *Table
	next *Table
	// sameZones, sameConfig and sameMembers are set if the input does not differ from the old one there.
	sameZones   bool
	sameConfig  bool
	sameMembers bool
	joined      []place.Member
	left        map[string]bool
	// membersByName holds the members of the next table.
	membersByName map[string]place.Member
	// staleServices are the services with a change of an upstream's state or of a home's reachability.
	staleServices map[string]bool
	// oldServices holds the configuration of the services in the old table.
	oldServices map[string]config.Service
}

// diff determines what changed since the old table.
func (b *builder) diff() {
	if b.old == nil {
		b.allocateMaps()

		return
	}
	b.sameZones = slices.Equal(b.old.config.Zones, b.in.Config.Zones)
	b.sameConfig = b.old.Revision == b.in.Revision
	b.left, b.staleServices = make(map[string]bool), make(map[string]bool)
	before := make(map[place.Member]bool, len(b.old.members))
	for _, m := range b.old.members {
		before[m] = true
	}
	b.membersByName = make(map[string]place.Member, len(b.next.members))
	for _, m := range b.next.members {
		b.membersByName[m.Name] = m
		if !before[m] {
			b.joined = append(b.joined, m)
		}
		delete(before, m)
	}
	for m := range before {
		b.left[m.Name] = true
	}
	b.sameMembers = len(b.joined) == 0 && len(b.left) == 0
	for _, name := range b.in.ChangedUpstreams {
		b.staleServices[b.old.upstreams[name].service] = true
	}
	if !maps.Equal(b.old.unreachable, b.next.unreachable) {
		b.markReachabilityChanges()
	}
	b.oldServices = make(map[string]config.Service, len(b.old.config.Services))
	for _, s := range b.old.config.Services {
		b.oldServices[s.Name] = s
	}
	if b.sameConfig && b.sameMembers {
		b.next.homes, b.next.upstreams = b.old.homes, b.old.upstreams
	} else {
		b.allocateMaps()
	}
}

// markReachabilityChanges marks the services stale that have a home whose reachability changed.
func (b *builder) markReachabilityChanges() {
	for upstream, home := range b.old.homes {
		if b.old.unreachable[home] != b.next.unreachable[home] {
			b.staleServices[b.old.upstreams[upstream].service] = true
		}
	}
}

// allocateMaps gives the next table its own maps of homes and upstreams.
func (b *builder) allocateMaps() {
	size := 0
	if b.old != nil {
		size = len(b.old.homes)
	}
	b.next.homes, b.next.upstreams = make(map[string]string, size), make(map[string]placedUpstream, size)
}

func (b *builder) buildService(s config.Service) Service {
	same := b.sameZones && sharesVersions(b.oldServices[s.Name], s) && !b.staleServices[s.Name]
	if !b.sameConfig || !b.sameMembers {
		same = b.placeService(s) && same
	}
	if same {
		return b.old.services[s.Name]
	}
	service := Service{Name: s.Name, Trusted: s.Trusted}
	for _, v := range s.Versions {
		service.Versions = append(service.Versions, b.buildVersion(v))
	}

	return service
}

// sharesVersions reports whether a and b share their list of versions, as unchanged services of
// consecutive revisions do.
func sharesVersions(a, b config.Service) bool {
	return len(a.Versions) == len(b.Versions) && len(a.Versions) > 0 && &a.Versions[0] == &b.Versions[0]
}

// maxSpreadUpstreams is the largest number of upstreams in a version whose homes are chosen together, so
// that replicas get distinct homes. In larger versions chance spreads them, and a change of the members
// costs little.
const maxSpreadUpstreams = 64

// placeService chooses the homes of a service's upstreams and reports whether all are unchanged.
func (b *builder) placeService(s config.Service) bool {
	same := true
	for _, v := range s.Versions {
		homes := b.chooseHomes(v)
		for i, u := range v.Upstreams {
			same = same && b.old != nil && b.old.homes[u.Name] == homes[i]
			b.next.homes[u.Name], b.next.upstreams[u.Name] = homes[i], placedUpstream{u, s.Name, placedIndependently(v)}
		}
	}

	return same
}

func placedIndependently(v config.Version) bool { return len(v.Upstreams) > maxSpreadUpstreams }

func (b *builder) chooseHomes(v config.Version) []string {
	if !placedIndependently(v) {
		replicas := make([]place.Upstream, 0, len(v.Upstreams))
		for _, u := range v.Upstreams {
			replicas = append(replicas, place.Upstream{Name: u.Name, Zone: u.Zone})
		}

		return place.Homes(replicas, b.next.members)
	}
	homes := make([]string, 0, len(v.Upstreams))
	for _, u := range v.Upstreams {
		homes = append(homes, b.chooseHome(u))
	}

	return homes
}

// chooseHome returns the home of an upstream. An upstream keeps its home unless that left or a daemon
// that joined comes before it in the order of homes.
func (b *builder) chooseHome(u config.Upstream) string {
	old := b.previousHome(u)
	if old == "" || b.left[old] {
		return place.Home(u.Name, u.Zone, b.next.members)
	}
	if len(b.joined) == 0 {
		return old
	}

	return place.Home(u.Name, u.Zone, append(slices.Clip(b.joined), b.membersByName[old]))
}

// previousHome returns the home that the old table chose for the upstream independently, or "" if there
// is none or the upstream has changed its zone since.
func (b *builder) previousHome(u config.Upstream) string {
	if b.old == nil {
		return ""
	}
	previous := b.old.upstreams[u.Name]
	if !previous.independent || previous.Zone != u.Zone {
		return ""
	}

	return b.old.homes[u.Name]
}

func (b *builder) buildVersion(v config.Version) Version {
	snapshots := make(map[string]*Snapshot)
	var unreachable []config.Upstream
	for _, u := range v.Upstreams {
		if b.next.unreachable[b.next.homes[u.Name]] {
			unreachable = append(unreachable, u)

			continue
		}
		b.addHolding(u, func(h Holding, r Replica) { addReplica(snapshots, v.Name, h, r, nil) })
	}
	if len(unreachable) > 0 {
		covered := coveredShards(snapshots)
		for _, u := range unreachable {
			b.addHolding(u, func(h Holding, r Replica) { addReplica(snapshots, v.Name, h, r, covered) })
		}
	}

	return Version{Name: v.Name, Share: v.Share, Snapshots: sortSnapshots(snapshots)}
}

// addHolding calls add with the holding of an upstream, unless it is unknown, draining or out of service.
func (b *builder) addHolding(u config.Upstream, add func(Holding, Replica)) {
	h, known := b.in.Holding(u.Name)
	if known && !h.Draining && !u.Drain && !b.in.Config.ZoneOut(u.Zone) {
		add(h, Replica{Upstream: u.Name, Zone: u.Zone, Home: b.next.homes[u.Name]})
	}
}

// coveredShards returns, for each snapshot, which shards have a replica.
func coveredShards(snapshots map[string]*Snapshot) map[string][]bool {
	covered := make(map[string][]bool, len(snapshots))
	for name, s := range snapshots {
		covered[name] = make([]bool, len(s.Shards))
		for i, replicas := range s.Shards {
			covered[name][i] = len(replicas) > 0
		}
	}

	return covered
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]

	return s, ok
}

// Home returns the daemon that schedules the upstream, or "" if there is none.
func (t *Table) Home(upstream string) string { return t.homes[upstream] }

// Members returns the daemons that can be homes. The caller must not modify the list.
func (t *Table) Members() []place.Member { return t.members }

// Upstream returns the configuration of an upstream.
func (t *Table) Upstream(name string) (config.Upstream, bool) {
	u, ok := t.upstreams[name]

	return u.Upstream, ok
}

// ForEachOwned calls f for each upstream whose home is the daemon, in no particular order.
func (t *Table) ForEachOwned(daemon string, f func(config.Upstream)) {
	for name, home := range t.homes {
		if home == daemon {
			f(t.upstreams[name].Upstream)
		}
	}
}
