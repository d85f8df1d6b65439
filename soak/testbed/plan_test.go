package testbed_test

import (
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/soak/testbed"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A plan", func() {
	const span = 16 * clock.Second

	It("is the same for the same seed", func() {
		Expect(testbed.NewPlan(7, span, nil)).To(Equal(testbed.NewPlan(7, span, nil)))
		Expect(testbed.NewPlan(7, span, nil)).NotTo(Equal(testbed.NewPlan(11, span, nil)))
	})

	It("contains every kind of step for some seed", func() {
		missing := testbed.StepKinds()
		for seed := range uint64(60) {
			for _, s := range testbed.NewPlan(seed, span, nil) {
				missing = slices.DeleteFunc(missing, func(k testbed.StepKind) bool { return k == s.Kind })
			}
		}
		Expect(missing).To(BeEmpty())
	})

	It("is sorted by time and contains series of a step", func() {
		series := 0
		for seed := range uint64(20) {
			plan := testbed.NewPlan(seed, span, nil)
			Expect(slices.IsSortedFunc(plan, func(a, b testbed.Step) int { return int(a.At - b.At) })).To(BeTrue())
			for i := 1; i < len(plan); i++ {
				if plan[i].Kind == plan[i-1].Kind && plan[i].Target == plan[i-1].Target+1 {
					series++
				}
			}
		}
		Expect(series).To(BeNumerically(">", 5))
	})

	It("contains only the requested kinds", func() {
		for _, s := range testbed.NewPlan(3, span, []testbed.StepKind{testbed.Kill}) {
			Expect(s.Kind).To(Equal(testbed.Kill))
		}
	})
})
