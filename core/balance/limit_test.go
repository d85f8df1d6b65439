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

	service := catalog.Service{Name: "s", MaxConnections: 100}
	choose := func(at clock.Milli) *catalog.Upstream {
		return b.Choose(at, service, []*catalog.Upstream{u}, func(*catalog.Upstream) bool { return false })
	}

	It("is kept by each daemon for its share, from the answer that names it on", func() {
		Expect(choose(now)).To(Equal(u))
		b.HandleLimit(now, now-20, u, new(balance.RateLimit(8)))
		for i := range 10 {
			at := now + clock.Milli(i)*500
			Expect(choose(at + 499)).To(BeNil())
			Expect(b.LimitWait(at+490, u)).To(BeNumerically("~", 10, 0.01))
			Expect(choose(at + 501)).To(Equal(u))
			b.Sent(at+500, service, u)
		}
	})

	It("allows the requests of a second at once after a quiet time", func() {
		b.HandleLimit(now, now-20, u, new(balance.RateLimit(12)))
		at := now + clock.Minute
		n := 0
		for ; choose(at) != nil && n < 100; n++ {
			Expect(b.Spare(at, u)).To(Equal(n == 0))
			b.Sent(at, service, u)
		}
		Expect(n).To(Equal(3))
	})

	It("leaves room for one request in a while if it is 0, whose answer may end it", func() {
		b.HandleLimit(now, now-20, u, new(balance.RateLimit(0)))
		Expect(b.LimitWait(now, u)).To(Equal(16 * clock.Second))
		Expect(choose(now + 17*clock.Second)).To(Equal(u))
		b.HandleLimit(now+18*clock.Second, now+17*clock.Second, u, nil)
		Expect(b.LimitWait(now+18*clock.Second, u)).To(BeZero())
	})

	It("counts what is sent for another daemon against that daemon's share", func() {
		b.HandleLimit(now, now-20, u, new(balance.RateLimit(8)))
		b.SentForOther(now+500, u)
		Expect(choose(now + 501)).To(Equal(u))
	})
})
