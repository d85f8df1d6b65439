package budget_test

import (
	"fmt"

	"jacinthferry/core/budget"
	"jacinthferry/core/clock"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a token bucket", func() {
	takeAll := func(b *budget.Bucket, now clock.Milli) int {
		n := 0
		for b.Take(now) {
			n++
		}

		return n
	}

	It("fills with the initial legs up to its burst", func() {
		b := budget.NewBucket(0, budget.BucketConfig{Ratio: 0.25, Burst: 10})
		Expect(takeAll(b, 0)).To(BeZero())
		b.Deposit(20)
		Expect(takeAll(b, 0)).To(Equal(5))
		b.Deposit(1000)
		Expect(takeAll(b, clock.Hour)).To(Equal(10))
	})

	It("fills at the rate of its floor without traffic", func() {
		b := budget.NewBucket(0, budget.BucketConfig{Burst: 10, Floor: 2})
		Expect(takeAll(b, 0)).To(Equal(2))
		Expect(takeAll(b, 2*clock.Second)).To(Equal(4))
		Expect(takeAll(b, clock.Hour)).To(Equal(10))
	})

	It("is kept for each caller, for a bounded number of callers", func() {
		c := budget.NewCallerBuckets(budget.BucketConfig{Burst: 1, Floor: 1}, 4)
		Expect(c.Bucket(0, "a").Take(0)).To(BeTrue())
		Expect(c.Bucket(0, "a").Take(0)).To(BeFalse())
		Expect(c.Bucket(0, "b").Take(0)).To(BeTrue())
		for i := range 10 {
			c.Bucket(0, fmt.Sprint(i))
		}
		Expect(c.Bucket(0, "a").Take(0)).To(BeTrue())
	})
})

var _ = Describe("fair admission", func() {
	// simulate sends queries of each caller at its rate, in queries per 10 ms, to a service that finishes
	// capacity queries in 10 ms. It returns how many queries of each caller were admitted in the last second.
	simulate := func(rates map[string]int, capacity int) map[string]int {
		f := budget.NewFairLimiter()
		admitted := make(map[string]int)
		for now := clock.Milli(0); now < 10*clock.Second; now += 10 {
			sent := 0
			for _, caller := range []string{"heavy", "light"} {
				for range rates[caller] {
					if !f.Admit(now, caller) {
						continue
					}
					sent++
					if now >= 9*clock.Second {
						admitted[caller]++
					}
				}
			}
			for i := range sent {
				f.Done(now, i < capacity, i >= capacity)
			}
		}

		return admitted
	}

	It("admits everything while no query is lost to overload", func() {
		Expect(simulate(map[string]int{"heavy": 20, "light": 2}, 30)).To(Equal(map[string]int{"heavy": 2000, "light": 200}))
	})

	It("limits the heavy caller under overload, but not the light one", func() {
		got := simulate(map[string]int{"heavy": 30, "light": 2}, 10)
		Expect(got["light"]).To(BeNumerically(">=", 180))
		Expect(got["heavy"] + got["light"]).To(BeNumerically("<=", 1500))
		Expect(got["heavy"] + got["light"]).To(BeNumerically(">=", 900))
	})
})
