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
	service = catalog.Service{Name: "s", Connections: 26}
)

func none(*catalog.Upstream) bool { return false }

func newFleet(daemons int) *balance.Fleet {
	return balance.New(balance.Rules{
		Zone: "a", Daemons: func() int { return daemons }, Uniform: func() float64 { return 0.5 },
	})
}

// ask sends a request and has it answered after a span.
func ask(f *balance.Fleet, now clock.Milli, u *catalog.Upstream, span clock.Milli) {
	f.Sent(now, service, u)
	f.Answered(now+span, now, 0, u, nil)
}

var _ = Describe("A fleet", func() {
	It("prefers its own availability zone", func() {
		f := newFleet(7)
		Expect(f.Choose(start, service, both, none)).To(Equal(near))
		Expect(f.Choose(start, service, both, func(u *catalog.Upstream) bool { return u == near })).To(Equal(far))
	})

	It("goes to another zone when the near upstream is much slower", func() {
		f := newFleet(7)
		ask(f, start, near, 200)
		ask(f, start, far, 10)
		Expect(f.Choose(start+200, service, both, none)).To(Equal(far))
	})

	It("avoids an upstream whose oldest request is late, until it answers", func() {
		f := newFleet(7)
		ask(f, start, near, 10)
		ask(f, start, far, 10)
		f.Sent(start+20, service, near)
		Expect(f.Suspect(start+30, near)).To(BeFalse())
		Expect(f.Choose(start+30, service, both, none)).To(Equal(near))
		Expect(f.Suspect(start+100, near)).To(BeTrue())
		Expect(f.Choose(start+100, service, both, none)).To(Equal(far))
		f.Answered(start+101, start+20, 0, near, nil)
		Expect(f.Suspect(start+101, near)).To(BeFalse())
	})

	It("sends nothing for a while to an upstream that refused or cannot be reached", func() {
		for _, c := range []struct {
			name  string
			fail  func(f *balance.Fleet)
			pause clock.Milli
		}{
			{"full", func(f *balance.Fleet) { f.Full(start+1, start, near, nil) }, 25},
			{"full with a free slot", func(f *balance.Fleet) {
				f.Full(start+1, start, near, &balance.Load{Slots: 2})
			}, 25},
			{"unreachable", func(f *balance.Fleet) { f.Unreachable(start+1, start, near) }, 100},
		} {
			f := newFleet(7)
			only := []*catalog.Upstream{near}
			f.Sent(start, service, near)
			c.fail(f)
			Expect(f.Choose(start+c.pause, service, only, none)).To(BeNil(), c.name)
			Expect(f.Choose(start+c.pause+2, service, only, none)).To(Equal(near), c.name)
			Expect(f.Choose(start+c.pause+2, service, both, none)).To(Equal(far), "%s: it counts as failing", c.name)
		}
	})

	It("holds nothing against an upstream whose request was given up early", func() {
		f := newFleet(7)
		for i := range 5 {
			now := start + clock.Milli(i)*10
			f.Sent(now, service, near)
			f.Dropped(now+5, now, near)
		}
		Expect(f.Choose(start+60, service, both, none)).To(Equal(near))
	})

	It("sends nothing more to an upstream whose address another process has", func() {
		f := newFleet(7)
		f.Sent(start, service, near)
		f.Replaced(start+1, start, near)
		for _, later := range []clock.Milli{2, 1000, 10_000} {
			Expect(f.Choose(start+later, service, []*catalog.Upstream{near}, none)).To(BeNil())
		}
	})

	It("keeps its part of the connections that an upstream accepts", func() {
		f := newFleet(7)
		only := []*catalog.Upstream{near}
		sent := 0
		for f.Choose(start, service, only, none) != nil {
			f.Sent(start, service, near)
			sent++
		}
		Expect(sent * 7).To(BeNumerically("<=", 26))
		Expect(sent).To(Equal(3))
	})

	It("keeps all daemons together within the rate that a cold upstream bears", func() {
		const daemons, rate = 7, 40
		cold := catalog.Service{Name: "s", Rate: rate}
		young := &catalog.Upstream{ID: "young", Zone: "a", Slots: 200, Seen: start, Warmup: 3 * clock.Second}
		total := 0
		for range daemons {
			f := newFleet(daemons)
			for now := start; now < start+clock.Second; now++ {
				if f.Choose(now, cold, []*catalog.Upstream{young}, none) != nil {
					f.Sent(now, cold, young)
					f.Answered(now, now, 0, young, nil)
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

	It("follows from the last report and shrinks with its age", func() {
		f := newFleet(7)
		Expect(f.Wait(start, near)).To(BeZero())
		f.Sent(start, service, near)
		// Four rounds in 40 ms are 10 ms a request; three wait before a new one.
		f.Answered(start+40, start, 0, near, busy)
		Expect(f.Wait(start+40, near)).To(BeNumerically("~", 30))
		Expect(f.Wait(start+50, near)).To(BeNumerically("~", 20))
		Expect(f.Wait(start+80, near)).To(BeZero())
	})

	It("counts what was sent since, by all daemons alike", func() {
		f := newFleet(7)
		f.Sent(start, service, near)
		f.Answered(start+40, start, 0, near, busy)
		f.Sent(start+41, service, near)
		Expect(f.Wait(start+41, near)).To(BeNumerically("~", 30+35-1))
	})

	It("is none where the last report says that none waits, or is old", func() {
		f := newFleet(7)
		f.Sent(start, service, near)
		f.Answered(start+400, start, 0, near, &balance.Load{Running: 2, Slots: 2})
		f.Sent(start+401, service, near)
		Expect(f.Wait(start+402, near)).To(BeZero())
		f.Sent(start+402, service, near)
		f.Answered(start+4000, start+401, 0, near, nil)
		f.Answered(start+4000, start+402, 0, near, busy)
		Expect(f.Wait(start+4900, near)).NotTo(BeZero())
		Expect(f.Wait(start+5001, near)).To(BeZero())
	})
})
