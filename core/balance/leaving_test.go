package balance_test

import (
	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an upstream that announces its shutdown", func() {
	const now = 100 * clock.Second
	stays, leaves := &catalog.Upstream{ID: "stays", Slots: 2}, &catalog.Upstream{ID: "leaves", Slots: 2}
	var told int
	var b *balance.Balancer
	BeforeEach(func() {
		told = 0
		b = balance.New(balance.Options{
			Daemons: func() int { return 1 }, OnLeaving: func(*catalog.Upstream) { told++ },
		})
		b.HandleLeaving(now, leaves)
		b.HandleLeaving(now+1, leaves)
	})

	It("gets no further request, also long after the last one", func() {
		list := []*catalog.Upstream{leaves, stays}
		Expect(b.Remaining(list)).To(Equal([]*catalog.Upstream{stays}))
		b.Prune(now + 10*clock.Minute)
		Expect(b.Remaining(list)).To(Equal([]*catalog.Upstream{stays}))
		Expect(list).To(HaveLen(2))
		Expect(told).To(Equal(1))
	})

	It("is another one after a restart, and forgotten in the end", func() {
		restarted := *leaves
		restarted.StartUnixMilli = 7
		Expect(b.Leaving(&restarted)).To(BeFalse())
		b.Prune(now + 2*clock.Hour)
		Expect(b.Leaving(leaves)).To(BeFalse())
	})
})
