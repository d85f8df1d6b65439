package quarantine_test

import (
	"strconv"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a crash attributed to a request", func() {
	const now = 100 * clock.Second
	p := quarantine.FingerprintOf("markers", "poison")
	request := quarantine.Prints{Request: p}
	one, two := &catalog.Upstream{ID: "one"}, &catalog.Upstream{ID: "two"}
	var c *quarantine.CrashDetector
	BeforeEach(func() { c = quarantine.NewCrashDetector() })
	record := func(at clock.Milli, v quarantine.Attempt, u *catalog.Upstream) quarantine.Change {
		_, change := c.RecordCrash(at, v, request, u)

		return change
	}

	It("is followed by quarantine if another came before or after it, in whatever order they are found", func() {
		for _, visits := range [][]quarantine.Attempt{
			{{Sent: now, Broken: now + 5}, {Sent: now + 5, Broken: now + 9}},
			{{Sent: now + 5, Broken: now + 9}, {Sent: now, Broken: now + 5}},
		} {
			c = quarantine.NewCrashDetector()
			Expect(record(now+10, visits[0], one)).To(Equal(quarantine.Suspected))
			Expect(c.Quarantined(now+10, p)).To(BeFalse())
			Expect(record(now+11, visits[1], two)).To(Equal(quarantine.Quarantined))
			Expect(c.Quarantined(now+11, p)).To(BeTrue())
			Expect(c.Quarantined(now+11+quarantine.Period, p)).To(BeFalse())
		}
	})

	It("counts as one with another at the same time", func() {
		c.RecordCrash(now+10, quarantine.Attempt{Sent: now, Broken: now + 8}, request, one)
		Expect(record(now+10, quarantine.Attempt{Sent: now + 1, Broken: now + 9}, two)).To(Equal(quarantine.Unchanged))
		Expect(c.Quarantined(now+10, p)).To(BeFalse())
	})

	It("counts with another at the same time in another availability zone, and no longer after an answer", func() {
		a, b := &catalog.Upstream{ID: "a", Zone: "a"}, &catalog.Upstream{ID: "b", Zone: "b"}
		Expect(record(now+10, quarantine.Attempt{Sent: now, Broken: now + 8}, a)).To(Equal(quarantine.Suspected))
		Expect(record(now+10, quarantine.Attempt{Sent: now, Broken: now + 8}, b)).To(Equal(quarantine.Quarantined))
		Expect(c.RecordSuccess(now+11, request)).To(BeTrue())
		Expect(c.Quarantined(now+11, p)).To(BeFalse())
	})

	It("of the upstreams of one shard alone puts the part for that shard into quarantine", func() {
		parts := []quarantine.Prints{{Request: p, Part: p + 1}, {Request: p, Part: p + 2}}
		for n := range 2 {
			at := now + clock.Milli(n)*clock.Second
			u := &catalog.Upstream{ID: strconv.Itoa(n)}
			c.RecordCrash(at+5, quarantine.Attempt{Sent: at, Broken: at + 5}, parts[0], u)
			c.RecordSuccess(at+6, parts[1])
		}
		Expect(c.Quarantined(now+2*clock.Second, p)).To(BeFalse())
		Expect(c.Quarantined(now+2*clock.Second, parts[0].Part)).To(BeTrue())
		Expect(c.Quarantined(now+2*clock.Second, parts[1].Part)).To(BeFalse())
	})

	It("no longer counts after an answer", func() {
		c.RecordCrash(now+10, quarantine.Attempt{Sent: now, Broken: now + 5}, request, one)
		Expect(c.RecordSuccess(now+6, request)).To(BeTrue())
		Expect(c.Empty()).To(BeTrue())
		Expect(record(now+20, quarantine.Attempt{Sent: now + 12, Broken: now + 15}, two)).To(Equal(quarantine.Unchanged))
	})

	It("is forgotten after its time without another request", func() {
		c.RecordCrash(now, quarantine.Attempt{Sent: now, Broken: now + 5}, request, one)
		c.Prune(now + quarantine.Period - clock.Second)
		Expect(c.Empty()).To(BeFalse())
		c.Prune(now + quarantine.Period + clock.Second)
		Expect(c.Empty()).To(BeTrue())
	})

	It("counts together with the crashes that other daemons saw, each process once", func() {
		warnings := make([]quarantine.Warning, 0, 2)
		for _, u := range []*catalog.Upstream{one, two} {
			other := quarantine.NewCrashDetector()
			w, _ := other.RecordCrash(now, quarantine.Attempt{Sent: now, Broken: now + 5}, request, u)
			warnings = append(warnings, w)
		}
		Expect(c.Merge(now, warnings[0])).To(Equal(quarantine.Suspected))
		Expect(c.Merge(now, warnings[0])).To(Equal(quarantine.Unchanged))
		Expect(record(now+10, quarantine.Attempt{Sent: now + 1, Broken: now + 9}, one)).To(Equal(quarantine.Unchanged))
		Expect(c.Quarantined(now+10, p)).To(BeFalse())
		Expect(c.Merge(now+10, warnings[1])).To(Equal(quarantine.Quarantined))
		Expect(c.Quarantined(now+10, p)).To(BeTrue())
		Expect(c.Quarantined(now+10+quarantine.Period, p)).To(BeFalse())
	})

	It("does not count for a request that was answered a short time ago, as many callers send some requests", func() {
		for i := range 5 {
			at := now + clock.Milli(i)*10*clock.Second
			c.RecordSuccess(at, request)
			for n, u := range []*catalog.Upstream{one, two} {
				sent := at + clock.Milli(n)*clock.Second
				Expect(record(sent+5, quarantine.Attempt{Sent: sent, Broken: sent + 5}, u)).To(Equal(quarantine.Unchanged))
			}
		}
		later := now + 2*clock.Minute
		Expect(record(later, quarantine.Attempt{Sent: later - 5, Broken: later}, one)).To(Equal(quarantine.Suspected))
	})

	It("keeps a request that is sent again and again from crashing more than two upstreams in ten minutes", func() {
		crashes := 0
		for at := now; at < now+10*clock.Minute; at += clock.Second {
			if c.Prune(at); c.Quarantined(at, p) {
				continue
			}
			crashes++
			record(at, quarantine.Attempt{Sent: at - 5, Broken: at}, &catalog.Upstream{ID: strconv.Itoa(crashes)})
		}
		Expect(crashes).To(Equal(2))
	})

	It("is remembered with a limited number of answered requests", func() {
		for n := range 100_000 {
			c.RecordSuccess(now, quarantine.Prints{Request: quarantine.Fingerprint(n)})
		}
		Expect(c.AnsweredCount()).To(BeNumerically("<=", 2*4096))
		Expect(record(now, quarantine.Attempt{Sent: now, Broken: now + 1}, one)).To(Equal(quarantine.Suspected))
	})

	It("is looked for at most once per interval at each upstream, and expires", func() {
		Expect(c.NextProbe(now, one.Key())).To(Equal(now))
		Expect(c.NextProbe(now+100, one.Key())).To(Equal(now + 200))
		Expect(c.NextProbe(now+100, two.Key())).To(Equal(now + 100))
		Expect(c.NextProbe(now+200, one.Key())).To(Equal(now + 400))
		c.RecordCrash(now+10, quarantine.Attempt{Sent: now, Broken: now + 5}, request, one)
		c.Prune(now + 2*quarantine.Period)
		Expect(record(now+2*quarantine.Period, quarantine.Attempt{Sent: now, Broken: now + 5}, two)).To(Equal(quarantine.Suspected))
	})
})
