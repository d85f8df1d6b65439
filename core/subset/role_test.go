package subset_test

import (
	"slices"

	"jacinthferry/core/subset"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("RoleOf", func() {
	It("lets a daemon join only where one is missing or a smaller one serves", func() {
		small, large, first := newZone("s", 0.2)[0], newZone("s", 0.8)[0], newZone("A", 0.8)[0]
		small.Zone, large.Zone, first.Zone = "a", "a", "a"
		for _, c := range []struct {
			what       string
			registered []subset.Member
			self       subset.Member
			want       subset.Role
		}{
			{"nobody is registered", nil, newZone("a", 0.2)[0], subset.Active},
			{"too few cores", newZone("a", 0.4, 0.2), small, subset.Active},
			{"too few daemons", newZone("a", 4), small, subset.Active},
			{"others are in another zone", newZone("b", 0.8, 0.8, 0.8), small, subset.Active},
			{"a smaller one serves", newZone("a", 0.8, 0.2, 0.2), large, subset.Active},
			{"an equal one serves", newZone("a", 0.8, 0.8, 0.2), first, subset.Idle},
			{"no reserve", newZone("a", 0.8, 0.8), small, subset.Reserve},
			{"no reserve, and an equal one serves", newZone("a", 0.8, 0.8), first, subset.Reserve},
			{"a reserve", newZone("a", 0.8, 0.8, 0.2), small, subset.Idle},
		} {
			Expect(subset.RoleOf(c.registered, c.self)).To(Equal(c.want), c.what)
			slices.Reverse(c.registered)
			Expect(subset.RoleOf(c.registered, c.self)).To(Equal(c.want), c.what)
		}
	})

	It("gives the registered daemons of a zone different roles, as Choose has it", func() {
		zone := newZone("a", 0.2, 0.8, 0.2, 0.8, 0.2)
		var roles []subset.Role
		for _, m := range zone {
			roles = append(roles, subset.RoleOf(zone, m))
		}
		Expect(roles).To(Equal([]subset.Role{
			subset.Reserve, subset.Active, subset.Idle, subset.Active, subset.Idle,
		}))
	})
})
