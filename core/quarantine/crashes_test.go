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
	p := quarantine.FingerprintOf("markers", "poison")
	one, two := catalog.Key{ID: "one"}, catalog.Key{ID: "two"}
	var c *quarantine.CrashDetector
	BeforeEach(func() { c = quarantine.NewCrashDetector() })

	It("is followed by quarantine if another came before or after it, in whatever order they are found", func() {
		for _, visits := range [][]quarantine.Attempt{
			{{Sent: now, Broken: now + 5}, {Sent: now + 5, Broken: now + 9}},
			{{Sent: now + 5, Broken: now + 9}, {Sent: now, Broken: now + 5}},
		} {
			c = quarantine.NewCrashDetector()
			Expect(c.RecordCrash(now+10, visits[0], p, one)).To(BeFalse())
			Expect(c.Quarantined(now+10, p)).To(BeFalse())
			Expect(c.RecordCrash(now+11, visits[1], p, two)).To(BeTrue())
			Expect(c.Quarantined(now+11, p)).To(BeTrue())
			Expect(c.Quarantined(now+11+quarantine.Period, p)).To(BeFalse())
		}
	})

	It("counts as one with another at the same time", func() {
		c.RecordCrash(now+10, quarantine.Attempt{Sent: now, Broken: now + 8}, p, one)
		Expect(c.RecordCrash(now+10, quarantine.Attempt{Sent: now + 1, Broken: now + 9}, p, two)).To(BeFalse())
		Expect(c.Quarantined(now+10, p)).To(BeFalse())
	})

	It("no longer counts after an answer", func() {
		c.RecordCrash(now+10, quarantine.Attempt{Sent: now, Broken: now + 5}, p, one)
		c.RecordSuccess(p)
		Expect(c.Empty()).To(BeTrue())
		Expect(c.RecordCrash(now+20, quarantine.Attempt{Sent: now + 12, Broken: now + 15}, p, two)).To(BeFalse())
	})

	It("is forgotten after its time without another request", func() {
		c.RecordCrash(now, quarantine.Attempt{Sent: now, Broken: now + 5}, p, one)
		c.Prune(now + 59*clock.Second)
		Expect(c.Empty()).To(BeFalse())
		c.Prune(now + 61*clock.Second)
		Expect(c.Empty()).To(BeTrue())
	})

	It("leads to quarantine at once if another daemon found it", func() {
		c.Quarantine(now, p)
		Expect(c.Quarantined(now, p)).To(BeTrue())
		Expect(c.Quarantined(now+quarantine.Period, p)).To(BeFalse())
	})

	It("is looked for at most once per interval at each upstream, and expires", func() {
		Expect(c.ShouldProbe(now, one)).To(BeTrue())
		Expect(c.ShouldProbe(now+100, one)).To(BeFalse())
		Expect(c.ShouldProbe(now+100, two)).To(BeTrue())
		Expect(c.ShouldProbe(now+200, one)).To(BeTrue())
		c.RecordCrash(now+10, quarantine.Attempt{Sent: now, Broken: now + 5}, p, one)
		c.Prune(now + 2*clock.Minute)
		Expect(c.RecordCrash(now+2*clock.Minute, quarantine.Attempt{Sent: now, Broken: now + 5}, p, two)).To(BeFalse())
	})
})
