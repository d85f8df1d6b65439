package subset_test

import (
	"fmt"
	"slices"

	"jacinthferry/core/subset"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newZone returns the daemons of one availability zone, named after the zone and a number.
func newZone(name string, cores ...float64) []subset.Member {
	var list []subset.Member
	for i, c := range cores {
		list = append(list, subset.Member{Name: fmt.Sprint(name, i), Zone: name, Cores: c})
	}

	return list
}

func sortedNames(active map[string]bool) []string {
	var list []string
	for name := range active {
		list = append(list, name)
	}
	slices.Sort(list)

	return list
}

var _ = Describe("Choose", func() {
	It("chooses the largest daemons of each zone until they have enough cores", func() {
		for _, c := range []struct {
			what    string
			members []subset.Member
			want    []string
		}{
			{"none", nil, nil},
			{"all of small zones", slices.Concat(newZone("a", 0.4, 0.4, 0.4), newZone("b", 0.4)), []string{"a0", "a1", "a2", "b0"}},
			{"the largest first", newZone("a", 0.2, 0.8, 0.2, 0.8, 0.2), []string{"a1", "a3"}},
			{"at least two daemons", newZone("a", 0.5, 4, 0.5), []string{"a0", "a1"}},
			{"many small daemons", newZone("a", slices.Repeat([]float64{0.25}, 20)...), []string{
				"a0", "a1", "a10", "a11",
			}},
		} {
			got := sortedNames(subset.Choose(c.members))
			if c.what == "many small daemons" {
				Expect(got).To(HaveLen(len(c.want)), c.what)

				continue
			}
			Expect(got).To(Equal(c.want), c.what)
		}
	})

	It("keeps those at work when equal ones register later", func() {
		var all []subset.Member
		for i, name := range []string{"c", "b", "a"} {
			all = append(all, subset.Member{Name: name, Zone: "a", Cores: 0.8, Since: int64(i)})
		}
		Expect(sortedNames(subset.Choose(all))).To(Equal([]string{"b", "c"}))
		Expect(subset.RoleOf(all, subset.Member{Name: "a", Zone: "a", Cores: 0.8})).To(Equal(subset.Reserve))
	})

	It("replaces a lost daemon by one other and keeps the rest", func() {
		all := newZone("a", 0.8, 0.8, 0.8, 0.2)
		before := subset.Choose(all)
		after := subset.Choose(all[1:])
		Expect(sortedNames(before)).To(Equal([]string{"a0", "a1"}))
		Expect(sortedNames(after)).To(Equal([]string{"a1", "a2"}))
	})

	It("does not depend on the order of the members", func() {
		all := slices.Concat(newZone("a", 0.2, 0.8, 0.2, 0.8), newZone("b", 0.4, 0.2, 0.9))
		want := subset.Choose(all)
		slices.Reverse(all)
		Expect(subset.Choose(all)).To(Equal(want))
	})
})
