package balance_test

import (
	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an upstream that asks for a pause", func() {
	const now = 100 * clock.Second
	none := func(*catalog.Upstream) bool { return false }
	paused, other := &catalog.Upstream{ID: "paused", Slots: 2}, &catalog.Upstream{ID: "other", Slots: 2}
	var b *balance.Balancer
	BeforeEach(func() {
		b = balance.New(balance.Options{Daemons: func() int { return 1 }})
		b.Pause(now, now+60*clock.Second, paused)
	})
	choose := func(at clock.Milli, list ...*catalog.Upstream) *catalog.Upstream {
		return b.Choose(at, catalog.Service{}, list, none)
	}

	It("gets no request until it is over", func() {
		Expect(choose(now, paused, other)).To(Equal(other))
		b.Prune(now + 59*clock.Second)
		Expect(choose(now+59*clock.Second, paused)).To(BeNil())
		Expect(b.LimitWait(now+59*clock.Second, paused)).To(BeEquivalentTo(clock.Second))
		Expect(choose(now+60*clock.Second, paused)).To(Equal(paused))
		Expect(b.LimitWait(now+60*clock.Second, paused)).To(BeZero())
	})

	It("does not shorten it by another answer, nor ask for more than an hour", func() {
		b.Pause(now, now+clock.Second, paused)
		Expect(choose(now+30*clock.Second, paused)).To(BeNil())
		b.Pause(now, now+1e12, other)
		Expect(b.PauseLeft(now, other)).To(Equal(clock.Hour))
	})
})
