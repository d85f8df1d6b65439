package subset

const (
	// strongShare is the share of the largest daemon's cores from which on a daemon counts as strong.
	strongShare = 0.5
	// minNamedShare is the share of all cores that the strong daemons must have for callers to be sent to them alone.
	minNamedShare = 0.75
)

// Named returns the names of the active daemons that callers are told of. Callers choose among these at random,
// whatever their size, and a weak one takes long to merge an answer. So weak ones are left out where they would add
// little; they still send legs for others, and serve callers that know them.
func Named(active []Member) map[string]bool {
	largest, all, strong := 0.0, 0.0, 0.0
	for _, m := range active {
		largest = max(largest, m.Cores)
		all += m.Cores
	}
	named := make(map[string]bool, len(active))
	for _, m := range active {
		if m.Cores >= strongShare*largest {
			named[m.Name] = true
			strong += m.Cores
		}
	}
	if strong >= minNamedShare*all {
		return named
	}
	for _, m := range active {
		named[m.Name] = true
	}

	return named
}
