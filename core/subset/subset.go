package subset

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// zoneCores is how many cores the chosen daemons of one availability zone have together, where
	// the zone has as many.
	zoneCores = 1.6
	// zoneLeast is how many daemons of a zone are chosen at least, so that one can be lost.
	zoneLeast = 2
)

// Member is one daemon.
type Member struct {
	Name string
	Zone string
	// Cores is the part of a processor core that it has.
	Cores float64
}

// Active returns the names of the daemons that take requests: in each availability zone the largest
// ones, until they have enough cores together.
func Active(members []Member) map[string]bool {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(a.Cores, b.Cores), strings.Compare(a.Name, b.Name))
	})
	active := make(map[string]bool)
	cores := make(map[string]float64)
	count := make(map[string]int)
	for _, m := range sorted {
		if count[m.Zone] >= zoneLeast && cores[m.Zone] >= zoneCores {
			continue
		}
		active[m.Name] = true
		cores[m.Zone] += m.Cores
		count[m.Zone]++
	}

	return active
}
