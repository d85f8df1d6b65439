package latency_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/latency"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A latency window", func() {
	fill := func(w *latency.Window, at clock.Milli) {
		for i := 1; i <= 100; i++ {
			w.Add(at, clock.Milli(i))
		}
	}

	It("estimates quantiles to within a tenth", func() {
		w := latency.New(clock.Second)
		fill(w, 0)
		for _, tc := range []struct {
			q    float64
			want clock.Milli
		}{{0.01, 1}, {0.5, 50}, {0.97, 97}, {1, 100}} {
			got, known := w.Quantile(0, tc.q)
			Expect(known).To(BeTrue())
			Expect(float64(got)).To(BeNumerically("~", float64(tc.want), float64(tc.want)/10))
		}
	})

	It("reports no quantile while there are too few samples", func() {
		w := latency.New(clock.Second)
		w.Add(0, 1)
		_, known := w.Quantile(0, 0.5)
		Expect(known).To(BeFalse())
	})

	It("drops samples after two spans", func() {
		w := latency.New(clock.Second)
		fill(w, 0)
		_, known := w.Quantile(1500, 0.5)
		Expect(known).To(BeTrue())
		_, known = w.Quantile(2600, 0.5)
		Expect(known).To(BeFalse())
	})

	It("accepts samples of any size, negative ones too", func() {
		w := latency.New(clock.Second)
		for range 20 {
			w.Add(0, -1)
			w.Add(0, 1e12)
		}
		_, known := w.Quantile(0, 0.5)
		Expect(known).To(BeTrue())
	})
})
