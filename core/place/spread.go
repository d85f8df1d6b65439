package place

import "slices"

// Upstream is an upstream for which a home is chosen.
type Upstream struct {
	Name string
	Zone string
}

// Homes returns the home of each of the upstreams, which are replicas of each other. Each gets the
// first member in its order of homes that does not have its share of them yet. So the loss of one
// daemon affects as few replicas as possible, while a change of the members moves few homes.
func Homes(upstreams []Upstream, members []Member) []string {
	homes := make([]string, len(upstreams))
	order := make([]int, len(upstreams))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if upstreams[a].Name < upstreams[b].Name {
			return -1
		}

		return 1
	})
	membersInZone := make(map[string]int)
	for _, m := range members {
		membersInZone[m.Zone]++
	}
	upstreamsInZone := make(map[string]int)
	for _, u := range upstreams {
		upstreamsInZone[u.Zone]++
	}
	assigned := make(map[string]int)
	for _, i := range order {
		u := upstreams[i]
		candidates := membersInZone[u.Zone]
		replicas := upstreamsInZone[u.Zone]
		if candidates == 0 {
			candidates, replicas = len(members), len(upstreams)
		}
		homes[i] = firstBelowLimit(u, members, assigned, maxPerMember(replicas, candidates))
		assigned[homes[i]]++
	}

	return homes
}

// maxPerMember returns the largest number of n upstreams that each of m members gets.
func maxPerMember(n, m int) int {
	if m == 0 {
		return n
	}

	return (n + m - 1) / m
}

// firstBelowLimit returns the first member in the upstream's order of homes that has fewer than limit
// upstreams. If there is none, it returns the upstream's home by Home.
func firstBelowLimit(u Upstream, members []Member, assigned map[string]int, limit int) string {
	best := -1
	for i, m := range members {
		if assigned[m.Name] >= limit {
			continue
		}
		if best < 0 || Before(u.Name, u.Zone, m, members[best]) {
			best = i
		}
	}
	if best < 0 {
		return Home(u.Name, u.Zone, members)
	}

	return members[best].Name
}
