package query_test

import (
	"jacinthferry/core/budget"
	"jacinthferry/core/clock"
	"jacinthferry/core/route"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("many queries over 100 shards", func() {
	run := func(change func(*model)) outcome {
		m := wide()
		m.seed = 1
		change(&m)

		return m.run()
	}

	It("take the same course for the same seed", func() {
		stragglers := func(m *model) { m.straggle, m.count = 0.01, 200 }
		Expect(run(stragglers)).To(Equal(run(stragglers)))
	})

	It("keep their latency with 1 in 100 legs 50 times slower, at 5 extra legs in 100", func() {
		plain := run(func(m *model) { m.policy.Hedge = budget.BucketConfig{} })
		slowed := run(func(m *model) { m.straggle = 0.01 })
		Expect(slowed.quantile(0.99)).To(BeNumerically("<=", 1.5*plain.quantile(0.99)))
		Expect(slowed.extra()).To(BeNumerically("<=", 0.05))
		Expect(slowed.whole).To(Equal(len(slowed.latencies)))
	})

	It("keep nine tenths of the goodput at three times the load, and a small caller its part", func() {
		const peak, seconds = 360, 5
		overload := func(rate int) outcome {
			return run(func(m *model) {
				m.layout = layout{upstreams: 30, replicas: 3, snapshots: []route.Held{snapshot(1, 30)}}
				m.rate, m.count, m.span, m.queue, m.warm = rate, (seconds+2)*rate, 200, 64, 2*clock.Second
			})
		}
		one, triple := overload(peak), overload(3*peak)
		Expect(float64(triple.whole)).To(BeNumerically(">=", 0.9*float64(one.whole)))
		// The light caller sends a tenth of all queries, which is less than an equal share.
		Expect(triple.wholeBy["light"] * 9).To(BeNumerically(">=", 2*triple.wholeBy["heavy"]))
	})
})
