package world_test

import (
	"jacinthferry/soak/world"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the ports of a world", func() {
	It("are those of no other that runs, also for seeds that point at the same ones", func() {
		seen := make(map[int]bool)
		for _, seed := range []uint64{100, 300, 500, 101, 100} {
			first, release := world.TakePorts(seed)
			DeferCleanup(release)
			Expect(seen).NotTo(HaveKey(first))
			seen[first] = true
		}
	})

	It("are free again afterwards", func() {
		first, release := world.TakePorts(77)
		release()
		again, release := world.TakePorts(77)
		DeferCleanup(release)
		Expect(again).To(Equal(first))
	})
})
