package place_test

import (
	"fmt"
	"slices"
	"testing"

	"jacinthferry/core/place"
)

func newMembers(n int) []place.Member {
	var members []place.Member
	for i := range n {
		members = append(members, place.Member{Name: fmt.Sprintf("daemon-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)})
	}

	return members
}

// newReplicas returns replicas of service i, all in one zone or spread over three.
func newReplicas(i, replicas int, sameZone bool) []place.Upstream {
	var list []place.Upstream
	for k := range replicas {
		zone := k % 3
		if sameZone {
			zone = i % 3
		}
		list = append(list, place.Upstream{Name: fmt.Sprintf("s%d-%d", i, k), Zone: fmt.Sprintf("zone-%d", zone)})
	}

	return list
}

func TestReplicasGetDistinctHomes(t *testing.T) {
	members := newMembers(9)
	zones := make(map[string]string)
	for _, m := range members {
		zones[m.Name] = m.Zone
	}
	for i := range 200 {
		for _, sameZone := range []bool{false, true} {
			upstreams := newReplicas(i, 3, sameZone)
			homes := place.Homes(upstreams, members)
			if homes[0] == homes[1] || homes[1] == homes[2] || homes[0] == homes[2] {
				t.Errorf("service %d, same zone %v: homes %v, want distinct ones", i, sameZone, homes)
			}
			for k, home := range homes {
				if zones[home] != upstreams[k].Zone {
					t.Errorf("service %d: %s in %s has its home in %s", i, upstreams[k].Name, upstreams[k].Zone, zones[home])
				}
			}
		}
	}
}

func TestLossMovesFewHomes(t *testing.T) {
	members := newMembers(9)
	remaining := slices.Delete(slices.Clone(members), 4, 5)
	moved, all := 0, 0
	for i := range 300 {
		upstreams := newReplicas(i, 2, i%2 == 0)
		before, after := place.Homes(upstreams, members), place.Homes(upstreams, remaining)
		for k := range before {
			all++
			if before[k] != after[k] {
				moved++
			}
		}
	}
	// The lost daemon had a ninth of the homes; each displaced replica may move one more.
	if moved > all/9*2 {
		t.Errorf("%d of %d homes moved", moved, all)
	}
	if homes := place.Homes(newReplicas(1, 2, true), nil); homes[0] != "" {
		t.Errorf("got home %q without members, want none", homes[0])
	}
}
