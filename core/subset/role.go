package subset

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Role is what a daemon does for its availability zone.
type Role int

// The roles of a daemon.
const (
	// Idle daemons are not registered. They only have to know which daemons are.
	Idle Role = iota
	// Reserve daemons are registered and take no requests. They are active once another is lost.
	Reserve
	// Active daemons take requests.
	Active
)

// zoneReserves is how many daemons of a zone are registered beside the active ones.
const zoneReserves = 1

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"idle", "reserve", "active"}[r]
}

// RoleOf returns the role that a daemon should have among the registered ones, whether it is one of them or not. A
// daemon that is not registered joins only where one is missing, or to replace a smaller one: an equal one would gain
// nothing by taking another's place.
func RoleOf(registered []Member, self Member) Role {
	zone := slices.DeleteFunc(slices.Clone(registered), func(m Member) bool { return m.Zone != self.Zone })
	own := slices.IndexFunc(zone, func(m Member) bool { return m.Name == self.Name })
	switch {
	case own >= 0:
		self = zone[own]
	case isMissing(zone, self):
		return Active
	default:
	}
	chosen := Choose(zone)
	if chosen[self.Name] {
		return Active
	}
	reserves := 0
	for _, m := range zone {
		if !chosen[m.Name] && (own < 0 || order(m, self) < 0) {
			reserves++
		}
	}
	if reserves < zoneReserves {
		return Reserve
	}

	return Idle
}

// isMissing reports whether the active daemons of a zone are too few, or one is smaller than self.
func isMissing(zone []Member, self Member) bool {
	chosen := Choose(zone)
	cores := 0.0
	for _, m := range zone {
		if !chosen[m.Name] {
			continue
		}
		if m.Cores < self.Cores {
			return true
		}
		cores += m.Cores
	}

	return len(chosen) < minZoneDaemons || cores < minZoneCores
}

// ZoneSize returns how many daemons like this one an availability zone needs.
func ZoneSize(m Member) int {
	if m.Cores <= 0 {
		return minZoneDaemons
	}

	return max(minZoneDaemons, int(math.Ceil(minZoneCores/m.Cores)))
}

// order compares two daemons by the order in which they are chosen: the larger one first, then the one that registered
// first, so that a daemon that joins does not replace an equal one that is at work.
func order(a, b Member) int {
	return cmp.Or(-cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Since, b.Since), strings.Compare(a.Name, b.Name))
}
