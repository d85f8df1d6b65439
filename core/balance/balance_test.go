package balance_test

import (
	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const start = 1000 * clock.Second

var (
	near    = &catalog.Upstream{ID: "near", Service: "s", Zone: "a", Slots: 2}
	far     = &catalog.Upstream{ID: "far", Service: "s", Zone: "b", Slots: 2}
	both    = []*catalog.Upstream{far, near}
	service = catalog.Service{Name: "s", MaxConnections: 26}
)

func excludeNone(*catalog.Upstream) bool { return false }

func newBalancer(daemons int) *balance.Balancer {
	return balance.New(balance.Options{
		Zone: "a", Daemons: func() int { return daemons }, Uniform: func() float64 { return 0.5 },
	})
}

// roundTrip sends a request and has it answered after a latency.
func roundTrip(b *balance.Balancer, now clock.Milli, u *catalog.Upstream, latency clock.Milli) {
	b.Sent(now, service, u)
	b.Answered(now+latency, now, 0, u, nil)
}

var _ = Describe("A balancer", func() {
	It("prefers upstreams in its own availability zone", func() {
		b := newBalancer(7)
		Expect(b.Choose(start, service, both, excludeNone)).To(Equal(near))
		Expect(b.Choose(start, service, both, func(u *catalog.Upstream) bool { return u == near })).To(Equal(far))
	})

	It("chooses another zone when the upstream in its own is much slower", func() {
		b := newBalancer(7)
		roundTrip(b, start, near, 200)
		roundTrip(b, start, far, 10)
		Expect(b.Choose(start+200, service, both, excludeNone)).To(Equal(far))
	})

	It("avoids an upstream whose oldest request is late, until it is answered", func() {
		b := newBalancer(7)
		roundTrip(b, start, near, 10)
		roundTrip(b, start, far, 10)
		b.Sent(start+20, service, near)
		Expect(b.Stalled(start+30, near)).To(BeFalse())
		Expect(b.Choose(start+30, service, both, excludeNone)).To(Equal(near))
		Expect(b.Stalled(start+100, near)).To(BeTrue())
		Expect(b.Choose(start+100, service, both, excludeNone)).To(Equal(far))
		b.Answered(start+101, start+20, 0, near, nil)
		Expect(b.Stalled(start+101, near)).To(BeFalse())
	})

	It("backs off from an upstream that refused a request or cannot be reached", func() {
		for _, c := range []struct {
			name    string
			fail    func(b *balance.Balancer)
			backoff clock.Milli
		}{
			{"full", func(b *balance.Balancer) { b.Overloaded(start+1, start, near, nil) }, 25},
			{"full with a free slot", func(b *balance.Balancer) {
				b.Overloaded(start+1, start, near, &balance.Load{Slots: 2})
			}, 25},
			{"unreachable", func(b *balance.Balancer) { b.Unreachable(start+1, start, near) }, 100},
		} {
			b := newBalancer(7)
			only := []*catalog.Upstream{near}
			b.Sent(start, service, near)
			c.fail(b)
			Expect(b.Choose(start+c.backoff, service, only, excludeNone)).To(BeNil(), c.name)
			Expect(b.Choose(start+c.backoff+2, service, only, excludeNone)).To(Equal(near), c.name)
			Expect(b.Choose(start+c.backoff+2, service, both, excludeNone)).To(Equal(far), "%s: should count as a failure", c.name)
		}
	})

	It("does not penalise an upstream for requests that were cancelled early", func() {
		b := newBalancer(7)
		for i := range 5 {
			now := start + clock.Milli(i)*10
			b.Sent(now, service, near)
			b.Cancelled(now+5, now, near)
		}
		Expect(b.Choose(start+60, service, both, excludeNone)).To(Equal(near))
	})

	It("stops sending to an upstream whose address another process has taken over", func() {
		b := newBalancer(7)
		b.Sent(start, service, near)
		b.Replaced(start+1, start, near)
		for _, later := range []clock.Milli{2, 1000, 10_000} {
			Expect(b.Choose(start+later, service, []*catalog.Upstream{near}, excludeNone)).To(BeNil())
		}
	})

	It("does not send there again before the address has rested, also after a removal of unused state", func() {
		b := newBalancer(7)
		b.Sent(start, service, near)
		b.Replaced(start+1, start, near)
		b.Prune(start + 40*clock.Second)
		Expect(b.Choose(start+40*clock.Second, service, []*catalog.Upstream{near}, excludeNone)).To(BeNil())
		b.Prune(start + 2*clock.Minute)
		Expect(b.Choose(start+2*clock.Minute, service, []*catalog.Upstream{near}, excludeNone)).To(Equal(near))
	})

	It("uses no more than its share of the connections that an upstream accepts", func() {
		b := newBalancer(7)
		only := []*catalog.Upstream{near}
		sent := 0
		for b.Choose(start, service, only, excludeNone) != nil {
			b.Sent(start, service, near)
			sent++
		}
		Expect(sent * 7).To(BeNumerically("<=", 26))
		Expect(sent).To(Equal(3))
	})

	It("keeps all daemons together within the rate that a cold upstream can take", func() {
		const daemons, rate = 7, 40
		cold := catalog.Service{Name: "s", WarmupRate: rate}
		young := &catalog.Upstream{ID: "young", Zone: "a", Slots: 200, Seen: start, Warmup: 3 * clock.Second}
		total := 0
		for range daemons {
			b := newBalancer(daemons)
			for now := start; now < start+clock.Second; now++ {
				if b.Choose(now, cold, []*catalog.Upstream{young}, excludeNone) != nil {
					b.Sent(now, cold, young)
					b.Answered(now, now, 0, young, nil)
					total++
				}
			}
		}
		Expect(total).To(BeNumerically("<=", rate*1.5+5))
		Expect(total).To(BeNumerically(">", rate/2))
	})

	// Guards against review/3: an entry that named a warm-up again was not heeded, and the full load crashed the upstream.
	It("keeps all daemons together within that rate when the upstream's entry says that it is cold again", func() {
		const daemons, rate = 7, 40
		cold := catalog.Service{Name: "s", WarmupRate: rate}
		young := &catalog.Upstream{ID: "young", Zone: "a", Slots: 200, Seen: start, Warmup: 3 * clock.Second}
		again := *young
		again.Seen += 10 * clock.Second
		total := 0
		for range daemons {
			b := newBalancer(daemons)
			for now := start; now < again.Seen; now += 10 {
				if b.Choose(now, cold, []*catalog.Upstream{young}, excludeNone) != nil {
					b.Sent(now, cold, young)
					b.Answered(now, now, 0, young, nil)
				}
			}
			for now := again.Seen; now < again.Seen+clock.Second; now++ {
				// A request that began before the entry changed still has the earlier one.
				u := []*catalog.Upstream{&again, young}[int(now)%2]
				if b.Choose(now, cold, []*catalog.Upstream{u}, excludeNone) != nil {
					b.Sent(now, cold, u)
					b.Answered(now, now, 0, u, nil)
					total++
				}
			}
		}
		Expect(total).To(BeNumerically("<=", rate*1.5+5))
		Expect(total).To(BeNumerically(">", rate/2))
	})
})

var _ = Describe("The wait for a slot", func() {
	busy := &balance.Load{Running: 2, Waiting: 6, Slots: 2}

	It("is estimated from the last report and shrinks as the report ages", func() {
		b := newBalancer(7)
		Expect(b.ExpectedWait(start, near)).To(BeZero())
		b.Sent(start, service, near)
		// 40 ms for four rounds make a service time of 10 ms; a new request waits for three rounds.
		b.Answered(start+40, start, 0, near, busy)
		Expect(b.ExpectedWait(start+40, near)).To(BeNumerically("~", 30))
		Expect(b.ExpectedWait(start+50, near)).To(BeNumerically("~", 20))
		Expect(b.ExpectedWait(start+80, near)).To(BeZero())
	})

	It("includes the requests sent since the report, assuming that all daemons send alike", func() {
		b := newBalancer(7)
		b.Sent(start, service, near)
		b.Answered(start+40, start, 0, near, busy)
		b.Sent(start+41, service, near)
		Expect(b.ExpectedWait(start+41, near)).To(BeNumerically("~", 30+35-1))
	})

	It("is zero when the last report shows no queue or is too old", func() {
		b := newBalancer(7)
		b.Sent(start, service, near)
		b.Answered(start+400, start, 0, near, &balance.Load{Running: 2, Slots: 2})
		b.Sent(start+401, service, near)
		Expect(b.ExpectedWait(start+402, near)).To(BeZero())
		b.Sent(start+402, service, near)
		b.Answered(start+4000, start+401, 0, near, nil)
		b.Answered(start+4000, start+402, 0, near, busy)
		Expect(b.ExpectedWait(start+4900, near)).NotTo(BeZero())
		Expect(b.ExpectedWait(start+5001, near)).To(BeZero())
	})
})
