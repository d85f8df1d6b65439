package balance_test

import (
	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The rate limit that an upstream names", func() {
	const now = 100 * clock.Second
	u := &catalog.Upstream{ID: "u", Zone: "a", Slots: 2}
	var changes []float64
	var b *balance.Balancer
	BeforeEach(func() {
		changes = nil
		b = balance.New(balance.Options{
			Zone: "a", Daemons: func() int { return 4 }, Uniform: func() float64 { return 0 },
			OnLimit: func(_ *catalog.Upstream, limit *balance.RateLimit) {
				if limit == nil {
					changes = append(changes, -1)

					return
				}
				changes = append(changes, float64(*limit))
			},
		})
	})
	handle := func(sent clock.Milli, rate balance.RateLimit) { b.HandleLimit(sent+20, sent, u, &rate) }

	It("is reported when it changes or lapses, each time once", func() {
		handle(now, 8)
		handle(now+1, 8)
		handle(now+2, 4)
		b.HandleLimit(now+30, now+3, u, nil)
		b.HandleLimit(now+31, now+4, u, nil)
		Expect(changes).To(Equal([]float64{8, 4, -1}))
	})

	It("is not changed by the late answer to an earlier request", func() {
		handle(now+10, 8)
		b.HandleLimit(now+40, now+9, u, nil)
		handle(now+5, 20)
		Expect(changes).To(Equal([]float64{8}))
	})
})
