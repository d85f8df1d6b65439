package budget_test

import (
	"math/rand/v2"

	"jacinthferry/core/budget"
	"jacinthferry/core/clock"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a sliding window", func() {
	const start = 1000 * clock.Second
	quota := budget.Quota{Ratio: 0.2, Slack: 5}

	takeAll := func(w *budget.SlidingWindow, now clock.Milli) int {
		n := 0
		for w.Take(now) {
			n++
		}

		return n
	}

	It("allows quota left unused in a quiet time to be used at once", func() {
		w := budget.NewSlidingWindow(start, quota)
		for i := range 900 {
			w.CountInitial(start + clock.Milli(i)*10)
		}
		Expect(takeAll(w, start+9*clock.Second)).To(Equal(185))
		Expect(takeAll(w, start+10*clock.Second)).To(BeZero())
	})

	It("forgets sends older than its span", func() {
		w := budget.NewSlidingWindow(start, quota)
		Expect(takeAll(w, start)).To(Equal(5))
		Expect(takeAll(w, start+9*clock.Second)).To(BeZero())
		Expect(takeAll(w, start+11*clock.Second)).To(Equal(5))
		Expect(takeAll(w, start+clock.Hour)).To(Equal(5))
	})

	It("applies a smaller quota at once", func() {
		w := budget.NewSlidingWindow(start, quota)
		w.SetQuota(budget.Quota{Slack: 1})
		Expect(takeAll(w, start)).To(Equal(1))
	})

	// The users' platform sets this bound. It counts the initial sends of the same ten seconds, of the ten
	// seconds before, or of the ten seconds half way between.
	It("stays within 1.25 times its quota in any ten seconds", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			w := budget.NewSlidingWindow(start, quota)
			var initial, extra []clock.Milli
			now := start
			for now < start+60*clock.Second {
				now += clock.Milli(random.ExpFloat64()) * 20
				if busy := int(now/(4*clock.Second))%2 == 0; busy && random.Float64() < 0.5 {
					w.CountInitial(now)
					initial = append(initial, now)
				}
				// For 3 s in every 9 s, all queries have to be sent again.
				if int(now/(3*clock.Second))%3 == 0 && w.Take(now) {
					extra = append(extra, now)
				}
			}
			for _, from := range extra {
				initialCount := max(
					countFrom(initial, from), countFrom(initial, from-budget.WindowSpan), countFrom(initial, from-budget.WindowSpan/2),
				)
				allowed := quota.Ratio*float64(initialCount) + quota.Slack
				Expect(float64(countFrom(extra, from))).To(BeNumerically("<=", 1.25*allowed), "seed %d", seed)
			}
		}
	})
})

// countFrom returns the number of instants in the ten seconds that begin at from.
func countFrom(list []clock.Milli, from clock.Milli) int {
	n := 0
	for _, at := range list {
		if at >= from && at < from+budget.WindowSpan {
			n++
		}
	}

	return n
}
