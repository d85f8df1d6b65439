package subset_test

import (
	"slices"

	"jacinthferry/core/subset"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Named", func() {
	It("leaves weak daemons out where strong ones have most of the cores", func() {
		for _, c := range []struct {
			what   string
			active []subset.Member
			want   int
		}{
			{"none", nil, 0},
			{"equal ones", newZone("a", 0.4, 0.4, 0.4), 3},
			{"unknown sizes", newZone("a", 0, 0), 2},
			{"weak ones replace those of one zone of three", slices.Concat(
				newZone("a", 0.8, 0.8), newZone("b", 0.8, 0.8), newZone("c", 0.2, 0.2, 0.2, 0.2, 0.2),
			), 4},
			{"weak ones replace those of two zones of three", slices.Concat(
				newZone("a", 0.8, 0.8), newZone("b", 0.2, 0.2, 0.2, 0.2, 0.2), newZone("c", 0.2, 0.2, 0.2, 0.2, 0.2),
			), 12},
			{"somewhat smaller ones", newZone("a", 0.8, 0.5, 0.5), 3},
		} {
			Expect(subset.Named(c.active)).To(HaveLen(c.want), c.what)
		}
	})
})
