package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a daemon that can be a home.
type Member struct {
	Name string
	Zone string
}

// Home returns the name of the member that is the home of the upstream, by rendezvous hashing. Members
// in the upstream's availability zone precede all others, so that the last hop stays in the zone. It
// returns "" if there are no members.
func Home(upstream, zone string, members []Member) string {
	best, bestWeight, bestSameZone := "", uint64(0), false
	for _, m := range members {
		sameZone := m.Zone == zone
		if bestSameZone && !sameZone {
			continue
		}
		weight := Weight(upstream, m.Name)
		if sameZone != bestSameZone || weight > bestWeight || best == "" || (weight == bestWeight && m.Name < best) {
			best, bestWeight, bestSameZone = m.Name, weight, sameZone
		}
	}

	return best
}

// Weight returns the weight of the member for the key in rendezvous hashing.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)

	return d.Sum64()
}

// Before reports whether member a comes before member b in the order of homes for the upstream.
func Before(upstream, zone string, a, b Member) bool {
	if (a.Zone == zone) != (b.Zone == zone) {
		return a.Zone == zone
	}
	x, y := Weight(upstream, a.Name), Weight(upstream, b.Name)
	if x != y {
		return x > y
	}

	return a.Name < b.Name
}

// Rank returns the first n members in the order of homes for the upstream, or all if there are fewer.
func Rank(upstream, zone string, members []Member, n int) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if a.Name == b.Name {
			return 0
		}
		if Before(upstream, zone, a, b) {
			return -1
		}

		return 1
	})

	return ranked[:min(n, len(ranked))]
}
