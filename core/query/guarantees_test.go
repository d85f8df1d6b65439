package query_test

import (
	"jacinthferry/core/budget"
	"jacinthferry/core/clock"
	"jacinthferry/core/route"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("many queries over 100 shards", func() {
	run := func(change func(*simulation)) outcome {
		m := wideService()
		m.seed = 1
		change(&m)

		return m.run()
	}

	It("have the same outcome for the same seed", func() {
		stragglers := func(m *simulation) { m.stragglerRatio, m.count = 0.01, 200 }
		Expect(run(stragglers)).To(Equal(run(stragglers)))
	})

	It("keep their p99 latency with at most 5% extra legs when 1 in 100 legs is 50 times slower", func() {
		plain := run(func(m *simulation) { m.policy.Hedge = budget.BucketConfig{} })
		slowed := run(func(m *simulation) { m.stragglerRatio = 0.01 })
		Expect(slowed.quantile(0.99)).To(BeNumerically("<=", 1.5*plain.quantile(0.99)))
		Expect(slowed.extraRatio()).To(BeNumerically("<=", 0.05))
		Expect(slowed.full).To(Equal(len(slowed.latencies)))
	})

	It("keep 90% of the goodput at three times the peak load, without starving the light caller", func() {
		const peak, seconds = 360, 5
		overload := func(rate int) outcome {
			return run(func(m *simulation) {
				m.layout = layout{upstreams: 30, replicas: 3, snapshots: []route.HeldSnapshot{snapshot(1, 30)}}
				m.rate, m.count, m.timeout, m.maxQueued, m.warmup = rate, (seconds+2)*rate, 200, 64, 2*clock.Second
			})
		}
		single, triple := overload(peak), overload(3*peak)
		Expect(float64(triple.full)).To(BeNumerically(">=", 0.9*float64(single.full)))
		// The light caller sends a tenth of all queries, which is less than an equal share.
		Expect(triple.fullByCaller["light"] * 9).To(BeNumerically(">=", 2*triple.fullByCaller["heavy"]))
	})
})
