package budget_test

import (
	"math/rand/v2"

	"jacinthferry/core/budget"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A budget of bytes", func() {
	It("never gives more than its limit, and gives again what is returned", func() {
		random := rand.New(rand.NewPCG(1, 2))
		b := budget.NewBytes(1000)
		var taken []int
		for range 10_000 {
			n := random.IntN(400)
			before := b.Held()
			if b.Take(n) {
				taken = append(taken, n)
				Expect(b.Held()).To(Equal(before + n))
			} else {
				Expect(before+n).To(BeNumerically(">", 1000), "%d bytes were left", 1000-before)
			}
			Expect(b.Held()).To(BeNumerically("<=", 1000))
			if len(taken) > 0 && random.IntN(2) == 0 {
				b.Release(taken[0])
				taken = taken[1:]
			}
		}
		for _, n := range taken {
			b.Release(n)
		}
		Expect(b.Held()).To(BeZero())
	})
})
