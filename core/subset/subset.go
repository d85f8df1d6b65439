package subset

import "slices"

const (
	// minZoneCores is how many processor cores the active daemons of an availability zone have together
	// at least, where the zone has as many.
	minZoneCores = 0.9
	// minZoneDaemons is how many daemons of a zone are active at least, so that one can be lost.
	minZoneDaemons = 2
)

// Member is one daemon.
type Member struct {
	Name string
	Zone string
	// Cores is how many processor cores it may use, which can be a fraction.
	Cores float64
	// Since is the store's revision at which it registered, or 0 if that is not known.
	Since int64
}

// Choose returns the names of the daemons that take requests: in each availability zone the ones with the
// most cores, and of equal ones those that registered first, until they have enough cores together. The others are on
// standby.
func Choose(members []Member) map[string]bool {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, order)
	active := make(map[string]bool)
	cores := make(map[string]float64)
	count := make(map[string]int)
	for _, m := range sorted {
		if count[m.Zone] >= minZoneDaemons && cores[m.Zone] >= minZoneCores {
			continue
		}
		active[m.Name] = true
		cores[m.Zone] += m.Cores
		count[m.Zone]++
	}

	return active
}
