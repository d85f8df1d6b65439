package testbed_test

import (
	"jacinthferry/soak/testbed"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A range of ports", func() {
	It("is not shared by concurrent runs, also if their seeds map to the same range", func() {
		seen := make(map[int]bool)
		for _, seed := range []uint64{100, 300, 500, 101, 100} {
			first, release := testbed.ReservePorts(seed)
			DeferCleanup(release)
			Expect(seen).NotTo(HaveKey(first))
			seen[first] = true
		}
	})

	It("can be reserved again after its release", func() {
		first, release := testbed.ReservePorts(77)
		release()
		again, release := testbed.ReservePorts(77)
		DeferCleanup(release)
		Expect(again).To(Equal(first))
	})
})
