package quarantine_test

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a crash attributed to a request", func() {
	const now = 100 * clock.Second
	p := quarantine.Of("markers", "poison")
	one, two := catalog.Key{ID: "one"}, catalog.Key{ID: "two"}
	var c *quarantine.Crashes
	BeforeEach(func() { c = quarantine.NewCrashes() })

	It("is followed by quarantine if another came before or after it, in whatever order they are found", func() {
		for _, visits := range [][]quarantine.Visit{
			{{Sent: now, Broken: now + 5}, {Sent: now + 5, Broken: now + 9}},
			{{Sent: now + 5, Broken: now + 9}, {Sent: now, Broken: now + 5}},
		} {
			c = quarantine.NewCrashes()
			Expect(c.Tie(now+10, visits[0], p, one)).To(BeFalse())
			Expect(c.Held(now+10, p)).To(BeFalse())
			Expect(c.Tie(now+11, visits[1], p, two)).To(BeTrue())
			Expect(c.Held(now+11, p)).To(BeTrue())
			Expect(c.Held(now+11+quarantine.Span, p)).To(BeFalse())
		}
	})

	It("counts as one with another at the same time", func() {
		c.Tie(now+10, quarantine.Visit{Sent: now, Broken: now + 8}, p, one)
		Expect(c.Tie(now+10, quarantine.Visit{Sent: now + 1, Broken: now + 9}, p, two)).To(BeFalse())
		Expect(c.Held(now+10, p)).To(BeFalse())
	})

	It("no longer counts after an answer", func() {
		c.Tie(now+10, quarantine.Visit{Sent: now, Broken: now + 5}, p, one)
		c.Passed(p)
		Expect(c.Empty()).To(BeTrue())
		Expect(c.Tie(now+20, quarantine.Visit{Sent: now + 12, Broken: now + 15}, p, two)).To(BeFalse())
	})

	It("leads to quarantine at once if another daemon found it", func() {
		c.Hold(now, p)
		Expect(c.Held(now, p)).To(BeTrue())
		Expect(c.Held(now+quarantine.Span, p)).To(BeFalse())
	})

	It("is looked for at most once per interval at each upstream, and expires", func() {
		Expect(c.Due(now, one)).To(BeTrue())
		Expect(c.Due(now+100, one)).To(BeFalse())
		Expect(c.Due(now+100, two)).To(BeTrue())
		Expect(c.Due(now+200, one)).To(BeTrue())
		c.Tie(now+10, quarantine.Visit{Sent: now, Broken: now + 5}, p, one)
		c.Keep(now + 2*clock.Minute)
		Expect(c.Tie(now+2*clock.Minute, quarantine.Visit{Sent: now, Broken: now + 5}, p, two)).To(BeFalse())
	})
})
