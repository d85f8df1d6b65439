package subset_test

import (
	"fmt"
	"slices"

	"jacinthferry/core/subset"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// zone returns daemons of one zone, named by it and a number.
func zone(name string, cores ...float64) []subset.Member {
	var list []subset.Member
	for i, c := range cores {
		list = append(list, subset.Member{Name: fmt.Sprint(name, i), Zone: name, Cores: c})
	}

	return list
}

func names(active map[string]bool) []string {
	var list []string
	for name := range active {
		list = append(list, name)
	}
	slices.Sort(list)

	return list
}

var _ = Describe("Active", func() {
	It("chooses the largest daemons of each zone until they have enough cores", func() {
		for _, c := range []struct {
			what    string
			members []subset.Member
			want    []string
		}{
			{"none", nil, nil},
			{"small zones whole", slices.Concat(zone("a", 0.4, 0.4, 0.4), zone("b", 0.4)), []string{"a0", "a1", "a2", "b0"}},
			{"large ones first", zone("a", 0.2, 0.8, 0.2, 0.8, 0.2), []string{"a1", "a3"}},
			{"at least two", zone("a", 0.5, 4, 0.5), []string{"a0", "a1"}},
			{"many small ones", zone("a", slices.Repeat([]float64{0.25}, 20)...), []string{
				"a0", "a1", "a10", "a11", "a12", "a13", "a14",
			}},
		} {
			got := names(subset.Active(c.members))
			if c.what == "many small ones" {
				Expect(got).To(HaveLen(len(c.want)), c.what)

				continue
			}
			Expect(got).To(Equal(c.want), c.what)
		}
	})

	It("replaces a daemon that is lost by one other and keeps the rest", func() {
		all := zone("a", 0.8, 0.8, 0.8, 0.2)
		before := subset.Active(all)
		after := subset.Active(all[1:])
		Expect(names(before)).To(Equal([]string{"a0", "a1"}))
		Expect(names(after)).To(Equal([]string{"a1", "a2"}))
	})

	It("does not depend on the order in which members are known", func() {
		all := slices.Concat(zone("a", 0.2, 0.8, 0.2, 0.8), zone("b", 0.4, 0.2, 0.9))
		want := subset.Active(all)
		slices.Reverse(all)
		Expect(subset.Active(all)).To(Equal(want))
	})
})
